//! The broker of a gateway on loopback: one of twenty teams floods it, and contracts change under load.
use quillramp_load::experiment::Experiment;
use quillramp_load::generator::{Outcome, RequestRow};
use quillramp_load::run::{run_variant, RunResult};
use std::fmt::Write;
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::sleep;
use std::time::Duration;

const TEAMS: u64 = 20;
/// The team that sends far more than its contract allows.
const FLOODING_TEAM: u64 = 0;

fn empty_directory(name: &str) -> PathBuf {
    let directory = Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!("broker-{name}"));
    let _ = std::fs::remove_dir_all(&directory); // fails if there is none from an earlier run
    std::fs::create_dir_all(&directory).expect("the directory is created");
    directory
}

/// Returns an operator file with a contract for each team, which may send requests of the customer with the
/// team's number.
fn contracts_with_rate(rate: f64) -> String {
    let mut text = format!("[broker]\ncapacity = {}\nstrangers = \"refuse\"\n", rate * 25.0);
    for team in 0..TEAMS {
        let _ = write!(
            text,
            "[[contract]]\nteam = \"t{team}\"\ncustomers = [\"{team:016x}\"]\nrate = {rate:.1}\nburst = {:.1}\n",
            2.0 * rate
        );
    }
    text
}

/// Returns an experiment with two instances that have this operator file. The flood, if there is one, affects
/// the variant `flooded` and not the variant `calm`.
fn experiment(operator_file: &Path, seconds: f64, flood_or_faults: &str) -> Experiment {
    let program = env!("CARGO_BIN_EXE_quillramp");
    let text = format!(
        "seed = 21\nrepetitions = 1\n[world]\ndoors = 2\nbackends = 6\nservice = 0.004\nslots = 8\ncustomers = {TEAMS}\n\
         [traffic]\nseconds = {seconds:.1}\nrate = 100.0\nconnections = 40\norders = 0.3\n{flood_or_faults}\
         [[variant]]\nname = \"flooded\"\nprogram = \"{program}\"\noperator = \"{0}\"\n\
         [[variant]]\nname = \"calm\"\nprogram = \"{program}\"\noperator = \"{0}\"\nspared = true\n",
        operator_file.display()
    );
    Experiment::read(&text).expect("a valid experiment")
}

/// Numbers of requests of some customers.
struct RequestCounts {
    sent: usize,
    succeeded: usize,
}

impl RequestCounts {
    fn of(result: &RunResult, is_counted: impl Fn(&RequestRow) -> bool) -> RequestCounts {
        let counted: Vec<&RequestRow> = result.rows.iter().filter(|row| is_counted(row)).collect();
        let succeeded = counted.iter().filter(|row| row.outcome == Outcome::Succeeded).count();
        RequestCounts { sent: counted.len(), succeeded }
    }
}

fn count(result: &RunResult, outcome: Outcome) -> usize {
    result.rows.iter().filter(|row| row.outcome == outcome).count()
}

/// Guards against a flood that affects other teams: one team sends 300 requests a second besides its usual
/// five. The others send the same requests in the run with the flood and in the run without it.
#[test]
fn a_team_that_floods_does_not_affect_the_others() {
    let directory = empty_directory("flood");
    let operator_file = directory.join("operator.toml");
    std::fs::write(&operator_file, contracts_with_rate(16.0)).expect("the operator file is written");
    let flood = "[traffic.flood]\ncustomer = 0\nrate = 300.0\nfrom = 0.5\n";
    let experiment = experiment(&operator_file, 6.0, flood);
    let run = |variant: usize| run_variant(&experiment, &experiment.variants[variant], 0, &directory);
    let [flooded, calm] = [0, 1].map(|variant| run(variant).expect("the run succeeds"));
    std::fs::remove_dir_all(&directory).expect("the directory of this test is removed");

    let others = |result: &RunResult| RequestCounts::of(result, |row| row.customer != FLOODING_TEAM);
    let (others_flooded, others_calm) = (others(&flooded), others(&calm));
    assert_eq!(others_flooded.sent, others_calm.sent, "the other teams send the same requests in both runs");
    let (served_flooded, served_calm) = (others_flooded.succeeded as f64, others_calm.succeeded as f64);
    let difference = (served_flooded - served_calm).abs() / served_calm;
    assert!(difference < 0.02, "{served_flooded} served during the flood, {served_calm} without it");
    let sent_calm = others_calm.sent as f64;
    assert!(
        served_calm > 0.98 * sent_calm,
        "{served_calm} of {sent_calm} served without the flood, all within the contracts"
    );

    let flooding = RequestCounts::of(&flooded, |row| row.customer == FLOODING_TEAM);
    let RequestCounts { sent, succeeded } = flooding;
    assert!(
        sent > 1200 && succeeded * 4 < sent,
        "{succeeded} of {sent} served, expected the contract of the flooding team and what it may borrow"
    );
    assert_eq!((flooded.summary.duplicates, flooded.summary.crashed), (0, 0));
    assert_eq!(count(&flooded, Outcome::NoAnswer), 0);
}

/// Returns the faults for fifty reloads, of both instances in turn.
fn reloads() -> String {
    let mut faults = String::new();
    for i in 0..50 {
        let at = 0.3 + 0.05 * f64::from(i);
        let _ = write!(faults, "[[fault]]\nat = {at:.3}\nkind = \"reload\"\ndoor = {}\n", i % 2);
    }
    faults
}

/// Replaces a file with these versions in turn until the run is over.
fn replace_until(run_is_over: &AtomicBool, file: &Path, versions: &[String]) {
    let new_file = file.with_file_name("new.toml");
    for version in versions.iter().cycle() {
        if run_is_over.load(Ordering::Relaxed) {
            return;
        }
        // Renaming replaces the file atomically.
        std::fs::write(&new_file, version).expect("the file is written");
        std::fs::rename(&new_file, file).expect("the operator file is replaced");
        sleep(Duration::from_millis(40));
    }
}

/// Guards against requests that are not answered, and attempts that are repeated, when contracts change under
/// load.
#[test]
fn contracts_that_change_under_load_lose_no_request() {
    let directory = empty_directory("changes");
    let operator_file = directory.join("operator.toml");
    std::fs::write(&operator_file, contracts_with_rate(16.0)).expect("the operator file is written");
    let experiment = experiment(&operator_file, 3.0, &reloads());
    let run_is_over = AtomicBool::new(false);
    let result = std::thread::scope(|scope| {
        scope.spawn(|| {
            sleep(Duration::from_millis(600));
            let versions = [
                contracts_with_rate(20.0),
                contracts_with_rate(16.0).replace("t7", "t77"),
                contracts_with_rate(12.0),
            ];
            replace_until(&run_is_over, &operator_file, &versions);
        });
        let result = run_variant(&experiment, &experiment.variants[0], 0, &directory);
        run_is_over.store(true, Ordering::Relaxed);
        result.expect("the run succeeds")
    });
    std::fs::remove_dir_all(&directory).expect("the directory of this test is removed");
    assert_eq!((result.summary.duplicates, result.summary.crashed), (0, 0));
    assert_eq!((count(&result, Outcome::NoAnswer), count(&result, Outcome::NotConnected)), (0, 0));
    let (succeeded, sent) = (count(&result, Outcome::Succeeded), result.rows.len());
    assert!(succeeded * 10 > sent * 9, "{succeeded} of {sent} succeeded");
}
