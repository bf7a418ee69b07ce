//! Front doors, shards of two regions and a network on a virtual clock, all drawn from a seed, with a referee.
#![allow(dead_code)] // each test file uses a part

pub mod door;
pub mod referee;

use door::{Door, DoorId};
use quillramp_lease::client::{self, ClientSettings};
use quillramp_lease::fault_injection::InjectedFault;
use quillramp_lease::shard::{ConnectionId, Shard, ShardOutput, ShardSettings};
use quillramp_lease::shard_map::{Plan, Region, ShardEntry, ShardId, ShardMap, TenantId, FULL_QUOTA_PPM};
use quillramp_lease::wire::{Frame, FrameDecoder, PeerMessage};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use referee::Referee;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap};

pub const START: f64 = 1_000_000.0;
pub const TENANTS: [TenantId; 2] = [0x1_2345_6789, 7];
pub const DOORS_PER_REGION: usize = 4;
pub const REGIONS: [&str; 2] = ["north", "south"];
pub const RATE: f64 = 10.0;
pub const BURST: f64 = 400.0;
/// Timers end no sooner, seconds.
const SHORTEST_TIMER: f64 = 1e-5;

/// What a scenario draws on; times in seconds of the run.
#[derive(Clone, Debug)]
pub struct Settings {
    pub seed: u64,
    pub duration: f64,
    /// Requests a second of each tenant in each region, up to `shift_at` and from then on.
    pub demand: [f64; 2],
    pub later_demand: [f64; 2],
    pub shift_at: f64,
    pub injected_fault: Option<InjectedFault>,
    /// Chance that a reply is lost with its connection.
    pub reply_lost: f64,
    /// The same for replies to batches that only give units back.
    pub return_reply_lost: f64,
    /// Chance that a frame between shards is lost.
    pub peer_lost: f64,
    /// The regions part once the first transfer has arrived, and stay apart to the end.
    pub cut_at_transfer: bool,
    /// Failures in order of time.
    pub failures: Vec<(f64, Failure)>,
}

impl Settings {
    pub fn new(seed: u64, duration: f64) -> Settings {
        Settings {
            seed,
            duration,
            demand: [10.0, 10.0],
            later_demand: [10.0, 10.0],
            shift_at: duration,
            injected_fault: None,
            reply_lost: 0.0,
            return_reply_lost: 0.0,
            peer_lost: 0.01,
            cut_at_transfer: false,
            failures: vec![],
        }
    }
}

#[derive(Clone, Debug)]
pub enum Failure {
    /// A shard's process or machine ends; silent: its connections stay open and quiet.
    LoseShard {
        shard: ShardId,
        silent: bool,
    },
    /// An empty one takes its place.
    StartShard {
        shard: ShardId,
    },
    Part,
    Join,
    /// A front door dies as soon as a shard has applied its next batch, and starts again a second later.
    KillDoorAtNextBatch {
        door: DoorId,
    },
    /// Somebody hears of the map.
    TellShard {
        shard: ShardId,
        map: ShardMap,
    },
    TellDoor {
        door: DoorId,
        map: ShardMap,
    },
    /// Counting of what is refused begins or ends.
    Window(bool),
}

#[derive(Debug)]
enum Event {
    Arrive { region: usize, tenant: TenantId },
    Failure(Failure),
    DoorDue(DoorId),
    ShardDue(ShardId),
    DoorStart(DoorId),
    Opened { door: DoorId, shard: ShardId, connection: ConnectionId, up: bool },
    ToShard { connection: ConnectionId, bytes: Vec<u8> },
    ToDoor { connection: ConnectionId, bytes: Vec<u8> },
    Reset { connection: ConnectionId },
    PeerFrame { to: ShardId, bytes: Vec<u8> },
}

/// Ordered by time, then by when it was put in.
struct Scheduled {
    at: f64,
    number: u64,
    event: Event,
}

impl PartialEq for Scheduled {
    fn eq(&self, other: &Self) -> bool {
        self.cmp(other).is_eq()
    }
}
impl Eq for Scheduled {}
impl PartialOrd for Scheduled {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}
impl Ord for Scheduled {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        self.at.total_cmp(&other.at).then(self.number.cmp(&other.number))
    }
}

struct OpenConnection {
    door: DoorId,
    shard: ShardId,
    /// Bytes stay in order in each direction.
    last_delivery: [f64; 2],
}

