//! The undecoded input of a connection: which commands are buffered and which are dropped when they arrive
//! faster than they are accepted.
use quillramp_gateway::state::backlog::{Backlog, IncompleteCommand, Rejection, MAX_DROPPED_COMMANDS};
use quillramp_gateway::wire::resp::{command_extent, decode_command, Extent};

/// Number of bytes by which a buffer grows.
const GROWTH_STEP: usize = 1024;

fn command_with_body(body_length: usize) -> Vec<u8> {
    let head = "*5\r\n$9\r\nCALL.POST\r\n$16\r\n0000000000000001\r\n$16\r\n0000000000000002\r\n$3\r\nc=x\r\n";
    format!("{head}${body_length}\r\n{}\r\n", "b".repeat(body_length)).into_bytes()
}

/// Takes all rejections of dropped commands that are due; returns their number.
fn rejected_count(backlog: &mut Backlog) -> usize {
    std::iter::repeat_with(|| backlog.next_rejection())
        .take_while(|rejection| *rejection == Some(Rejection::Command))
        .count()
}

#[test]
fn an_extent_is_the_length_of_the_decoded_command() {
    for text in [
        command_with_body(0),
        command_with_body(70_000),
        b"*1\r\n$4\r\nPING\r\n".to_vec(),
        b"*0\r\n".to_vec(),
    ] {
        let length = decode_command(&text).expect("valid framing").expect("a complete command").length;
        assert_eq!(command_extent(&text), Ok(Extent::Complete(length)));
        for cut in 0..text.len().min(200) {
            let extent = command_extent(&text[..cut]).expect("valid framing");
            assert!(
                extent == Extent::Unknown || extent == Extent::Missing(text.len() - cut),
                "cut after {cut} bytes: {extent:?}"
            );
        }
    }
    let long = command_with_body(70_000);
    assert_eq!(command_extent(&long[..1000]), Ok(Extent::Missing(long.len() - 1000)));
    for text in ["PING\r\n", "*1\r\n$-1\r\n", "*1\r\n$-7\r\n", "*1\r\n:5\r\n", "*2\r\n$70000\r\n"] {
        assert!(
            command_extent(text.as_bytes()).is_err() && decode_command(text.as_bytes()).is_err(),
            "{text:?}"
        );
    }
}

#[test]
fn complete_commands_are_buffered_and_later_ones_dropped_in_pieces_of_any_size() {
    let commands = [
        command_with_body(3),
        command_with_body(70_000),
        b"*1\r\n$4\r\nPING\r\n".to_vec(),
        command_with_body(5),
    ]
    .concat();
    for piece_length in [1, 7, 4096, 100_000] {
        let mut backlog = Backlog::default();
        backlog.extend(&command_with_body(3), GROWTH_STEP);
        backlog.extend(&command_with_body(9)[..20], GROWTH_STEP);
        backlog.start_dropping();
        backlog.extend(&command_with_body(9)[20..], GROWTH_STEP);
        for bytes in commands.chunks(piece_length) {
            backlog.extend(bytes, GROWTH_STEP);
            assert!(backlog.len() < 70_000, "{} bytes are buffered", backlog.len());
        }
        assert!(
            backlog.decodable() == command_with_body(3)
                && rejected_count(&mut backlog) == 0
                && !backlog.try_stop_dropping()
        );
        backlog.consume(command_with_body(3).len());
        assert_eq!(rejected_count(&mut backlog), 5, "in pieces of {piece_length} bytes");
        assert!(backlog.try_stop_dropping() && backlog.is_empty());
        backlog.extend(&command_with_body(2), GROWTH_STEP);
        assert_eq!(backlog.decodable(), command_with_body(2));
    }
}

#[test]
fn a_dropped_command_is_rejected_once_all_of_it_has_arrived() {
    let (long, mut backlog) = (command_with_body(200_000), Backlog::default());
    backlog.extend(&long[..80_000], GROWTH_STEP);
    backlog.start_dropping();
    assert_eq!((backlog.len(), backlog.is_empty()), (0, false));
    backlog.extend(&long[80_000..long.len() - 1], GROWTH_STEP);
    assert!(rejected_count(&mut backlog) == 0 && !backlog.try_stop_dropping());
    backlog.extend(&[&long[long.len() - 1..], &command_with_body(1)[..]].concat(), GROWTH_STEP);
    assert_eq!(rejected_count(&mut backlog), 2);
    assert!(backlog.try_stop_dropping());
}

#[test]
fn malformed_input_after_dropped_commands_is_decoded_in_order() {
    let mut backlog = Backlog::default();
    backlog.extend(&command_with_body(1), GROWTH_STEP);
    backlog.start_dropping();
    backlog.extend(&[&command_with_body(2)[..], b"nonsense\r\n"].concat(), GROWTH_STEP);
    backlog.extend(&command_with_body(3), GROWTH_STEP);
    backlog.consume(command_with_body(1).len());
    assert_eq!(rejected_count(&mut backlog), 1);
    assert!(backlog.try_stop_dropping());
    assert!(decode_command(backlog.decodable()).is_err());
}

#[test]
fn input_is_discarded_once_too_many_commands_have_been_dropped() {
    let (ping, mut backlog) = (b"*1\r\n$4\r\nPING\r\n", Backlog::default());
    backlog.start_dropping();
    for _ in 0..MAX_DROPPED_COMMANDS + 100 {
        backlog.extend(ping, GROWTH_STEP);
    }
    assert_eq!(rejected_count(&mut backlog), MAX_DROPPED_COMMANDS + 1);
    assert_eq!((backlog.try_stop_dropping(), backlog.len()), (false, 0));
    assert_eq!(backlog.next_rejection(), Some(Rejection::Overflow));
}

/// Guards against a request whose client's time is not known while it waits for memory, or whose end is in the kernel and
/// taken for a part.
#[test]
fn the_missing_bytes_and_the_timeout_of_an_incomplete_command_are_known_once_its_body_begins() {
    let arguments = "c=order,t=small,d=450,units=1,spread=1,first=0";
    let head = format!(
        "*5\r\n$9\r\nCALL.POST\r\n$16\r\n0000000000000005\r\n$16\r\n0000000000000001\r\n${}\r\n{arguments}\r\n",
        arguments.len()
    );
    let command = format!("{head}$100000\r\n{}\r\n", "b".repeat(100_000));
    for received in [0, 20, head.len() - 1] {
        let mut backlog = Backlog::default();
        backlog.extend(&command.as_bytes()[..received], 1024);
        let expected = IncompleteCommand { missing_bytes: usize::MAX, timeout_ms: None };
        assert_eq!(backlog.incomplete_command(), expected, "{received} bytes");
    }
    for received in [head.len() + 20, 70_000, command.len() - 1] {
        let mut backlog = Backlog::default();
        backlog.extend(&command.as_bytes()[..received], 1024);
        let expected = IncompleteCommand { missing_bytes: command.len() - received, timeout_ms: Some(450.0) };
        assert_eq!(backlog.incomplete_command(), expected, "{received} bytes");
    }
}
