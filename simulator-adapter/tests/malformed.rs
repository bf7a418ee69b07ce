//! Malformed frames of the drill's protocol: each error is reported, and none causes a panic.
use expect_test::expect;
use quillramp_simulator_adapter::frame::{self, ACTION_BYTES, EVENT_BYTES};
use quillramp_simulator_adapter::Host;

const HEADER_BYTES: usize = 16;
/// Bytes of a reply before its actions.
const REPLY_HEADER_BYTES: usize = 8;
/// The clock in each frame's header.
const CLOCK: u64 = 7_000_000;

/// Codes of event records.
const INSTANCE: u8 = 10;
const STARTED: u8 = 60;
const SUBMITTED: u8 = 120;

/// A frame of these event records and this tail.
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

/// The error that is reported for a frame of these event records and this tail.
fn reported_error(records: &[Vec<u8>], tail: &[u8]) -> String {
    match frame::read(&mut &frame_bytes(records, tail)[..]) {
        Err(error) => format!("stop: {error}\n"),
        Ok(None) => "end\n".into(),
        Ok(Some(Err(error))) => format!("broken: {error}\n"),
        Ok(Some(Ok(batch))) => {
            let reply = Host::default().handle(&batch);
            let actions = u32::from_le_bytes(reply[..4].try_into().expect("four bytes")) as usize;
            let message = &reply[REPLY_HEADER_BYTES + actions * ACTION_BYTES..];
            format!("broken: {}\n", String::from_utf8_lossy(message))
        }
    }
}

/// The record that starts an instance with settings of this length at the start of the tail.
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
    let truncated = frame::read(&mut &[1u8, 0, 0][..]).map(|_| ()).expect_err("cut short");
    errors += &format!("stop: {truncated}\n");
    expect![[r#"
        broken: record 0 (code 120): no instance was named before it
        broken: record 1 (code 120): instance 3 has not started
        broken: record 1 (code 60): offset 0 with 9 x 1 bytes lies outside the tail of 5
        broken: record 1 (code 60): settings: expected value at line 1 column 1
        broken: record 1 (code 60): settings: missing field `balancers` at line 1 column 13
        stop: frame header cut short: 3 of 16 bytes
    "#]]
    .assert_eq(&errors);
}
