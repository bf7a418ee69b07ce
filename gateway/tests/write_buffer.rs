//! The output buffer of a connection: what may still be withdrawn, and that the messages round it stay whole.
use quillramp_gateway::state::write_buffer::WriteBuffer;

/// Three messages of four bytes each.
fn buffer_with_three_messages() -> WriteBuffer {
    let mut out = WriteBuffer::default();
    for (number, text) in [(7, b"aaaa"), (8, b"bbbb"), (9, b"cccc")] {
        out.append(number, |buffer| buffer.extend_from_slice(text));
    }
    out
}

#[test]
fn a_message_that_has_not_begun_to_leave_is_withdrawn_whole() {
    let mut out = buffer_with_three_messages();
    assert!(out.withdraw(8) && !out.withdraw(8));
    assert_eq!(out.bytes(), b"aaaacccc");
    assert_eq!(out.consume(5), 1);
    assert_eq!(out.bytes(), b"ccc");
}

#[test]
fn a_message_that_has_begun_to_leave_is_finished() {
    let mut out = buffer_with_three_messages();
    assert_eq!(out.consume(1), 0);
    assert!(!out.withdraw(7));
    assert!(out.withdraw(9) && out.withdraw(8));
    assert_eq!(out.bytes(), b"aaa");
    assert_eq!(out.consume(3), 1);
    assert!(out.is_empty() && !out.withdraw(7));
}

#[test]
fn a_message_that_begins_where_the_written_part_ends_has_not_begun() {
    let mut out = buffer_with_three_messages();
    assert_eq!(out.consume(4), 1);
    assert!(out.withdraw(8));
    out.append(10, |buffer| buffer.extend_from_slice(b"dddd"));
    assert!(out.withdraw(9));
    assert_eq!(out.bytes(), b"dddd");
    assert_eq!(out.consume(4), 1);
}
