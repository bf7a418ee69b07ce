//! One front door and one shard, step by step: what each does with repeats, late answers and a shard that is down.
use quillramp_lease::client::{
    ClientOutput, ClientSettings, LeaseClient, LeaseOutcome, LeaseRequest, RequestId,
};
use quillramp_lease::shard::{Shard, ShardOutput, ShardSettings};
use quillramp_lease::shard_map::{Plan, Region, ShardEntry, ShardMap};
use quillramp_lease::wire::{encode, BatchEntry, Frame, FrameDecoder, PROTOCOL_VERSION};

const NOW: f64 = 1000.0;
const LATER: f64 = 2000.0;

fn map(epoch: u32, shards: &[u16]) -> ShardMap {
    let entry = |id: &u16| ShardEntry { id: *id, address: ([127, 0, 0, 1], 7000 + *id).into() };
    let shards = shards.iter().map(entry).collect();
    ShardMap {
        epoch,
        active_at: 0.0,
        plans: vec![Plan { name: "team".into(), rate: 1.0, burst: 50.0 }],
        regions: vec![Region { name: "north".into(), quota_fraction: 1.0, shards }],
    }
}

fn shard(started: f64) -> Shard {
    let settings = ShardSettings { id: 1, region: "north".into(), incarnation: 1, injected_fault: None };
    Shard::new(started, settings, map(1, &[1])).expect("a good map")
}

fn client() -> LeaseClient {
    LeaseClient::new(ClientSettings::new(5, 1, "north"), map(1, &[1])).expect("a good map")
}

fn request_units(want: f64, deadline: f64) -> LeaseRequest {
    LeaseRequest { tenant: 9, plan: 0, requested_units: want, spent_units: 0.0, deadline }
}

fn sent(client: &mut LeaseClient) -> Vec<u8> {
    let bytes = client.poll_outputs().into_iter().filter_map(|output| match output {
        ClientOutput::Send { bytes, .. } => Some(bytes),
        _ => None,
    });
    bytes.flatten().collect()
}

fn completed(client: &mut LeaseClient) -> Vec<(RequestId, LeaseOutcome)> {
    let completed = client.poll_outputs().into_iter().filter_map(|output| match output {
        ClientOutput::Completed { request_id, outcome } => Some((request_id, outcome)),
        _ => None,
    });
    completed.collect()
}

fn answers(shard: &mut Shard) -> Vec<u8> {
    let bytes = shard.poll_outputs().into_iter().filter_map(|output| match output {
        ShardOutput::Send { bytes, .. } => Some(bytes),
        _ => None,
    });
    bytes.flatten().collect()
}

/// A client with an open connection whose first batch asks for that much, and the batch's bytes.
fn connected_asking(want: f64) -> (LeaseClient, RequestId, Vec<u8>) {
    let mut client = client();
    let request_id = client.submit(LATER, request_units(want, LATER + 1.0));
    assert!(matches!(client.poll_outputs()[..], [ClientOutput::Connect { shard: 1, .. }]));
    client.handle_connected(LATER, 1);
    let bytes = sent(&mut client);
    (client, request_id, bytes)
}

#[test]
fn a_lease_is_granted_in_pieces_of_bytes() {
    let (mut client, request_id, bytes) = connected_asking(4.0);
    let mut shard = shard(NOW);
    for byte in bytes {
        shard.receive(LATER, 1, &[byte]);
    }
    for byte in answers(&mut shard) {
        client.receive(LATER, 1, &[byte]);
    }
    assert_eq!(
        completed(&mut client),
        [(request_id, LeaseOutcome::Granted { units: 4.0, available_units: 46 })]
    );
}

#[test]
fn a_batch_sent_again_gets_the_same_answer_and_counts_once() {
    let (mut client, request_id, bytes) = connected_asking(4.0);
    let mut shard = shard(NOW);
    shard.receive(LATER, 1, &bytes);
    let lost = answers(&mut shard);
    client.handle_disconnected(LATER, 1);
    client.handle_connected(LATER, 1);
    let again = sent(&mut client);
    assert_eq!(again, bytes, "the same frames, Hello included");
    shard.receive(LATER, 2, &again);
    let answer = answers(&mut shard);
    assert_eq!(answer, lost);
    client.receive(LATER, 1, &answer);
    assert_eq!(
        completed(&mut client),
        [(request_id, LeaseOutcome::Granted { units: 4.0, available_units: 46 })]
    );
}

#[test]
fn requests_of_one_tenant_go_as_one_entry_and_share_the_grant_in_order() {
    let (mut client, first, bytes) = connected_asking(40.0);
    let behind = [8.0, 5.0].map(|want| client.submit(LATER, request_units(want, LATER + 1.0)));
    assert!(sent(&mut client).is_empty(), "one batch in flight");
    let mut shard = shard(NOW);
    shard.receive(LATER, 1, &bytes);
    client.receive(LATER, 1, &answers(&mut shard));
    shard.receive(LATER, 1, &sent_and_replied(&mut client, first));
    client.receive(LATER, 1, &answers(&mut shard));
    let granted = |units| LeaseOutcome::Granted { units, available_units: 0 };
    assert_eq!(completed(&mut client), [(behind[0], granted(8.0)), (behind[1], granted(2.0))]);
}

