//! Experiments with relays as the instances: arrivals, a known delay, duplicate executions, faults, and sessions with their comparison.
use expect_test::expect;
use quillramp_emulator::quota_usage::QuotaUsage;
use quillramp_emulator::scenario::FaultKind;
use quillramp_load::experiment::Experiment;
use quillramp_load::fault_schedule::{burst_factor, is_supported, schedule, warm_capacity, FaultStep};
use quillramp_load::generator::Outcome;
use quillramp_load::results::{compare, compare_sessions, figures, summary, Session};
use quillramp_load::run::{run_variant, RunResult};
use quillramp_load::test_bed::{BackendRequest, Executions, TestBed, INTERVAL_SECONDS};
use std::ops::Range;
use std::path::{Path, PathBuf};
use std::thread::sleep;
use std::time::Duration;

const RELAY: &str = env!("CARGO_BIN_EXE_quillramp-relay");
/// Environment of a relay with the round-robin policy.
const ROUND_ROBIN: &str = "RELAY_POLICY = \"round-robin\"";
/// Tolerance for rounding errors in computed values.
const ROUNDING_TOLERANCE: f64 = 1e-9;

/// An experiment with these variants: two relays in front of three backends with a service time of 10 ms.
fn experiment(variants: &str) -> Experiment {
    let text = format!(
        "seed = 5\nrepetitions = 1\n[world]\ndoors = 2\nbackends = 3\ncells = 2\nslots = 8\nservice = 0.01\n\
         [traffic]\nseconds = 1.5\nrate = 80.0\nconnections = 16\norders = 0.5\n{variants}"
    );
    Experiment::read(&text).expect("a valid experiment")
}

/// A variant in TOML that runs the relay with this environment.
fn variant(name: &str, environment: &str) -> String {
    format!("[[variant]]\nname = \"{name}\"\nprogram = \"{RELAY}\"\nenvironment = {{ {environment} }}\n")
}

/// Creates a directory for the test.
fn create_directory(name: &str) -> PathBuf {
    let directory = std::env::temp_dir().join(format!("quillramp-load-{name}-{}", std::process::id()));
    std::fs::create_dir_all(&directory).expect("the directory can be created");
    directory
}

fn remove_directory(directory: &Path) {
    std::fs::remove_dir_all(directory).expect("the directory exists");
}

/// Runs each variant of the experiment once, one after the other.
fn run_variants(experiment: &Experiment, name: &str) -> Vec<RunResult> {
    let directory = create_directory(name);
    let run = |variant| run_variant(experiment, variant, 0, &directory).expect("the run completes");
    let runs = experiment.variants.iter().map(run).collect();
    remove_directory(&directory);
    runs
}

/// Runs the experiment's first variant.
fn run_first_variant(experiment: &Experiment, name: &str) -> RunResult {
    run_variants(experiment, name).remove(0)
}

fn count_outcome(run: &RunResult, outcome: Outcome) -> usize {
    run.rows.iter().filter(|row| row.outcome == outcome).count()
}

#[test]
fn arrivals_are_determined_by_the_seed_and_the_repetition() {
    let experiment = experiment(&variant("one", ""));
    let arrivals = experiment.arrivals(0);
    assert_eq!(arrivals, experiment.arrivals(0));
    assert_ne!(arrivals, experiment.arrivals(1));
    assert!((90..150).contains(&arrivals.len()), "expected 90 to 149 arrivals, found {}", arrivals.len());
    assert!(
        arrivals.windows(2).all(|pair| pair[0].at <= pair[1].at),
        "expected arrivals in the order of time: {arrivals:?}"
    );
    assert!(arrivals.iter().any(|arrival| arrival.non_idempotent));
    assert!(arrivals.iter().any(|arrival| !arrival.non_idempotent));
}

