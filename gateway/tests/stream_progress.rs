//! Which streamed values are given up once their clients' timeouts have expired.
use quillramp_gateway::state::stream_progress::StreamProgress;

/// Interval between two checks, in seconds.
const CHECK_INTERVAL: f64 = 0.1;
/// Time after a request's timeout from which on it counts as lost, in seconds.
const LOST_AFTER: f64 = 0.5;

/// Plays a stream whose backend writes these pieces (time in seconds, bytes) from 0 s on, to a client that reads at
/// once; returns when the stream is given up, or `None` if that does not happen within `end` seconds.
fn given_up_at(pieces: &[(f64, usize)], timeout: f64, end: f64) -> Option<f64> {
    let mut progress = StreamProgress::start(0.0);
    let mut pieces = pieces.iter().peekable();
    let checks = (0..).map(|check| timeout + f64::from(check) * CHECK_INTERVAL);
    for now in checks.take_while(|now| *now <= end) {
        while let Some((at, bytes)) = pieces.next_if(|(at, _)| *at <= now) {
            progress.record(*at, *bytes);
        }
        if progress.is_stalled(now, now - timeout, true) {
            return Some(now);
        }
    }
    None
}

/// Returns pieces of 20 KiB with this pause between two of them, in seconds.
fn steady(pause: f64, count: u32) -> Vec<(f64, usize)> {
    (0..count).map(|piece| (f64::from(piece) * pause, 20 * 1024)).collect()
}

/// Guards against a slow value that is cut off at its client's timeout while its backend goes on.
#[test]
fn a_value_with_regular_pauses_is_not_given_up() {
    for timeout in [0.4, 0.7, 1.0, 1.5, 3.0] {
        for pause in [0.01, 0.1, 0.21, 0.4, 0.7] {
            let end = f64::from(40) * pause;
            assert_eq!(given_up_at(&steady(pause, 41), timeout, end), None, "{pause} s between two pieces");
        }
    }
    assert_eq!(given_up_at(&steady(1.2, 20), 1.5, 22.0), None);
}

/// Guards against a client that waits past its time for a value that never ends.
#[test]
fn a_value_whose_backend_falls_silent_before_the_timeout_is_given_up_before_it_is_lost() {
    for (pieces, timeout) in [
        (steady(1.0, 1), 1.0),
        (steady(0.01, 20), 1.5),
        (steady(0.1, 5), 1.5),
        (steady(0.1, 15), 1.5),
        (steady(0.2, 3), 3.0),
    ] {
        let given_up = given_up_at(&pieces, timeout, timeout + 10.0).expect("the stream ends");
        assert!(given_up - timeout < LOST_AFTER, "{given_up} s, timeout {timeout} s");
    }
}

/// Guards against a value that holds its connections for good: every silence has an end.
#[test]
fn a_value_whose_backend_falls_silent_after_the_timeout_is_given_up() {
    let given_up = given_up_at(&steady(0.5, 8), 1.5, 60.0).expect("the stream ends");
    assert!(given_up > 3.5 && given_up < 6.0, "{given_up} s");
}

/// Guards against a value of which a byte a second keeps its connections for days.
#[test]
fn a_value_that_trickles_is_given_up() {
    let trickle: Vec<(f64, usize)> = (0..200).map(|second| (f64::from(second), 1)).collect();
    let given_up = given_up_at(&trickle, 1.5, 200.0).expect("the stream ends");
    assert!(given_up < 31.0, "{given_up} s");
    assert_eq!(given_up_at(&steady(1.0, 200), 1.5, 199.0), None, "20 KiB a second");
}

/// Guards against a value that is given up because its client reads slowly.
#[test]
fn a_value_that_waits_for_its_client_is_not_given_up_for_30_s() {
    let progress = StreamProgress::start(0.0);
    assert!(!progress.is_stalled(29.0, 27.5, false));
    assert!(progress.is_stalled(30.0, 28.5, false));
}