fn sent_and_replied(client: &mut LeaseClient, request_id: RequestId) -> Vec<u8> {
    let mut bytes = vec![];
    let mut replied = false;
    for output in client.poll_outputs() {
        match output {
            ClientOutput::Send { bytes: more, .. } => bytes.extend(more),
            ClientOutput::Completed { request_id: ended, .. } => replied |= ended == request_id,
            other => panic!("{other:?}"),
        }
    }
    assert!(replied);
    let mut reader = FrameDecoder::default();
    reader.extend(&bytes);
    let Ok(Some(Frame::Batch { entries, .. })) = reader.next_frame() else { panic!("a batch") };
    assert_eq!(entries, [BatchEntry { tenant: 9, plan: 0, spent_hundredths: 0, requested_hundredths: 1300 }]);
    bytes
}

#[test]
fn requests_end_at_their_deadline() {
    let (mut client, request_id, bytes) = connected_asking(4.0);
    let mut shard = shard(NOW);
    shard.receive(LATER, 1, &bytes);
    client.handle_timeout(LATER + 1.0); // the batch is over its time as well: the connection ends
    assert!(completed(&mut client).contains(&(request_id, LeaseOutcome::Unconfirmed)));

    let (mut client, request_id, _) = connected_asking(4.0);
    client.handle_timeout(LATER + 0.4);
    assert!(completed(&mut client).is_empty());
    let short = client.submit(LATER + 0.4, request_units(1.0, LATER + 0.45));
    client.handle_timeout(LATER + 0.45);
    assert_eq!(completed(&mut client), [(short, LeaseOutcome::NotApplied)], "never sent");
    client.receive(LATER + 0.46, 1, &answers(&mut shard));
    assert_eq!(
        completed(&mut client),
        [(request_id, LeaseOutcome::Granted { units: 4.0, available_units: 46 })]
    );
}

#[test]
fn units_that_nobody_waits_for_any_longer_go_back_by_themselves() {
    let mut client = client();
    let request_id = client.submit(LATER, request_units(4.0, LATER + 0.1));
    client.handle_connected(LATER, 1);
    let bytes = sent(&mut client);
    client.handle_timeout(LATER + 0.1);
    assert_eq!(completed(&mut client), [(request_id, LeaseOutcome::Unconfirmed)]);
    let mut shard = shard(NOW);
    shard.receive(LATER + 0.1, 1, &bytes);
    client.receive(LATER + 0.1, 1, &answers(&mut shard));
    let due = client.poll_timeout().expect("a return waits");
    client.handle_timeout(due);
    shard.receive(due, 1, &sent(&mut client));
    client.receive(due, 1, &answers(&mut shard));
    let again = client.submit(due, request_units(50.0, due + 1.0));
    shard.receive(due, 1, &sent(&mut client));
    client.receive(due, 1, &answers(&mut shard));
    assert_eq!(completed(&mut client), [(again, LeaseOutcome::Granted { units: 50.0, available_units: 0 })]);
}

#[test]
fn while_a_shard_is_down_requests_end_at_once_and_reports_wait() {
    let (mut client, request_id, _) = connected_asking(4.0);
    let report = client.submit(LATER, LeaseRequest { spent_units: 1.0, ..request_units(0.0, LATER + 1.0) });
    client.handle_disconnected(LATER, 1);
    assert!(matches!(client.poll_outputs()[..], [ClientOutput::Connect { .. }]), "opened anew at once");
    client.handle_disconnected(LATER, 1);
    assert!(client.poll_outputs().is_empty(), "a pause; the batch in flight and the report wait");
    let refused = client.submit(LATER, request_units(1.0, LATER + 1.0));
    assert_eq!(completed(&mut client), [(refused, LeaseOutcome::NotApplied)]);
    client.handle_timeout(LATER + 1.0);
    let mut ended = completed(&mut client);
    ended.sort_by_key(|(request_id, _)| *request_id);
    assert_eq!(ended, [(request_id, LeaseOutcome::Unconfirmed), (report, LeaseOutcome::NotApplied)]);
    let due = client.poll_timeout().expect("it goes on trying to connect");
    client.handle_timeout(due);
    client.handle_disconnected(due, 1);
    let due = client.poll_timeout().expect("with nothing to send as well");
    let refused = client.submit(due - 0.001, request_units(1.0, due + 1.0));
    assert!(completed(&mut client).contains(&(refused, LeaseOutcome::NotApplied)));
    client.handle_timeout(due);
    assert!(matches!(client.poll_outputs()[..], [ClientOutput::Connect { shard: 1, .. }]));
    client.handle_connected(due, 1);
    client.submit(due, request_units(1.0, due + 1.0));
    assert!(!sent(&mut client).is_empty(), "asked again");
}

