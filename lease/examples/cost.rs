//! What one front door of the target spends on leases: 231 requests a second of 14,000 tenants, three shards in its
//! region, through the real client and the real shards, on a virtual clock. 420 front doors' load on the tenants'
//! buckets is played by draws of the same traffic straight at the shards.
//!
//! Prints a CSV; without arguments all rows. Bytes on the wire count 40 for the header of each segment (IPv4 and TCP
//! without options) that carries data, and one bare acknowledgement for each reply.
use quillramp_lease::client::{
    ClientOutput, ClientSettings, LeaseClient, LeaseOutcome, LeaseRequest, RequestId,
};
use quillramp_lease::shard::{Shard, ShardOutput, ShardSettings};
use quillramp_lease::shard_map::{Plan, Region, ShardEntry, ShardId, ShardMap, TenantId};
use quillramp_lease::wire::{encode, BatchEntry, Frame, FrameDecoder, PROTOCOL_VERSION};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rand_distr::{Distribution, Zipf};
use std::collections::{BTreeMap, VecDeque};

const TENANTS: usize = 14_000;
const REQUEST_RATE: f64 = 231.0;
const FRONT_DOORS: f64 = 420.0;
const SHARDS: [ShardId; 3] = [1, 2, 3];
const SEGMENT_HEADER: usize = 40;
/// Segments carry that many bytes of payload at most.
const SEGMENT_PAYLOAD: usize = 1460;
const ROUND_TRIP: f64 = 0.001;
const DURATION: f64 = 60.0;
/// Long enough for a front door to have seen most tenants of the uniform spread, each once a minute.
const WARM_UP: f64 = 120.0;
/// Room told from which on a request is spent on credit, as a part of the burst, and how long that word counts, seconds.
const CREDIT_PART: f64 = 0.5;
const CREDIT_LIFE: f64 = 120.0;
/// Requests of a tenant on credit that are not answered yet, at most; for a tenant with a large quota a hundredth of the burst.
const CREDIT_LIMIT: usize = 1;
const CREDIT_LIMIT_PART: f64 = 0.01;
/// A lease is for what this front door sees of the tenant in so many seconds, and for one request at least.
const LEASE_HORIZON: f64 = 2.0;
/// The whole traffic of a tenant against its quota: 1 is what the quota bears.
const QUOTA_OVER_DEMAND: f64 = 1.5;

#[derive(Clone, Copy, PartialEq)]
enum Spread {
    Uniform,
    Zipf,
}

/// When a request without a lease is served before its shard is asked.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Credit {
    Never,
    /// The last answer told of plenty of room, not long ago.
    RoomTold,
    /// As `RoomTold`, and where no answer is known.
    UnlessShort,
}

struct Row {
    spread: Spread,
    credit: Credit,
    report_interval: f64,
    gather_interval: f64,
}

#[derive(Default)]
struct Counts {
    sent: usize,
    received: usize,
    wire_sent: usize,
    wire_received: usize,
    batches: usize,
    entries: usize,
    requests: usize,
    waited: usize,
    leased: usize,
    credit: usize,
    refused: usize,
}

#[derive(Default, Clone)]
struct Account {
    held: f64,
    room: u32,
    told_at: f64,
    rate: f64,
    seen_at: f64,
    question: Option<RequestId>,
    credit_out: usize,
    waiting: usize,
}

struct Delivery {
    at: f64,
    shard: ShardId,
    to_client: bool,
    bytes: Vec<u8>,
}

struct Run {
    row: Row,
    rng: ChaCha8Rng,
    client: LeaseClient,
    shards: BTreeMap<ShardId, Shard>,
    network: VecDeque<Delivery>,
    accounts: Vec<Account>,
    weights: Vec<f64>,
    region: Region,
    pending_requests: BTreeMap<RequestId, usize>,
    counts: Counts,
    counting: bool,
}

fn segments(bytes: usize) -> usize {
    bytes.div_ceil(SEGMENT_PAYLOAD)
}

