//! Failures on a virtual clock, over many seeds: the units admitted beyond a quota stay within the bound that
//! docs/leases.md derives, and exceed it where the mechanism that prevents this is switched off by an
//! injected fault.
mod simulation;

use quillramp_lease::fault_injection::InjectedFault;
use quillramp_lease::shard_map::{ShardId, FULL_QUOTA_PPM};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use simulation::gateway::{GatewayId, LEASE_UNITS, MAX_CREDIT_UNITS};
use simulation::outcome::RunOutcome;
use simulation::scenario::{Fault, Scenario, TimedFault};
use simulation::{two_region_map, Simulation, GATEWAYS_PER_REGION, REGIONS, START, TENANTS};

const SEEDS: u64 = 100;
/// Seeds for an injected fault, which has to be detected in nine of ten runs.
const FAULT_SEEDS: u64 = 10;
const GATEWAYS: usize = REGIONS.len() * GATEWAYS_PER_REGION;
/// Units that a lost lease may hold: what is requested at a time, and what is left of the lease before.
const MAX_LEASED_UNITS: f64 = LEASE_UNITS + 1.0;
/// Spends are whole units and grants are rounded to hundredths.
const ROUNDING_UNITS: f64 = 1.0;

/// Outcome of the run with a seed.
struct SeedOutcome {
    seed: u64,
    outcome: RunOutcome,
}

/// Leased units and credit of all gateway instances, and credit that could not be reported (docs/leases.md,
/// "Bound").
fn bound(outcome: &RunOutcome) -> f64 {
    GATEWAYS as f64 * (MAX_LEASED_UNITS + MAX_CREDIT_UNITS) + outcome.lost_credit_units + ROUNDING_UNITS
}

fn is_within_bound(outcome: &RunOutcome) -> bool {
    outcome.max_excess_units <= bound(outcome) && outcome.max_fraction_sum_ppm <= FULL_QUOTA_PPM
}

/// Runs the scenario with all seeds, each of which must stay within its bound.
fn run_all(name: &str, scenario: impl Fn(u64) -> Scenario + Sync) -> Vec<RunOutcome> {
    let mut outcomes = run_in_parallel(&scenario);
    outcomes.sort_by_key(|run| run.seed);
    for SeedOutcome { seed, outcome } in &outcomes {
        assert!(is_within_bound(outcome), "{name}, seed {seed}: bound {}, {outcome:?}", bound(outcome));
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
        handles.into_iter().flat_map(|handle| handle.join().expect("a run ended")).collect()
    })
}

