//! The real program before a list service that fails in every way it can: how long it takes from a failure, with the
//! service well behind it, to the call that is answered. Each test is a row of the table in docs/list-service.md.
use nix::sys::signal::Signal;
use std::io::{BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::mpsc::{channel, Receiver};
use std::sync::Arc;
use std::thread::{sleep, spawn};
use std::time::{Duration, Instant};

mod help;
use help::{free, listing, toy, World};

/// A change counts as told so long after the list service had it and could be reached.
const TOLD: Duration = Duration::from_secs(6);
/// After SIGHUP it counts as told after this.
const TOLD_AFTER_SIGHUP: Duration = Duration::from_secs(4);
/// What a busy machine may add to a chain of timers.
const MARGIN: Duration = Duration::from_millis(500);
/// Longer than any chain: a test that fails says by how much.
const PATIENCE: Duration = Duration::from_secs(20);

/// What the list service does with one call.
#[derive(Clone, Copy, Debug)]
enum Act {
    /// Answers with the list, or with nothing new once a watch's wait is over.
    Well,
    /// The same, so much later.
    Late(Duration),
    /// Never answers; the connection stays open.
    Mute,
    /// Writes this and leaves the connection open.
    Says(&'static str),
    /// Ends the connection without an answer.
    Ends,
}

const TURNED_AWAY: Act = Act::Says("HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n");
const UNREADABLE_LIST: Act = Act::Says("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n{\"index\":");
const UNREADABLE_HTTP: Act = Act::Says("no answer of this protocol\r\n\r\n");
const NO_LENGTH: Act = Act::Says("HTTP/1.1 200 OK\r\n\r\n{\"index\":2,");
const NEVER_ENDS: Act = Act::Says("HTTP/1.1 200 OK\r\nContent-Length: 5000\r\n\r\n{\"index\":2,");

#[derive(Debug)]
struct Call {
    at: Instant,
    target: String,
}

/// A list service that does this with its first calls, in the order in which they come, and is well from then on. It
/// tells of each call.
fn scripted(listener: TcpListener, script: Vec<Act>, afterwards: Act) -> Receiver<Call> {
    let at = listener.local_addr().expect("an address");
    let (to, calls) = channel();
    let number = Arc::new(AtomicUsize::new(0));
    toy::each(listener, move |stream| {
        let mut from = BufReader::new(stream.try_clone()?);
        while let Some(target) = toy::target(&mut from)? {
            let act = script.get(number.fetch_add(1, Ordering::Relaxed)).copied().unwrap_or(afterwards);
            let _ = to.send(Call { at: Instant::now(), target: target.clone() }); // the test may be over
            match act {
                Act::Well => answers(&stream, at, &target)?,
                Act::Late(by) => {
                    sleep(by);
                    answers(&stream, at, &target)?;
                }
                Act::Mute => {}
                Act::Says(text) => (&stream).write_all(text.as_bytes())?,
                Act::Ends => return Ok(()),
            }
        }
        Ok(())
    });
    calls
}

/// The list, or nothing new where it is known.
fn answers(mut to: &TcpStream, at: SocketAddr, target: &str) -> std::io::Result<()> {
    let known = toy::number(target, "since") >= 1.0;
    if known {
        sleep(Duration::from_millis(toy::number(target, "timeout_ms") as u64));
    }
    let body = if known {
        r#"{"index":1,"snapshot":false,"endpoints":[]}"#.to_string()
    } else {
        listing(&[("a", at)])
    };
    write!(to, "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len())
}

fn next(calls: &Receiver<Call>) -> Call {
    calls.recv_timeout(PATIENCE).expect("one more call")
}

/// The list is had once; then these calls fail, the service being well for any other. How long it takes from the first of
/// them to the call that is answered, and all their targets.
fn chain(name: &str, faults: &[Act]) -> (Duration, Vec<String>) {
    let (list, at) = free();
    let script = [&[Act::Well], faults].concat();
    let calls = scripted(list, script, Act::Well);
    let _world = World::start(&format!("list-{name}"), at, |told| told);
    assert_eq!(next(&calls).target, "/v1/endpoints?since=0&timeout_ms=2000");
    from_the_first_fault(&calls, faults.len())
}

fn from_the_first_fault(calls: &Receiver<Call>, faults: usize) -> (Duration, Vec<String>) {
    let all: Vec<Call> = (0..=faults).map(|_| next(calls)).collect();
    let took = all[faults].at - all[0].at;
    (took, all.into_iter().map(|call| call.target).collect())
}

#[track_caller]
fn within(took: Duration, most: Duration) {
    assert!(took <= most, "{took:?} of {most:?}");
}

const fn millis(n: u64) -> Duration {
    Duration::from_millis(n)
}

// ======== a watch

/// Guards: a watch waited 5 s, so that what a mute connection missed came after 5.4 s, and after more where the next call failed.
#[test]
fn a_watch_that_falls_silent_is_left_when_its_answer_is_due() {
    let (took, targets) = chain("silent", &[Act::Mute]);
    within(took, millis(2400) + MARGIN);
    assert_eq!(targets, ["/v1/endpoints?since=1&timeout_ms=2000", "/v1/endpoints?since=1&timeout_ms=1"]);
}

#[test]
fn a_watch_whose_answer_never_ends_is_left_when_it_is_due() {
    within(chain("never-ends", &[NEVER_ENDS]).0, millis(2400) + MARGIN);
}

#[test]
fn a_watch_that_ends_is_made_again_at_once_and_then_soon() {
    within(chain("ends", &[Act::Ends]).0, MARGIN);
    within(chain("ends-twice", &[Act::Ends, Act::Ends]).0, millis(200) + MARGIN);
}

#[test]
fn an_answer_that_is_no_http_is_asked_for_again_at_once_and_then_soon() {
    within(chain("no-http", &[UNREADABLE_HTTP, UNREADABLE_HTTP]).0, millis(200) + MARGIN);
    within(chain("no-length", &[NO_LENGTH, NO_LENGTH]).0, millis(200) + MARGIN);
}

/// Guards: a call after one that was turned away, or whose list can't be read, waited like a watch: over a connection that
/// fell silent just then that made 8.4 s.
#[test]
fn a_call_after_one_that_failed_does_not_wait() {
    for (name, fault) in [("turned-away", TURNED_AWAY), ("unreadable", UNREADABLE_LIST)] {
        let (took, targets) = chain(name, &[fault, Act::Mute]);
        within(took, millis(3400) + MARGIN);
        assert_eq!(targets[1], "/v1/endpoints?since=1&timeout_ms=1", "after {name}");
    }
}

/// Guards: each of these was waited for by itself, 13.8 s in all.
#[test]
fn a_silent_watch_then_a_refusal_then_a_mute_connection_are_under_six_seconds_together() {
    within(chain("all", &[Act::Mute, TURNED_AWAY, Act::Mute]).0, TOLD);
}

/// Guards: the connection that had fallen silent was kept for 5 s for its answer's sake, and meanwhile each other one left
/// after 0.4 s: a service that needs longer was heard after more than 6 s.
#[test]
fn a_slow_service_is_heard_though_a_connection_fell_silent_before() {
    let (list, at) = free();
    let slow = Act::Late(millis(1500));
    let calls = scripted(list, vec![Act::Mute], slow);
    let _world = World::start("list-slow", at, |told| told);
    let first = next(&calls);
    // It has the list once it asks for what is new since then.
    let heard = std::iter::from_fn(|| Some(next(&calls))).find(|call| call.target.contains("since=1"));
    within(heard.expect("it is heard").at - first.at, TOLD - MARGIN);
}

/// Guards: at its return a silent service finds a call out, or one that comes at once, and the whole list that it answers with
/// replaces what was known.
#[test]
fn a_whole_list_after_a_gap_is_told_at_the_return() {
    let ((list, at), (backend, backend_at)) = (free(), free());
    let (other, other_at) = free();
    toy::backend(backend, "a");
    toy::backend(other, "b");
    let returns = Instant::now() + millis(4000);
    let (to, calls) = channel();
    toy::each(list, move |stream| {
        let mut from = BufReader::new(stream.try_clone()?);
        while let Some(target) = toy::target(&mut from)? {
            let known = toy::number(&target, "since");
            let body = match (Instant::now() < returns, known as u64) {
                (true, 0) => listing(&[("a", backend_at)]),
                (true, _) => continue, // down
                (false, 0 | 1) => listing(&[("b", other_at)]).replace("\"index\":1", "\"index\":2"),
                (false, _) => {
                    let _ = to.send(Instant::now()); // the test may be over
                    return Ok(());
                }
            };
            write!(&stream, "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len())?;
        }
        Ok(())
    });
    let world = World::start("list-gap", at, |told| told);
    let ask = || {
        let mut client = world.connect();
        client.write_all(toy::invocation("look", 1000).as_bytes()).expect("it reads");
        toy::reply(&mut BufReader::new(client)).expect("a reply")
    };
    sleep(millis(300));
    assert_eq!(ask(), "a look");
    let told = calls.recv_timeout(PATIENCE).expect("it asks for what comes after the whole list");
    within(told - returns, millis(400) + MARGIN);
    assert_eq!(ask(), "b look", "what a whole list doesn't name is gone");
}

// ======== a connection that is refused

/// Guards: nothing is out while the service refuses; the next try comes within 0.2 s of its return, however long it was down.
#[test]
fn a_service_that_refused_is_met_soon_after_its_return() {
    let at = help::own(7401);
    let list = TcpListener::bind(at).expect("nobody else has it");
    let until_the_watch = spawn(move || {
        let (stream, _) = list.accept().expect("the first call comes");
        let mut from = BufReader::new(stream.try_clone().expect("a second handle"));
        toy::target(&mut from).expect("a call");
        answers(&stream, at, "/v1/endpoints").expect("it reads");
        toy::target(&mut from).expect("a watch");
        // Both end here: from now on it refuses.
    });
    let world = World::start("list-refused", at, |told| told);
    until_the_watch.join().expect("a watch is out");
    world.logs("ended: refused");
    sleep(millis(1500));
    let again = TcpListener::bind(at).expect("its address is free");
    let from = Instant::now();
    let calls = scripted(again, vec![], Act::Well);
    within(next(&calls).at - from, millis(200) + MARGIN);
}

// ======== the start, and a move

/// From the first call, at a start, to the one that is answered.
fn start(name: &str, faults: &[Act]) -> Duration {
    let (list, at) = free();
    let calls = scripted(list, faults.to_vec(), Act::Well);
    let _world = World::start(&format!("list-start-{name}"), at, |told| told);
    let (took, targets) = from_the_first_fault(&calls, faults.len());
    assert!(targets.iter().all(|target| target.starts_with("/v1/endpoints?since=0&")), "{targets:?}");
    took
}

#[test]
fn at_a_start_every_failure_is_tried_again_within_six_seconds() {
    within(start("mute", &[Act::Mute, Act::Mute]), millis(2800) + MARGIN);
    within(start("ends", &[Act::Ends, Act::Ends]), millis(200) + MARGIN);
    within(start("turned-away", &[TURNED_AWAY, Act::Mute]), millis(3400) + MARGIN);
}

/// From SIGHUP to the call that is answered at the new address.
fn moved(name: &str, faults: &[Act]) -> Duration {
    let ((list, at), (new, new_at)) = (free(), free());
    let (old_calls, calls) = (scripted(list, vec![], Act::Well), scripted(new, faults.to_vec(), Act::Well));
    let world = World::start(&format!("list-moved-{name}"), at, |told| told);
    next(&old_calls);
    next(&old_calls); // a watch is out
    let told = std::fs::read_to_string(&world.file).expect("written");
    std::fs::write(&world.file, told.replace(&at.to_string(), &new_at.to_string())).expect("a file");
    let from = Instant::now();
    world.signal(Signal::SIGHUP);
    let all: Vec<Call> = (0..=faults.len()).map(|_| next(&calls)).collect();
    let last = all.last().expect("there is one");
    assert_eq!(last.target, "/v1/endpoints", "what the old service said is no version here");
    last.at - from
}

#[test]
fn after_sighup_every_failure_is_tried_again_within_four_seconds() {
    within(moved("well", &[]), MARGIN);
    within(moved("mute", &[Act::Mute, Act::Mute]), millis(800) + MARGIN);
    within(moved("ends", &[Act::Ends, Act::Ends]), millis(200) + MARGIN);
    within(moved("unreadable", &[UNREADABLE_LIST]), TOLD_AFTER_SIGHUP - MARGIN);
    within(moved("turned-away", &[TURNED_AWAY, Act::Mute]), TOLD_AFTER_SIGHUP);
}

/// The address that SIGHUP names refuses for a while.
#[test]
fn after_sighup_an_address_that_refuses_is_met_soon_after_it_listens() {
    let ((list, at), new_at) = (free(), help::own(7401));
    let old_calls = scripted(list, vec![], Act::Well);
    let world = World::start("list-moved-refused", at, |told| told);
    next(&old_calls);
    let told = std::fs::read_to_string(&world.file).expect("written");
    std::fs::write(&world.file, told.replace(&at.to_string(), &new_at.to_string())).expect("a file");
    world.signal(Signal::SIGHUP);
    world.logs("ended: refused");
    sleep(millis(700));
    let again = TcpListener::bind(new_at).expect("its address is free");
    let from = Instant::now();
    let calls = scripted(again, vec![], Act::Well);
    within(next(&calls).at - from, millis(200) + MARGIN);
}

/// A connection that never comes up is left like one that is mute.
#[test]
fn a_service_whose_connections_do_not_come_up_is_tried_again() {
    let (mut crowded, at) = help::Crowded::new();
    let _world = World::start("list-syn", at, |told| told);
    crowded.is_asked_for();
    let from = Instant::now();
    let mut first = crowded.lets_in();
    let mut said = [0; 64];
    let n = first.read(&mut said).expect("a call or an end");
    let mut call = String::from_utf8_lossy(&said[..n]).into_owned();
    if call.is_empty() {
        let mut next = crowded.listener.accept().expect("it tries again").0;
        let n = next.read(&mut said).expect("a call");
        call = String::from_utf8_lossy(&said[..n]).into_owned();
    }
    assert!(call.starts_with("GET /v1/endpoints?since=0&"), "{call}");
    within(from.elapsed(), millis(2400) + MARGIN);
}
