//! One run: the gateway instance, the shards and the network on a virtual clock.
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

/// Seconds that are counted, after the warm-up.
pub const DURATION: f64 = 60.0;
/// Long enough for a gateway instance to have seen most tenants of the uniform distribution, each once a
/// minute; seconds.
const WARM_UP: f64 = 120.0;
/// Unix time of the run's start, seconds: the shards have run for long.
const START: f64 = 100_000.0;
/// Round-trip time between the gateway instance and a shard, seconds.
const ROUND_TRIP: f64 = 0.001;
/// Interval at which the other gateway instances report, seconds.
const BACKGROUND_INTERVAL: f64 = 0.1;
/// Most entries in one of their batches.
const MAX_BACKGROUND_ENTRIES: usize = 1000;
/// Deadline of a report, seconds after it is submitted.
const REPORT_DEADLINE: f64 = 5.0;
/// Deadline of a request for a lease, seconds after it is submitted.
const LEASE_DEADLINE: f64 = 1.0;
const CONNECTION: ConnectionId = 1;
const BACKGROUND_CONNECTION: ConnectionId = 1_000_000;

/// What a row of the CSV is measured with.
pub struct Settings {
    /// How the requests are distributed over the tenants.
    pub distribution: TenantDistribution,
    /// When requests are admitted on credit.
    pub credit_rule: CreditRule,
    /// As in [`ClientSettings`], seconds.
    pub report_delay: f64,
    /// As in [`ClientSettings`], seconds.
    pub batch_delay: f64,
}

enum Destination {
    Client,
    Shard,
}

struct Delivery {
    at: f64,
    /// The shard at one end of the connection.
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
    /// Tenants of the requests in flight, by index.
    submitted: BTreeMap<RequestId, usize>,
    traffic: Traffic,
    /// Whether the warm-up is over.
    is_measuring: bool,
}

impl Run {
    /// A run that has not begun.
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

    /// Runs to the end, and returns what was counted after the warm-up.
    pub fn measure(mut self) -> Traffic {
        let mut now = START;
        let mut next_request = START;
        let mut next_background = START;
        while now < START + WARM_UP + DURATION {
            self.is_measuring = now >= START + WARM_UP;
            let delivery = self.network.front().map_or(f64::INFINITY, |delivery| delivery.at);
            let timer = self.client.poll_timeout().unwrap_or(f64::INFINITY);
            now = next_request.min(next_background).min(delivery).min(timer).max(now);
            if delivery <= now {
                let delivery = self.network.pop_front().expect("a delivery is due");
                self.deliver(now, delivery);
            } else if timer <= now {
                self.client.handle_timeout(now);
            } else if next_request <= now {
                next_request += draw_interval(&mut self.rng, REQUEST_RATE);
                self.handle_request(now);
            } else {
                next_background += BACKGROUND_INTERVAL;
                self.report_background_load(now);
            }
            self.handle_outputs(now);
        }
        self.traffic
    }

    fn count(&mut self, add: impl FnOnce(&mut Traffic)) {
        if self.is_measuring {
            add(&mut self.traffic);
        }
    }

    /// The other gateway instances' requests, distributed over the tenants as the traffic is.
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
                ClientOutput::Close { .. } => panic!("no connection fails in this run"),
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
        let index = self.submitted.remove(&request_id).expect("each request ends once");
        let LeaseOutcome::Granted { units, available_units } = outcome else {
            panic!("no request fails in this run: {outcome:?}")
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

/// A request of a tenant, by its index, that neither requests nor reports units.
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

/// Batches that report what was spent, by the tenant's index, from a new process of another gateway instance.
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
