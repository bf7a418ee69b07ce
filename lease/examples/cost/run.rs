//! One run of the gateway instance, the shards and the network on a virtual clock.
use crate::credit::{Account, CreditRule};
use crate::traffic::Traffic;
use crate::workload::{
    draw_interval, tenant_id, TenantDistribution, GATEWAYS, REGION, REQUEST_RATE, SHARDS, TENANTS,
};
use quillramp_lease::client::{
    ClientOutput, ClientSettings, LeaseClient, LeaseOutcome, LeaseRequest, RequestId,
};
use quillramp_lease::shard::{ConnectionId, Shard, ShardOutput, ShardSettings};
use quillramp_lease::shard_map::{ShardId, ShardMap};
use quillramp_lease::wire::{encode, BatchEntry, Frame, FrameDecoder, PROTOCOL_VERSION};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use std::collections::{BTreeMap, VecDeque};

/// Duration of the measurement after the warm-up, in seconds.
pub const DURATION: f64 = 60.0;
/// Duration of the warm-up, in seconds: long enough for the gateway instance to receive requests of most
/// tenants, each of which makes about one per minute under the uniform distribution.
const WARM_UP: f64 = 120.0;
/// Unix time in seconds at which the run starts, long after the shards started.
const START: f64 = 100_000.0;
/// Round-trip time between the gateway instance and a shard, in seconds.
const ROUND_TRIP: f64 = 0.001;
/// Interval in seconds at which the other gateway instances report.
const BACKGROUND_INTERVAL: f64 = 0.1;
/// Maximum number of entries in a batch of the other gateway instances.
const MAX_BACKGROUND_ENTRIES: usize = 1000;
/// Time in seconds from the submission of a report to its deadline.
const REPORT_DEADLINE: f64 = 5.0;
/// Time in seconds from the submission of a lease request to its deadline.
const LEASE_DEADLINE: f64 = 1.0;
/// Connection of the measured gateway instance.
const CONNECTION: ConnectionId = 1;
/// Connection that carries the reports of the other gateway instances.
const BACKGROUND_CONNECTION: ConnectionId = 1_000_000;

/// Settings of one run, which yields one row of the CSV.
pub struct Settings {
    /// Distribution of the requests over the tenants.
    pub distribution: TenantDistribution,
    /// Rule for admitting requests on credit.
    pub credit_rule: CreditRule,
    /// [`ClientSettings::report_delay`] in seconds.
    pub report_delay: f64,
    /// [`ClientSettings::batch_delay`] in seconds.
    pub batch_delay: f64,
}

enum Destination {
    Client,
    Shard,
}

/// Bytes in transit.
struct Delivery {
    /// Unix time of the arrival, in seconds.
    at: f64,
    /// Shard at one end of the connection; the client is at the other.
    shard: ShardId,
    destination: Destination,
    bytes: Vec<u8>,
}

/// State of a run.
pub struct Run {
    settings: Settings,
    rng: ChaCha8Rng,
    map: ShardMap,
    client: LeaseClient,
    shards: BTreeMap<ShardId, Shard>,
    network: VecDeque<Delivery>,
    accounts: Vec<Account>,
    /// Index of the tenant of each request in flight.
    submitted: BTreeMap<RequestId, usize>,
    traffic: Traffic,
    /// Whether the warm-up is over.
    is_measuring: bool,
}

impl Run {
    /// Prepares a run.
    pub fn new(settings: Settings) -> Run {
        let map = settings.distribution.shard_map();
        let mut client_settings = ClientSettings::new(1, 1, REGION);
        client_settings.report_delay = settings.report_delay;
        client_settings.batch_delay = settings.batch_delay;
        Run {
            rng: ChaCha8Rng::seed_from_u64(1),
            client: LeaseClient::new(client_settings, map.clone()).expect("a valid map"),
            shards: SHARDS.iter().map(|id| (*id, new_shard(*id, &map))).collect(),
            network: VecDeque::new(),
            accounts: vec![Account::default(); TENANTS],
            map,
            submitted: BTreeMap::new(),
            traffic: Traffic::default(),
            is_measuring: false,
            settings,
        }
    }