/// What a run showed.
#[derive(Clone, Debug, Default)]
pub struct Outcome {
    /// Most units beyond a quota in any window, over all tenants.
    pub excess: f64,
    pub asked: u64,
    pub served: u64,
    pub refused: u64,
    /// The same within the failure's window.
    pub window_asked: u64,
    pub window_served: u64,
    /// Units that the quotas regained within the window.
    pub window_quota: f64,
    /// Most of the shares of one tenant, parts per million.
    pub largest_share_sum: u32,
    /// Reports on credit that ended unanswered, or died with their front door.
    pub credit_lost: f64,
    /// Units of leases that died with their front door.
    pub lease_lost: f64,
    pub transfers: u64,
}

pub struct World {
    settings: Settings,
    rng: ChaCha8Rng,
    now: f64,
    number: u64,
    queue: BinaryHeap<Reverse<Scheduled>>,
    doors: BTreeMap<DoorId, Door>,
    shards: BTreeMap<ShardId, Shard>,
    silent: BTreeSet<ShardId>,
    shard_timers: BTreeMap<ShardId, f64>,
    connections: BTreeMap<ConnectionId, OpenConnection>,
    next_connection: ConnectionId,
    incarnation: u64,
    map: ShardMap,
    latest_map: ShardMap,
    referees: BTreeMap<TenantId, Referee>,
    apart: bool,
    in_window: Option<f64>,
    kills: BTreeSet<DoorId>,
    /// Chance that the next reply is lost.
    loss: f64,
    outcome: Outcome,
}

/// A map of two regions with shards of these numbers.
pub fn map_of(epoch: u32, active_at: f64, shards: [&[ShardId]; 2]) -> ShardMap {
    let entry = |id: &ShardId| ShardEntry { id: *id, address: ([127, 0, 0, 1], 7000 + *id).into() };
    let region = |index: usize| Region {
        name: REGIONS[index].into(),
        quota_fraction: 0.5,
        shards: shards[index].iter().map(entry).collect(),
    };
    ShardMap {
        epoch,
        active_at,
        plans: vec![Plan { name: "team".into(), rate: RATE, burst: BURST }],
        regions: vec![region(0), region(1)],
    }
}

/// Whole frames in a piece of a stream that begins with one.
fn frames_in(bytes: &[u8]) -> Vec<Frame> {
    let mut reader = FrameDecoder::default();
    reader.extend(bytes);
    std::iter::from_fn(|| reader.next_frame().ok().flatten()).collect()
}

fn only_returns(frame: &Frame) -> bool {
    matches!(frame, Frame::Batch { entries, .. } if entries.iter().all(|entry| entry.requested_hundredths == 0 && entry.spent_hundredths < 0))
}

fn holds_transfer(frame: &Frame) -> bool {
    let Frame::Peer { messages, .. } = frame else { return false };
    messages.iter().any(|message| matches!(message, PeerMessage::Transfer { .. }))
}

impl World {
    pub fn run(settings: Settings) -> Outcome {
        let map = map_of(1, 0.0, [&[1, 2], &[11, 12]]);
        let mut world = World {
            rng: ChaCha8Rng::seed_from_u64(settings.seed),
            now: START,
            number: 0,
            queue: BinaryHeap::new(),
            doors: BTreeMap::new(),
            shards: BTreeMap::new(),
            silent: BTreeSet::new(),
            shard_timers: BTreeMap::new(),
            connections: BTreeMap::new(),
            next_connection: 1,
            incarnation: 1,
            latest_map: map.clone(),
            map,
            referees: TENANTS.iter().map(|tenant| (*tenant, Referee::new(RATE, BURST, START))).collect(),
            apart: false,
            in_window: None,
            kills: BTreeSet::new(),
            loss: 0.0,
            outcome: Outcome::default(),
            settings,
        };
        world.prepare();
        world.play();
        world.finish()
    }

    fn prepare(&mut self) {
        for shard in [1, 2, 11, 12] {
            self.start_shard(shard);
        }
        for index in 0..2 * DOORS_PER_REGION {
            self.start_door(DoorId(index));
        }
        for region in 0..REGIONS.len() {
            for tenant in TENANTS {
                self.schedule_arrival(region, tenant);
            }
        }
        for (at, failure) in std::mem::take(&mut self.settings.failures) {
            self.schedule(START + at, Event::Failure(failure));
        }
    }

