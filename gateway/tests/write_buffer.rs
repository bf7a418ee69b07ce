//! The write buffer of a connection: a message can be withdrawn until a byte of it is written, and the others
//! stay complete.
use quillramp_gateway::state::write_buffer::WriteBuffer;

/// Returns a buffer with three messages of four bytes each, numbered 7, 8 and 9.
fn buffer_with_three_messages() -> WriteBuffer {
    let mut buffer = WriteBuffer::default();
    for (number, text) in [(7, b"aaaa"), (8, b"bbbb"), (9, b"cccc")] {
        buffer.append(number, |bytes| bytes.extend_from_slice(text));
    }
    buffer
}

#[test]
fn a_message_of_which_nothing_is_written_is_withdrawn_completely() {
    let mut buffer = buffer_with_three_messages();
    assert!(buffer.withdraw(8) && !buffer.withdraw(8));
    assert_eq!(buffer.bytes(), b"aaaacccc");
    assert_eq!(buffer.consume(5), 1);
    assert_eq!(buffer.bytes(), b"ccc");
}

#[test]
fn a_message_that_is_partly_written_is_not_withdrawn() {
    let mut buffer = buffer_with_three_messages();
    assert_eq!(buffer.consume(1), 0);
    assert!(!buffer.withdraw(7));
    assert!(buffer.withdraw(9) && buffer.withdraw(8));
    assert_eq!(buffer.bytes(), b"aaa");
    assert_eq!(buffer.consume(3), 1);
    assert!(buffer.is_empty() && !buffer.withdraw(7));
}

#[test]
fn a_message_that_starts_where_the_written_bytes_end_is_withdrawn() {
    let mut buffer = buffer_with_three_messages();
    assert_eq!(buffer.consume(4), 1);
    assert!(buffer.withdraw(8));
    buffer.append(10, |bytes| bytes.extend_from_slice(b"dddd"));
    assert!(buffer.withdraw(9));
    assert_eq!(buffer.bytes(), b"dddd");
    assert_eq!(buffer.consume(4), 1);
}