#[test]
fn a_known_delay_is_measured() {
    let variants = variant("usual", "") + &variant("delayed", "RELAY_DELAY_MS = \"40\"");
    let runs = run_variants(&experiment(&variants), "delay");
    let [usual, delayed] = [&runs[0], &runs[1]].map(|run| figures(&run.summary, &run.rows));
    assert_eq!(usual.failed, 0.0);
    assert_eq!(delayed.failed, 0.0);
    let added_ms = delayed.median_latency_ms - usual.median_latency_ms;
    assert!(
        (38.0..60.0).contains(&added_ms),
        "expected 38 to 60 ms more latency, found {added_ms:.1} ms; {usual:?} {delayed:?}"
    );
    assert_eq!(runs[0].summary.duplicates, 0);
    assert_eq!(runs[0].summary.crashed, 0);
}

#[test]
fn duplicate_executions_are_reported() {
    let run = run_first_variant(&experiment(&variant("twice", "RELAY_TWICE = \"1\"")), "twice");
    let non_idempotent = run.rows.iter().filter(|row| row.non_idempotent);
    let executed = non_idempotent.filter(|row| row.outcome == Outcome::Succeeded).count() as u64;
    assert!(executed > 20, "expected more than 20 non-idempotent requests that succeeded, found {executed}");
    assert_eq!(run.summary.duplicates, executed);
    let session = Session { runs: vec![run.summary], rows: run.rows, complete: true, ..Session::default() };
    let text = summary(&session);
    assert!(text.contains("| effects twice | "), "the summary has no row of duplicates: {text}");
}

#[test]
fn an_instance_that_exits_at_startup_is_an_error_and_the_session_is_still_written() {
    let experiment = experiment("[[variant]]\nname = \"dead\"\nprogram = \"/bin/false\"\n");
    let directory = create_directory("dead");
    let run = run_variant(&experiment, &experiment.variants[0], 0, &directory);
    let error = run.err().expect("an instance that exits is an error").to_string();
    assert!(error.contains("/bin/false ended"), "expected an early exit, found: {error}");
    Session::default().write(&directory).expect("the session is written");
    let text = std::fs::read_to_string(directory.join("summary.md")).expect("the summary is readable");
    assert!(text.contains("Interrupted"), "the summary is not marked as interrupted: {text}");
    remove_directory(&directory);
}

#[test]
fn only_differences_beyond_the_noise_are_significant() {
    assert!(!compare(&[10.0, 11.0, 9.0], &[10.5, 10.0, 9.6]).significant);
    assert!(compare(&[10.0, 11.0, 9.0], &[15.0, 16.4, 14.1]).significant);
    assert!(
        !compare(&[10.0, 11.0], &[15.0, 16.0]).significant,
        "two pairs are too few for a significant difference"
    );
    let mean = compare(&[1.0, 2.0], &[2.0, 4.0]).mean_difference;
    assert!((mean - 1.5).abs() < ROUNDING_TOLERANCE, "expected a mean difference of 1.5, found {mean}");
}

#[test]
fn an_invalid_experiment_lists_all_violations() {
    let text = "seed = 1\nrepetitions = 0\n[world]\ndoors = 0\n[traffic]\nseconds = 0.0\nrate = 1e6\nconnections = 0\norders = 2.0\n\
                [[variant]]\nname = \"a\"\nslowed = 0.5\n[[variant]]\nname = \"a\"\n";
    let error = Experiment::read(text).expect_err("an invalid experiment").to_string();
    for violation in [
        "traffic.seconds",
        "traffic.rate",
        "traffic.connections",
        "traffic.orders",
        "repetitions",
        "world.doors",
        "slowed",
        "variant 2: expected a name",
    ] {
        assert!(error.contains(violation), "violation of {violation} is missing: {error}");
    }
}

#[test]
fn an_unknown_key_of_an_experiment_is_reported() {
    let text = "seed = 1\nspeed = 2\n[traffic]\nseconds = 1.0\nconnections = 1\n";
    let error = Experiment::read(text).expect_err("an invalid experiment").to_string();
    assert!(error.contains("speed"), "the unknown key is not named: {error}");
}

