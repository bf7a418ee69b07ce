//! One gateway instance and one shard, step by step: retransmissions, late responses and a shard that is down.
mod fixtures;

use fixtures::{
    client, completed, connected_client_requesting, map, request_units, response_bytes, sent_bytes, shard,
    LATER, NOW,
};
use quillramp_lease::client::{
    ClientOutput, ClientSettings, LeaseClient, LeaseOutcome, LeaseRequest, RequestId,
};
use quillramp_lease::shard::{Shard, ShardOutput, ShardSettings};
use quillramp_lease::shard_map::ShardMap;
use quillramp_lease::wire::{encode, BatchEntry, Frame, FrameDecoder, PROTOCOL_VERSION};

#[test]
fn a_lease_is_granted_over_a_fragmented_stream() {
    let (mut client, request_id, bytes) = connected_client_requesting(4.0);
    let mut shard = shard(NOW);
    for byte in bytes {
        shard.receive(LATER, 1, &[byte]);
    }
    for byte in response_bytes(&mut shard) {
        client.receive(LATER, 1, &[byte]);
    }
    assert_eq!(
        completed(&mut client),
        [(request_id, LeaseOutcome::Granted { units: 4.0, available_units: 46 })]
    );
}

#[test]
fn a_retransmitted_batch_gets_the_same_response_and_counts_once() {
    let (mut client, request_id, bytes) = connected_client_requesting(4.0);
    let mut shard = shard(NOW);
    shard.receive(LATER, 1, &bytes);
    let lost_response = response_bytes(&mut shard);
    client.handle_disconnected(LATER, 1);
    client.handle_connected(LATER, 1);
    let retransmitted = sent_bytes(&mut client);
    assert_eq!(retransmitted, bytes, "the same frames, Hello included");
    shard.receive(LATER, 2, &retransmitted);
    let response = response_bytes(&mut shard);
    assert_eq!(response, lost_response);
    client.receive(LATER, 1, &response);
    assert_eq!(
        completed(&mut client),
        [(request_id, LeaseOutcome::Granted { units: 4.0, available_units: 46 })]
    );
}

#[test]
fn requests_of_one_tenant_are_one_entry_and_are_granted_in_order() {
    let (mut client, first, bytes) = connected_client_requesting(40.0);
    let queued = [8.0, 5.0].map(|units| client.submit(LATER, request_units(units, LATER + 1.0)));
    assert!(sent_bytes(&mut client).is_empty(), "one batch in flight");
    let mut shard = shard(NOW);
    shard.receive(LATER, 1, &bytes);
    client.receive(LATER, 1, &response_bytes(&mut shard));
    shard.receive(LATER, 1, &completed_and_sent_bytes(&mut client, first));
    client.receive(LATER, 1, &response_bytes(&mut shard));
    let granted = |units| LeaseOutcome::Granted { units, available_units: 0 };
    assert_eq!(completed(&mut client), [(queued[0], granted(8.0)), (queued[1], granted(2.0))]);
}

fn completed_and_sent_bytes(client: &mut LeaseClient, request_id: RequestId) -> Vec<u8> {
    let mut bytes = vec![];
    let mut is_completed = false;
    for output in client.poll_outputs() {
        match output {
            ClientOutput::Send { bytes: more_bytes, .. } => bytes.extend(more_bytes),
            ClientOutput::Completed { request_id: ended, .. } => is_completed |= ended == request_id,
            other => panic!("{other:?}"),
        }
    }
    assert!(is_completed);
    let mut decoder = FrameDecoder::default();
    decoder.extend(&bytes);
    let Ok(Some(Frame::Batch { entries, .. })) = decoder.next_frame() else { panic!("a batch") };
    assert_eq!(entries, [BatchEntry { tenant: 9, plan: 0, spent_hundredths: 0, requested_hundredths: 1300 }]);
    bytes
}

