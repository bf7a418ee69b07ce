//! The real program and its operator's file: the command line, and the file read again under load.
use expect_test::{expect, Expect};
use quillramp_load::experiment::Experiment;
use quillramp_load::generator::Outcome;
use quillramp_load::run::run_variant;
use std::path::{Path, PathBuf};
use std::process::{Command, Output};

fn folder(name: &str) -> PathBuf {
    let folder = Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!("operator-{name}"));
    std::fs::create_dir_all(&folder).expect("a folder");
    folder
}

fn quillramp(words: &[&str]) -> Output {
    let mut program = Command::new(env!("CARGO_BIN_EXE_quillramp"));
    program.args(words).env_remove("EDGE_CONFIG").env_remove("EDGE_OPERATOR").output().expect("it starts")
}

/// Its exit code and what it says, with the names of files left out.
fn says(words: &[&str], expected: Expect) {
    let out = quillramp(words);
    let text = String::from_utf8_lossy(&out.stdout).into_owned() + &String::from_utf8_lossy(&out.stderr);
    let text = words
        .iter()
        .filter(|w| w.contains('/'))
        .fold(text, |t, w| t.replace(w, &Path::new(w).file_name().expect("a file").to_string_lossy()));
    expected.assert_eq(&format!("{}\n{text}", out.status.code().expect("an exit")));
}

const GOOD: &str = "[[class]]\nname = \"short\"\nattempts = 2\nper_try = 0.3\ntimeout = 0.9\n\n\
                    [[route]]\noperations = [\"look\"]\nclass = \"short\"\n";