    /// Runs to the end, and returns the traffic counted after the warm-up.
    pub fn measure(mut self) -> Traffic {
        let mut now = START;
        let mut next_request_at = START;
        let mut next_background_at = START;
        while now < START + WARM_UP + DURATION {
            self.is_measuring = now >= START + WARM_UP;
            let next_delivery_at = self.network.front().map_or(f64::INFINITY, |delivery| delivery.at);
            let next_timeout_at = self.client.poll_timeout().unwrap_or(f64::INFINITY);
            now = next_request_at.min(next_background_at).min(next_delivery_at).min(next_timeout_at).max(now);
            if next_delivery_at <= now {
                let delivery = self.network.pop_front().expect("a delivery is due");
                self.deliver(now, delivery);
            } else if next_timeout_at <= now {
                self.client.handle_timeout(now);
            } else if next_request_at <= now {
                next_request_at += draw_interval(&mut self.rng, REQUEST_RATE);
                self.handle_request(now);
            } else {
                next_background_at += BACKGROUND_INTERVAL;
                self.report_background_load(now);
            }
            self.handle_outputs(now);
        }
        self.traffic
    }

    /// Applies `add` to the counts, unless the run is in its warm-up.
    fn count(&mut self, add: impl FnOnce(&mut Traffic)) {
        if self.is_measuring {
            add(&mut self.traffic);
        }
    }

    /// Reports the requests of the other gateway instances, which have the same distribution over the
    /// tenants.
    fn report_background_load(&mut self, now: f64) {
        let requests = (REQUEST_RATE * (GATEWAYS - 1.0) * BACKGROUND_INTERVAL) as usize;
        let mut spent: BTreeMap<ShardId, BTreeMap<usize, i32>> = BTreeMap::new();
        for _ in 0..requests {
            let index = self.settings.distribution.draw(&mut self.rng);
            let owner = self.map.regions[0].owner(tenant_id(index));
            *spent.entry(owner).or_default().entry(index).or_default() += 100;
        }
        for (shard, spent_hundredths) in spent {
            let bytes = background_frames(now, spent_hundredths);
            let shard = self.shards.get_mut(&shard).expect("a known shard");
            shard.receive(now, BACKGROUND_CONNECTION, &bytes);
            shard.poll_outputs();
        }
    }

    fn handle_request(&mut self, now: f64) {
        let index = self.settings.distribution.draw(&mut self.rng);
        self.count(|traffic| traffic.requests += 1);
        let burst = self.map.plans[index].burst;
        let account = &mut self.accounts[index];
        account.record_request(now);
        if account.leased_units >= 1.0 {
            account.leased_units -= 1.0;
            self.count(|traffic| traffic.leased += 1);
        } else if account.admits_on_credit(self.settings.credit_rule, burst, now) {
            account.credit_requests += 1;
            self.submit_report(now, index);
            self.count(|traffic| traffic.on_credit += 1);
        } else {
            account.queued_requests += 1;
            if account.lease_request.is_none() {
                let units = account.lease_units();
                let request_id = self.submit_lease_request(now, index, units);
                self.accounts[index].lease_request = Some(request_id);
            }
        }
    }

    fn submit_report(&mut self, now: f64, index: usize) {
        let deadline = now + REPORT_DEADLINE;
        self.submit(now, index, LeaseRequest { spent_units: 1.0, ..empty_request(index, deadline) });
    }

    fn submit_lease_request(&mut self, now: f64, index: usize, units: f64) -> RequestId {
        let deadline = now + LEASE_DEADLINE;
        self.submit(now, index, LeaseRequest { requested_units: units, ..empty_request(index, deadline) })
    }

    fn submit(&mut self, now: f64, index: usize, request: LeaseRequest) -> RequestId {
        let request_id = self.client.submit(now, request);
        self.submitted.insert(request_id, index);
        request_id
    }

    fn handle_outputs(&mut self, now: f64) {
        for output in self.client.poll_outputs() {
            match output {
                ClientOutput::Connect { shard, .. } => self.client.handle_connected(now, shard),
                ClientOutput::Send { shard, bytes } => self.send_to_shard(now, shard, bytes),
                ClientOutput::Completed { request_id, outcome } => {
                    self.handle_outcome(now, request_id, &outcome);
                }
                ClientOutput::Close { .. } => panic!("expected no connection to fail in this run"),
            }
        }
    }

