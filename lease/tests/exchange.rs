//! One front door and one shard, step by step: what each does with repeats, late answers and a shard that is down.
use quillramp_lease::client::{ClientSettings, LeaseClient, Outcome, Output, Request, Ticket};
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

fn asks(want: f64, deadline: f64) -> Request {
    Request { tenant: 9, plan: 0, want, spent: 0.0, deadline }
}

fn sent(client: &mut LeaseClient) -> Vec<u8> {
    let bytes = client.poll_outputs().into_iter().filter_map(|output| match output {
        Output::Send { bytes, .. } => Some(bytes),
        _ => None,
    });
    bytes.flatten().collect()
}

fn replies(client: &mut LeaseClient) -> Vec<(Ticket, Outcome)> {
    let replies = client.poll_outputs().into_iter().filter_map(|output| match output {
        Output::Reply { ticket, outcome } => Some((ticket, outcome)),
        _ => None,
    });
    replies.collect()
}

fn answers(shard: &mut Shard) -> Vec<u8> {
    let bytes = shard.poll_outputs().into_iter().filter_map(|output| match output {
        ShardOutput::Send { bytes, .. } => Some(bytes),
        _ => None,
    });
    bytes.flatten().collect()
}

/// A client with an open connection whose first batch asks for that much, and the batch's bytes.
fn connected_asking(want: f64) -> (LeaseClient, Ticket, Vec<u8>) {
    let mut client = client();
    let ticket = client.request(LATER, asks(want, LATER + 1.0));
    assert!(matches!(client.poll_outputs()[..], [Output::Connect { shard: 1, .. }]));
    client.connected(LATER, 1);
    let bytes = sent(&mut client);
    (client, ticket, bytes)
}

#[test]
fn a_lease_is_granted_in_pieces_of_bytes() {
    let (mut client, ticket, bytes) = connected_asking(4.0);
    let mut shard = shard(NOW);
    for byte in bytes {
        shard.receive(LATER, 1, &[byte]);
    }
    for byte in answers(&mut shard) {
        client.receive(LATER, 1, &[byte]);
    }
    assert_eq!(replies(&mut client), [(ticket, Outcome::Granted { units: 4.0, room: 46 })]);
}

#[test]
fn a_batch_sent_again_gets_the_same_answer_and_counts_once() {
    let (mut client, ticket, bytes) = connected_asking(4.0);
    let mut shard = shard(NOW);
    shard.receive(LATER, 1, &bytes);
    let lost = answers(&mut shard);
    client.disconnected(LATER, 1);
    client.connected(LATER, 1);
    let again = sent(&mut client);
    assert_eq!(again, bytes, "the same frames, Hello included");
    shard.receive(LATER, 2, &again);
    let answer = answers(&mut shard);
    assert_eq!(answer, lost);
    client.receive(LATER, 1, &answer);
    assert_eq!(replies(&mut client), [(ticket, Outcome::Granted { units: 4.0, room: 46 })]);
}

#[test]
fn requests_of_one_tenant_go_as_one_entry_and_share_the_grant_in_order() {
    let (mut client, first, bytes) = connected_asking(40.0);
    let behind = [8.0, 5.0].map(|want| client.request(LATER, asks(want, LATER + 1.0)));
    assert!(sent(&mut client).is_empty(), "one batch in flight");
    let mut shard = shard(NOW);
    shard.receive(LATER, 1, &bytes);
    client.receive(LATER, 1, &answers(&mut shard));
    shard.receive(LATER, 1, &sent_and_replied(&mut client, first));
    client.receive(LATER, 1, &answers(&mut shard));
    let granted = |units| Outcome::Granted { units, room: 0 };
    assert_eq!(replies(&mut client), [(behind[0], granted(8.0)), (behind[1], granted(2.0))]);
}