    fn play(&mut self) {
        let end = START + self.settings.duration;
        let mut next_check = START;
        while let Some(Reverse(next)) = self.queue.pop() {
            if next.at > end {
                break;
            }
            self.now = next.at;
            self.handle(next.event);
            if self.now >= next_check {
                next_check = self.now + 0.05;
                self.check_shares();
            }
        }
    }

    fn finish(mut self) -> Outcome {
        if self.in_window.is_some() {
            self.apply(Failure::Window(false));
        }
        self.outcome.excess = self.referees.values().map(|referee| referee.worst).fold(0.0, f64::max);
        self.outcome.credit_lost += self.doors.values().map(|door| door.credit_lost).sum::<f64>();
        self.outcome
    }

    fn schedule(&mut self, at: f64, event: Event) {
        self.number += 1;
        self.queue.push(Reverse(Scheduled { at, number: self.number, event }));
    }

    fn schedule_arrival(&mut self, region: usize, tenant: TenantId) {
        let shifted = self.now >= START + self.settings.shift_at;
        let demand = if shifted { self.settings.later_demand } else { self.settings.demand };
        let wait = -(1.0 - self.rng.gen::<f64>()).ln() / demand[region];
        self.schedule(self.now + wait, Event::Arrive { region, tenant });
    }

    fn check_shares(&mut self) {
        for tenant in TENANTS {
            let owners = self.map.regions.iter().map(|region| region.owner(tenant));
            let sum: u32 =
                owners.filter_map(|owner| self.shards.get(&owner)?.quota_fraction_ppm(tenant)).sum();
            self.outcome.largest_share_sum = self.outcome.largest_share_sum.max(sum);
        }
    }

    fn start_shard(&mut self, id: ShardId) {
        self.incarnation += 1;
        let region = REGIONS[usize::from(id > 10)].to_owned();
        let injected_fault = self.settings.injected_fault;
        let settings = ShardSettings { id, region, incarnation: self.incarnation, injected_fault };
        let shard = Shard::new(self.now, settings, self.latest_map.clone()).expect("the map has it");
        self.silent.remove(&id);
        self.shards.insert(id, shard);
    }

