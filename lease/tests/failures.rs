//! Failures on a virtual clock, over seeds: units beyond the quota stay within the bounds that docs/leases.md derives,
//! and without the guard concerned they don't.
mod simulation;

use quillramp_lease::fault_injection::InjectedFault;
use quillramp_lease::shard_map::ShardId;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use simulation::door::{DoorId, CREDIT, LEASE};
use simulation::{map_of, Failure, Outcome, Settings, World, ALL_SHARES, DOORS_PER_REGION, START};

const SEEDS: u64 = 100;
/// Seeds for a run without a guard: the fault is to show in nine of ten.
const BROKEN_SEEDS: u64 = 10;
const FRONT_DOORS: usize = 2 * DOORS_PER_REGION;
/// Spends are whole units and grants are rounded to hundredths.
const ROUNDING: f64 = 1.0;

/// Leases held and credit out at all front doors, and credit that nobody could tell of (docs/leases.md, "Bound").
fn bound(outcome: &Outcome) -> f64 {
    let held = LEASE + 1.0;
    FRONT_DOORS as f64 * (held + CREDIT) + outcome.credit_lost + ROUNDING
}

fn keeps(outcome: &Outcome) -> bool {
    outcome.excess <= bound(outcome) && outcome.largest_share_sum <= ALL_SHARES
}

fn run_all(name: &str, settings: impl Fn(u64) -> Settings + Sync) -> Vec<Outcome> {
    let threads = std::thread::available_parallelism().map_or(1, |n| n.get()).min(4) as u64;
    let settings = &settings;
    let run_part = move |first: u64| -> Vec<(u64, Outcome)> {
        let seeds = (first..SEEDS).step_by(threads as usize);
        seeds.map(|seed| (seed, World::run(settings(seed)))).collect()
    };
    let mut outcomes: Vec<(u64, Outcome)> = std::thread::scope(|scope| {
        let handles: Vec<_> = (0..threads).map(|first| scope.spawn(move || run_part(first))).collect();
        handles.into_iter().flat_map(|handle| handle.join().expect("a run ended")).collect()
    });
    outcomes.sort_by_key(|(seed, _)| *seed);
    for (seed, outcome) in &outcomes {
        assert!(keeps(outcome), "{name}, seed {seed}: bound {}, {outcome:?}", bound(outcome));
    }
    let outcomes: Vec<Outcome> = outcomes.into_iter().map(|(_, outcome)| outcome).collect();
    print_summary(name, &outcomes);
    outcomes
}

fn print_summary(name: &str, outcomes: &[Outcome]) {
    let most = |f: fn(&Outcome) -> f64| outcomes.iter().map(f).fold(0.0, f64::max);
    let mean = |f: fn(&Outcome) -> f64| outcomes.iter().map(f).sum::<f64>() / outcomes.len() as f64;
    println!(
        "{name}: excess most {:.2}, mean {:.2}; smallest bound {:.2}; served {:.4} of asked; \
         in the window served {:.4} of asked and {:.4} of the quota regained; leases lost {:.2}, credit lost {:.2}, transfers {:.1}",
        most(|o| o.excess),
        mean(|o| o.excess),
        outcomes.iter().map(bound).fold(f64::INFINITY, f64::min),
        mean(|o| o.served as f64 / o.asked as f64),
        mean(|o| o.window_served as f64 / (o.window_asked as f64).max(1.0)),
        mean(|o| o.window_served as f64 / o.window_quota.max(1.0)),
        mean(|o| o.lease_lost),
        mean(|o| o.credit_lost),
        mean(|o| o.transfers as f64),
    );
}

fn assert_found(fault: InjectedFault, settings: impl Fn(u64) -> Settings) {
    let run = |seed| World::run(Settings { injected_fault: Some(fault), ..settings(seed) });
    let found = (0..BROKEN_SEEDS).filter(|seed| !keeps(&run(*seed))).count() as u64;
    println!("with the fault ({fault:?}): found in {found} of {BROKEN_SEEDS}");
    assert!(found * 10 >= BROKEN_SEEDS * 9, "{fault:?} found in {found} of {BROKEN_SEEDS} only");
}

fn busy(seed: u64, duration: f64) -> Settings {
    Settings { demand: [20.0, 20.0], later_demand: [20.0, 20.0], ..Settings::new(seed, duration) }
}

fn steady(seed: u64) -> Settings {
    let failures = vec![(30.0, Failure::Window(true))];
    Settings { reply_lost: 0.01, failures, ..busy(seed, 60.0) }
}

fn shard_lost(seed: u64) -> Settings {
    let lost = Failure::LoseShard { shard: 1, silent: seed.is_multiple_of(2) };
    let failures = vec![(30.0, Failure::Window(true)), (30.0, lost)];
    Settings { failures, ..busy(seed, 60.0) }
}

fn shards_replaced(seed: u64) -> Settings {
    let mut failures = vec![(30.0, Failure::Window(true))];
    for shard in [1, 2, 11, 12] {
        failures.push((30.0, Failure::LoseShard { shard, silent: seed.is_multiple_of(2) }));
        failures.push((31.0, Failure::StartShard { shard }));
    }
    Settings { failures, ..busy(seed, 60.0) }
}