    fn send_to_shard(&mut self, now: f64, shard: ShardId, bytes: Vec<u8>) {
        let mut decoder = FrameDecoder::default();
        decoder.extend(&bytes);
        while let Ok(Some(frame)) = decoder.next_frame() {
            if let Frame::Batch { entries, .. } = frame {
                self.count(|traffic| {
                    traffic.batches += 1;
                    traffic.entries += entries.len();
                });
            }
        }
        self.count(|traffic| traffic.count_sent(bytes.len()));
        self.send(now, shard, Destination::Shard, bytes);
    }

    fn send(&mut self, now: f64, shard: ShardId, destination: Destination, bytes: Vec<u8>) {
        self.network.push_back(Delivery { at: now + ROUND_TRIP / 2.0, shard, destination, bytes });
    }

    fn deliver(&mut self, now: f64, delivery: Delivery) {
        let Delivery { shard, bytes, .. } = delivery;
        match delivery.destination {
            Destination::Client => {
                self.count(|traffic| traffic.count_received(bytes.len()));
                self.client.receive(now, shard, &bytes);
            }
            Destination::Shard => {
                let receiver = self.shards.get_mut(&shard).expect("a known shard");
                receiver.receive(now, CONNECTION, &bytes);
                for output in receiver.poll_outputs() {
                    if let ShardOutput::Send { bytes, .. } = output {
                        self.send(now, shard, Destination::Client, bytes);
                    }
                }
            }
        }
    }

    fn handle_outcome(&mut self, now: f64, request_id: RequestId, outcome: &LeaseOutcome) {
        let index = self.submitted.remove(&request_id).expect("each request is completed only once");
        let LeaseOutcome::Granted { units, available_units } = outcome else {
            panic!("expected every request to be granted in this run, found {outcome:?}")
        };
        let account = &mut self.accounts[index];
        account.available_units = *available_units;
        account.last_response_at = now;
        account.leased_units += units;
        if account.lease_request != Some(request_id) {
            account.credit_requests -= 1;
            return;
        }
        account.lease_request = None;
        let queued = std::mem::take(&mut account.queued_requests);
        let admitted = queued.min(account.leased_units as usize);
        account.leased_units -= admitted as f64;
        self.count(|traffic| {
            traffic.waited += queued;
            traffic.rejected += queued - admitted;
        });
    }
}

/// Returns a request of the tenant with this index that neither requests nor reports units.
fn empty_request(index: usize, deadline: f64) -> LeaseRequest {
    LeaseRequest {
        tenant: tenant_id(index),
        plan: index as u16,
        requested_units: 0.0,
        spent_units: 0.0,
        deadline,
    }
}

fn new_shard(id: ShardId, map: &ShardMap) -> Shard {
    let settings = ShardSettings { id, region: REGION.into(), incarnation: 1, injected_fault: None };
    Shard::new(0.0, settings, map.clone()).expect("a valid map")
}

/// Encodes a `Hello` of a new process of another gateway instance, and batches that report the spent
/// hundredths by tenant index.
fn background_frames(now: f64, spent_hundredths: BTreeMap<usize, i32>) -> Vec<u8> {
    let mut bytes = encode(&Frame::Hello {
        version: PROTOCOL_VERSION,
        gateway: 2,
        incarnation: now as u64 * 1000,
        epoch: 1,
    });
    let entries = spent_hundredths.into_iter().map(|(index, spent_hundredths)| BatchEntry {
        tenant: tenant_id(index),
        plan: index as u16,
        spent_hundredths,
        requested_hundredths: 0,
    });
    let entries: Vec<BatchEntry> = entries.collect();
    let first_sequence = (now * 10.0) as u32 % 10_000_000 * 100;
    for (count, entries) in entries.chunks(MAX_BACKGROUND_ENTRIES).enumerate() {
        let sequence = first_sequence + count as u32;
        bytes.extend(encode(&Frame::Batch { sequence, entries: entries.to_vec() }));
    }
    bytes
}
