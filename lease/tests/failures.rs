//! Failures in a simulation on a virtual clock, over many seeds. The units admitted beyond a quota stay
//! within the bound derived in docs/leases.md, and exceed it when an injected fault disables the safeguard
//! concerned.
mod simulation;

use quillramp_lease::fault_injection::InjectedFault;
use quillramp_lease::shard_map::{ShardId, FULL_QUOTA_PPM};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use simulation::gateway::{GatewayId, LEASE_UNITS, MAX_CREDIT_UNITS};
use simulation::outcome::RunOutcome;
use simulation::scenario::{Fault, Scenario, TimedFault};
use simulation::{two_region_map, Simulation, GATEWAYS_PER_REGION, REGIONS, START, TENANTS};

/// Number of seeds with which each scenario runs.
const SEEDS: u64 = 100;
/// Number of seeds for an injected fault, which must be detected in at least nine of ten runs.
const FAULT_SEEDS: u64 = 10;
const GATEWAYS: usize = REGIONS.len() * GATEWAYS_PER_REGION;
/// Maximum units of a lease that are lost with it: one request for units, plus the remainder of the former
/// lease.
const MAX_LEASED_UNITS: f64 = LEASE_UNITS + 1.0;
/// Tolerance of the bound in units: requests spend whole units, and grants are rounded to hundredths.
const ROUNDING_UNITS: f64 = 1.0;

/// Outcome of the run with this seed.
struct SeedOutcome {
    seed: u64,
    outcome: RunOutcome,
}

/// Returns the maximum excess in units: the leases and credit of all gateway instances, plus the credit whose
/// report was lost (docs/leases.md, "Bound").
fn bound(outcome: &RunOutcome) -> f64 {
    GATEWAYS as f64 * (MAX_LEASED_UNITS + MAX_CREDIT_UNITS) + outcome.lost_credit_units + ROUNDING_UNITS
}

fn is_within_bound(outcome: &RunOutcome) -> bool {
    outcome.max_excess_units <= bound(outcome) && outcome.max_fraction_sum_ppm <= FULL_QUOTA_PPM
}

/// Runs the scenario with all seeds, and asserts that each run stays within its bound.
fn run_all_seeds(name: &str, scenario: impl Fn(u64) -> Scenario + Sync) -> Vec<RunOutcome> {
    let mut outcomes = run_in_parallel(&scenario);
    outcomes.sort_by_key(|run| run.seed);
    for SeedOutcome { seed, outcome } in &outcomes {
        assert!(
            is_within_bound(outcome),
            "{name}, seed {seed}: expected an excess of at most {} units and fractions of at most {FULL_QUOTA_PPM} ppm, found {outcome:?}",
            bound(outcome)
        );
    }
    let outcomes: Vec<RunOutcome> = outcomes.into_iter().map(|run| run.outcome).collect();
    print_summary(name, &outcomes);
    outcomes
}

fn run_in_parallel(scenario: &(impl Fn(u64) -> Scenario + Sync)) -> Vec<SeedOutcome> {
    let threads = std::thread::available_parallelism().map_or(1, |processors| processors.get()).min(4) as u64;
    let run_seeds_from = move |first: u64| -> Vec<SeedOutcome> {
        let seeds = (first..SEEDS).step_by(threads as usize);
        seeds.map(|seed| SeedOutcome { seed, outcome: Simulation::run(scenario(seed)) }).collect()
    };
    std::thread::scope(|scope| {
        let handles: Vec<_> = (0..threads).map(|first| scope.spawn(move || run_seeds_from(first))).collect();
        handles.into_iter().flat_map(|handle| handle.join().expect("no run panics")).collect()
    })
}

fn print_summary(name: &str, outcomes: &[RunOutcome]) {
    type Metric = fn(&RunOutcome) -> f64;
    let max = |metric: Metric| outcomes.iter().map(metric).fold(0.0, f64::max);
    let mean = |metric: Metric| outcomes.iter().map(metric).sum::<f64>() / outcomes.len() as f64;
    println!(
        "{name}: excess: maximum {:.2}, mean {:.2}; smallest bound {:.2}; admitted {:.4} of the requests; \
         measurement window: admitted {:.4} of the requests and {:.4} of the refilled quota; \
         lost lease units {:.2}, lost credit units {:.2}, transfers {:.1}",
        max(|outcome| outcome.max_excess_units),
        mean(|outcome| outcome.max_excess_units),
        outcomes.iter().map(bound).fold(f64::INFINITY, f64::min),
        mean(|outcome| outcome.admitted as f64 / outcome.requests as f64),
        mean(|outcome| outcome.window_admitted as f64 / (outcome.window_requests as f64).max(1.0)),
        mean(|outcome| outcome.window_admitted as f64 / outcome.window_quota_units.max(1.0)),
        mean(|outcome| outcome.lost_lease_units),
        mean(|outcome| outcome.lost_credit_units),
        mean(|outcome| outcome.transfers as f64),
    );
}