/// Customers' numbers lie below 2^33.
fn tenant_id(index: usize) -> TenantId {
    (index as u64).wrapping_mul(0x9E37_79B9_7F4A_7C15) >> 31
}

/// Parts of the traffic, by tenant.
fn weights(spread: Spread) -> Vec<f64> {
    let raw = (1..=TENANTS).map(|rank| match spread {
        Spread::Uniform => 1.0,
        Spread::Zipf => 1.0 / rank as f64,
    });
    let raw: Vec<f64> = raw.collect();
    let sum: f64 = raw.iter().sum();
    raw.into_iter().map(|weight| weight / sum).collect()
}

/// A plan for each tenant, so that each has the same part of its quota in use.
fn map(weights: &[f64]) -> ShardMap {
    let plan = |weight: &f64| {
        let rate = weight * REQUEST_RATE * FRONT_DOORS * QUOTA_OVER_DEMAND;
        Plan { name: "plan".into(), rate, burst: (rate * 2.0).max(4.0) }
    };
    let shards = SHARDS.iter().map(|id| ShardEntry { id: *id, address: ([127, 0, 0, 1], 7000 + *id).into() });
    ShardMap {
        epoch: 1,
        active_at: 0.0,
        plans: weights.iter().map(plan).collect(),
        regions: vec![Region { name: "north".into(), quota_fraction: 1.0, shards: shards.collect() }],
    }
}

impl Run {
    fn new(row: Row) -> Run {
        let weights = weights(row.spread);
        let map = map(&weights);
        let mut settings = ClientSettings::new(1, 1, "north");
        settings.report_delay = row.report_interval;
        settings.batch_delay = row.gather_interval;
        let shard = |id: &ShardId| {
            let settings =
                ShardSettings { id: *id, region: "north".into(), incarnation: 1, injected_fault: None };
            (*id, Shard::new(0.0, settings, map.clone()).expect("a good map"))
        };
        Run {
            rng: ChaCha8Rng::seed_from_u64(1),
            client: LeaseClient::new(settings, map.clone()).expect("a good map"),
            shards: SHARDS.iter().map(shard).collect(),
            network: VecDeque::new(),
            accounts: vec![Account::default(); TENANTS],
            weights,
            region: map.regions[0].clone(),
            pending_requests: BTreeMap::new(),
            counts: Counts::default(),
            counting: false,
            row,
        }
    }

    fn draw_tenant(&mut self) -> usize {
        match self.row.spread {
            Spread::Uniform => self.rng.gen_range(0..TENANTS),
            Spread::Zipf => {
                let zipf = Zipf::new(TENANTS as u64, 1.0).expect("good parameters");
                zipf.sample(&mut self.rng) as usize - 1
            }
        }
    }

    fn play(mut self) -> Counts {
        let begin = 100_000.0; // the shards have run for long
        let mut now = begin;
        let mut next_request = begin;
        let mut next_background = begin;
        while now < begin + WARM_UP + DURATION {
            self.counting = now >= begin + WARM_UP;
            let delivery = self.network.front().map_or(f64::INFINITY, |delivery| delivery.at);
            let timer = self.client.poll_timeout().unwrap_or(f64::INFINITY);
            now = next_request.min(next_background).min(delivery).min(timer).max(now);
            if delivery <= now {
                let delivery = self.network.pop_front().expect("just seen");
                self.deliver(now, delivery);
            } else if timer <= now {
                self.client.handle_timeout(now);
            } else if next_request <= now {
                next_request += self.pause(REQUEST_RATE);
                self.arrive(now);
            } else {
                next_background += 0.1;
                self.background(now, 0.1);
            }
            self.handle_outputs(now);
        }
        self.counts
    }

    fn pause(&mut self, rate: f64) -> f64 {
        -(1.0 - self.rng.gen::<f64>()).ln() / rate
    }