#[test]
fn a_session_is_read_as_it_was_written_and_compared_with_another() {
    let experiment = experiment(&variant("usual", ""));
    let directory = create_directory("session");
    let mut written = Session::default();
    let run = run_variant(&experiment, &experiment.variants[0], 0, &directory);
    written.add(run.expect("the run completes"));
    written.complete = true;
    written.write(&directory).expect("the session is written");

    let read = Session::read(&directory).expect("the session is read");
    assert!(read.complete);
    assert_eq!(read.rows.len(), written.rows.len());
    assert_eq!(read.loads, written.loads);
    for chart in ["percentiles.svg", "service.svg", "backends.svg"] {
        let image = std::fs::read_to_string(directory.join(chart)).expect(chart);
        assert!(image.contains("<svg"), "{chart} is not an SVG image");
    }

    let comparison = compare_sessions(&written, &read).expect("the sessions have a variant in common");
    assert!(
        comparison.contains("| succeeded, share | +0.000 | no |"),
        "expected no difference between equal sessions: {comparison}"
    );
    let mut other = read.clone();
    for run in &mut other.runs {
        run.variant = "another".into();
    }
    let error = compare_sessions(&written, &other).map_err(|error| error.to_string());
    assert_eq!(error, Err("the two sessions have no variant in common".into()));

    remove_directory(&directory);
    let error = Session::read(&directory).expect_err("the directory has been removed").to_string();
    assert!(error.contains("plays.csv"), "the missing file is not named: {error}");
}

/// Guards against times that depend on how long the instances took to start: fault times and the times of executions both count from
/// the start of the traffic.
#[test]
fn executions_are_timed_from_the_start_of_the_traffic() {
    let experiment = experiment(&variant("one", ""));
    let test_bed = TestBed::new(&experiment.world, 1, &[]);
    sleep(Duration::from_millis(20));
    let traffic_start = test_bed.begin_traffic();
    assert!(traffic_start >= 0.02, "expected at least 0.02 s before the traffic, found {traffic_start}");
    let mut executions = Executions::new(1);
    executions.traffic_start = traffic_start;
    let request = BackendRequest { id: 1, customer: 1, plan: "small", units: 2.0, non_idempotent: false };
    executions.record(traffic_start + 0.1, 0, &request);
    executions.record(traffic_start + INTERVAL_SECONDS + 0.1, 0, &request);
    let loads = executions.loads("one", 0);
    let intervals: Vec<(f64, f64)> = loads.iter().map(|load| (load.at, load.units)).collect();
    assert_eq!(intervals, [(0.0, 2.0), (INTERVAL_SECONDS, 2.0)]);
}

/// Returns the units that a backend executed in the intervals that start in a range of time, seconds.
fn executed_units(run: &RunResult, backend: usize, time: Range<f64>) -> f64 {
    let loads = run.loads.iter().filter(|load| load.backend == backend);
    loads.filter(|load| time.contains(&load.at)).map(|load| load.units).sum()
}

/// One of three backends is down from 0.5 s to 1.25 s, in the run of the first variant only.
#[test]
fn a_crashed_backend_executes_nothing() {
    let variants = variant("with the fault", ROUND_ROBIN) + &variant("without it", "") + "spared = true\n";
    let crash = "[[fault]]\nat = 0.5\nkind = \"crash\"\nbackend = 1\nlasts = 0.75\n";
    let runs = run_variants(&experiment(&(variants + crash)), "crash");
    let [with_fault, without_fault] = [&runs[0], &runs[1]];
    let errored = count_outcome(with_fault, Outcome::Errored);
    assert!(errored > 3, "expected more than 3 requests that ended in an error, found {errored}");
    assert_eq!(count_outcome(without_fault, Outcome::Errored), 0);
    // After the crash the relay's open connections to that backend fail one by one. No request fails before it.
    let before_crash = with_fault.rows.iter().filter(|row| row.at <= 0.45);
    assert_eq!(before_crash.filter(|row| row.outcome != Outcome::Succeeded).count(), 0);
    let during_crash = 1.0..1.25;
    assert_eq!(executed_units(with_fault, 1, during_crash.clone()), 0.0);
    assert!(
        executed_units(with_fault, 0, during_crash) > 0.0,
        "the other backends executed nothing during the crash"
    );
}

