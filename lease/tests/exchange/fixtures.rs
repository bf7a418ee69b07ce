//! A lease client and a shard under one map, and helpers that collect their bytes and outcomes.
use quillramp_lease::client::{
    ClientOutput, ClientSettings, LeaseClient, LeaseOutcome, LeaseRequest, RequestId,
};
use quillramp_lease::shard::{Shard, ShardOutput, ShardSettings};
use quillramp_lease::shard_map::{Plan, Region, ShardEntry, ShardMap};

/// Unix time in seconds at which the shard starts.
pub const NOW: f64 = 1000.0;
/// Unix time in seconds, long enough after [`NOW`] for all buckets to be full.
pub const LATER: f64 = 2000.0;

/// Returns a map of one region with these shards and a plan of one unit per second with a burst of 50 units.
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

/// Returns shard 1, started at `started_at` with this map.
pub fn shard_with_map(started_at: f64, map: ShardMap) -> Shard {
    let settings = ShardSettings { id: 1, region: "north".into(), incarnation: 1, injected_fault: None };
    Shard::new(started_at, settings, map).expect("a valid map")
}

/// Returns shard 1, started at `started_at` with a map that contains no other shard.
pub fn shard(started_at: f64) -> Shard {
    shard_with_map(started_at, map(1, &[1]))
}

/// Returns a client without connections.
pub fn client() -> LeaseClient {
    LeaseClient::new(ClientSettings::new(5, 1, "north"), map(1, &[1])).expect("a valid map")
}

/// Returns a request for units of tenant 9.
pub fn request_units(units: f64, deadline: f64) -> LeaseRequest {
    LeaseRequest { tenant: 9, plan: 0, requested_units: units, spent_units: 0.0, deadline }
}

/// Drains the client's outputs and returns the bytes that it sends.
pub fn sent_bytes(client: &mut LeaseClient) -> Vec<u8> {
    let bytes = client.poll_outputs().into_iter().filter_map(|output| match output {
        ClientOutput::Send { bytes, .. } => Some(bytes),
        _ => None,
    });
    bytes.flatten().collect()
}

/// Completion of a request.
#[derive(Debug, PartialEq)]
pub struct Completion {
    pub request_id: RequestId,
    pub outcome: LeaseOutcome,
}

/// Drains the client's outputs and returns the requests that it completes.
pub fn completions(client: &mut LeaseClient) -> Vec<Completion> {
    let completions = client.poll_outputs().into_iter().filter_map(|output| match output {
        ClientOutput::Completed { request_id, outcome } => Some(Completion { request_id, outcome }),
        _ => None,
    });
    completions.collect()
}

pub fn granted(request_id: RequestId, units: f64, available_units: u32) -> Completion {
    Completion { request_id, outcome: LeaseOutcome::Granted { units, available_units } }
}

pub fn not_applied(request_id: RequestId) -> Completion {
    Completion { request_id, outcome: LeaseOutcome::NotApplied }
}

pub fn unconfirmed(request_id: RequestId) -> Completion {
    Completion { request_id, outcome: LeaseOutcome::Unconfirmed }
}

/// Drains the shard's outputs and returns the bytes that it sends.
pub fn response_bytes(shard: &mut Shard) -> Vec<u8> {
    let bytes = shard.poll_outputs().into_iter().filter_map(|output| match output {
        ShardOutput::Send { bytes, .. } => Some(bytes),
        _ => None,
    });
    bytes.flatten().collect()
}

/// Delivers the client's bytes to the shard, and the shard's response to the client.
pub fn exchange(now: f64, client: &mut LeaseClient, shard: &mut Shard) {
    shard.receive(now, 1, &sent_bytes(client));
    client.receive(now, 1, &response_bytes(shard));
}

/// A client with an open connection and one request in flight.
pub struct RequestInFlight {
    pub client: LeaseClient,
    pub request_id: RequestId,
    /// Encoded `Hello` and batch.
    pub bytes: Vec<u8>,
}

impl RequestInFlight {
    /// Submits a request for `units` at [`LATER`], with a deadline one second later, and sends it.
    pub fn new(units: f64) -> RequestInFlight {
        let mut client = client();
        let request_id = client.submit(LATER, request_units(units, LATER + 1.0));
        let outputs = client.poll_outputs();
        assert!(matches!(outputs[..], [ClientOutput::Connect { shard: 1, .. }]), "{outputs:?}");
        client.handle_connected(LATER, 1);
        let bytes = sent_bytes(&mut client);
        RequestInFlight { client, request_id, bytes }
    }
}