    /// The other front doors' use, spread over the tenants as the traffic is.
    fn background(&mut self, now: f64, elapsed: f64) {
        let requests = (REQUEST_RATE * (FRONT_DOORS - 1.0) * elapsed) as usize;
        let mut spent: BTreeMap<ShardId, BTreeMap<usize, i32>> = BTreeMap::new();
        for _ in 0..requests {
            let index = self.draw_tenant();
            let owner = self.region.owner(tenant_id(index));
            *spent.entry(owner).or_default().entry(index).or_default() += 100;
        }
        for (id, tenants) in spent {
            let shard = self.shards.get_mut(&id).expect("known");
            let connection = 1_000_000;
            let mut bytes = encode(&Frame::Hello {
                version: PROTOCOL_VERSION,
                gateway: 2,
                incarnation: now as u64 * 1000,
                epoch: 1,
            });
            let entries: Vec<BatchEntry> = tenants
                .into_iter()
                .map(|(index, spent)| BatchEntry {
                    tenant: tenant_id(index),
                    plan: index as u16,
                    spent_hundredths: spent,
                    requested_hundredths: 0,
                })
                .collect();
            let first = (now * 10.0) as u32 % 10_000_000 * 100;
            for (count, entries) in entries.chunks(1000).enumerate() {
                let sequence = first + count as u32;
                bytes.extend(encode(&Frame::Batch { sequence, entries: entries.to_vec() }));
            }
            shard.receive(now, connection, &bytes);
            shard.poll_outputs();
        }
    }

    fn arrive(&mut self, now: f64) {
        let index = self.draw_tenant();
        self.count(|counts| counts.requests += 1);
        let burst = (self.weights[index] * REQUEST_RATE * FRONT_DOORS * QUOTA_OVER_DEMAND * 2.0).max(4.0);
        let credit = self.row.credit;
        let account = &mut self.accounts[index];
        account.rate = account.rate * (-(now - account.seen_at) / 10.0).exp() + 0.1;
        account.seen_at = now;
        if account.held >= 1.0 {
            account.held -= 1.0;
            return self.count(|counts| counts.leased += 1);
        }
        let told = now - account.told_at < CREDIT_LIFE;
        let has_room = f64::from(account.room) >= CREDIT_PART * burst;
        let on_credit = match credit {
            Credit::Never => false,
            Credit::RoomTold => told && has_room,
            Credit::UnlessShort => !told || has_room,
        };
        if on_credit && account.credit_out < CREDIT_LIMIT.max((burst * CREDIT_LIMIT_PART) as usize) {
            account.credit_out += 1;
            let request = LeaseRequest {
                tenant: tenant_id(index),
                plan: index as u16,
                requested_units: 0.0,
                spent_units: 1.0,
                deadline: now + 5.0,
            };
            let request_id = self.client.submit(now, request);
            self.pending_requests.insert(request_id, index);
            return self.count(|counts| counts.credit += 1);
        }
        account.waiting += 1;
        if account.question.is_none() {
            let want = (account.rate * LEASE_HORIZON).floor().max(1.0);
            let request = LeaseRequest {
                tenant: tenant_id(index),
                plan: index as u16,
                requested_units: want,
                spent_units: 0.0,
                deadline: now + 1.0,
            };
            let request_id = self.client.submit(now, request);
            self.accounts[index].question = Some(request_id);
            self.pending_requests.insert(request_id, index);
        }
    }

    fn count(&mut self, add: impl FnOnce(&mut Counts)) {
        if self.counting {
            add(&mut self.counts);
        }
    }

    fn handle_outputs(&mut self, now: f64) {
        for output in self.client.poll_outputs() {
            match output {
                ClientOutput::Connect { shard, .. } => self.client.handle_connected(now, shard),
                ClientOutput::Send { shard, bytes } => self.send(now, shard, bytes),
                ClientOutput::Completed { request_id, outcome } => self.replied(now, request_id, &outcome),
                ClientOutput::Close { .. } => panic!("nothing fails here"),
            }
        }
    }

