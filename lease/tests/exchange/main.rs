//! Exchanges between one lease client and one shard: retransmissions, late responses and a shard that is
//! down.
mod fixtures;

use fixtures::{
    client, completions, exchange, granted, map, not_applied, request_units, response_bytes, sent_bytes,
    shard, shard_with_map, unconfirmed, RequestInFlight, LATER, NOW,
};
use quillramp_lease::client::{ClientOutput, ClientSettings, LeaseClient, LeaseRequest, RequestId};
use quillramp_lease::shard::ShardOutput;
use quillramp_lease::shard_map::ShardMap;
use quillramp_lease::wire::{encode, BatchEntry, Frame, FrameDecoder, PROTOCOL_VERSION};

#[test]
fn a_lease_is_granted_over_a_fragmented_stream() {
    let RequestInFlight { mut client, request_id, bytes } = RequestInFlight::new(4.0);
    let mut shard = shard(NOW);
    for byte in bytes {
        shard.receive(LATER, 1, &[byte]);
    }
    for byte in response_bytes(&mut shard) {
        client.receive(LATER, 1, &[byte]);
    }
    assert_eq!(completions(&mut client), [granted(request_id, 4.0, 46)]);
}

#[test]
fn a_retransmitted_batch_gets_the_same_response_and_is_applied_once() {
    let RequestInFlight { mut client, request_id, bytes } = RequestInFlight::new(4.0);
    let mut shard = shard(NOW);
    shard.receive(LATER, 1, &bytes);
    let lost_response = response_bytes(&mut shard);
    client.handle_disconnected(LATER, 1);
    client.handle_connected(LATER, 1);
    let retransmitted = sent_bytes(&mut client);
    assert_eq!(retransmitted, bytes, "the client must retransmit the same frames, including Hello");
    shard.receive(LATER, 2, &retransmitted);
    let response = response_bytes(&mut shard);
    assert_eq!(response, lost_response);
    client.receive(LATER, 1, &response);
    assert_eq!(completions(&mut client), [granted(request_id, 4.0, 46)]);
}

#[test]
fn requests_of_one_tenant_are_sent_as_one_entry_and_granted_in_order() {
    let RequestInFlight { mut client, request_id: first, bytes } = RequestInFlight::new(40.0);
    let [second, third] = [8.0, 5.0].map(|units| client.submit(LATER, request_units(units, LATER + 1.0)));
    assert!(sent_bytes(&mut client).is_empty(), "a second batch was sent while one is in flight");
    let mut shard = shard(NOW);
    shard.receive(LATER, 1, &bytes);
    client.receive(LATER, 1, &response_bytes(&mut shard));
    let next_batch = sent_bytes_on_completion(&mut client, first);
    let entry = BatchEntry { tenant: 9, plan: 0, spent_hundredths: 0, requested_hundredths: 1300 };
    assert_eq!(decode_batch(&next_batch), [entry]);
    shard.receive(LATER, 1, &next_batch);
    client.receive(LATER, 1, &response_bytes(&mut shard));
    assert_eq!(completions(&mut client), [granted(second, 8.0, 0), granted(third, 2.0, 0)]);
}

/// Drains the client's outputs, asserts that the request is completed, and returns the bytes that the client
/// sends.
fn sent_bytes_on_completion(client: &mut LeaseClient, request_id: RequestId) -> Vec<u8> {
    let mut sent = vec![];
    let mut is_completed = false;
    for output in client.poll_outputs() {
        match output {
            ClientOutput::Send { bytes, .. } => sent.extend(bytes),
            ClientOutput::Completed { request_id: completed, .. } => is_completed |= completed == request_id,
            other => panic!("expected Send or Completed, found {other:?}"),
        }
    }
    assert!(is_completed, "{request_id:?} is not completed");
    sent
}

fn decode_batch(bytes: &[u8]) -> Vec<BatchEntry> {
    let mut decoder = FrameDecoder::default();
    decoder.extend(bytes);
    match decoder.next_frame() {
        Ok(Some(Frame::Batch { entries, .. })) => entries,
        other => panic!("expected a batch, found {other:?}"),
    }
}