#[test]
fn requests_end_at_their_deadline() {
    let (mut client, request_id, bytes) = connected_client_requesting(4.0);
    let mut shard = shard(NOW);
    shard.receive(LATER, 1, &bytes);
    // The batch has timed out as well, so the connection is closed.
    client.handle_timeout(LATER + 1.0);
    assert!(completed(&mut client).contains(&(request_id, LeaseOutcome::Unconfirmed)));

    let (mut client, request_id, _) = connected_client_requesting(4.0);
    client.handle_timeout(LATER + 0.4);
    assert!(completed(&mut client).is_empty());
    let short = client.submit(LATER + 0.4, request_units(1.0, LATER + 0.45));
    client.handle_timeout(LATER + 0.45);
    assert_eq!(completed(&mut client), [(short, LeaseOutcome::NotApplied)], "never sent");
    client.receive(LATER + 0.46, 1, &response_bytes(&mut shard));
    assert_eq!(
        completed(&mut client),
        [(request_id, LeaseOutcome::Granted { units: 4.0, available_units: 46 })]
    );
}

#[test]
fn units_granted_after_the_deadline_are_returned() {
    let mut client = client();
    let request_id = client.submit(LATER, request_units(4.0, LATER + 0.1));
    client.handle_connected(LATER, 1);
    let bytes = sent_bytes(&mut client);
    client.handle_timeout(LATER + 0.1);
    assert_eq!(completed(&mut client), [(request_id, LeaseOutcome::Unconfirmed)]);
    let mut shard = shard(NOW);
    shard.receive(LATER + 0.1, 1, &bytes);
    client.receive(LATER + 0.1, 1, &response_bytes(&mut shard));
    let due = client.poll_timeout().expect("a return waits");
    client.handle_timeout(due);
    shard.receive(due, 1, &sent_bytes(&mut client));
    client.receive(due, 1, &response_bytes(&mut shard));
    let second = client.submit(due, request_units(50.0, due + 1.0));
    shard.receive(due, 1, &sent_bytes(&mut client));
    client.receive(due, 1, &response_bytes(&mut shard));
    assert_eq!(completed(&mut client), [(second, LeaseOutcome::Granted { units: 50.0, available_units: 0 })]);
}

#[test]
fn while_a_shard_is_down_requests_fail_at_once_and_reports_stay_queued() {
    let (mut client, request_id, _) = connected_client_requesting(4.0);
    let report = client.submit(LATER, LeaseRequest { spent_units: 1.0, ..request_units(0.0, LATER + 1.0) });
    client.handle_disconnected(LATER, 1);
    assert!(matches!(client.poll_outputs()[..], [ClientOutput::Connect { .. }]), "reopened at once");
    client.handle_disconnected(LATER, 1);
    assert!(client.poll_outputs().is_empty(), "a backoff; the batch in flight and the report wait");
    let rejected = client.submit(LATER, request_units(1.0, LATER + 1.0));
    assert_eq!(completed(&mut client), [(rejected, LeaseOutcome::NotApplied)]);
    client.handle_timeout(LATER + 1.0);
    let mut ended = completed(&mut client);
    ended.sort_by_key(|(request_id, _)| *request_id);
    assert_eq!(ended, [(request_id, LeaseOutcome::Unconfirmed), (report, LeaseOutcome::NotApplied)]);
    let due = client.poll_timeout().expect("it keeps trying to connect");
    client.handle_timeout(due);
    client.handle_disconnected(due, 1);
    let due = client.poll_timeout().expect("with nothing to send, too");
    let rejected = client.submit(due - 0.001, request_units(1.0, due + 1.0));
    assert!(completed(&mut client).contains(&(rejected, LeaseOutcome::NotApplied)));
    client.handle_timeout(due);
    assert!(matches!(client.poll_outputs()[..], [ClientOutput::Connect { shard: 1, .. }]));
    client.handle_connected(due, 1);
    client.submit(due, request_units(1.0, due + 1.0));
    assert!(!sent_bytes(&mut client).is_empty(), "requested again");
}