    fn send(&mut self, now: f64, shard: ShardId, bytes: Vec<u8>) {
        let mut reader = FrameDecoder::default();
        reader.extend(&bytes);
        while let Ok(Some(frame)) = reader.next_frame() {
            if let Frame::Batch { entries, .. } = frame {
                self.count(|counts| {
                    counts.batches += 1;
                    counts.entries += entries.len();
                });
            }
        }
        self.count(|counts| {
            counts.sent += bytes.len();
            counts.wire_sent += bytes.len() + segments(bytes.len()) * SEGMENT_HEADER;
        });
        self.network.push_back(Delivery { at: now + ROUND_TRIP / 2.0, shard, to_client: false, bytes });
    }

    fn deliver(&mut self, now: f64, delivery: Delivery) {
        let Delivery { shard, bytes, .. } = delivery;
        if delivery.to_client {
            self.count(|counts| {
                counts.received += bytes.len();
                counts.wire_received += bytes.len() + segments(bytes.len()) * SEGMENT_HEADER;
                counts.wire_sent += SEGMENT_HEADER; // the bare acknowledgement of the reply
            });
            return self.client.receive(now, shard, &bytes);
        }
        let state = self.shards.get_mut(&shard).expect("known");
        state.receive(now, 1, &bytes);
        for output in state.poll_outputs() {
            if let ShardOutput::Send { bytes, .. } = output {
                self.network.push_back(Delivery {
                    at: now + ROUND_TRIP / 2.0,
                    shard,
                    to_client: true,
                    bytes,
                });
            }
        }
    }

    fn replied(&mut self, now: f64, request_id: RequestId, outcome: &LeaseOutcome) {
        let index = self.pending_requests.remove(&request_id).expect("each request ends once");
        let LeaseOutcome::Granted { units, available_units } = outcome else {
            panic!("nothing fails here: {outcome:?}")
        };
        let account = &mut self.accounts[index];
        account.room = *available_units;
        account.told_at = now;
        account.held += units;
        if account.question != Some(request_id) {
            account.credit_out -= 1;
            return;
        }
        account.question = None;
        let waiting = std::mem::take(&mut account.waiting);
        let served = waiting.min(account.held as usize);
        account.held -= served as f64;
        self.count(|counts| {
            counts.waited += waiting;
            counts.refused += waiting - served;
        });
    }
}

fn print_row(row: Row) {
    let spread = if row.spread == Spread::Uniform { "uniform" } else { "zipf" };
    let head = format!("{spread},{:?},{},{}", row.credit, row.report_interval, row.gather_interval);
    let counts = Run::new(row).play();
    let rate = |count: usize| count as f64 / DURATION;
    let part = |count: usize| count as f64 / counts.requests as f64;
    println!(
        "{head},{:.1},{:.0},{:.0},{:.0},{:.0},{:.0},{:.1},{:.2},{:.4},{:.4},{:.4},{:.4}",
        rate(counts.requests),
        rate(counts.sent),
        rate(counts.received),
        rate(counts.wire_sent),
        rate(counts.wire_received),
        rate(counts.wire_sent + counts.wire_received),
        rate(counts.batches),
        counts.entries as f64 / counts.batches as f64,
        part(counts.waited),
        part(counts.leased),
        part(counts.credit),
        part(counts.refused),
    );
}

fn main() {
    println!(
        "spread,credit,report_interval_s,gather_interval_s,requests_per_s,payload_sent_per_s,payload_received_per_s,\
         wire_sent_per_s,wire_received_per_s,wire_total_per_s,batches_per_s,entries_per_batch,waited,leased,on_credit,refused"
    );
    for spread in [Spread::Uniform, Spread::Zipf] {
        print_row(Row { spread, credit: Credit::Never, report_interval: 0.2, gather_interval: 0.0 });
        print_row(Row { spread, credit: Credit::Never, report_interval: 0.2, gather_interval: 0.003 });
        for credit in [Credit::RoomTold, Credit::UnlessShort] {
            for report_interval in [0.2, 0.5, 1.0] {
                print_row(Row { spread, credit, report_interval, gather_interval: 0.0 });
            }
        }
    }
}