    fn start_door(&mut self, id: DoorId) {
        self.incarnation += 1;
        let region = REGIONS[id.0 % REGIONS.len()];
        let mut settings = ClientSettings::new(id.0 as u64, self.incarnation, region);
        settings.injected_fault = self.settings.injected_fault;
        self.doors.insert(id, Door::new(settings, self.latest_map.clone()));
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrive { region, tenant } => {
                self.schedule_arrival(region, tenant);
                self.arrive(region, tenant);
            }
            Event::Failure(failure) => self.apply(failure),
            Event::DoorDue(door) => self.with_door(door, |door, now| door.tick(now)),
            Event::ShardDue(id) => self.with_shard(id, |shard, now| shard.handle_timeout(now)),
            Event::DoorStart(door) => self.start_door(door),
            Event::Opened { door, shard, connection, up } => self.opened(door, shard, connection, up),
            Event::ToShard { connection, bytes } => self.reach_shard(connection, &bytes),
            Event::ToDoor { connection, bytes } => self.reach_door(connection, &bytes),
            Event::Reset { connection } => self.reset(connection),
            Event::PeerFrame { to, bytes } => self.peer_frame(to, &bytes),
        }
    }

    fn arrive(&mut self, region: usize, tenant: TenantId) {
        let door = DoorId(self.rng.gen_range(0..DOORS_PER_REGION) * REGIONS.len() + region);
        self.outcome.asked += 1;
        self.outcome.window_asked += u64::from(self.in_window.is_some());
        if self.doors.contains_key(&door) {
            self.with_door(door, |door, now| door.arrive(now, tenant));
        } else {
            self.outcome.refused += 1;
        }
    }

    fn with_door(&mut self, id: DoorId, act: impl FnOnce(&mut Door, f64)) {
        let Some(door) = self.doors.get_mut(&id) else { return };
        act(door, self.now);
        let outputs = door.drain(self.now);
        let results = std::mem::take(&mut door.results);
        if let Some(due) = door.due() {
            if door.timer.is_none_or(|at| due < at || at <= self.now) {
                door.timer = Some(due);
                self.schedule(due.max(self.now + SHORTEST_TIMER), Event::DoorDue(id));
            }
        }
        for result in results {
            if result.served {
                self.outcome.served += 1;
                self.outcome.window_served += u64::from(self.in_window.is_some());
                self.referees.get_mut(&result.tenant).expect("known").spend(1.0, self.now);
            } else {
                self.outcome.refused += 1;
            }
        }
        for output in outputs {
            self.door_output(id, output);
        }
    }

    fn door_output(&mut self, door: DoorId, output: client::ClientOutput) {
        match output {
            client::ClientOutput::Connect { shard, .. } => {
                let connection = self.next_connection;
                self.next_connection += 1;
                let up = self.shards.contains_key(&shard);
                if up || !self.silent.contains(&shard) {
                    let at = self.now + self.delay() * 2.0;
                    self.schedule(at, Event::Opened { door, shard, connection, up });
                }
            }
            client::ClientOutput::Send { shard, bytes } => {
                let Some(connection) = self.connection_of(door, shard) else { return };
                for piece in self.pieces(bytes) {
                    let at = self.in_order(connection, 0);
                    self.schedule(at, Event::ToShard { connection, bytes: piece });
                }
            }
            client::ClientOutput::Close { shard } => {
                if let Some(connection) = self.connection_of(door, shard) {
                    self.connections.remove(&connection);
                    if let Some(shard) = self.shards.get_mut(&shard) {
                        shard.handle_disconnected(connection);
                    }
                }
            }
            client::ClientOutput::Completed { .. } => {}
        }
    }

    /// A stream comes in whatever pieces.
    fn pieces(&mut self, mut bytes: Vec<u8>) -> Vec<Vec<u8>> {
        if !self.rng.gen_bool(0.1) {
            return vec![bytes];
        }
        let rest = bytes.split_off(self.rng.gen_range(0..=bytes.len()));
        vec![bytes, rest]
    }

    fn delay(&mut self) -> f64 {
        self.rng.gen_range(0.0002..0.003)
    }

    fn in_order(&mut self, connection: ConnectionId, direction: usize) -> f64 {
        let at = self.now + self.delay();
        let Some(open) = self.connections.get_mut(&connection) else { return at };
        open.last_delivery[direction] = open.last_delivery[direction].max(at);
        open.last_delivery[direction]
    }

    fn connection_of(&self, door: DoorId, shard: ShardId) -> Option<ConnectionId> {
        let found = self.connections.iter().find(|(_, open)| open.door == door && open.shard == shard);
        found.map(|(connection, _)| *connection)
    }

    fn opened(&mut self, door: DoorId, shard: ShardId, connection: ConnectionId, up: bool) {
        if !self.doors.contains_key(&door) || self.connection_of(door, shard).is_some() {
            return;
        }
        if up && self.shards.contains_key(&shard) {
            self.connections.insert(connection, OpenConnection { door, shard, last_delivery: [0.0; 2] });
            self.with_door(door, |door, now| door.client.handle_connected(now, shard));
        } else {
            self.with_door(door, |door, now| door.client.handle_disconnected(now, shard));
        }
    }

    fn reach_shard(&mut self, connection: ConnectionId, bytes: &[u8]) {
        let Some(open) = self.connections.get(&connection) else { return };
        let (door, shard) = (open.door, open.shard);
        let frames = frames_in(bytes);
        let is_batch = frames.iter().any(|frame| matches!(frame, Frame::Batch { .. }));
        self.loss = if frames.iter().any(only_returns) {
            self.settings.return_reply_lost
        } else {
            self.settings.reply_lost
        };
        self.with_shard(shard, |shard, now| shard.receive(now, connection, bytes));
        if is_batch && self.kills.remove(&door) {
            self.kill_door(door);
        }
    }

    fn reach_door(&mut self, connection: ConnectionId, bytes: &[u8]) {
        let Some(open) = self.connections.get(&connection) else { return };
        let (door, shard) = (open.door, open.shard);
        self.with_door(door, |door, now| door.client.receive(now, shard, bytes));
    }

    fn reset(&mut self, connection: ConnectionId) {
        let Some(open) = self.connections.remove(&connection) else { return };
        if let Some(shard) = self.shards.get_mut(&open.shard) {
            shard.handle_disconnected(connection);
        }
        self.with_door(open.door, |door, now| door.client.handle_disconnected(now, open.shard));
    }

    fn peer_frame(&mut self, to: ShardId, bytes: &[u8]) {
        let transfer = frames_in(bytes).iter().any(holds_transfer);
        self.outcome.transfers += u64::from(transfer);
        let connection = self.next_connection; // peers' frames stand by themselves
        self.next_connection += 1;
        if transfer && self.settings.cut_at_transfer {
            self.apart = true;
        }
        self.with_shard(to, |shard, now| {
            shard.receive(now, connection, bytes);
            shard.handle_disconnected(connection);
        });
    }

    fn with_shard(&mut self, id: ShardId, act: impl FnOnce(&mut Shard, f64)) {
        let Some(shard) = self.shards.get_mut(&id) else { return };
        act(shard, self.now);
        let outputs = shard.poll_outputs();
        let due = shard.poll_timeout().max(self.now + SHORTEST_TIMER);
        let timer = self.shard_timers.entry(id).or_insert(0.0);
        if due < *timer || *timer <= self.now {
            *timer = due;
            self.schedule(due, Event::ShardDue(id));
        }
        for output in outputs {
            self.shard_output(output);
        }
    }

    fn shard_output(&mut self, output: ShardOutput) {
        match output {
            ShardOutput::Send { connection, bytes } => {
                if self.rng.gen_bool(self.loss) {
                    let at = self.in_order(connection, 1);
                    return self.schedule(at, Event::Reset { connection });
                }
                for piece in self.pieces(bytes) {
                    let at = self.in_order(connection, 1);
                    self.schedule(at, Event::ToDoor { connection, bytes: piece });
                }
            }
            ShardOutput::Close { connection } => {
                let at = self.in_order(connection, 1);
                self.schedule(at, Event::Reset { connection });
            }
            ShardOutput::SendToPeer { shard, bytes } => {
                if !self.apart && !self.rng.gen_bool(self.settings.peer_lost) {
                    let at = self.now + 0.03 + self.delay() * 5.0;
                    self.schedule(at, Event::PeerFrame { to: shard, bytes });
                }
            }
        }
    }

    fn kill_door(&mut self, id: DoorId) {
        let Some(door) = self.doors.remove(&id) else { return };
        self.outcome.lease_lost += door.held();
        self.outcome.credit_lost += door.credit_lost + door.credit_out();
        let lost = door.waiting_requests();
        self.outcome.refused += lost;
        let gone: Vec<ConnectionId> =
            self.connections.iter().filter(|(_, open)| open.door == id).map(|(c, _)| *c).collect();
        for connection in gone {
            let open = self.connections.remove(&connection).expect("just seen");
            if let Some(shard) = self.shards.get_mut(&open.shard) {
                shard.handle_disconnected(connection);
            }
        }
        self.schedule(self.now + 1.0, Event::DoorStart(id));
    }

    fn apply(&mut self, failure: Failure) {
        match failure {
            Failure::LoseShard { shard, silent } => self.lose_shard(shard, silent),
            Failure::StartShard { shard } => {
                let stale: Vec<ConnectionId> =
                    self.connections.iter().filter(|(_, o)| o.shard == shard).map(|(c, _)| *c).collect();
                for connection in stale {
                    self.schedule(self.now, Event::Reset { connection });
                }
                self.start_shard(shard);
            }
            Failure::Part => self.apart = true,
            Failure::Join => self.apart = false,
            Failure::KillDoorAtNextBatch { door } => {
                self.kills.insert(door);
            }
            Failure::TellShard { shard, map } => {
                self.latest_map = map.clone();
                if map.active_at <= self.now + 1000.0 {
                    self.map = map.clone();
                }
                if self.shards.contains_key(&shard) {
                    self.with_shard(shard, |shard, now| shard.update_map(now, map).expect("a newer map"));
                } else {
                    self.start_shard(shard);
                }
            }
            Failure::TellDoor { door, map } => {
                self.with_door(door, |door, now| door.client.update_map(now, map).expect("a newer map"));
            }
            Failure::Window(begins) => {
                if begins {
                    self.in_window = Some(self.now);
                } else if let Some(since) = self.in_window.take() {
                    self.outcome.window_quota += RATE * TENANTS.len() as f64 * (self.now - since);
                }
            }
        }
    }

    fn lose_shard(&mut self, shard: ShardId, silent: bool) {
        self.shards.remove(&shard);
        if silent {
            self.silent.insert(shard);
            return;
        }
        let cut: Vec<ConnectionId> =
            self.connections.iter().filter(|(_, open)| open.shard == shard).map(|(c, _)| *c).collect();
        for connection in cut {
            let at = self.now + self.delay();
            self.schedule(at, Event::Reset { connection });
        }
    }
}

/// A whole share, for checks.
pub const ALL_SHARES: u32 = FULL_QUOTA_PPM;