#[test]
fn a_mute_shard_is_taken_for_gone() {
    let (mut client, _, _) = connected_asking(4.0);
    let due = client.poll_timeout().expect("a batch is out");
    assert_eq!(due, LATER + ClientSettings::new(5, 1, "north").response_timeout);
    client.handle_timeout(due);
    let outputs = client.poll_outputs();
    assert!(
        matches!(outputs[..], [ClientOutput::Close { shard: 1 }, ClientOutput::Connect { shard: 1, .. }]),
        "{outputs:?}"
    );
}

#[test]
fn an_older_process_of_a_front_door_is_shut_out() {
    let mut shard = shard(NOW);
    let hello =
        |incarnation| encode(&Frame::Hello { version: PROTOCOL_VERSION, gateway: 5, incarnation, epoch: 1 });
    shard.receive(LATER, 1, &hello(2));
    shard.receive(LATER, 2, &hello(1));
    assert_eq!(shard.poll_outputs(), [ShardOutput::Close { connection: 2 }]);
    shard.receive(LATER, 3, &hello(2));
    assert_eq!(shard.poll_outputs(), [ShardOutput::Close { connection: 1 }], "the former connection ends");
}

#[test]
fn what_is_no_frame_or_out_of_place_ends_the_connection() {
    let hello = |version| encode(&Frame::Hello { version, gateway: 5, incarnation: 1, epoch: 1 });
    let batch = encode(&Frame::Batch { sequence: 1, entries: vec![] });
    let grants = encode(&Frame::BatchResponse { sequence: 1, responses: vec![] });
    for bytes in [vec![1, 0, 200], hello(PROTOCOL_VERSION + 1), batch, grants] {
        let mut shard = shard(NOW);
        shard.receive(LATER, 1, &bytes);
        assert_eq!(shard.poll_outputs(), [ShardOutput::Close { connection: 1 }], "{bytes:?}");
    }
}

#[test]
fn a_plan_that_the_map_lacks_is_refused_and_nothing_applied() {
    let mut client = client();
    let request_id = client.submit(LATER, LeaseRequest { plan: 7, ..request_units(1.0, LATER + 1.0) });
    client.handle_connected(LATER, 1);
    let mut shard = shard(NOW);
    shard.receive(LATER, 1, &sent(&mut client));
    client.receive(LATER, 1, &answers(&mut shard));
    assert_eq!(completed(&mut client), [(request_id, LeaseOutcome::NotApplied)]);
}

#[test]
fn a_young_shard_fills_its_buckets_at_their_rate() {
    for (age, room) in [(0.0, 0), (10.0, 10), (49.0, 49), (5000.0, 50)] {
        let (mut client, request_id, bytes) = connected_asking(50.0);
        let mut shard = shard(LATER - age);
        shard.receive(LATER, 1, &bytes);
        client.receive(LATER, 1, &answers(&mut shard));
        let granted = LeaseOutcome::Granted { units: f64::from(room), available_units: 0 };
        assert_eq!(completed(&mut client), [(request_id, granted)]);
    }
}

#[test]
fn a_shard_out_of_the_map_ends_what_was_sent_to_it_and_others_get_the_rest() {
    let (mut client, request_id, _) = connected_asking(4.0);
    let behind = client.submit(LATER, request_units(1.0, LATER + 1.0));
    client.update_map(LATER, map(2, &[2])).expect("newer");
    let outputs = client.poll_outputs();
    assert!(
        outputs.iter().any(|output| matches!(output, ClientOutput::Connect { shard: 2, .. })),
        "{outputs:?}"
    );
    client.handle_disconnected(LATER, 1);
    assert_eq!(completed(&mut client), [(request_id, LeaseOutcome::Unconfirmed)]);
    client.handle_connected(LATER, 2);
    assert!(!sent(&mut client).is_empty(), "{behind:?} goes to the new owner");
    assert!(client.update_map(LATER, map(2, &[1])).is_err(), "no newer map");
}

#[test]
fn a_shard_that_starts_before_its_map_is_in_force_grants_nothing_until_then() {
    let settings = ShardSettings { id: 1, region: "north".into(), incarnation: 1, injected_fault: None };
    let later_map = ShardMap { active_at: LATER + 30.0, ..map(1, &[1]) };
    let mut shard = Shard::new(LATER - 100.0, settings, later_map).expect("a good map");
    let (mut client, request_id, bytes) = connected_asking(4.0);
    shard.receive(LATER, 1, &bytes);
    client.receive(LATER, 1, &answers(&mut shard));
    assert_eq!(
        completed(&mut client),
        [(request_id, LeaseOutcome::Granted { units: 0.0, available_units: 0 })]
    );
    let now = LATER + 33.0;
    let request_id = client.submit(now, request_units(4.0, now + 1.0));
    shard.receive(now, 1, &sent(&mut client));
    client.receive(now, 1, &answers(&mut shard));
    assert_eq!(
        completed(&mut client),
        [(request_id, LeaseOutcome::Granted { units: 3.0, available_units: 0 })]
    );
}