fn sent_and_replied(client: &mut LeaseClient, ticket: Ticket) -> Vec<u8> {
    let mut bytes = vec![];
    let mut replied = false;
    for output in client.poll_outputs() {
        match output {
            Output::Send { bytes: more, .. } => bytes.extend(more),
            Output::Reply { ticket: ended, .. } => replied |= ended == ticket,
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
    let (mut client, ticket, bytes) = connected_asking(4.0);
    let mut shard = shard(NOW);
    shard.receive(LATER, 1, &bytes);
    client.tick(LATER + 1.0); // the batch is over its time as well: the connection ends
    assert!(replies(&mut client).contains(&(ticket, Outcome::Unanswered)));

    let (mut client, ticket, _) = connected_asking(4.0);
    client.tick(LATER + 0.4);
    assert!(replies(&mut client).is_empty());
    let short = client.request(LATER + 0.4, asks(1.0, LATER + 0.45));
    client.tick(LATER + 0.45);
    assert_eq!(replies(&mut client), [(short, Outcome::Unreached)], "never sent");
    client.receive(LATER + 0.46, 1, &answers(&mut shard));
    assert_eq!(replies(&mut client), [(ticket, Outcome::Granted { units: 4.0, room: 46 })]);
}

#[test]
fn units_that_nobody_waits_for_any_longer_go_back_by_themselves() {
    let mut client = client();
    let ticket = client.request(LATER, asks(4.0, LATER + 0.1));
    client.connected(LATER, 1);
    let bytes = sent(&mut client);
    client.tick(LATER + 0.1);
    assert_eq!(replies(&mut client), [(ticket, Outcome::Unanswered)]);
    let mut shard = shard(NOW);
    shard.receive(LATER + 0.1, 1, &bytes);
    client.receive(LATER + 0.1, 1, &answers(&mut shard));
    let due = client.due().expect("a return waits");
    client.tick(due);
    shard.receive(due, 1, &sent(&mut client));
    client.receive(due, 1, &answers(&mut shard));
    let again = client.request(due, asks(50.0, due + 1.0));
    shard.receive(due, 1, &sent(&mut client));
    client.receive(due, 1, &answers(&mut shard));
    assert_eq!(replies(&mut client), [(again, Outcome::Granted { units: 50.0, room: 0 })]);
}

#[test]
fn while_a_shard_is_down_requests_end_at_once_and_reports_wait() {
    let (mut client, ticket, _) = connected_asking(4.0);
    let report = client.request(LATER, Request { spent: 1.0, ..asks(0.0, LATER + 1.0) });
    client.disconnected(LATER, 1);
    assert!(matches!(client.poll_outputs()[..], [Output::Connect { .. }]), "opened anew at once");
    client.disconnected(LATER, 1);
    assert!(client.poll_outputs().is_empty(), "a pause; the batch in flight and the report wait");
    let refused = client.request(LATER, asks(1.0, LATER + 1.0));
    assert_eq!(replies(&mut client), [(refused, Outcome::Unreached)]);
    client.tick(LATER + 1.0);
    let mut ended = replies(&mut client);
    ended.sort_by_key(|(ticket, _)| *ticket);
    assert_eq!(ended, [(ticket, Outcome::Unanswered), (report, Outcome::Unreached)]);
    let due = client.due().expect("it goes on trying to connect");
    client.tick(due);
    client.disconnected(due, 1);
    let due = client.due().expect("with nothing to send as well");
    let refused = client.request(due - 0.001, asks(1.0, due + 1.0));
    assert!(replies(&mut client).contains(&(refused, Outcome::Unreached)));
    client.tick(due);
    assert!(matches!(client.poll_outputs()[..], [Output::Connect { shard: 1, .. }]));
    client.connected(due, 1);
    client.request(due, asks(1.0, due + 1.0));
    assert!(!sent(&mut client).is_empty(), "asked again");
}

#[test]
fn a_mute_shard_is_taken_for_gone() {
    let (mut client, _, _) = connected_asking(4.0);
    let due = client.due().expect("a batch is out");
    assert_eq!(due, LATER + ClientSettings::new(5, 1, "north").answer_timeout);
    client.tick(due);
    let outputs = client.poll_outputs();
    assert!(
        matches!(outputs[..], [Output::Close { shard: 1 }, Output::Connect { shard: 1, .. }]),
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
    let ticket = client.request(LATER, Request { plan: 7, ..asks(1.0, LATER + 1.0) });
    client.connected(LATER, 1);
    let mut shard = shard(NOW);
    shard.receive(LATER, 1, &sent(&mut client));
    client.receive(LATER, 1, &answers(&mut shard));
    assert_eq!(replies(&mut client), [(ticket, Outcome::Unreached)]);
}

#[test]
fn a_young_shard_fills_its_buckets_at_their_rate() {
    for (age, room) in [(0.0, 0), (10.0, 10), (49.0, 49), (5000.0, 50)] {
        let (mut client, ticket, bytes) = connected_asking(50.0);
        let mut shard = shard(LATER - age);
        shard.receive(LATER, 1, &bytes);
        client.receive(LATER, 1, &answers(&mut shard));
        let granted = Outcome::Granted { units: f64::from(room), room: 0 };
        assert_eq!(replies(&mut client), [(ticket, granted)]);
    }
}

#[test]
fn a_shard_out_of_the_map_ends_what_was_sent_to_it_and_others_get_the_rest() {
    let (mut client, ticket, _) = connected_asking(4.0);
    let behind = client.request(LATER, asks(1.0, LATER + 1.0));
    client.change_map(LATER, map(2, &[2])).expect("newer");
    let outputs = client.poll_outputs();
    assert!(outputs.iter().any(|output| matches!(output, Output::Connect { shard: 2, .. })), "{outputs:?}");
    client.disconnected(LATER, 1);
    assert_eq!(replies(&mut client), [(ticket, Outcome::Unanswered)]);
    client.connected(LATER, 2);
    assert!(!sent(&mut client).is_empty(), "{behind:?} goes to the new owner");
    assert!(client.change_map(LATER, map(2, &[1])).is_err(), "no newer map");
}

#[test]
fn a_shard_that_starts_before_its_map_is_in_force_grants_nothing_until_then() {
    let settings = ShardSettings { id: 1, region: "north".into(), incarnation: 1, injected_fault: None };
    let later_map = ShardMap { active_at: LATER + 30.0, ..map(1, &[1]) };
    let mut shard = Shard::new(LATER - 100.0, settings, later_map).expect("a good map");
    let (mut client, ticket, bytes) = connected_asking(4.0);
    shard.receive(LATER, 1, &bytes);
    client.receive(LATER, 1, &answers(&mut shard));
    assert_eq!(replies(&mut client), [(ticket, Outcome::Granted { units: 0.0, room: 0 })]);
    let now = LATER + 33.0;
    let ticket = client.request(now, asks(4.0, now + 1.0));
    shard.receive(now, 1, &sent(&mut client));
    client.receive(now, 1, &answers(&mut shard));
    assert_eq!(replies(&mut client), [(ticket, Outcome::Granted { units: 3.0, room: 0 })]);
}