/// Shares have moved to the north when the regions part; then the south wants as much, and its shards are replaced.
fn regions_apart(seed: u64) -> Settings {
    let mut failures = vec![(20.0, Failure::Part), (20.0, Failure::Window(true))];
    for shard in [11, 12] {
        failures.push((25.0, Failure::LoseShard { shard, silent: false }));
        failures.push((26.0, Failure::StartShard { shard }));
    }
    failures.extend([(200.0, Failure::Window(false)), (200.0, Failure::Join)]);
    Settings {
        demand: [20.0, 0.5],
        later_demand: [20.0, 20.0],
        shift_at: 22.0,
        peer_lost: 0.1,
        failures,
        ..Settings::new(seed, 215.0)
    }
}

/// The regions part when a transfer has arrived and before anybody has heard so.
fn apart_at_transfer(seed: u64) -> Settings {
    Settings {
        demand: [20.0, 0.5],
        later_demand: [20.0, 20.0],
        shift_at: 22.0,
        cut_at_transfer: true,
        ..Settings::new(seed, 120.0)
    }
}

fn front_doors_killed(seed: u64) -> Settings {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut failures = vec![(30.0, Failure::Window(true))];
    for round in 0..10 {
        let door = DoorId(rng.gen_range(0..FRONT_DOORS));
        failures.push((30.0 + 2.0 * f64::from(round), Failure::KillDoorAtNextBatch { door }));
    }
    Settings { reply_lost: 0.02, failures, ..busy(seed, 55.0) }
}

/// All tenants move to new shards; front doors hear of it within 28 seconds, the old shards last.
fn map_changed(seed: u64) -> Settings {
    const TOLD_FROM: f64 = 20.0;
    const TOLD_TO: f64 = 48.0;
    const ACTIVE: f64 = 50.0;
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let map = map_of(2, START + ACTIVE, [&[3, 4], &[13, 14]]);
    let tell = |shard: ShardId, at: f64| (at, Failure::TellShard { shard, map: map.clone() });
    let mut failures = vec![(ACTIVE, Failure::Window(true))];
    failures.extend([3, 4, 13, 14].map(|shard| tell(shard, TOLD_FROM)));
    for index in 0..FRONT_DOORS {
        let at = rng.gen_range(TOLD_FROM..TOLD_TO);
        failures.push((at, Failure::TellDoor { door: DoorId(index), map: map.clone() }));
    }
    failures.extend([1, 2, 11, 12].map(|shard| tell(shard, TOLD_TO)));
    Settings { failures, ..busy(seed, 80.0) }
}

/// Little is asked at each front door, so that units are given back; answers to that are lost.
fn returns_sent_again(seed: u64) -> Settings {
    Settings {
        demand: [8.0, 8.0],
        later_demand: [8.0, 8.0],
        return_reply_lost: 0.5,
        ..Settings::new(seed, 120.0)
    }
}

#[test]
fn steady_state_keeps_its_bound_and_uses_the_quota() {
    let outcomes = run_all("steady", steady);
    for outcome in outcomes {
        assert!(outcome.window_served as f64 > 0.8 * outcome.window_quota, "{outcome:?}");
    }
}

#[test]
fn a_lost_shard_grants_nothing_beyond() {
    run_all("shard lost", shard_lost);
}

#[test]
fn an_empty_shard_in_its_place_grants_no_burst() {
    run_all("shards replaced", shards_replaced);
    assert_found(InjectedFault::StartWithFullBucket, shards_replaced);
}

#[test]
fn regions_apart_use_no_share_twice() {
    let outcomes = run_all("regions apart", regions_apart);
    assert!(outcomes.iter().all(|outcome| outcome.transfers > 0), "shares did move");
    assert_found(InjectedFault::AssumeConfiguredFraction, regions_apart);
}

#[test]
fn a_transfer_is_deducted_before_it_is_sent() {
    run_all("apart at a transfer", apart_at_transfer);
    assert_found(InjectedFault::DeductOnAcknowledgement, apart_at_transfer);
}

#[test]
fn front_doors_killed_between_add_and_reply_strand_no_more_than_leases() {
    let outcomes = run_all("front doors killed", front_doors_killed);
    for outcome in outcomes {
        let held = LEASE + 1.0;
        assert!(outcome.lease_lost <= 10.0 * held * 2.0, "{outcome:?}");
    }
}

#[test]
fn a_map_change_is_in_force_everywhere_at_once() {
    let outcomes = run_all("map changed", map_changed);
    assert!(outcomes.iter().all(|outcome| outcome.window_served > 0), "the new shards grant");
    assert_found(InjectedFault::ActivateMapImmediately, map_changed);
}

#[test]
fn a_batch_sent_again_counts_once() {
    run_all("returns sent again", returns_sent_again);
    assert_found(InjectedFault::ReapplyRetransmittedBatch, returns_sent_again);
}

#[test]
fn the_same_seed_gives_the_same_run() {
    let twice = [7, 7].map(|seed| format!("{:?}", World::run(front_doors_killed(seed))));
    assert_eq!(twice[0], twice[1]);
}
