//! Malformed frames: each fault is reported, and none panics.
use expect_test::expect;
use quillramp_simulator_adapter::frame::{self, ACTION_BYTES, EVENT_BYTES};
use quillramp_simulator_adapter::Host;

const HEADER_BYTES: usize = 16;
const CLOCK: u64 = 7_000_000;

/// The fault that is reported for a frame of these event records and this tail.
fn reported_fault(records: &[Vec<u8>], tail: &[u8]) -> String {
    let length = HEADER_BYTES + records.len() * EVENT_BYTES + tail.len();
    let mut bytes = (records.len() as u32).to_le_bytes().to_vec();
    bytes.extend((length as u32).to_le_bytes());
    bytes.extend(CLOCK.to_le_bytes());
    for record in records {
        bytes.extend(record);
        bytes.resize(bytes.len() + EVENT_BYTES - record.len(), 0);
    }
    bytes.extend(tail);
    match frame::read(&mut &bytes[..]) {
        Err(error) => format!("stop: {error}\n"),
        Ok(None) => "end\n".into(),
        Ok(Some(Err(error))) => format!("broken: {error}\n"),
        Ok(Some(Ok(batch))) => {
            let reply = Host::default().handle(&batch);
            let actions = u32::from_le_bytes(reply[..4].try_into().expect("four bytes")) as usize;
            format!("broken: {}\n", String::from_utf8_lossy(&reply[8 + actions * ACTION_BYTES..]))
        }
    }
}

#[test]
fn malformed_frames_are_reported_without_a_panic() {
    let instance = vec![10, 3, 0, 0, 0];
    let start = |length: u8| [vec![60], vec![0; 8], vec![0, 0, 0, 0, length, 0, 0, 0]].concat();
    let mut faults = reported_fault(&[vec![120]], &[]);
    faults += &reported_fault(&[instance.clone(), vec![120]], &[]);
    faults += &reported_fault(&[instance.clone(), start(9)], b"short");
    faults += &reported_fault(&[instance.clone(), start(5)], b"short");
    faults += &reported_fault(&[instance, start(13)], b"{\"tiers\": []}");
    let truncated = frame::read(&mut &[1u8, 0, 0][..]).map(|_| ()).expect_err("cut short");
    faults += &format!("stop: {truncated}\n");
    expect![[r#"
        broken: record 0 (code 120): no instance was named before it
        broken: record 1 (code 120): instance 3 has not started
        broken: record 1 (code 60): offset 0 with 9 x 1 bytes lies outside the tail of 5
        broken: record 1 (code 60): settings: expected value at line 1 column 1
        broken: record 1 (code 60): settings: missing field `balancers` at line 1 column 13
        stop: frame header cut short: 3 of 16 bytes
    "#]]
    .assert_eq(&faults);
}
