//! Members on loopback: totals over restarts, leaders that are stopped under load, a lost quorum, and the inspection of files.
use std::process::Command;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::{scope, sleep};
use std::time::{Duration, Instant};

mod help;
use help::{Cluster, Outcome};

/// Calls of a client by outcome.
#[derive(Default)]
struct CallCounts {
    acknowledged: f64,
    unknown: f64,
}

impl CallCounts {
    fn plus(self, other: CallCounts) -> CallCounts {
        CallCounts {
            acknowledged: self.acknowledged + other.acknowledged,
            unknown: self.unknown + other.unknown,
        }
    }
}

#[test]
fn a_single_member_keeps_its_totals_over_a_restart() {
    let mut cluster = Cluster::start("alone", 1);
    cluster.wait_until_ready(1);
    let mut client = cluster.client(1);
    assert_eq!(client.add("x", 2.5), Outcome::Total(2.5));
    assert_eq!(client.add("x", -1.0), Outcome::Total(1.5));
    assert_eq!(client.add("y", 0.0), Outcome::Total(0.0));
    for bad in [
        "GET /counters/x?by=1&expire_ms=5 HTTP/1.1\r\n\r\n",
        "POST /other HTTP/1.1\r\n\r\n",
        "POST /counters/x?by=nan&expire_ms=5 HTTP/1.1\r\n\r\n",
    ] {
        assert_eq!(client.call(bad), Outcome::NotAdded, "{bad}");
    }
    assert_eq!(
        client.call("no http at all\r\n\r\n"),
        Outcome::Unknown,
        "the connection of an invalid request ends"
    );
    cluster.stop_member(1);
    cluster.start_member(1);
    cluster.wait_until_ready(1);
    assert_eq!(cluster.client(1).add("x", 0.0), Outcome::Total(1.5));
}

/// The total is the sum of all acknowledged calls and of some calls whose outcome is unknown. No call is counted twice, whichever member
/// is the leader.
#[test]
fn no_acknowledged_call_is_lost_or_doubled_while_leaders_fail() {
    let mut cluster = Cluster::start("killed", 3);
    cluster.wait_until_ready(1);
    let is_finished = AtomicBool::new(false);
    let client_addresses: Vec<_> = cluster.client_addresses.values().copied().collect();
    let CallCounts { acknowledged, unknown } = scope(|scope| {
        let clients: Vec<_> = client_addresses
            .iter()
            .map(|address| {
                let is_finished = &is_finished;
                scope.spawn(move || {
                    let mut client = help::Client::new(*address);
                    let mut counts = CallCounts::default();
                    while !is_finished.load(Ordering::Relaxed) {
                        match client.add("x", 1.0) {
                            Outcome::Total(_) => counts.acknowledged += 1.0,
                            Outcome::Unknown => counts.unknown += 1.0,
                            Outcome::NotAdded => sleep(Duration::from_millis(2)),
                        }
                    }
                    counts
                })
            })
            .collect();
        for round in 0..6 {
            sleep(Duration::from_millis(350));
            let id = 1 + round % 3;
            cluster.stop_member(id);
            sleep(Duration::from_millis(250));
            cluster.start_member(id);
        }
        sleep(Duration::from_millis(300));
        is_finished.store(true, Ordering::Relaxed);
        clients
            .into_iter()
            .map(|client| client.join().expect("the client does not panic"))
            .fold(CallCounts::default(), CallCounts::plus)
    });
    cluster.wait_until_ready(2);
    let Outcome::Total(total) = cluster.client(2).add("x", 0.0) else { panic!("no total") };
    assert!(
        total >= acknowledged && total <= acknowledged + unknown,
        "total {total}: {acknowledged} calls acknowledged, {unknown} with an unknown outcome"
    );
    assert!(acknowledged > 300.0, "expected more than 300 acknowledged calls, found {acknowledged}");
    for id in 1..=3 {
        cluster.wait_until_ready(id);
    }
    assert!((1..=3).all(|id| cluster.client(id).add("x", 0.0) == Outcome::Total(total)));
}

