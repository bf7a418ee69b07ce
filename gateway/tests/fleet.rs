//! A fleet of gateway processes with the backends and services of the load tool, while faults are injected:
//! quotas hold, and only the failures that a fault makes unavoidable occur.
use quillramp_load::experiment::Experiment;
use quillramp_load::generator::Outcome;
use quillramp_load::run::{run_variant, RunResult};
use std::path::{Path, PathBuf};

const GATEWAY: &str = env!("CARGO_BIN_EXE_quillramp");

fn create_directory(name: &str) -> PathBuf {
    let directory = std::env::temp_dir().join(format!("quillramp-fleet-{name}-{}", std::process::id()));
    std::fs::create_dir_all(&directory).expect("the directory is created");
    directory
}

/// Runs three instances that gossip, with six backends and 120 requests a second, a third of them
/// non-idempotent. Asserts that no request is executed twice and that no process exits by itself.
fn run_with_faults(name: &str, seconds: f64, faults: &str) -> RunResult {
    let text = format!(
        "seed = 11\nrepetitions = 1\n[world]\ndoors = 3\nbackends = 6\nservice = 0.01\nwarm_after = 1.0\ncustomers = 40\n\
         [traffic]\nseconds = {seconds:.1}\nrate = 120.0\nconnections = 16\norders = 0.33\n\
         [[variant]]\nname = \"gateway\"\nprogram = \"{GATEWAY}\"\n{faults}"
    );
    let experiment = Experiment::read(&text).expect("a valid experiment");
    let directory = create_directory(name);
    let run = run_variant(&experiment, &experiment.variants[0], 0, &directory).expect("the run completes");
    std::fs::remove_dir_all(&directory).expect("the directory of this run");
    assert_eq!(run.summary.duplicates, 0);
    assert_eq!(run.summary.crashed, 0);
    run
}

/// Returns a fault as text of the experiment.
fn fault(at: f64, kind: &str, parameters: &str) -> String {
    format!("[[fault]]\nat = {at:.1}\nkind = \"{kind}\"\n{parameters}\n")
}

/// Returns the fraction of all requests that had this outcome.
fn fraction(run: &RunResult, outcome: Outcome) -> f64 {
    let matching = run.rows.iter().filter(|row| row.outcome == outcome).count();
    matching as f64 / run.rows.len() as f64
}

fn unanswered_fraction(run: &RunResult) -> f64 {
    fraction(run, Outcome::NoAnswer) + fraction(run, Outcome::NotConnected)
}

#[test]
fn failing_backends_leave_no_request_unanswered_and_execute_none_twice() {
    let faults = fault(0.5, "crash", "backend = 0\nlasts = 1.0")
        + &fault(0.8, "spoil", "backend = 1\nlasts = 1.0\nby = 0.5")
        + &fault(1.0, "swallow", "backend = 2\nlasts = 0.8\nby = 0.5")
        + &fault(1.2, "turn-away", "backend = 3\nlasts = 1.0\nby = 0.7")
        + &fault(1.4, "drain", "backend = 4\nlasts = 0.8");
    let run = run_with_faults("failing-backends", 3.0, &faults);
    assert_eq!(unanswered_fraction(&run), 0.0);
    let succeeded = fraction(&run, Outcome::Succeeded);
    assert!(succeeded > 0.75, "a fraction of {succeeded} succeeded");
    // The draining backend gets no new requests; it returns under a new name.
    let executed_units = |from: f64, to: f64| -> f64 {
        let loads = run.loads.iter().filter(|load| load.backend == 4 && load.at >= from && load.at < to);
        loads.map(|load| load.units).sum()
    };
    assert_eq!(executed_units(1.75, 2.0), 0.0);
    assert!(executed_units(0.0, 1.0) > 0.0);
}

#[test]
fn a_killed_instance_loses_only_its_requests_in_flight() {
    let run = run_with_faults("killed", 2.5, &fault(0.8, "kill", "door = 0\nlasts = 0.5"));
    let lost = run.rows.iter().filter(|row| row.outcome == Outcome::NoAnswer).count();
    assert!(lost <= 16, "{lost} lost, expected at most one on each connection to the killed instance");
    assert!(run.rows.iter().all(|row| row.outcome != Outcome::NoAnswer || row.instance == 0));
    let after_restart = run.rows.iter().filter(|row| row.instance == 0 && row.at > 1.8).count();
    assert!(after_restart > 10, "{after_restart} requests at the restarted instance");
}