#[test]
fn a_request_whose_batch_is_unanswered_at_the_deadline_is_unconfirmed() {
    let RequestInFlight { mut client, request_id, .. } = RequestInFlight::new(4.0);
    // The response timeout has expired as well, so the outputs also close the connection.
    client.handle_timeout(LATER + 1.0);
    let completed = completions(&mut client);
    assert!(completed.contains(&unconfirmed(request_id)), "{completed:?}");
}

#[test]
fn a_queued_request_is_not_applied_at_its_deadline() {
    let RequestInFlight { mut client, request_id, bytes } = RequestInFlight::new(4.0);
    let mut shard = shard(NOW);
    shard.receive(LATER, 1, &bytes);
    client.handle_timeout(LATER + 0.4);
    assert_eq!(completions(&mut client), []);
    let queued = client.submit(LATER + 0.4, request_units(1.0, LATER + 0.45));
    client.handle_timeout(LATER + 0.45);
    assert_eq!(completions(&mut client), [not_applied(queued)]);
    client.receive(LATER + 0.46, 1, &response_bytes(&mut shard));
    assert_eq!(completions(&mut client), [granted(request_id, 4.0, 46)]);
}

#[test]
fn units_granted_after_the_deadline_are_returned() {
    let mut client = client();
    let request_id = client.submit(LATER, request_units(4.0, LATER + 0.1));
    client.handle_connected(LATER, 1);
    let bytes = sent_bytes(&mut client);
    client.handle_timeout(LATER + 0.1);
    assert_eq!(completions(&mut client), [unconfirmed(request_id)]);
    let mut shard = shard(NOW);
    shard.receive(LATER + 0.1, 1, &bytes);
    client.receive(LATER + 0.1, 1, &response_bytes(&mut shard));
    let timeout_at = client.poll_timeout().expect("a timeout for returning the units");
    client.handle_timeout(timeout_at);
    exchange(timeout_at, &mut client, &mut shard);
    // The shard received the units: all 50 units of the burst are available again.
    let second = client.submit(timeout_at, request_units(50.0, timeout_at + 1.0));
    exchange(timeout_at, &mut client, &mut shard);
    assert_eq!(completions(&mut client), [granted(second, 50.0, 0)]);
}

#[test]
fn while_a_shard_is_down_requests_fail_at_once_and_reports_stay_queued() {
    let RequestInFlight { mut client, request_id, .. } = RequestInFlight::new(4.0);
    let report = client.submit(LATER, LeaseRequest { spent_units: 1.0, ..request_units(0.0, LATER + 1.0) });
    client.handle_disconnected(LATER, 1);
    let outputs = client.poll_outputs();
    assert!(
        matches!(outputs[..], [ClientOutput::Connect { .. }]),
        "expected an immediate reconnect, found {outputs:?}"
    );
    client.handle_disconnected(LATER, 1);
    assert_eq!(
        client.poll_outputs(),
        [],
        "expected a backoff that keeps the batch in flight and the queued report"
    );
    let rejected = client.submit(LATER, request_units(1.0, LATER + 1.0));
    assert_eq!(completions(&mut client), [not_applied(rejected)]);
    client.handle_timeout(LATER + 1.0);
    let mut completed = completions(&mut client);
    completed.sort_by_key(|completion| completion.request_id);
    assert_eq!(completed, [unconfirmed(request_id), not_applied(report)]);
}

#[test]
fn a_client_reconnects_even_with_nothing_to_send() {
    let RequestInFlight { mut client, .. } = RequestInFlight::new(4.0);
    client.handle_disconnected(LATER, 1);
    client.handle_disconnected(LATER, 1);
    client.handle_timeout(LATER + 1.0);
    let timeout_at = client.poll_timeout().expect("a backoff timeout");
    client.handle_timeout(timeout_at);
    client.handle_disconnected(timeout_at, 1);
    let timeout_at = client.poll_timeout().expect("a backoff timeout with nothing to send");
    let rejected = client.submit(timeout_at - 0.001, request_units(1.0, timeout_at + 1.0));
    let completed = completions(&mut client);
    assert!(completed.contains(&not_applied(rejected)), "{completed:?}");
    client.handle_timeout(timeout_at);
    let outputs = client.poll_outputs();
    assert!(matches!(outputs[..], [ClientOutput::Connect { shard: 1, .. }]), "{outputs:?}");
    client.handle_connected(timeout_at, 1);
    client.submit(timeout_at, request_units(1.0, timeout_at + 1.0));
    assert!(!sent_bytes(&mut client).is_empty());
}

