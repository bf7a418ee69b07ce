//! One gateway instance, one shard, and what passes between them.
use quillramp_lease::client::{
    ClientOutput, ClientSettings, LeaseClient, LeaseOutcome, LeaseRequest, RequestId,
};
use quillramp_lease::shard::{Shard, ShardOutput, ShardSettings};
use quillramp_lease::shard_map::{Plan, Region, ShardEntry, ShardMap};

/// Unix time of the shard's start, seconds.
pub const NOW: f64 = 1000.0;
/// Long enough after it for all buckets to be full.
pub const LATER: f64 = 2000.0;

pub fn map(epoch: u32, shards: &[u16]) -> ShardMap {
    let entry = |id: &u16| ShardEntry { id: *id, address: ([127, 0, 0, 1], 7000 + *id).into() };
    let shards = shards.iter().map(entry).collect();
    ShardMap {
        epoch,
        active_at: 0.0,
        plans: vec![Plan { name: "team".into(), rate: 1.0, burst: 50.0 }],
        regions: vec![Region { name: "north".into(), quota_fraction: 1.0, shards }],
    }
}

pub fn shard(started: f64) -> Shard {
    let settings = ShardSettings { id: 1, region: "north".into(), incarnation: 1, injected_fault: None };
    Shard::new(started, settings, map(1, &[1])).expect("a good map")
}

pub fn client() -> LeaseClient {
    LeaseClient::new(ClientSettings::new(5, 1, "north"), map(1, &[1])).expect("a good map")
}

pub fn request_units(units: f64, deadline: f64) -> LeaseRequest {
    LeaseRequest { tenant: 9, plan: 0, requested_units: units, spent_units: 0.0, deadline }
}

pub fn sent_bytes(client: &mut LeaseClient) -> Vec<u8> {
    let bytes = client.poll_outputs().into_iter().filter_map(|output| match output {
        ClientOutput::Send { bytes, .. } => Some(bytes),
        _ => None,
    });
    bytes.flatten().collect()
}

pub fn completed(client: &mut LeaseClient) -> Vec<(RequestId, LeaseOutcome)> {
    let completed = client.poll_outputs().into_iter().filter_map(|output| match output {
        ClientOutput::Completed { request_id, outcome } => Some((request_id, outcome)),
        _ => None,
    });
    completed.collect()
}

pub fn response_bytes(shard: &mut Shard) -> Vec<u8> {
    let bytes = shard.poll_outputs().into_iter().filter_map(|output| match output {
        ShardOutput::Send { bytes, .. } => Some(bytes),
        _ => None,
    });
    bytes.flatten().collect()
}

/// A client with an open connection whose first batch requests so many units, the request and the batch's bytes.
pub fn connected_client_requesting(units: f64) -> (LeaseClient, RequestId, Vec<u8>) {
    let mut client = client();
    let request_id = client.submit(LATER, request_units(units, LATER + 1.0));
    assert!(matches!(client.poll_outputs()[..], [ClientOutput::Connect { shard: 1, .. }]));
    client.handle_connected(LATER, 1);
    let bytes = sent_bytes(&mut client);
    (client, request_id, bytes)
}