#[test]
fn a_killed_instance_serves_no_requests_until_it_has_restarted() {
    let kill = "[[fault]]\nat = 0.4\nkind = \"kill\"\ndoor = 0\nlasts = 0.4\n";
    let run = run_first_variant(&experiment(&(variant("one", "") + kill)), "kill");
    assert_eq!(run.summary.crashed, 0, "an instance that a fault has killed counted as crashed");
    let succeeded = |instance: usize, time: Range<f64>| {
        let rows = run.rows.iter().filter(|row| row.instance == instance && time.contains(&row.at));
        rows.filter(|row| row.outcome == Outcome::Succeeded).count()
    };
    assert_eq!(succeeded(0, 0.45..0.75), 0);
    let at_other_instance = succeeded(1, 0.45..0.75);
    assert!(
        at_other_instance > 4,
        "expected more than 4 successes at the other instance, found {at_other_instance}"
    );
    let after_restart = succeeded(0, 1.1..1.5);
    assert!(after_restart > 2, "expected more than 2 successes after the restart, found {after_restart}");
}

/// The stall of 1 s is long compared with the pauses that a busy machine causes at the other instance.
#[test]
fn a_stalled_instance_shows_in_the_latencies() {
    /// Time of arrival of requests that wait for most of the stall, seconds.
    const EARLY_ARRIVAL: Range<f64> = 0.4..0.6;
    /// Latencies above this value are caused by the stall, seconds.
    const MIN_STALL_LATENCY: f64 = 0.375;
    let stall = "[[fault]]\nat = 0.4\nkind = \"stall\"\ndoor = 0\nlasts = 1.0\n";
    let run = run_first_variant(&experiment(&(variant("one", "") + stall)), "stall");
    let early = run.rows.iter().filter(|row| row.instance == 0 && EARLY_ARRIVAL.contains(&row.at));
    let delayed = early.filter(|row| row.latency > MIN_STALL_LATENCY).count();
    assert!(delayed > 3, "expected more than 3 delayed requests, found {delayed}");
    let at_other_instance = run.rows.iter().filter(|row| row.instance != 0);
    let longest = at_other_instance.map(|row| row.latency).fold(0.0, f64::max);
    assert!(
        longest < MIN_STALL_LATENCY,
        "expected less than {MIN_STALL_LATENCY} s at the other instance, found {longest} s"
    );
}

#[test]
fn backend_faults_make_replies_malformed_failed_and_rejected() {
    let fault = |kind: &str, backend: usize| {
        format!("[[fault]]\nat = 0.0\nkind = \"{kind}\"\nbackend = {backend}\nlasts = 9.0\nby = 1.0\n")
    };
    let faults = fault("err", 0) + &fault("turn-away", 1) + &fault("spoil", 2);
    let run = run_first_variant(&experiment(&(variant("faulty", ROUND_ROBIN) + &faults)), "faulty");
    assert_eq!(count_outcome(&run, Outcome::Succeeded), 0);
    assert!(count_outcome(&run, Outcome::Throttled) > 20, "{:?}", run.rows);
    assert!(count_outcome(&run, Outcome::Errored) > 40, "{:?}", run.rows);
    // The requests that the second backend rejected were not executed.
    let executed_at_rejecting_backend = run.summary.by_backend.split(' ').nth(1);
    assert_eq!(executed_at_rejecting_backend, Some("0"));
}

/// Four backends in two zones. From 2 s to 3 s the second zone is lost, from 1 s to 2 s a backend is slow, and from 4 s to 5 s the request
/// rate is doubled.
fn experiment_with_faults() -> Experiment {
    let text = "seed = 1\n[world]\nbackends = 4\nzones = 2\n[traffic]\nseconds = 9.0\nrate = 10.0\nconnections = 1\n\
                [[variant]]\nname = \"a\"\n\
                [[fault]]\nat = 2.0\nkind = \"zone-loss\"\nzone = 1\nlasts = 1.0\n\
                [[fault]]\nat = 1.0\nkind = \"slow\"\nbackend = 0\nlasts = 1.0\nby = 3.0\n\
                [[fault]]\nat = 4.0\nkind = \"burst\"\nlasts = 1.0\nby = 2.0\n";
    Experiment::read(text).expect("a valid experiment")
}

