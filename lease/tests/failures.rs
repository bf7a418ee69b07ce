//! Failures on a virtual clock, over seeds: units beyond the quota stay within the bounds that docs/leases.md derives,
//! and with the fault concerned injected they do not.
mod simulation;

use quillramp_lease::fault_injection::InjectedFault;
use quillramp_lease::shard_map::{ShardId, FULL_QUOTA_PPM};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use simulation::gateway::{GatewayId, LEASE_UNITS, MAX_CREDIT_UNITS};
use simulation::outcome::RunOutcome;
use simulation::scenario::{Fault, Scenario, TimedFault};
use simulation::{two_region_map, Simulation, GATEWAYS_PER_REGION, START};

const SEEDS: u64 = 100;
/// Seeds for an injected fault, which has to be detected in nine of ten runs.
const FAULT_SEEDS: u64 = 10;
const GATEWAYS: usize = 2 * GATEWAYS_PER_REGION;
/// Spends are whole units and grants are rounded to hundredths.
const ROUNDING: f64 = 1.0;

/// Outcome of the run with a seed.
struct SeedOutcome {
    seed: u64,
    outcome: RunOutcome,
}

/// Leased units and credit of all gateway instances, and credit that could not be reported (docs/leases.md, "Bound").
fn bound(outcome: &RunOutcome) -> f64 {
    let leased = LEASE_UNITS + 1.0;
    GATEWAYS as f64 * (leased + MAX_CREDIT_UNITS) + outcome.lost_credit_units + ROUNDING
}

fn is_within_bound(outcome: &RunOutcome) -> bool {
    outcome.max_excess_units <= bound(outcome) && outcome.max_fraction_sum_ppm <= FULL_QUOTA_PPM
}

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
    let threads = std::thread::available_parallelism().map_or(1, |n| n.get()).min(4) as u64;
    let run_part = move |first: u64| -> Vec<SeedOutcome> {
        let seeds = (first..SEEDS).step_by(threads as usize);
        seeds.map(|seed| SeedOutcome { seed, outcome: Simulation::run(scenario(seed)) }).collect()
    };
    std::thread::scope(|scope| {
        let handles: Vec<_> = (0..threads).map(|first| scope.spawn(move || run_part(first))).collect();
        handles.into_iter().flat_map(|handle| handle.join().expect("a run ended")).collect()
    })
}