#[test]
fn an_unresponsive_shard_is_disconnected() {
    let (mut client, _, _) = connected_client_requesting(4.0);
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
fn an_older_process_of_a_gateway_is_rejected() {
    let mut shard = shard(NOW);
    let hello =
        |incarnation| encode(&Frame::Hello { version: PROTOCOL_VERSION, gateway: 5, incarnation, epoch: 1 });
    shard.receive(LATER, 1, &hello(2));
    shard.receive(LATER, 2, &hello(1));
    assert_eq!(shard.poll_outputs(), [ShardOutput::Close { connection: 2 }]);
    shard.receive(LATER, 3, &hello(2));
    assert_eq!(
        shard.poll_outputs(),
        [ShardOutput::Close { connection: 1 }],
        "the former connection is closed"
    );
}

#[test]
fn invalid_and_unexpected_frames_close_the_connection() {
    let hello = |version| encode(&Frame::Hello { version, gateway: 5, incarnation: 1, epoch: 1 });
    let batch = encode(&Frame::Batch { sequence: 1, entries: vec![] });
    let batch_response = encode(&Frame::BatchResponse { sequence: 1, responses: vec![] });
    for bytes in [vec![1, 0, 200], hello(PROTOCOL_VERSION + 1), batch, batch_response] {
        let mut shard = shard(NOW);
        shard.receive(LATER, 1, &bytes);
        assert_eq!(shard.poll_outputs(), [ShardOutput::Close { connection: 1 }], "{bytes:?}");
    }
}

#[test]
fn an_unknown_plan_is_rejected_and_nothing_applied() {
    let mut client = client();
    let request_id = client.submit(LATER, LeaseRequest { plan: 7, ..request_units(1.0, LATER + 1.0) });
    client.handle_connected(LATER, 1);
    let mut shard = shard(NOW);
    shard.receive(LATER, 1, &sent_bytes(&mut client));
    client.receive(LATER, 1, &response_bytes(&mut shard));
    assert_eq!(completed(&mut client), [(request_id, LeaseOutcome::NotApplied)]);
}

#[test]
fn a_new_shard_fills_its_buckets_at_their_rate() {
    for (age, available_units) in [(0.0, 0), (10.0, 10), (49.0, 49), (5000.0, 50)] {
        let (mut client, request_id, bytes) = connected_client_requesting(50.0);
        let mut shard = shard(LATER - age);
        shard.receive(LATER, 1, &bytes);
        client.receive(LATER, 1, &response_bytes(&mut shard));
        let granted = LeaseOutcome::Granted { units: f64::from(available_units), available_units: 0 };
        assert_eq!(completed(&mut client), [(request_id, granted)]);
    }
}

#[test]
fn a_shard_removed_from_the_map_fails_its_batch_and_queued_requests_move() {
    let (mut client, request_id, _) = connected_client_requesting(4.0);
    let queued = client.submit(LATER, request_units(1.0, LATER + 1.0));
    client.update_map(LATER, map(2, &[2])).expect("newer");
    let outputs = client.poll_outputs();
    assert!(
        outputs.iter().any(|output| matches!(output, ClientOutput::Connect { shard: 2, .. })),
        "{outputs:?}"
    );
    client.handle_disconnected(LATER, 1);
    assert_eq!(completed(&mut client), [(request_id, LeaseOutcome::Unconfirmed)]);
    client.handle_connected(LATER, 2);
    assert!(!sent_bytes(&mut client).is_empty(), "{queued:?} goes to the new owner");
    assert!(client.update_map(LATER, map(2, &[1])).is_err(), "not a newer map");
}

#[test]
fn a_shard_started_before_its_map_is_active_grants_nothing_until_then() {
    let settings = ShardSettings { id: 1, region: "north".into(), incarnation: 1, injected_fault: None };
    let later_map = ShardMap { active_at: LATER + 30.0, ..map(1, &[1]) };
    let mut shard = Shard::new(LATER - 100.0, settings, later_map).expect("a good map");
    let (mut client, request_id, bytes) = connected_client_requesting(4.0);
    shard.receive(LATER, 1, &bytes);
    client.receive(LATER, 1, &response_bytes(&mut shard));
    assert_eq!(
        completed(&mut client),
        [(request_id, LeaseOutcome::Granted { units: 0.0, available_units: 0 })]
    );
    let now = LATER + 33.0;
    let request_id = client.submit(now, request_units(4.0, now + 1.0));
    shard.receive(now, 1, &sent_bytes(&mut client));
    client.receive(now, 1, &response_bytes(&mut shard));
    assert_eq!(
        completed(&mut client),
        [(request_id, LeaseOutcome::Granted { units: 3.0, available_units: 0 })]
    );
}
