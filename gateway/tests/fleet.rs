//! The real program, a fleet of it, among the load tool's stand-ins, while faults strike: what the rules allow and no more.
use quillramp_load::experiment::Experiment;
use quillramp_load::generator::Outcome;
use quillramp_load::run::{run_variant, RunResult};

/// Three front doors that talk to each other, before six backends; 120 invocations a second, a third of them orders.
fn played(name: &str, seconds: f64, faults: &str) -> RunResult {
    let program = env!("CARGO_BIN_EXE_quillramp");
    let text = format!(
        "seed = 11\nrepetitions = 1\n[world]\ndoors = 3\nbackends = 6\nservice = 0.01\nwarm_after = 1.0\ncustomers = 40\n\
         [traffic]\nseconds = {seconds:.1}\nrate = 120.0\nconnections = 16\norders = 0.33\n\
         [[variant]]\nname = \"front door\"\nprogram = \"{program}\"\n{faults}"
    );
    let e = Experiment::read(&text).expect("a good experiment");
    let folder = std::env::temp_dir().join(format!("quillramp-fleet-{name}-{}", std::process::id()));
    std::fs::create_dir_all(&folder).expect("a folder");
    let played = run_variant(&e, &e.variants[0], 0, &folder).expect("played");
    std::fs::remove_dir_all(&folder).expect("ours");
    assert_eq!((played.summary.duplicates, played.summary.died), (0, 0));
    played
}

fn strike(at: f64, kind: &str, rest: &str) -> String {
    format!("[[fault]]\nat = {at:.1}\nkind = \"{kind}\"\n{rest}\n")
}

fn share(p: &RunResult, of: Outcome) -> f64 {
    p.rows.iter().filter(|r| r.outcome == of).count() as f64 / p.rows.len() as f64
}

/// Every invocation has an answer, whatever befalls the backends; what may not be repeated never is.
#[test]
fn ill_backends_cost_no_answer_and_double_nothing() {
    let faults = strike(0.5, "crash", "backend = 0\nlasts = 1.0")
        + &strike(0.8, "spoil", "backend = 1\nlasts = 1.0\nby = 0.5")
        + &strike(1.0, "swallow", "backend = 2\nlasts = 0.8\nby = 0.5")
        + &strike(1.2, "turn-away", "backend = 3\nlasts = 1.0\nby = 0.7")
        + &strike(1.4, "drain", "backend = 4\nlasts = 0.8");
    let p = played("ill", 3.0, &faults);
    assert_eq!(share(&p, Outcome::NoAnswer) + share(&p, Outcome::NotConnected), 0.0);
    assert!(share(&p, Outcome::Succeeded) > 0.75, "{}", share(&p, Outcome::Succeeded));
    // A backend that drains takes nothing new; it comes back under a new name.
    let did = |from: f64, to: f64| -> f64 {
        p.loads.iter().filter(|l| l.backend == 4 && l.at >= from && l.at < to).map(|l| l.units).sum()
    };
    let start = p.loads.iter().filter(|l| l.units > 0.0).map(|l| l.at).fold(f64::INFINITY, f64::min);
    assert_eq!(did(start + 1.75, start + 2.0), 0.0);
    assert!(did(0.0, start + 1.0) > 0.0);
}

/// A front door that is killed loses what it held and nothing else; one that is told to stop loses nothing.
#[test]
fn a_front_door_may_die_and_another_stop() {
    let killed = played("killed", 2.5, &strike(0.8, "kill", "door = 0\nlasts = 0.5"));
    let lost = killed.rows.iter().filter(|r| r.outcome == Outcome::NoAnswer).count();
    assert!(lost <= 16, "{lost} of what was at the one that died, one a connection at the most");
    assert!(killed.rows.iter().all(|r| r.outcome != Outcome::NoAnswer || r.instance == 0));
    let back = killed.rows.iter().filter(|r| r.instance == 0 && r.at > 1.8).count();
    assert!(back > 10, "it serves again: {back}");

    let stopped = played("stopped", 2.5, &strike(0.8, "term", "door = 1\nlasts = 1.0"));
    assert_eq!(share(&stopped, Outcome::NotConnected), 0.0);
    assert!(share(&stopped, Outcome::Succeeded) > 0.9, "{}", share(&stopped, Outcome::Succeeded));
}

/// With the counter gone, back empty, or in two, quotas hold within what docs/design.md allows and everybody is answered.
#[test]
fn the_counter_may_go_come_back_empty_and_be_two() {
    for (name, faults) in [
        ("down", strike(0.5, "counter-down", "lasts = 1.0")),
        ("silent", strike(0.5, "counter-silent", "lasts = 1.0")),
        ("lost", strike(1.0, "counter-lost", "")),
        ("split", strike(0.5, "counter-split", "lasts = 1.0")),
    ] {
        let p = played(name, 2.0, &faults);
        assert_eq!(share(&p, Outcome::NoAnswer) + share(&p, Outcome::NotConnected), 0.0, "{name}");
        assert!(share(&p, Outcome::Succeeded) > 0.85, "{name}: {}", share(&p, Outcome::Succeeded));
        assert!(
            p.summary.worst_excess < 1.0,
            "{name}: one customer had {:.0}% above its quota",
            100.0 * p.summary.worst_excess
        );
    }
}

/// The counter is split in two that both answer, for eight seconds. Without the roster each half grants the whole; with it both
/// together grant it once, but for what docs/counter.md allows until the split is noticed.
#[test]
fn a_split_counter_grants_a_quota_once() {
    let folder = std::env::temp_dir().join(format!("quillramp-split-{}", std::process::id()));
    std::fs::create_dir_all(&folder).expect("a folder");
    let file = folder.join("operator.toml");
    std::fs::write(&file, "[counter]\npresence = 0.5\n").expect("written");
    let program = env!("CARGO_BIN_EXE_quillramp");
    let text = format!(
        "seed = 5\nrepetitions = 1\n[world]\ndoors = 4\nbackends = 6\nservice = 0.002\nslots = 16\ncustomers = 4\npeers = false\n\
         [traffic]\nseconds = 10.0\nrate = 260.0\nconnections = 24\norders = 0.2\n\
         [[fault]]\nat = 1.0\nkind = \"counter-split\"\nlasts = 8.0\n\
         [[variant]]\nname = \"without\"\nprogram = \"{program}\"\n\
         [[variant]]\nname = \"with\"\nprogram = \"{program}\"\noperator = \"{}\"\n",
        file.display()
    );
    let e = Experiment::read(&text).expect("a good experiment");
    let [without, with] = std::thread::scope(|all| {
        let both = [0, 1].map(|i| {
            let (e, at) = (&e, folder.join(i.to_string()));
            std::fs::create_dir_all(&at).expect("a folder");
            all.spawn(move || run_variant(e, &e.variants[i], 0, &at).expect("played"))
        });
        both.map(|p| p.join().expect("played"))
    });
    std::fs::remove_dir_all(&folder).expect("ours");
    // Two hospitals are at 24 units a second and 48 at once, and ask for more than four times that.
    let small = |p: &RunResult| {
        let of = p.customers.iter().filter(|h| h.plan == "small");
        of.map(|h| h.beyond_quota).fold(0.0, f64::max)
    };
    let (without, with) = (small(&without), small(&with));
    let bound = 3.0 * 48.0 + 24.0 * (4.0 * 0.5 + 1.0);
    assert!(
        with < bound && with < 0.6 * without,
        "{with} beyond with the roster, {without} without, bound {bound}"
    );
}
