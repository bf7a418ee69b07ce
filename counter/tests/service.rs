//! Real members on loopback: calls in order, leaders killed under load, a member cut off, files looked at.
use std::process::Command;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::{scope, sleep};
use std::time::{Duration, Instant};

mod help;
use help::{Came, Cluster};

#[test]
fn one_alone_counts_and_keeps_it_over_a_restart() {
    let mut c = Cluster::start("alone", 1);
    c.answers(1);
    let mut caller = c.caller(1);
    assert_eq!(caller.add("x", 2.5), Came::Total(2.5));
    assert_eq!(caller.add("x", -1.0), Came::Total(1.5));
    assert_eq!(caller.add("y", 0.0), Came::Total(0.0));
    for bad in [
        "GET /counters/x?by=1&expire_ms=5 HTTP/1.1\r\n\r\n",
        "POST /other HTTP/1.1\r\n\r\n",
        "POST /counters/x?by=nan&expire_ms=5 HTTP/1.1\r\n\r\n",
    ] {
        assert_eq!(caller.raw(bad), Came::Nothing, "{bad}");
    }
    assert_eq!(caller.raw("no http at all\r\n\r\n"), Came::Unknown, "its connection ends");
    c.down(1);
    c.up(1);
    c.answers(1);
    assert_eq!(c.caller(1).add("x", 0.0), Came::Total(1.5));
}

/// What three members answered is what they hold, whoever leads: each total is the sum of all calls that were answered and of some that
/// were not, and none is counted twice.
#[test]
fn no_answered_call_is_lost_or_doubled_while_leaders_die() {
    let mut c = Cluster::start("killed", 3);
    c.answers(1);
    let over = AtomicBool::new(false);
    let addresses: Vec<_> = c.calls.values().copied().collect();
    let (sure, unsure): (f64, f64) = scope(|all| {
        let callers: Vec<_> = addresses
            .iter()
            .map(|at| {
                let over = &over;
                all.spawn(move || {
                    let mut caller = help::Caller::new(*at);
                    let (mut sure, mut unsure) = (0.0, 0.0);
                    while !over.load(Ordering::Relaxed) {
                        match caller.add("x", 1.0) {
                            Came::Total(_) => sure += 1.0,
                            Came::Unknown => unsure += 1.0,
                            Came::Nothing => sleep(Duration::from_millis(2)),
                        }
                    }
                    (sure, unsure)
                })
            })
            .collect();
        for round in 0..6 {
            sleep(Duration::from_millis(350));
            let id = 1 + round % 3;
            c.down(id);
            sleep(Duration::from_millis(250));
            c.up(id);
        }
        sleep(Duration::from_millis(300));
        over.store(true, Ordering::Relaxed);
        callers
            .into_iter()
            .map(|c| c.join().expect("a caller"))
            .fold((0.0, 0.0), |a, b| (a.0 + b.0, a.1 + b.1))
    });
    c.answers(2);
    let Came::Total(total) = c.caller(2).add("x", 0.0) else { panic!("no total") };
    assert!(total >= sure && total <= sure + unsure, "{total}: {sure} answered, {unsure} unknown");
    assert!(sure > 300.0, "{sure}");
    for id in 1..=3 {
        c.answers(id);
    }
    assert!((1..=3).all(|id| c.caller(id).add("x", 0.0) == Came::Total(total)));
}

#[test]
fn without_a_majority_nothing_is_added_and_it_is_said_at_once() {
    let mut c = Cluster::start("minority", 3);
    c.answers(1);
    assert!(matches!(c.caller(1).add("x", 5.0), Came::Total(5.0)));
    c.down(2);
    c.down(3);
    // The one that is left finds out that it leads nobody.
    let from = Instant::now();
    let mut caller = c.caller(1);
    while caller.add("x", 1.0) != Came::Nothing {
        assert!(from.elapsed() < Duration::from_secs(10), "it goes on granting");
    }
    let at = Instant::now();
    assert!((0..20).all(|_| caller.add("x", 1.0) == Came::Nothing));
    assert!(at.elapsed() < Duration::from_secs(1), "{:?}", at.elapsed());
    c.up(2);
    c.answers(1);
    // Whatever was proposed without a majority may hold now, or not; all agree on it.
    let Came::Total(total) = c.caller(1).add("x", 0.0) else { panic!("no total") };
    assert_eq!(c.caller(2).add("x", 0.0), Came::Total(total));
}

#[test]
fn files_are_looked_at_and_damage_is_told() {
    let run = |words: &[&str]| {
        let out =
            Command::new(env!("CARGO_BIN_EXE_quillramp-counter")).args(words).output().expect("it starts");
        let text = String::from_utf8_lossy(&out.stdout).into_owned() + &String::from_utf8_lossy(&out.stderr);
        (out.status.code(), text)
    };
    let mut c = Cluster::start("looked-at", 1);
    c.answers(1);
    let mut caller = c.caller(1);
    for i in 0..20 {
        caller.add(&format!("n{i}"), f64::from(i));
    }
    let folder = c.folder(1).to_string_lossy().into_owned();
    c.down(1);
    let (code, text) = run(&["verify", &folder]);
    assert_eq!(code, Some(0), "{text}");
    assert!(text.contains("all checksums fit") && text.contains("21 names"), "{text}");
    let (_, text) = run(&["show", &folder, "--names"]);
    assert!(text.contains("\nn7 7\n"), "{text}");
    let file = std::fs::read_dir(&folder).expect("there").next().expect("a log").expect("readable").path();
    let mut bytes = std::fs::read(&file).expect("readable");
    bytes[60] ^= 4;
    std::fs::write(&file, bytes).expect("written");
    let (code, text) = run(&["verify", &folder]);
    assert!(code == Some(1) && text.contains("damaged at byte"), "{text}");
    assert_eq!(run(&["verify", "/nowhere"]).0, Some(1));
    assert_eq!(run(&["serve", "--listen", "127.0.0.1:0"]).0, Some(2), "no folder");
    let (code, text) = run(&[
        "serve",
        "--listen",
        "127.0.0.1:0",
        "--data",
        &folder,
        "--id",
        "4",
        "--member",
        "1=127.0.0.1:1",
    ]);
    assert!(code == Some(1) && text.contains("no --member has it"), "{text}");
}
