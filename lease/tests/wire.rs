//! Frames: what is encoded is read again, in whatever pieces; no bytes make the reader panic.
use proptest::prelude::*;
use quillramp_lease::wire::{
    encode, Answer, Entry, Frame, FrameReader, PeerIdentity, PeerMessage, WireError, MAX_ENTRIES,
    MAX_PEER_MESSAGES, VERSION,
};

fn entry() -> impl Strategy<Value = Entry> {
    (any::<u64>(), any::<u16>(), any::<i32>(), any::<u32>()).prop_map(|(tenant, plan, spent, want)| Entry {
        tenant,
        plan,
        spent,
        want,
    })
}

fn answer() -> impl Strategy<Value = Answer> {
    prop_oneof![
        (any::<u32>(), any::<u32>()).prop_map(|(granted, room)| Answer::Granted { granted, room }),
        any::<u32>().prop_map(|epoch| Answer::Moved { epoch }),
        Just(Answer::UnknownPlan),
    ]
}

fn peer_message() -> impl Strategy<Value = PeerMessage> {
    let tenant = any::<u64>;
    prop_oneof![
        tenant().prop_map(|tenant| PeerMessage::Ask { tenant }),
        (tenant(), any::<u16>()).prop_map(|(tenant, plan)| PeerMessage::Reconcile { tenant, plan }),
        (tenant(), any::<Option<u32>>(), any::<u64>())
            .prop_map(|(tenant, amount, asker)| PeerMessage::Held { tenant, amount, asker }),
        (tenant(), any::<u16>(), any::<u32>(), any::<u32>()).prop_map(|(tenant, plan, number, amount)| {
            PeerMessage::Transfer { tenant, plan, number, amount }
        }),
        (tenant(), any::<u32>(), any::<u64>())
            .prop_map(|(tenant, number, sender)| PeerMessage::Acknowledge { tenant, number, sender }),
    ]
}

fn frame() -> impl Strategy<Value = Frame> {
    prop_oneof![
        (any::<u64>(), any::<u64>(), any::<u32>()).prop_map(|(front_door, incarnation, epoch)| {
            Frame::Hello { version: VERSION, front_door, incarnation, epoch }
        }),
        (any::<u32>(), prop::collection::vec(entry(), 0..40))
            .prop_map(|(sequence, entries)| Frame::Batch { sequence, entries }),
        (any::<u32>(), prop::collection::vec(answer(), 0..40))
            .prop_map(|(sequence, answers)| Frame::Grants { sequence, answers }),
        (any::<u16>(), any::<u64>(), any::<u32>(), prop::collection::vec(peer_message(), 0..40)).prop_map(
            |(shard, incarnation, epoch, messages)| Frame::Peer {
                from: PeerIdentity { shard, incarnation },
                epoch,
                messages
            }
        ),
    ]
}

fn read_all(reader: &mut FrameReader) -> Vec<Frame> {
    std::iter::from_fn(|| reader.next_frame().expect("whole frames")).collect()
}

proptest! {
    #[test]
    fn frames_come_back_in_whatever_pieces(frames in prop::collection::vec(frame(), 1..5), size in 1usize..50) {
        let bytes: Vec<u8> = frames.iter().flat_map(encode).collect();
        let mut reader = FrameReader::default();
        let mut read = vec![];
        for piece in bytes.chunks(size) {
            reader.extend(piece);
            read.extend(read_all(&mut reader));
        }
        prop_assert_eq!(read, frames);
    }

    #[test]
    fn no_bytes_make_the_reader_panic(bytes in prop::collection::vec(any::<u8>(), 0..300)) {
        let mut reader = FrameReader::default();
        reader.extend(&bytes);
        while let Ok(Some(_)) = reader.next_frame() {}
    }

    #[test]
    fn a_spoilt_frame_makes_nobody_panic(frame in frame(), at in any::<prop::sample::Index>(), value in any::<u8>()) {
        let mut bytes = encode(&frame);
        let at = at.index(bytes.len());
        bytes[at] = value;
        let mut reader = FrameReader::default();
        reader.extend(&bytes);
        while let Ok(Some(_)) = reader.next_frame() {}
    }
}

#[test]
fn the_largest_frames_fit() {
    let entry = Entry { tenant: u64::MAX, plan: u16::MAX, spent: i32::MIN, want: u32::MAX };
    encode(&Frame::Batch { sequence: u32::MAX, entries: vec![entry; MAX_ENTRIES] });
    let answer = Answer::Granted { granted: u32::MAX, room: u32::MAX };
    encode(&Frame::Grants { sequence: u32::MAX, answers: vec![answer; MAX_ENTRIES] });
    let from = PeerIdentity { shard: u16::MAX, incarnation: u64::MAX };
    let message = PeerMessage::Held { tenant: u64::MAX, amount: Some(u32::MAX), asker: u64::MAX };
    encode(&Frame::Peer { from, epoch: u32::MAX, messages: vec![message; MAX_PEER_MESSAGES] });
}

#[test]
fn more_entries_than_allowed_are_refused() {
    let entry = Entry { tenant: 1, plan: 0, spent: 0, want: 100 };
    let mut reader = FrameReader::default();
    reader.extend(&encode(&Frame::Batch { sequence: 1, entries: vec![entry; MAX_ENTRIES + 1] }));
    assert_eq!(reader.next_frame(), Err(WireError::TooManyEntries(MAX_ENTRIES + 1)));
}

#[test]
fn bytes_behind_a_frame_within_its_length_are_refused() {
    let mut bytes = encode(&Frame::Grants { sequence: 1, answers: vec![] });
    bytes[0] += 1;
    bytes.push(0);
    let mut reader = FrameReader::default();
    reader.extend(&bytes);
    assert_eq!(reader.next_frame(), Err(WireError::Malformed(4)));
}