#[test]
fn faults_are_scheduled_at_their_times() {
    let describe = |step: &FaultStep| {
        let change = if step.begins { "begins" } else { "ends" };
        format!("{} {} {} {change}", step.at, step.kind.name(), step.target)
    };
    let experiment = experiment_with_faults();
    let steps: Vec<String> = schedule(&experiment.faults, &experiment.world).iter().map(describe).collect();
    expect![[r#"
        1 slow 0 begins
        2 slow 0 ends
        2 crash 1 begins
        2 crash 3 begins
        3 crash 1 ends
        3 crash 3 ends"#]]
    .assert_eq(&steps.join("\n"));
    assert!(is_supported(FaultKind::CounterSplit));
    assert!(!is_supported(FaultKind::Upgrade));
}

#[test]
fn a_burst_multiplies_the_arrivals_while_it_lasts() {
    let experiment = experiment_with_faults();
    let factors = [3.9, 4.5, 5.0].map(|at| burst_factor(&experiment.faults, at));
    assert_eq!(factors, [1.0, 2.0, 1.0]);
    let arrivals = experiment.arrivals(0);
    let during_burst = arrivals.iter().filter(|arrival| (4.0..5.0).contains(&arrival.at)).count();
    assert!(during_burst > 12, "expected more than 12 arrivals during the burst, found {during_burst}");
}

#[test]
fn a_backend_warms_up_from_its_slow_start_fraction_to_its_full_capacity() {
    let world = experiment_with_faults().world;
    let capacities = [None, Some(0.0), Some(99.0)].map(|age| warm_capacity(&world, age));
    assert_eq!(capacities, [1.0, world.slow_start_fraction, 1.0]);
}

/// Returns the usage of a quota of one unit per second with a burst of ten. A sample has a time in seconds and a number of units.
fn usage(samples: &[(f64, f64)]) -> QuotaUsage {
    QuotaUsage::from_samples(samples, 1.0, 10.0)
}

#[test]
fn units_beyond_a_quota_are_counted_once() {
    // 12 units at the start are 2 beyond the burst; one unit per second after that adds none.
    let mut samples = vec![(0.0, 6.0), (0.0, 6.0)];
    assert_eq!(usage(&samples).excess_units, 2.0);
    samples.extend((1..=20).map(|second| (f64::from(second), 1.0)));
    let spread = usage(&samples);
    assert!((spread.excess_units - 2.0).abs() < ROUNDING_TOLERANCE, "{}", spread.excess_units);
    assert!((spread.worst_overshoot - 0.2).abs() < ROUNDING_TOLERANCE, "{}", spread.worst_overshoot);
    // A second burst after the token bucket has refilled is within the quota.
    let refilled = usage(&[(0.0, 10.0), (10.0, 10.0)]);
    assert_eq!(refilled.excess_units, 0.0);
    assert_eq!(refilled.worst_overshoot, 0.0);
    // The order of the samples does not matter. Half of the second burst is beyond the quota.
    assert_eq!(usage(&[(5.0, 10.0), (0.0, 10.0)]).excess_units, 5.0);
}

#[test]
fn an_invalid_fault_and_a_fleet_too_large_are_reported() {
    let text =
        "seed = 1\n[traffic]\nseconds = 2.0\nconnections = 90\nidle = 5000\n[[variant]]\nname = \"a\"\n\
                [[variant]]\nname = \"b\"\ndoors = 301\n\
                [[fault]]\nat = 1.0\nkind = \"upgrade\"\ndoor = 0\n\
                [[fault]]\nat = 3.0\nkind = \"burst\"\nlasts = 1.0\nby = 2.0\n";
    expect![[r#"
        traffic: expected fewer connections per instance than its 1024 descriptors, found 5090
        variant 2: world.doors: expected 1 to 300, found 301
        variant 2: traffic.connections: expected at least 1, and at most 12000 over all instances
        variant 2: traffic: expected fewer connections per instance than its 1024 descriptors, found 5090
        fault 1 (upgrade): only the emulator supports this kind
        fault 1 (upgrade): this kind requires world.passed = true
        fault 2 (burst): requires an open loop (traffic.rate above 0)
        fault 2 (burst): at: expected at least 0 and less than 2, found 3"#]]
    .assert_eq(&Experiment::read(text).expect_err("an invalid experiment").to_string());
}