/// Asserts that the injected fault exceeds the bound in at least nine of ten runs.
fn assert_detected(fault: InjectedFault, scenario: impl Fn(u64) -> Scenario) {
    let run = |seed| Simulation::run(Scenario { injected_fault: Some(fault), ..scenario(seed) });
    let detected = (0..FAULT_SEEDS).filter(|seed| !is_within_bound(&run(*seed))).count() as u64;
    println!("injected fault {fault:?}: detected in {detected} of {FAULT_SEEDS} runs");
    assert!(
        detected * 10 >= FAULT_SEEDS * 9,
        "{fault:?}: expected detection in at least 90 % of {FAULT_SEEDS} runs, found {detected}"
    );
}

fn fault_at(at: f64, fault: Fault) -> TimedFault {
    TimedFault { at, fault }
}

/// Scenario in which each region's demand is twice the quota of each tenant.
fn overloaded(seed: u64, duration: f64) -> Scenario {
    Scenario { demand: [20.0, 20.0], later_demand: [20.0, 20.0], ..Scenario::new(seed, duration) }
}

/// Overload whose only faults are the loss of 1 % of the responses and of 1 % of the frames between shards.
fn steady(seed: u64) -> Scenario {
    let faults = vec![fault_at(30.0, Fault::BeginWindow)];
    Scenario { response_loss: 0.01, faults, ..overloaded(seed, 60.0) }
}

/// A shard stops for the rest of the run; with even seeds its connections stay open.
fn shard_stopped(seed: u64) -> Scenario {
    let stop = Fault::StopShard { shard: 1, unresponsive: seed.is_multiple_of(2) };
    let faults = vec![fault_at(30.0, Fault::BeginWindow), fault_at(30.0, stop)];
    Scenario { faults, ..overloaded(seed, 60.0) }
}

/// All shards stop, and are replaced a second later.
fn shards_replaced(seed: u64) -> Scenario {
    let mut faults = vec![fault_at(30.0, Fault::BeginWindow)];
    for shard in [1, 2, 11, 12] {
        faults.push(fault_at(30.0, Fault::StopShard { shard, unresponsive: seed.is_multiple_of(2) }));
        faults.push(fault_at(31.0, Fault::StartShard { shard }));
    }
    Scenario { faults, ..overloaded(seed, 60.0) }
}

/// The regions are partitioned after quota has been transferred to the north. Then the demand in the south
/// rises to that in the north, and the shards in the south are replaced.
fn regions_partitioned(seed: u64) -> Scenario {
    let mut faults = vec![fault_at(20.0, Fault::PartitionRegions), fault_at(20.0, Fault::BeginWindow)];
    for shard in [11, 12] {
        faults.push(fault_at(25.0, Fault::StopShard { shard, unresponsive: false }));
        faults.push(fault_at(26.0, Fault::StartShard { shard }));
    }
    faults.extend([fault_at(200.0, Fault::EndWindow), fault_at(200.0, Fault::HealPartition)]);
    Scenario {
        demand: [20.0, 0.5],
        later_demand: [20.0, 20.0],
        demand_change_at: 22.0,
        peer_frame_loss: 0.1,
        faults,
        ..Scenario::new(seed, 215.0)
    }
}

/// The regions are partitioned after a transfer has arrived and before its acknowledgement arrives.
fn partitioned_at_transfer(seed: u64) -> Scenario {
    Scenario {
        demand: [20.0, 0.5],
        later_demand: [20.0, 20.0],
        demand_change_at: 22.0,
        partition_at_transfer: true,
        ..Scenario::new(seed, 120.0)
    }
}

/// Number of times that [`gateways_killed`] kills a gateway instance.
const KILL_COUNT: u32 = 10;

/// Every two seconds a gateway instance is killed before it receives the response to a batch.
fn gateways_killed(seed: u64) -> Scenario {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut faults = vec![fault_at(30.0, Fault::BeginWindow)];
    for round in 0..KILL_COUNT {
        let gateway = GatewayId(rng.gen_range(0..GATEWAYS));
        faults.push(fault_at(30.0 + 2.0 * f64::from(round), Fault::KillGatewayAtNextBatch { gateway }));
    }
    Scenario { response_loss: 0.02, faults, ..overloaded(seed, 55.0) }
}

