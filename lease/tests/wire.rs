//! Encoding and decoding of frames: round trips through pieces of any size, and a decoder that never panics.
use proptest::prelude::*;
use quillramp_lease::wire::{
    encode, BatchEntry, EntryResponse, Frame, FrameDecoder, PeerIdentity, PeerMessage, WireError,
    MAX_BATCH_ENTRIES, MAX_PEER_MESSAGES, PROTOCOL_VERSION,
};

fn batch_entry() -> impl Strategy<Value = BatchEntry> {
    (any::<u64>(), any::<u16>(), any::<i32>(), any::<u32>()).prop_map(
        |(tenant, plan, spent_hundredths, requested_hundredths)| BatchEntry {
            tenant,
            plan,
            spent_hundredths,
            requested_hundredths,
        },
    )
}

fn entry_response() -> impl Strategy<Value = EntryResponse> {
    prop_oneof![
        (any::<u32>(), any::<u32>()).prop_map(|(granted_hundredths, available_units)| {
            EntryResponse::Granted { granted_hundredths, available_units }
        }),
        any::<u32>().prop_map(|epoch| EntryResponse::Moved { epoch }),
        Just(EntryResponse::UnknownPlan),
    ]
}

fn peer_message() -> impl Strategy<Value = PeerMessage> {
    let tenant = any::<u64>;
    prop_oneof![
        tenant().prop_map(|tenant| PeerMessage::RequestTransfer { tenant }),
        (tenant(), any::<u16>()).prop_map(|(tenant, plan)| PeerMessage::Reconcile { tenant, plan }),
        (tenant(), any::<Option<u32>>(), any::<u64>()).prop_map(
            |(tenant, allocated_ppm, requester_incarnation)| PeerMessage::ReconcileResponse {
                tenant,
                allocated_ppm,
                requester_incarnation
            }
        ),
        (tenant(), any::<u16>(), any::<u32>(), any::<u32>()).prop_map(
            |(tenant, plan, transfer_number, amount_ppm)| {
                PeerMessage::Transfer { tenant, plan, transfer_number, amount_ppm }
            }
        ),
        (tenant(), any::<u32>(), any::<u64>()).prop_map(|(tenant, transfer_number, sender_incarnation)| {
            PeerMessage::Acknowledge { tenant, transfer_number, sender_incarnation }
        }),
    ]
}

fn frame() -> impl Strategy<Value = Frame> {
    prop_oneof![
        (any::<u64>(), any::<u64>(), any::<u32>()).prop_map(|(gateway, incarnation, epoch)| {
            Frame::Hello { version: PROTOCOL_VERSION, gateway, incarnation, epoch }
        }),
        (any::<u32>(), prop::collection::vec(batch_entry(), 0..40))
            .prop_map(|(sequence, entries)| Frame::Batch { sequence, entries }),
        (any::<u32>(), prop::collection::vec(entry_response(), 0..40))
            .prop_map(|(sequence, responses)| Frame::BatchResponse { sequence, responses }),
        (any::<u16>(), any::<u64>(), any::<u32>(), prop::collection::vec(peer_message(), 0..40)).prop_map(
            |(shard, incarnation, epoch, messages)| Frame::Peer {
                from: PeerIdentity { shard, incarnation },
                epoch,
                messages
            }
        ),
    ]
}

fn decode_all(decoder: &mut FrameDecoder) -> Vec<Frame> {
    std::iter::from_fn(|| decoder.next_frame().expect("valid frames")).collect()
}

proptest! {
    #[test]
    fn frames_are_decoded_from_pieces_of_any_size(
        frames in prop::collection::vec(frame(), 1..5),
        piece_size in 1usize..50,
    ) {
        let bytes: Vec<u8> = frames.iter().flat_map(encode).collect();
        let mut decoder = FrameDecoder::default();
        let mut decoded = vec![];
        for piece in bytes.chunks(piece_size) {
            decoder.extend(piece);
            decoded.extend(decode_all(&mut decoder));
        }
        prop_assert_eq!(decoded, frames);
    }

    #[test]
    fn arbitrary_bytes_do_not_make_the_decoder_panic(bytes in prop::collection::vec(any::<u8>(), 0..300)) {
        let mut decoder = FrameDecoder::default();
        decoder.extend(&bytes);
        while let Ok(Some(_)) = decoder.next_frame() {}
    }

    #[test]
    fn a_corrupted_frame_does_not_make_the_decoder_panic(
        frame in frame(),
        index in any::<prop::sample::Index>(),
        value in any::<u8>(),
    ) {
        let mut bytes = encode(&frame);
        let offset = index.index(bytes.len());
        bytes[offset] = value;
        let mut decoder = FrameDecoder::default();
        decoder.extend(&bytes);
        while let Ok(Some(_)) = decoder.next_frame() {}
    }
}

/// Encoding panics if a frame is too large for its length field, so the entry limits must prevent that.
#[test]
fn the_largest_frames_can_be_encoded() {
    let entry = BatchEntry {
        tenant: u64::MAX,
        plan: u16::MAX,
        spent_hundredths: i32::MIN,
        requested_hundredths: u32::MAX,
    };
    encode(&Frame::Batch { sequence: u32::MAX, entries: vec![entry; MAX_BATCH_ENTRIES] });
    let response = EntryResponse::Granted { granted_hundredths: u32::MAX, available_units: u32::MAX };
    encode(&Frame::BatchResponse { sequence: u32::MAX, responses: vec![response; MAX_BATCH_ENTRIES] });
    let from = PeerIdentity { shard: u16::MAX, incarnation: u64::MAX };
    let message = PeerMessage::ReconcileResponse {
        tenant: u64::MAX,
        allocated_ppm: Some(u32::MAX),
        requester_incarnation: u64::MAX,
    };
    encode(&Frame::Peer { from, epoch: u32::MAX, messages: vec![message; MAX_PEER_MESSAGES] });
}

#[test]
fn a_frame_with_too_many_entries_is_rejected() {
    let entry = BatchEntry { tenant: 1, plan: 0, spent_hundredths: 0, requested_hundredths: 100 };
    let mut decoder = FrameDecoder::default();
    decoder.extend(&encode(&Frame::Batch { sequence: 1, entries: vec![entry; MAX_BATCH_ENTRIES + 1] }));
    assert_eq!(decoder.next_frame(), Err(WireError::TooManyEntries(MAX_BATCH_ENTRIES + 1)));
}

#[test]
fn trailing_bytes_in_a_frame_are_rejected() {
    let mut bytes = encode(&Frame::BatchResponse { sequence: 1, responses: vec![] });
    bytes[0] += 1; // the length in the header
    bytes.push(0);
    let mut decoder = FrameDecoder::default();
    decoder.extend(&bytes);
    assert_eq!(decoder.next_frame(), Err(WireError::Malformed(4)));
}
