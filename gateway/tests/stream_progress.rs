//! Progress of streamed values: what tells one that moves from one that does not.
use quillramp_gateway::state::stream_progress::{InterruptedStream, StreamProgress};

/// Guards against a value that is given up for its descriptors although its backend writes or its client reads.
#[test]
fn bytes_from_the_backend_and_bytes_that_the_client_takes_end_a_silence() {
    let mut progress = StreamProgress::start(10.0, 100_000);
    assert_eq!(progress.silence(12.0), 2.0);
    progress.record_received(13.0, 60_000);
    progress.record_received(14.0, 0);
    assert_eq!(progress.silence(15.0), 2.0);
    progress.record_unacknowledged(16.0, 40_000);
    progress.record_unacknowledged(17.0, 39_999);
    assert_eq!(progress.silence(17.5), 0.5);
    progress.record_unacknowledged(18.0, 39_999);
    assert_eq!(progress.silence(18.5), 1.5);
    let expected = InterruptedStream { length: 100_000, received: 60_000, silence: 2.0 };
    assert_eq!(progress.interrupted(19.0), expected);
}