#[test]
fn an_instance_that_shuts_down_gracefully_loses_nothing() {
    let run = run_with_faults("terminated", 2.5, &fault(0.8, "term", "door = 1\nlasts = 1.0"));
    assert_eq!(fraction(&run, Outcome::NotConnected), 0.0);
    let succeeded = fraction(&run, Outcome::Succeeded);
    assert!(succeeded > 0.9, "a fraction of {succeeded} succeeded");
}

/// Guards against quotas that are exceeded by more than docs/design.md allows, and requests that are not
/// answered, while the counter fails.
#[test]
fn quotas_hold_while_the_counter_is_down_unresponsive_reset_or_split() {
    for (name, faults) in [
        ("down", fault(0.5, "counter-down", "lasts = 1.0")),
        ("unresponsive", fault(0.5, "counter-silent", "lasts = 1.0")),
        ("reset", fault(1.0, "counter-lost", "")),
        ("split", fault(0.5, "counter-split", "lasts = 1.0")),
    ] {
        let run = run_with_faults(name, 2.0, &faults);
        assert_eq!(unanswered_fraction(&run), 0.0, "{name}");
        let succeeded = fraction(&run, Outcome::Succeeded);
        assert!(succeeded > 0.85, "{name}: a fraction of {succeeded} succeeded");
        let excess = 100.0 * run.summary.worst_excess;
        assert!(excess < 100.0, "{name}: one customer had {excess:.0}% above its quota");
    }
}

/// Rate of the plan `small`, in units per second. Two of its customers request more than four times as much.
const SMALL_RATE: f64 = 24.0;
/// Burst of the plan `small`, in units.
const SMALL_BURST: f64 = 48.0;
/// Number of instances of the fleet with a split counter.
const SPLIT_INSTANCES: f64 = 4.0;
/// Interval between two heartbeats of the membership, in seconds.
const HEARTBEAT_INTERVAL: f64 = 0.5;

/// Returns an experiment with a counter that is split for eight seconds into two that both respond. One
/// variant is without membership, one with it.
fn split_counter_experiment(directory: &Path) -> Experiment {
    let operator_file = directory.join("operator.toml");
    std::fs::write(&operator_file, format!("[counter]\npresence = {HEARTBEAT_INTERVAL:.1}\n"))
        .expect("the operator file is written");
    let text = format!(
        "seed = 5\nrepetitions = 1\n[world]\ndoors = {SPLIT_INSTANCES}\nbackends = 6\nservice = 0.002\nslots = 16\n\
         customers = 4\npeers = false\n\
         [traffic]\nseconds = 10.0\nrate = 260.0\nconnections = 24\norders = 0.2\n\
         [[fault]]\nat = 1.0\nkind = \"counter-split\"\nlasts = 8.0\n\
         [[variant]]\nname = \"without\"\nprogram = \"{GATEWAY}\"\n\
         [[variant]]\nname = \"with\"\nprogram = \"{GATEWAY}\"\noperator = \"{}\"\n",
        operator_file.display()
    );
    Experiment::read(&text).expect("a valid experiment")
}

/// Returns the highest number of units beyond its quota that a customer of the plan `small` got.
fn most_beyond_quota(run: &RunResult) -> f64 {
    let small = run.customers.iter().filter(|customer| customer.plan == "small");
    small.map(|customer| customer.beyond_quota).fold(0.0, f64::max)
}

/// Guards against a quota that each half of a split counter grants in full, as without membership. With
/// membership both halves together grant it once, apart from what docs/counter.md allows until the split is
/// detected.
#[test]
fn a_split_counter_grants_a_quota_once() {
    let directory = create_directory("split-quota");
    let experiment = split_counter_experiment(&directory);
    let [without, with] = std::thread::scope(|threads| {
        let runs = [0, 1].map(|index| {
            let variant = &experiment.variants[index];
            let run_directory = directory.join(&variant.name);
            std::fs::create_dir_all(&run_directory).expect("the directory is created");
            let experiment = &experiment;
            threads.spawn(move || {
                run_variant(experiment, variant, 0, &run_directory).expect("the run completes")
            })
        });
        runs.map(|run| most_beyond_quota(&run.join().expect("the run does not panic")))
    });
    std::fs::remove_dir_all(&directory).expect("the directory of this test is removed");
    let bound = 3.0 * SMALL_BURST + SMALL_RATE * (SPLIT_INSTANCES * HEARTBEAT_INTERVAL + 1.0);
    assert!(
        with < bound && with < 0.6 * without,
        "{with} units beyond the quota with membership, {without} without, bound {bound}"
    );
}