#[test]
fn without_a_majority_calls_are_rejected_at_once() {
    let mut cluster = Cluster::start("minority", 3);
    cluster.wait_until_ready(1);
    assert!(matches!(cluster.client(1).add("x", 5.0), Outcome::Total(5.0)));
    cluster.stop_member(2);
    cluster.stop_member(3);
    // The remaining member detects that it has lost its quorum.
    let start = Instant::now();
    let mut client = cluster.client(1);
    while client.add("x", 1.0) != Outcome::NotAdded {
        assert!(
            start.elapsed() < Duration::from_secs(10),
            "calls are not rejected 10 s after the loss of the quorum"
        );
    }
    let start = Instant::now();
    assert!((0..20).all(|_| client.add("x", 1.0) == Outcome::NotAdded));
    assert!(start.elapsed() < Duration::from_secs(1), "{:?}", start.elapsed());
    cluster.start_member(2);
    cluster.wait_until_ready(1);
    // Calls that were proposed without a quorum may have been committed since. All members have the same total.
    let Outcome::Total(total) = cluster.client(1).add("x", 0.0) else { panic!("no total") };
    assert_eq!(cluster.client(2).add("x", 0.0), Outcome::Total(total));
}

/// Exit code and output of the program.
struct ProgramOutput {
    code: Option<i32>,
    /// Standard output, followed by standard error.
    text: String,
}

/// Runs the program until it exits.
fn run(arguments: &[&str]) -> ProgramOutput {
    let program = env!("CARGO_BIN_EXE_quillramp-counter");
    let output = Command::new(program).args(arguments).output().expect("the program starts");
    let text =
        String::from_utf8_lossy(&output.stdout).into_owned() + &String::from_utf8_lossy(&output.stderr);
    ProgramOutput { code: output.status.code(), text }
}

/// A cluster of one member that is stopped after calls for the twenty totals `n0` to `n19`.
fn stopped_cluster(name: &str) -> Cluster {
    let mut cluster = Cluster::start(name, 1);
    cluster.wait_until_ready(1);
    let mut client = cluster.client(1);
    for i in 0..20 {
        client.add(&format!("n{i}"), f64::from(i));
    }
    cluster.stop_member(1);
    cluster
}

#[test]
fn files_are_verified_and_shown() {
    let cluster = stopped_cluster("looked-at");
    let directory = cluster.directory(1).to_string_lossy().into_owned();
    let ProgramOutput { code, text } = run(&["verify", &directory]);
    assert_eq!(code, Some(0), "{text}");
    assert!(text.contains("all checksums match") && text.contains("21 names"), "{text}");
    let ProgramOutput { text, .. } = run(&["show", &directory, "--names"]);
    assert!(text.contains("\nn7 7\n"), "{text}");
}

#[test]
fn damage_to_files_is_reported() {
    let cluster = stopped_cluster("damaged");
    let directory = cluster.directory(1).to_string_lossy().into_owned();
    let file = std::fs::read_dir(&directory).expect("there").next().expect("a log").expect("readable").path();
    let mut bytes = std::fs::read(&file).expect("readable");
    bytes[60] ^= 4;
    std::fs::write(&file, bytes).expect("written");
    let ProgramOutput { code, text } = run(&["verify", &directory]);
    assert!(code == Some(1) && text.contains("damaged at byte"), "{text}");
    assert_eq!(run(&["verify", "/nowhere"]).code, Some(1));
}

#[test]
fn unusable_options_are_reported() {
    assert_eq!(run(&["serve", "--listen", "127.0.0.1:0"]).code, Some(2), "no directory");
    let cluster = stopped_cluster("no-such-member");
    let directory = cluster.directory(1).to_string_lossy().into_owned();
    let options = ["--listen", "127.0.0.1:0", "--data", &directory, "--id", "4", "--member", "1=127.0.0.1:1"];
    let ProgramOutput { code, text } = run(&[&["serve"], &options[..]].concat());
    assert!(code == Some(1) && text.contains("--id: expected the id of a --member, found 4"), "{text}");
}