#[test]
fn an_unresponsive_shard_is_disconnected() {
    let RequestInFlight { mut client, .. } = RequestInFlight::new(4.0);
    let timeout_at = client.poll_timeout().expect("a response timeout of the batch in flight");
    assert_eq!(timeout_at, LATER + ClientSettings::new(5, 1, "north").response_timeout);
    client.handle_timeout(timeout_at);
    let outputs = client.poll_outputs();
    assert!(
        matches!(outputs[..], [ClientOutput::Close { shard: 1 }, ClientOutput::Connect { shard: 1, .. }]),
        "{outputs:?}"
    );
}

#[test]
fn an_older_process_of_a_gateway_instance_is_rejected() {
    let mut shard = shard(NOW);
    let hello =
        |incarnation| encode(&Frame::Hello { version: PROTOCOL_VERSION, gateway: 5, incarnation, epoch: 1 });
    shard.receive(LATER, 1, &hello(2));
    shard.receive(LATER, 2, &hello(1));
    assert_eq!(shard.poll_outputs(), [ShardOutput::Close { connection: 2 }]);
    shard.receive(LATER, 3, &hello(2));
    let outputs = shard.poll_outputs();
    assert_eq!(outputs, [ShardOutput::Close { connection: 1 }], "the shard must close the former connection");
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
fn a_request_under_an_unknown_plan_is_not_applied() {
    let mut client = client();
    let request_id = client.submit(LATER, LeaseRequest { plan: 7, ..request_units(1.0, LATER + 1.0) });
    client.handle_connected(LATER, 1);
    exchange(LATER, &mut client, &mut shard(NOW));
    assert_eq!(completions(&mut client), [not_applied(request_id)]);
}

#[test]
fn buckets_of_a_new_shard_refill_at_the_rate_of_the_plan() {
    for (age, refilled_units) in [(0.0, 0.0), (10.0, 10.0), (49.0, 49.0), (5000.0, 50.0)] {
        let RequestInFlight { mut client, request_id, bytes } = RequestInFlight::new(50.0);
        let mut shard = shard(LATER - age);
        shard.receive(LATER, 1, &bytes);
        client.receive(LATER, 1, &response_bytes(&mut shard));
        assert_eq!(
            completions(&mut client),
            [granted(request_id, refilled_units, 0)],
            "shard started {age} s before the request"
        );
    }
}

#[test]
fn a_shard_removed_from_the_map_fails_its_batch_and_queued_requests_move() {
    let RequestInFlight { mut client, request_id, .. } = RequestInFlight::new(4.0);
    let queued = client.submit(LATER, request_units(1.0, LATER + 1.0));
    client.update_map(LATER, map(2, &[2])).expect("a map with a higher epoch is accepted");
    let outputs = client.poll_outputs();
    assert!(
        outputs.iter().any(|output| matches!(output, ClientOutput::Connect { shard: 2, .. })),
        "{outputs:?}"
    );
    client.handle_disconnected(LATER, 1);
    assert_eq!(completions(&mut client), [unconfirmed(request_id)]);
    client.handle_connected(LATER, 2);
    assert!(!sent_bytes(&mut client).is_empty(), "{queued:?} is sent to the new owner");
}

#[test]
fn a_map_that_is_not_newer_is_rejected() {
    let mut client = client();
    client.update_map(LATER, map(2, &[2])).expect("a map with a higher epoch is accepted");
    assert!(client.update_map(LATER, map(2, &[1])).is_err());
}

#[test]
fn a_shard_started_before_its_map_is_active_grants_nothing_until_then() {
    let mut shard = shard_with_map(LATER - 100.0, ShardMap { active_at: LATER + 30.0, ..map(1, &[1]) });
    let RequestInFlight { mut client, request_id, bytes } = RequestInFlight::new(4.0);
    shard.receive(LATER, 1, &bytes);
    client.receive(LATER, 1, &response_bytes(&mut shard));
    assert_eq!(completions(&mut client), [granted(request_id, 0.0, 0)]);
    let after_activation = LATER + 33.0;
    let request_id = client.submit(after_activation, request_units(4.0, after_activation + 1.0));
    exchange(after_activation, &mut client, &mut shard);
    assert_eq!(completions(&mut client), [granted(request_id, 3.0, 0)]);
}