fn print_summary(name: &str, outcomes: &[RunOutcome]) {
    let most = |f: fn(&RunOutcome) -> f64| outcomes.iter().map(f).fold(0.0, f64::max);
    let mean = |f: fn(&RunOutcome) -> f64| outcomes.iter().map(f).sum::<f64>() / outcomes.len() as f64;
    println!(
        "{name}: excess most {:.2}, mean {:.2}; smallest bound {:.2}; admitted {:.4} of requests; in the window admitted \
         {:.4} of requests and {:.4} of the quota refilled; leases lost {:.2}, credit lost {:.2}, transfers {:.1}",
        most(|outcome| outcome.max_excess_units),
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

fn assert_detected(fault: InjectedFault, scenario: impl Fn(u64) -> Scenario) {
    let run = |seed| Simulation::run(Scenario { injected_fault: Some(fault), ..scenario(seed) });
    let detected = (0..FAULT_SEEDS).filter(|seed| !is_within_bound(&run(*seed))).count() as u64;
    println!("with the fault ({fault:?}): detected in {detected} of {FAULT_SEEDS}");
    assert!(detected * 10 >= FAULT_SEEDS * 9, "{fault:?} detected in {detected} of {FAULT_SEEDS} only");
}

fn at(at: f64, fault: Fault) -> TimedFault {
    TimedFault { at, fault }
}

fn busy(seed: u64, duration: f64) -> Scenario {
    Scenario { demand: [20.0, 20.0], later_demand: [20.0, 20.0], ..Scenario::new(seed, duration) }
}

fn steady(seed: u64) -> Scenario {
    let faults = vec![at(30.0, Fault::BeginWindow)];
    Scenario { response_loss: 0.01, faults, ..busy(seed, 60.0) }
}

fn shard_stopped(seed: u64) -> Scenario {
    let lost = Fault::StopShard { shard: 1, silent: seed.is_multiple_of(2) };
    let faults = vec![at(30.0, Fault::BeginWindow), at(30.0, lost)];
    Scenario { faults, ..busy(seed, 60.0) }
}

fn shards_replaced(seed: u64) -> Scenario {
    let mut faults = vec![at(30.0, Fault::BeginWindow)];
    for shard in [1, 2, 11, 12] {
        faults.push(at(30.0, Fault::StopShard { shard, silent: seed.is_multiple_of(2) }));
        faults.push(at(31.0, Fault::StartShard { shard }));
    }
    Scenario { faults, ..busy(seed, 60.0) }
}

/// Quota has moved to the north when the regions are partitioned; then demand is as high in the south, and its shards
/// are replaced.
fn regions_partitioned(seed: u64) -> Scenario {
    let mut faults = vec![at(20.0, Fault::PartitionRegions), at(20.0, Fault::BeginWindow)];
    for shard in [11, 12] {
        faults.push(at(25.0, Fault::StopShard { shard, silent: false }));
        faults.push(at(26.0, Fault::StartShard { shard }));
    }
    faults.extend([at(200.0, Fault::EndWindow), at(200.0, Fault::HealPartition)]);
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

fn gateways_killed(seed: u64) -> Scenario {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut faults = vec![at(30.0, Fault::BeginWindow)];
    for round in 0..10 {
        let gateway = GatewayId(rng.gen_range(0..GATEWAYS));
        faults.push(at(30.0 + 2.0 * f64::from(round), Fault::KillGatewayAtNextBatch { gateway }));
    }
    Scenario { response_loss: 0.02, faults, ..busy(seed, 55.0) }
}

/// All tenants move to new shards; gateway instances learn of it within 28 seconds, the old shards last.
fn map_changed(seed: u64) -> Scenario {
    const FIRST_DELIVERY: f64 = 20.0;
    const LAST_DELIVERY: f64 = 48.0;
    const ACTIVATION: f64 = 50.0;
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let map = two_region_map(2, START + ACTIVATION, [&[3, 4], &[13, 14]]);
    let deliver = |shard: ShardId, time: f64| at(time, Fault::DeliverMapToShard { shard, map: map.clone() });
    let mut faults = vec![at(ACTIVATION, Fault::BeginWindow)];
    faults.extend([3, 4, 13, 14].map(|shard| deliver(shard, FIRST_DELIVERY)));
    for index in 0..GATEWAYS {
        let time = rng.gen_range(FIRST_DELIVERY..LAST_DELIVERY);
        faults.push(at(time, Fault::DeliverMapToGateway { gateway: GatewayId(index), map: map.clone() }));
    }
    faults.extend([1, 2, 11, 12].map(|shard| deliver(shard, LAST_DELIVERY)));
    Scenario { faults, ..busy(seed, 80.0) }
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
fn steady_state_stays_within_its_bound_and_uses_the_quota() {
    let outcomes = run_all("steady", steady);
    for outcome in outcomes {
        assert!(outcome.window_admitted as f64 > 0.8 * outcome.window_quota_units, "{outcome:?}");
    }
}

#[test]
fn a_stopped_shard_grants_nothing_beyond_the_quota() {
    run_all("shard stopped", shard_stopped);
}

#[test]
fn a_replacement_shard_grants_no_burst() {
    run_all("shards replaced", shards_replaced);
    assert_detected(InjectedFault::StartWithFullBucket, shards_replaced);
}

#[test]
fn partitioned_regions_use_no_fraction_twice() {
    let outcomes = run_all("regions partitioned", regions_partitioned);
    assert!(outcomes.iter().all(|outcome| outcome.transfers > 0), "quota was transferred");
    assert_detected(InjectedFault::AssumeConfiguredFraction, regions_partitioned);
}

#[test]
fn a_transfer_is_deducted_before_it_is_sent() {
    run_all("partitioned at a transfer", partitioned_at_transfer);
    assert_detected(InjectedFault::DeductOnAcknowledgement, partitioned_at_transfer);
}

#[test]
fn gateways_killed_before_a_response_strand_no_more_than_leases() {
    let outcomes = run_all("gateways killed", gateways_killed);
    for outcome in outcomes {
        let leased = LEASE_UNITS + 1.0;
        assert!(outcome.lost_lease_units <= 10.0 * leased * 2.0, "{outcome:?}");
    }
}

#[test]
fn a_map_change_takes_effect_everywhere_at_once() {
    let outcomes = run_all("map changed", map_changed);
    assert!(outcomes.iter().all(|outcome| outcome.window_admitted > 0), "the new shards grant");
    assert_detected(InjectedFault::ActivateMapImmediately, map_changed);
}

#[test]
fn a_retransmitted_batch_counts_once() {
    run_all("returns retransmitted", returns_retransmitted);
    assert_detected(InjectedFault::ReapplyRetransmittedBatch, returns_retransmitted);
}

#[test]
fn the_same_seed_gives_the_same_run() {
    let twice = [7, 7].map(|seed| format!("{:?}", Simulation::run(gateways_killed(seed))));
    assert_eq!(twice[0], twice[1]);
}