#[test]
fn files_are_checked_and_shown_on_the_command_line() {
    let at = folder("line");
    let write = |name: &str, text: &str| {
        let path = at.join(name);
        std::fs::write(&path, text).expect("written");
        path.to_string_lossy().into_owned()
    };
    let configuration = write("c.json", include_str!("../../examples/configuration.json"));
    let (good, bad) = (write("good.toml", GOOD), write("bad.toml", &GOOD.replace("look", "order")));
    says(
        &["check", &good],
        expect![[r#"
        0
        good.toml: well; 1 classes, 1 routes; without a configuration, operations and plans were not looked up
    "#]],
    );
    says(
        &["check", &good, "--configuration", &configuration],
        expect![[r#"
        0
        good.toml: well; 1 classes, 1 routes
    "#]],
    );
    says(
        &["check", &bad, "--configuration", &configuration],
        expect![[r#"
        1
        quillramp: bad.toml: line 3: class 'short'.attempts: 'order' is non-idempotent: a second delivery could have its effect twice (by the route on line 7)
        quillramp: bad.toml: line 4: class 'short'.per_try: 'order' is not idempotent: a delivery of it that is out is not given up for another (by the route on line 7)
    "#]],
    );
    says(
        &["show", &good, "--configuration", &configuration],
        expect![[r#"
            0
            admission: off
            log: plain, levels as usual
            roster on the counter: off
            callers: need not be known
            broker: off

            look, idempotent
              all plans, all customers: class 'short' (route on line 7)
                attempts 2 (line 3)
                second copies yes (configuration)
                per try 0.3 s (line 4)
                latency objective 0.4 s (configuration)
                integration timeout 0.9 s (line 5)
              all else: as configured
                attempts 5 (configuration)
                second copies yes (configuration)
                latency objective 0.4 s (configuration)
                integration timeout 1.5 s (configuration)

            slow, idempotent
              all else: as configured
                attempts 5 (configuration)
                second copies yes (configuration)
                latency objective 0.4 s (configuration)
                integration timeout 1.5 s (configuration)

            order, non-idempotent
              all else: as configured
                attempts 5 (configuration)
                second copies no (configuration)
                latency objective 1 s (configuration)
                integration timeout 3 s (configuration)

            fail, non-idempotent
              all else: as configured
                attempts 5 (configuration)
                second copies no (configuration)
                latency objective 1 s (configuration)
                integration timeout 3 s (configuration)
        "#]],
    );
    says(
        &["check", "/nowhere/x.toml"],
        expect![[r#"
        1
        quillramp: x.toml: No such file or directory (os error 2)
    "#]],
    );
    assert_eq!(quillramp(&["check"]).status.code(), Some(2));
    assert_eq!(quillramp(&["chekc", &good]).status.code(), Some(2));
    assert_eq!(quillramp(&["--version"]).status.code(), Some(0));
    let help = quillramp(&["--help"]);
    let help = String::from_utf8_lossy(&help.stdout).into_owned();
    assert!(["serve", "check", "show", "completions"].iter().all(|w| help.contains(w)), "{help}");
    let shell = quillramp(&["completions", "bash"]).stdout;
    assert!(String::from_utf8_lossy(&shell).contains("_quillramp()"));
    // What would have kept it from serving keeps it from serving by its command, too.
    says(
        &["serve"],
        expect![[r#"
        1
        quillramp: EDGE_CONFIG names no configuration file
    "#]],
    );
    std::fs::remove_dir_all(&at).expect("ours");
}

/// Waits until the front door of this configuration accepts.
fn serves(configuration: &Path) {
    for _ in 0..2000 {
        let text = std::fs::read(configuration).unwrap_or_default();
        let at = serde_json::from_slice::<serde_json::Value>(&text).ok();
        let at = at.and_then(|c| c["listen"].as_str().map(str::to_owned));
        if at.is_some_and(|at| std::net::TcpStream::connect(at).is_ok()) {
            return;
        }
        std::thread::sleep(std::time::Duration::from_millis(5));
    }
    panic!("{}: it does not serve", configuration.display());
}

/// A file that is read again a hundred times under load: nothing is lost and nothing sent twice, whether it is well or not.
#[test]
fn a_file_is_read_again_under_load() {
    let at = folder("reload");
    let file = at.join("operator.toml");
    let good = GOOD.to_owned() + "\n[log]\nform = \"json\"\n";
    std::fs::write(&file, &good).expect("written");
    let program = env!("CARGO_BIN_EXE_quillramp");
    let mut text = format!(
        "seed = 3\nrepetitions = 1\n[world]\ndoors = 2\nbackends = 4\nservice = 0.01\ncustomers = 40\n\
         [traffic]\nseconds = 2.2\nrate = 120.0\nconnections = 16\norders = 0.4\n\
         [[variant]]\nname = \"front door\"\nprogram = \"{program}\"\noperator = \"{}\"\n",
        file.display()
    );
    for i in 0..100 {
        text += &format!("[[fault]]\nat = {:.3}\nkind = \"reload\"\ndoor = {}\n", 0.02 * f64::from(i), i % 2);
    }
    let e = Experiment::read(&text).expect("a good experiment");
    let over = std::sync::atomic::AtomicBool::new(false);
    let played = std::thread::scope(|all| {
        // Meanwhile the file changes: well, wrong, half written, well again.
        all.spawn(|| {
            // Who accepts has read it.
            (0..2).for_each(|d| serves(&at.join(format!("door-{d}.json"))));
            let wrong = good.replace("\"look\"", "\"order\"");
            for i in 0.. {
                if over.load(std::sync::atomic::Ordering::Relaxed) {
                    return;
                }
                let text = [&good[..], &wrong, &good[..good.len() / 2], ""][i % 4];
                std::fs::write(&file, text).expect("written");
                std::thread::sleep(std::time::Duration::from_millis(7));
            }
        });
        let played = run_variant(&e, &e.variants[0], 0, &at);
        over.store(true, std::sync::atomic::Ordering::Relaxed);
        played
    });
    let played = played.expect("played");
    std::fs::remove_dir_all(&at).expect("ours");
    assert_eq!((played.summary.duplicates, played.summary.died), (0, 0));
    assert!(played.rows.len() > 200);
    let of = |o: Outcome| played.rows.iter().filter(|r| r.outcome == o).count();
    assert_eq!((of(Outcome::NoAnswer), of(Outcome::NotConnected)), (0, 0));
    assert!(of(Outcome::Succeeded) * 20 > played.rows.len() * 19, "{}", of(Outcome::Succeeded));
}