fn print_summary(name: &str, outcomes: &[RunOutcome]) {
    type Metric = fn(&RunOutcome) -> f64;
    let max = |metric: Metric| outcomes.iter().map(metric).fold(0.0, f64::max);
    let mean = |metric: Metric| outcomes.iter().map(metric).sum::<f64>() / outcomes.len() as f64;
    println!(
        "{name}: excess most {:.2}, mean {:.2}; smallest bound {:.2}; admitted {:.4} of requests; in the window admitted \
         {:.4} of requests and {:.4} of the quota refilled; leases lost {:.2}, credit lost {:.2}, transfers {:.1}",
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

/// Asserts that in nine of ten runs the injected fault leads beyond the bound.
fn assert_detected(fault: InjectedFault, scenario: impl Fn(u64) -> Scenario) {
    let run = |seed| Simulation::run(Scenario { injected_fault: Some(fault), ..scenario(seed) });
    let detected = (0..FAULT_SEEDS).filter(|seed| !is_within_bound(&run(*seed))).count() as u64;
    println!("with the fault ({fault:?}): detected in {detected} of {FAULT_SEEDS}");
    assert!(detected * 10 >= FAULT_SEEDS * 9, "{fault:?} detected in {detected} of {FAULT_SEEDS} only");
}

fn timed(at: f64, fault: Fault) -> TimedFault {
    TimedFault { at, fault }
}

/// Demand of twice each quota in both regions.
fn overloaded(seed: u64, duration: f64) -> Scenario {
    Scenario { demand: [20.0, 20.0], later_demand: [20.0, 20.0], ..Scenario::new(seed, duration) }
}

fn steady(seed: u64) -> Scenario {
    let faults = vec![timed(30.0, Fault::BeginWindow)];
    Scenario { response_loss: 0.01, faults, ..overloaded(seed, 60.0) }
}

fn shard_stopped(seed: u64) -> Scenario {
    let stop = Fault::StopShard { shard: 1, unresponsive: seed.is_multiple_of(2) };
    let faults = vec![timed(30.0, Fault::BeginWindow), timed(30.0, stop)];
    Scenario { faults, ..overloaded(seed, 60.0) }
}

fn shards_replaced(seed: u64) -> Scenario {
    let mut faults = vec![timed(30.0, Fault::BeginWindow)];
    for shard in [1, 2, 11, 12] {
        faults.push(timed(30.0, Fault::StopShard { shard, unresponsive: seed.is_multiple_of(2) }));
        faults.push(timed(31.0, Fault::StartShard { shard }));
    }
    Scenario { faults, ..overloaded(seed, 60.0) }
}

/// Quota has moved to the north when the regions are partitioned; then demand is as high in the south, and
/// its shards are replaced.
fn regions_partitioned(seed: u64) -> Scenario {
    let mut faults = vec![timed(20.0, Fault::PartitionRegions), timed(20.0, Fault::BeginWindow)];
    for shard in [11, 12] {
        faults.push(timed(25.0, Fault::StopShard { shard, unresponsive: false }));
        faults.push(timed(26.0, Fault::StartShard { shard }));
    }
    faults.extend([timed(200.0, Fault::EndWindow), timed(200.0, Fault::HealPartition)]);
    Scenario {
        demand: [20.0, 0.5],
        later_demand: [20.0, 20.0],
        demand_change_at: 22.0,
        peer_frame_loss: 0.1,
        faults,
        ..Scenario::new(seed, 215.0)
    }
}

/// The regions are partitioned when a transfer has arrived and before its acknowledgement has.
fn partitioned_at_transfer(seed: u64) -> Scenario {
    Scenario {
        demand: [20.0, 0.5],
        later_demand: [20.0, 20.0],
        demand_change_at: 22.0,
        partition_at_transfer: true,
        ..Scenario::new(seed, 120.0)
    }
}

/// Gateway instances that [`gateways_killed`] kills.
const KILL_COUNT: u32 = 10;

/// Every two seconds a gateway instance is killed before it receives the response to a batch.
fn gateways_killed(seed: u64) -> Scenario {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut faults = vec![timed(30.0, Fault::BeginWindow)];
    for round in 0..KILL_COUNT {
        let gateway = GatewayId(rng.gen_range(0..GATEWAYS));
        faults.push(timed(30.0 + 2.0 * f64::from(round), Fault::KillGatewayAtNextBatch { gateway }));
    }
    Scenario { response_loss: 0.02, faults, ..overloaded(seed, 55.0) }
}

/// All tenants move to new shards; gateway instances learn of it within 28 seconds, the old shards last.
fn map_changed(seed: u64) -> Scenario {
    const FIRST_DELIVERY: f64 = 20.0;
    const LAST_DELIVERY: f64 = 48.0;
    const ACTIVATION: f64 = 50.0;
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let map = two_region_map(2, START + ACTIVATION, [&[3, 4], &[13, 14]]);
    let deliver =
        |shard: ShardId, time: f64| timed(time, Fault::DeliverMapToShard { shard, map: map.clone() });
    let mut faults = vec![timed(ACTIVATION, Fault::BeginWindow)];
    faults.extend([3, 4, 13, 14].map(|shard| deliver(shard, FIRST_DELIVERY)));
    for index in 0..GATEWAYS {
        let time = rng.gen_range(FIRST_DELIVERY..LAST_DELIVERY);
        faults.push(timed(time, Fault::DeliverMapToGateway { gateway: GatewayId(index), map: map.clone() }));
    }
    faults.extend([1, 2, 11, 12].map(|shard| deliver(shard, LAST_DELIVERY)));
    Scenario { faults, ..overloaded(seed, 80.0) }
}

/// Demand is low at each gateway instance, so that units are returned; responses to returns are lost.
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
    let outcomes = run_all("steady", steady);
    for outcome in outcomes {
        assert!(outcome.window_admitted as f64 > 0.8 * outcome.window_quota_units, "{outcome:?}");
    }
}

#[test]
fn a_quota_is_enforced_while_a_shard_is_stopped() {
    run_all("shard stopped", shard_stopped);
}

#[test]
fn a_replacement_shard_grants_no_burst() {
    run_all("shards replaced", shards_replaced);
    assert_detected(InjectedFault::StartWithFullBucket, shards_replaced);
}

#[test]
fn partitioned_regions_never_use_the_same_fraction_of_a_quota() {
    let outcomes = run_all("regions partitioned", regions_partitioned);
    for outcome in outcomes {
        assert!(outcome.transfers > 0, "no fraction of a quota was transferred: {outcome:?}");
    }
    assert_detected(InjectedFault::AssumeConfiguredFraction, regions_partitioned);
}

#[test]
fn a_transfer_is_deducted_before_it_is_sent() {
    run_all("partitioned at a transfer", partitioned_at_transfer);
    assert_detected(InjectedFault::DeductOnAcknowledgement, partitioned_at_transfer);
}

#[test]
fn a_killed_gateway_instance_loses_at_most_its_leases() {
    let outcomes = run_all("gateways killed", gateways_killed);
    for outcome in outcomes {
        let max_lost_units = KILL_COUNT as f64 * TENANTS.len() as f64 * MAX_LEASED_UNITS;
        assert!(outcome.lost_lease_units <= max_lost_units, "at most {max_lost_units}: {outcome:?}");
    }
}

#[test]
fn a_map_change_takes_effect_everywhere_at_once() {
    let outcomes = run_all("map changed", map_changed);
    for outcome in outcomes {
        assert!(outcome.window_admitted > 0, "the new shards granted nothing: {outcome:?}");
    }
    assert_detected(InjectedFault::ActivateMapImmediately, map_changed);
}

#[test]
fn a_retransmitted_batch_is_applied_once() {
    run_all("returns retransmitted", returns_retransmitted);
    assert_detected(InjectedFault::ReapplyRetransmittedBatch, returns_retransmitted);
}

#[test]
fn the_same_seed_gives_the_same_run() {
    let run = || format!("{:?}", Simulation::run(gateways_killed(7)));
    assert_eq!(run(), run());
}
