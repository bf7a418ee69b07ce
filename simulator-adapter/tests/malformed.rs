//! Malformed frames of the simulator's wire protocol: each is reported as an error, and none causes a panic.
use expect_test::expect;
use quillramp_simulator_adapter::frame::{self, ACTION_BYTES, EVENT_BYTES};
use quillramp_simulator_adapter::Host;

/// Size of the header of an event frame, in bytes.
const HEADER_BYTES: usize = 16;
/// Size of the header of an action frame, in bytes.
const REPLY_HEADER_BYTES: usize = 8;
/// Simulated time in the header of each frame, in microseconds.
const CLOCK: u64 = 7_000_000;

// Codes of event records.
const INSTANCE: u8 = 10;
const STARTED: u8 = 60;
const SUBMITTED: u8 = 120;

/// Encodes a frame with these event records and this tail.
fn frame_bytes(records: &[Vec<u8>], tail: &[u8]) -> Vec<u8> {
    let length = HEADER_BYTES + records.len() * EVENT_BYTES + tail.len();
    let mut bytes = (records.len() as u32).to_le_bytes().to_vec();
    bytes.extend((length as u32).to_le_bytes());
    bytes.extend(CLOCK.to_le_bytes());
    for record in records {
        bytes.extend(record);
        bytes.resize(bytes.len() + EVENT_BYTES - record.len(), 0);
    }
    bytes.extend(tail);
    bytes
}

/// Returns the error that is reported for a frame with these event records and this tail.
fn reported_error(records: &[Vec<u8>], tail: &[u8]) -> String {
    match frame::read(&mut &frame_bytes(records, tail)[..]) {
        Err(error) => format!("fatal: {error}\n"),
        Ok(None) => "end of input\n".into(),
        Ok(Some(Err(error))) => format!("malformed: {error}\n"),
        Ok(Some(Ok(batch))) => {
            let reply = Host::default().handle(&batch);
            let actions = u32::from_le_bytes(reply[..4].try_into().expect("four bytes")) as usize;
            let message = &reply[REPLY_HEADER_BYTES + actions * ACTION_BYTES..];
            format!("malformed: {}\n", String::from_utf8_lossy(message))
        }
    }
}

/// Encodes a record that starts an instance. Its settings have this length and are at the start of the tail.
fn start_record(settings_length: u8) -> Vec<u8> {
    let offset_and_length = [0, 0, 0, 0, settings_length, 0, 0, 0];
    [vec![STARTED], vec![0; 8], offset_and_length.to_vec()].concat()
}

#[test]
fn malformed_frames_are_reported_without_a_panic() {
    let instance = vec![INSTANCE, 3, 0, 0, 0];
    let mut errors = reported_error(&[vec![SUBMITTED]], &[]);
    errors += &reported_error(&[instance.clone(), vec![SUBMITTED]], &[]);
    errors += &reported_error(&[instance.clone(), start_record(9)], b"short");
    errors += &reported_error(&[instance.clone(), start_record(5)], b"short");
    errors += &reported_error(&[instance, start_record(13)], b"{\"tiers\": []}");
    let truncated =
        frame::read(&mut &[1u8, 0, 0][..]).map(|_| ()).expect_err("a truncated header is an error");
    errors += &format!("fatal: {truncated}\n");
    expect![[r#"
        malformed: record 0 (code 120): no instance was named before it
        malformed: record 1 (code 120): instance 3 has not started
        malformed: record 1 (code 60): offset 0 with 9 x 1 bytes lies outside the tail of 5
        malformed: record 1 (code 60): settings: expected value at line 1 column 1
        malformed: record 1 (code 60): settings: missing field `balancers` at line 1 column 13
        fatal: truncated frame header: received 3 of 16 bytes
    "#]]
    .assert_eq(&errors);
}