/// All tenants move to new shards. The gateway instances receive the new map at different times within 28
/// seconds, and the old shards receive it last.
fn map_changed(seed: u64) -> Scenario {
    const FIRST_DELIVERY: f64 = 20.0;
    const LAST_DELIVERY: f64 = 48.0;
    const ACTIVATION: f64 = 50.0;
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let map = two_region_map(2, START + ACTIVATION, [&[3, 4], &[13, 14]]);
    let deliver =
        |shard: ShardId, time: f64| fault_at(time, Fault::DeliverMapToShard { shard, map: map.clone() });
    let mut faults = vec![fault_at(ACTIVATION, Fault::BeginWindow)];
    faults.extend([3, 4, 13, 14].map(|shard| deliver(shard, FIRST_DELIVERY)));
    for index in 0..GATEWAYS {
        let time = rng.gen_range(FIRST_DELIVERY..LAST_DELIVERY);
        faults
            .push(fault_at(time, Fault::DeliverMapToGateway { gateway: GatewayId(index), map: map.clone() }));
    }
    faults.extend([1, 2, 11, 12].map(|shard| deliver(shard, LAST_DELIVERY)));
    Scenario { faults, ..overloaded(seed, 80.0) }
}

/// Demand is so low at each gateway instance that it returns units, and half of the responses to returns are
/// lost.
fn returns_retransmitted(seed: u64) -> Scenario {
    Scenario {
        demand: [8.0, 8.0],
        later_demand: [8.0, 8.0],
        return_response_loss: 0.5,
        ..Scenario::new(seed, 120.0)
    }
}

#[test]
fn without_failures_the_quota_is_used_and_not_exceeded() {
    let outcomes = run_all_seeds("steady", steady);
    for outcome in outcomes {
        assert!(
            outcome.window_admitted as f64 > 0.8 * outcome.window_quota_units,
            "expected over 80 % of the quota to be used: {outcome:?}"
        );
    }
}

#[test]
fn a_quota_is_enforced_while_a_shard_is_stopped() {
    run_all_seeds("shard stopped", shard_stopped);
}

#[test]
fn a_replacement_shard_grants_no_burst() {
    run_all_seeds("shards replaced", shards_replaced);
    assert_detected(InjectedFault::StartWithFullBucket, shards_replaced);
}

#[test]
fn partitioned_regions_never_use_the_same_fraction_of_a_quota() {
    let outcomes = run_all_seeds("regions partitioned", regions_partitioned);
    for outcome in outcomes {
        assert!(outcome.transfers > 0, "expected transfers between the regions, found none: {outcome:?}");
    }
    assert_detected(InjectedFault::AssumeConfiguredFraction, regions_partitioned);
}

#[test]
fn a_transfer_is_deducted_before_it_is_sent() {
    run_all_seeds("partitioned at a transfer", partitioned_at_transfer);
    assert_detected(InjectedFault::DeductOnAcknowledgement, partitioned_at_transfer);
}

#[test]
fn a_killed_gateway_instance_loses_at_most_its_leases() {
    let outcomes = run_all_seeds("gateways killed", gateways_killed);
    for outcome in outcomes {
        let max_lost_units = KILL_COUNT as f64 * TENANTS.len() as f64 * MAX_LEASED_UNITS;
        assert!(
            outcome.lost_lease_units <= max_lost_units,
            "expected at most {max_lost_units} lost units, found {outcome:?}"
        );
    }
}

#[test]
fn a_map_change_takes_effect_everywhere_at_once() {
    let outcomes = run_all_seeds("map changed", map_changed);
    for outcome in outcomes {
        assert!(
            outcome.window_admitted > 0,
            "expected grants by the new shards, found none admitted: {outcome:?}"
        );
    }
    assert_detected(InjectedFault::ActivateMapImmediately, map_changed);
}

#[test]
fn a_retransmitted_batch_is_applied_once() {
    run_all_seeds("returns retransmitted", returns_retransmitted);
    assert_detected(InjectedFault::ReapplyRetransmittedBatch, returns_retransmitted);
}

#[test]
fn the_same_seed_gives_the_same_run() {
    let run = || format!("{:?}", Simulation::run(gateways_killed(7)));
    assert_eq!(run(), run());
}
