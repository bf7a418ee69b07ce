//! The broker at the real program: twenty teams of which one floods, and contracts that change under load.
use quillramp_load::experiment::Experiment;
use quillramp_load::generator::{Outcome, RequestRow};
use quillramp_load::run::{run_variant, RunResult};
use std::fmt::Write;
use std::path::{Path, PathBuf};

const TEAMS: u64 = 20;

fn folder(name: &str) -> PathBuf {
    let folder = Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!("broker-{name}"));
    let _ = std::fs::remove_dir_all(&folder);
    std::fs::create_dir_all(&folder).expect("a folder");
    folder
}

/// A contract for each team, which speaks for the customer of its number.
fn contracts(rate: f64) -> String {
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

fn experiment(file: &Path, seconds: f64, rest: &str) -> Experiment {
    let program = env!("CARGO_BIN_EXE_quillramp");
    let text = format!(
        "seed = 21\nrepetitions = 1\n[world]\ndoors = 2\nbackends = 6\nservice = 0.004\nslots = 8\ncustomers = {TEAMS}\n\
         [traffic]\nseconds = {seconds:.1}\nrate = 100.0\nconnections = 40\norders = 0.3\n{rest}\
         [[variant]]\nname = \"flooded\"\nprogram = \"{program}\"\noperator = \"{0}\"\n\
         [[variant]]\nname = \"calm\"\nprogram = \"{program}\"\noperator = \"{0}\"\nspared = true\n",
        file.display()
    );
    Experiment::read(&text).expect("a good experiment")
}

fn succeeded(p: &RunResult, of: impl Fn(&RequestRow) -> bool) -> (usize, usize) {
    let own: Vec<&RequestRow> = p.rows.iter().filter(|r| of(r)).collect();
    (own.iter().filter(|r| r.outcome == Outcome::Succeeded).count(), own.len())
}

/// One team asks for three hundred a second beside its own five. The others' invocations are the same ones in both plays.
#[test]
fn one_team_floods_and_the_others_do_not_notice() {
    let at = folder("flood");
    let file = at.join("operator.toml");
    std::fs::write(&file, contracts(16.0)).expect("written");
    let e = experiment(&file, 6.0, "[traffic.flood]\ncustomer = 0\nrate = 300.0\nfrom = 0.5\n");
    let [flooded, calm] = [0, 1].map(|i| run_variant(&e, &e.variants[i], 0, &at).expect("played"));
    std::fs::remove_dir_all(&at).expect("ours");
    let others = |p: &RunResult| succeeded(p, |r| r.customer != 0);
    let ((served, all), (served_calm, all_calm)) = (others(&flooded), others(&calm));
    assert_eq!(all, all_calm, "the same invocations");
    let differs = (served as f64 - served_calm as f64).abs() / served_calm as f64;
    assert!(differs < 0.02, "{served} served beside a flood, {served_calm} without");
    assert!(
        served_calm as f64 > 0.98 * all_calm as f64,
        "{served_calm} of {all_calm}: they keep to their contracts"
    );
    let (own, asked) = succeeded(&flooded, |r| r.customer == 0);
    assert!(
        asked > 1200 && own * 4 < asked,
        "{own} of {asked}: the flood is held to its contract and what is lent"
    );
    assert_eq!((flooded.summary.duplicates, flooded.summary.died), (0, 0));
    let unanswered = flooded.rows.iter().filter(|r| r.outcome == Outcome::NoAnswer).count();
    assert_eq!(unanswered, 0);
}

/// Contracts change fifty times while invocations are under way: each is answered, and none twice.
#[test]
fn contracts_change_under_load_and_nothing_is_lost() {
    let at = folder("changes");
    let file = at.join("operator.toml");
    std::fs::write(&file, contracts(16.0)).expect("written");
    let mut faults = String::new();
    for i in 0..50 {
        let _ = write!(
            faults,
            "[[fault]]\nat = {:.3}\nkind = \"reload\"\ndoor = {}\n",
            0.3 + 0.05 * f64::from(i),
            i % 2
        );
    }
    let e = experiment(&file, 3.0, &faults);
    let over = std::sync::atomic::AtomicBool::new(false);
    let played = std::thread::scope(|all| {
        all.spawn(|| {
            std::thread::sleep(std::time::Duration::from_millis(600));
            let versions = [contracts(20.0), contracts(16.0).replace("t7", "t77"), contracts(12.0)];
            for i in 0.. {
                if over.load(std::sync::atomic::Ordering::Relaxed) {
                    return;
                }
                // Whole or not at all: a new file takes the place of the old one.
                let new = at.join("new.toml");
                std::fs::write(&new, &versions[i % 3])
                    .and_then(|()| std::fs::rename(&new, &file))
                    .expect("written");
                std::thread::sleep(std::time::Duration::from_millis(40));
            }
        });
        let played = run_variant(&e, &e.variants[0], 0, &at);
        over.store(true, std::sync::atomic::Ordering::Relaxed);
        played.expect("played")
    });
    std::fs::remove_dir_all(&at).expect("ours");
    assert_eq!((played.summary.duplicates, played.summary.died), (0, 0));
    let of = |o: Outcome| played.rows.iter().filter(|r| r.outcome == o).count();
    assert_eq!((of(Outcome::NoAnswer), of(Outcome::NotConnected)), (0, 0));
    assert!(
        of(Outcome::Succeeded) * 10 > played.rows.len() * 9,
        "{} of {}",
        of(Outcome::Succeeded),
        played.rows.len()
    );
}
