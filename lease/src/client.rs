//! The front door's side: gathers what it asks of each shard, one batch in flight to a shard.
//!
//! The caller owns sockets and the clock. After each event it drains [`LeaseClient::poll_outputs`] and sets a timer to
//! [`LeaseClient::due`].
use crate::fault_injection::InjectedFault;
use crate::shard_map::{PlanId, ShardId, ShardMap, ShardMapError, ShardMapSchedule, TenantId};
use crate::wire::{
    encode, units_to_hundredths, BatchEntry, EntryResponse, Frame, FrameDecoder, HUNDREDTHS_PER_UNIT,
    MAX_BATCH_ENTRIES, PROTOCOL_VERSION,
};
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// Names a request in its reply.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Ticket(pub u64);

/// One question or report of a tenant.
#[derive(Clone, Debug, PartialEq)]
pub struct Request {
    /// Whose quota.
    pub tenant: TenantId,
    /// The tenant's plan.
    pub plan: PlanId,
    /// Units wanted; 0: a report, which may wait for company.
    pub want: f64,
    /// Units spent without a lease since the last report; below 0: unspent units given back.
    pub spent: f64,
    /// Unix time by which the reply is needed.
    pub deadline: f64,
}

/// How a request ended.
#[derive(Clone, Debug, PartialEq)]
pub enum Outcome {
    /// Applied.
    Granted {
        /// Units to spend.
        units: f64,
        /// Whole units left in the bucket.
        room: u32,
    },
    /// Never sent, or refused whole: nothing was applied, `spent` included.
    Unreached,
    /// Sent and not answered in time: it may have been applied. `spent` must not be told again; units that are granted
    /// later are given back by this client.
    Unanswered,
}

/// What the caller has to do.
#[derive(Clone, Debug, PartialEq)]
pub enum Output {
    /// Open a connection; tell by `connected` or `disconnected`.
    Connect {
        /// To which shard.
        shard: ShardId,
        /// Where it listens.
        address: SocketAddr,
    },
    /// Write bytes on the shard's connection.
    Send {
        /// To which shard.
        shard: ShardId,
        /// Whole frames.
        bytes: Vec<u8>,
    },
    /// Close the shard's connection, or give up opening it; no `disconnected` is expected.
    Close {
        /// Which shard's.
        shard: ShardId,
    },
    /// A request has ended.
    Reply {
        /// Which one.
        ticket: Ticket,
        /// How.
        outcome: Outcome,
    },
}

/// Identity and times; times in seconds.
#[derive(Clone, Debug)]
pub struct ClientSettings {
    /// This gateway instance.
    pub front_door: u64,
    /// This process; higher with each start.
    pub incarnation: u64,
    /// Whose shards are asked.
    pub region: String,
    /// A report waits that long for an urgent request to go with.
    pub report_interval: f64,
    /// An urgent request waits that long for others; 0: it leaves at once.
    pub gather_interval: f64,
    /// A batch that long without an answer: the connection is taken for broken. Several round trips within a region.
    pub answer_timeout: f64,
    /// A connection that long in opening is given up.
    pub connect_timeout: f64,
    /// Between two attempts to connect, half of it to one and a half, so that front doors don't come together.
    pub reconnect_pause: f64,
    /// For tests alone: a guard that is switched off.
    #[doc(hidden)]
    pub injected_fault: Option<InjectedFault>,
}

impl ClientSettings {
    /// The usual times.
    pub fn new(front_door: u64, incarnation: u64, region: &str) -> ClientSettings {
        ClientSettings {
            front_door,
            incarnation,
            region: region.to_owned(),
            report_interval: 0.2,
            gather_interval: 0.0,
            answer_timeout: 0.5,
            connect_timeout: 1.0,
            reconnect_pause: 0.5,
            injected_fault: None,
        }
    }
}

/// A request on its way.
#[derive(Clone, Debug)]
struct Part {
    ticket: Ticket,
    want: f64,
    spent: f64,
    deadline: f64,
    /// The caller has its reply already.
    ended: bool,
}

/// Requests of one tenant that go as one entry.
#[derive(Clone, Debug)]
struct Pending {
    plan: PlanId,
    parts: Vec<Part>,
    leaves_at: f64,
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum LinkState {
    /// The next attempt is at this time, if something is to be sent or the last one failed: only a connection tells
    /// that a shard is back, for requests end at once until then.
    Closed {
        retry_at: f64,
        failed: bool,
    },
    Connecting {
        since: f64,
    },
    Connected,
}

#[derive(Debug)]
struct Batch {
    sequence: u32,
    bytes: Vec<u8>,
    entries: Vec<(TenantId, Pending)>,
    sent_at: Option<f64>,
    deadline: f64,
}

#[derive(Debug)]
struct Link {
    state: LinkState,
    reader: FrameDecoder,
    next_sequence: u32,
    attempts: u32,
    in_flight: Option<Batch>,
    waiting: BTreeMap<TenantId, Pending>,
}

impl Default for Link {
    fn default() -> Link {
        Link {
            state: LinkState::Closed { retry_at: 0.0, failed: false },
            reader: FrameDecoder::default(),
            next_sequence: 1,
            attempts: 0,
            in_flight: None,
            waiting: BTreeMap::new(),
        }
    }
}

/// After `Moved`, an entry waits that long (seconds) for the newer map before it asks again.
const MOVED_PAUSE: f64 = 0.1;
/// A return that the client makes by itself may wait that long (seconds) for its shard.
const RETURN_DEADLINE: f64 = 5.0;

/// The state machine of one front door.
#[derive(Debug)]
pub struct LeaseClient {
    settings: ClientSettings,
    maps: ShardMapSchedule,
    links: BTreeMap<ShardId, Link>,
    next_ticket: u64,
    outputs: Vec<Output>,
}

impl LeaseClient {
    /// A client without connections; they are opened when needed.
    pub fn new(settings: ClientSettings, map: ShardMap) -> Result<LeaseClient, ShardMapError> {
        map.validate()?;
        map.region(&settings.region)?;
        Ok(LeaseClient {
            maps: ShardMapSchedule::new(map, settings.injected_fault),
            settings,
            links: BTreeMap::new(),
            next_ticket: 1,
            outputs: vec![],
        })
    }

    /// Asks or reports; the reply comes as an output.
    pub fn request(&mut self, now: f64, request: Request) -> Ticket {
        let ticket = Ticket(self.next_ticket);
        self.next_ticket += 1;
        let part = Part {
            ticket,
            want: request.want.max(0.0),
            spent: request.spent,
            deadline: request.deadline,
            ended: false,
        };
        let shard = self.owner(request.tenant);
        self.advance(now, shard); // it may be time to try a shard again that was down
        let link = self.links.entry(shard).or_default();
        let down = matches!(link.state, LinkState::Closed { failed: true, .. });
        if down && part.want > 0.0 {
            self.outputs.push(Output::Reply { ticket, outcome: Outcome::Unreached });
            return ticket;
        }
        let wait =
            if part.want > 0.0 { self.settings.gather_interval } else { self.settings.report_interval };
        link.add(request.tenant, request.plan, now + wait, part);
        self.advance(now, shard);
        ticket
    }

    /// The connection that [`Output::Connect`] asked for is up.
    pub fn connected(&mut self, now: f64, shard: ShardId) {
        let epoch = self.maps.active().epoch;
        let Some(link) = self.links.get_mut(&shard) else { return };
        if !matches!(link.state, LinkState::Connecting { .. }) {
            return;
        }
        link.end_overdue(now, &mut self.outputs);
        link.state = LinkState::Connected;
        link.attempts = 0;
        link.reader = FrameDecoder::default();
        let ClientSettings { front_door, incarnation, .. } = self.settings;
        let mut bytes =
            encode(&Frame::Hello { version: PROTOCOL_VERSION, gateway: front_door, incarnation, epoch });
        if let Some(batch) = &mut link.in_flight {
            bytes.extend_from_slice(&batch.bytes);
            batch.sent_at = Some(now);
        }
        self.outputs.push(Output::Send { shard, bytes });
        self.advance(now, shard);
    }

    /// The connection is gone, or never came up.
    pub fn disconnected(&mut self, now: f64, shard: ShardId) {
        let Some(link) = self.links.get_mut(&shard) else { return };
        if matches!(link.state, LinkState::Closed { .. }) {
            return;
        }
        let failed = matches!(link.state, LinkState::Connecting { .. });
        link.attempts = link.attempts.wrapping_add(1);
        let key = [self.settings.front_door, u64::from(link.attempts)].map(u64::to_le_bytes).concat();
        let draw = (xxhash_rust::xxh64::xxh64(&key, 0) >> 32) as f64 / f64::from(u32::MAX);
        // An open connection that broke is opened anew at once: the shard may have been replaced.
        let pause = if failed { self.settings.reconnect_pause * (0.5 + draw) } else { 0.0 };
        link.state = LinkState::Closed { retry_at: now + pause, failed };
        if let Some(batch) = &mut link.in_flight {
            batch.sent_at = None;
        }
        if failed {
            link.fail_urgent(&mut self.outputs);
        }
        self.advance(now, shard);
    }

    /// Bytes came on the shard's connection, whole frames or pieces.
    pub fn receive(&mut self, now: f64, shard: ShardId, bytes: &[u8]) {
        let Some(link) = self.links.get_mut(&shard) else { return };
        if link.state != LinkState::Connected {
            return;
        }
        link.reader.extend(bytes);
        loop {
            let Some(link) = self.links.get_mut(&shard) else { return };
            match link.reader.next_frame() {
                Ok(None) => break,
                Ok(Some(Frame::BatchResponse { sequence, responses: answers })) => {
                    if !self.answered(now, shard, sequence, &answers) {
                        return self.abandon(now, shard);
                    }
                }
                Ok(Some(_)) | Err(_) => return self.abandon(now, shard),
            }
        }
        self.advance(now, shard);
    }

    /// A newer map; it is used from its `active_at` on.
    pub fn change_map(&mut self, now: f64, map: ShardMap) -> Result<(), ShardMapError> {
        map.validate()?;
        map.region(&self.settings.region)?;
        self.maps.check_newer(&map)?;
        self.maps.schedule(map);
        self.tick(now);
        Ok(())
    }

    /// Does what has come due.
    pub fn tick(&mut self, now: f64) {
        if let Some(former) = self.maps.activate_due(now) {
            self.follow_map(now, &former);
        }
        let shards: Vec<ShardId> = self.links.keys().copied().collect();
        for shard in shards {
            self.advance(now, shard);
        }
    }

    /// When [`LeaseClient::tick`] has something to do next, Unix time.
    pub fn due(&self) -> Option<f64> {
        let map = self.maps.next_activation().into_iter();
        map.chain(self.links.values().filter_map(|link| link.due(&self.settings))).reduce(f64::min)
    }

    /// What the caller has to do, in order.
    pub fn poll_outputs(&mut self) -> Vec<Output> {
        std::mem::take(&mut self.outputs)
    }

    /// Epoch of the map in force.
    pub fn epoch(&self) -> u32 {
        self.maps.active().epoch
    }

    fn owner(&self, tenant: TenantId) -> ShardId {
        self.maps.active().region(&self.settings.region).expect("checked with the map").owner(tenant)
    }

    /// Entries that wait go to the owners under the new map; a batch in flight stays with its shard.
    fn follow_map(&mut self, now: f64, former: &ShardMap) {
        let map = self.maps.active();
        for (shard, link) in &mut self.links {
            // A shard at another address is another process.
            if former.shard_address(*shard) != map.shard_address(*shard) && link.state != LinkState::Connected
            {
                link.state = LinkState::Closed { retry_at: now, failed: false };
            }
        }
        let waiting: Vec<(TenantId, Pending)> =
            self.links.values_mut().flat_map(|link| std::mem::take(&mut link.waiting)).collect();
        for (tenant, pending) in waiting {
            let shard = self.owner(tenant);
            self.links.entry(shard).or_default().put_back(tenant, pending);
        }
    }

    /// Takes in the answers to the batch in flight; false: they don't belong to it.
    fn answered(&mut self, now: f64, shard: ShardId, sequence: u32, answers: &[EntryResponse]) -> bool {
        let Some(link) = self.links.get_mut(&shard) else { return true };
        let Some(batch) = link.in_flight.take() else { return true };
        if batch.sequence != sequence {
            let stale = sequence < batch.sequence;
            link.in_flight = Some(batch);
            return stale;
        }
        if batch.entries.len() != answers.len() {
            link.in_flight = Some(batch);
            return false;
        }
        for ((tenant, pending), answer) in batch.entries.into_iter().zip(answers) {
            match answer {
                EntryResponse::Granted { granted_hundredths, available_units } => {
                    self.grant(
                        now,
                        tenant,
                        pending,
                        f64::from(*granted_hundredths) / HUNDREDTHS_PER_UNIT,
                        *available_units,
                    );
                }
                EntryResponse::Moved { .. } => self.ask_again(now, tenant, pending),
                EntryResponse::UnknownPlan => pending.end_all(Outcome::Unreached, &mut self.outputs),
            }
        }
        true
    }

    /// Deals a grant out to its requests in order; what nobody waits for any longer is given back.
    fn grant(&mut self, now: f64, tenant: TenantId, pending: Pending, granted: f64, room: u32) {
        let mut left = granted;
        for part in pending.parts.iter().filter(|part| !part.ended) {
            let units = part.want.min(left);
            left -= units;
            let outcome = Outcome::Granted { units, room };
            self.outputs.push(Output::Reply { ticket: part.ticket, outcome });
        }
        if left * HUNDREDTHS_PER_UNIT >= 1.0 {
            self.give_back(now, tenant, pending.plan, left);
        }
    }

    fn give_back(&mut self, now: f64, tenant: TenantId, plan: PlanId, units: f64) {
        let part = Part {
            ticket: Ticket(0),
            want: 0.0,
            spent: -units,
            deadline: now + RETURN_DEADLINE,
            ended: true,
        };
        let shard = self.owner(tenant);
        let leaves_at = now + self.settings.report_interval;
        self.links.entry(shard).or_default().add(tenant, plan, leaves_at, part);
    }

    fn ask_again(&mut self, now: f64, tenant: TenantId, mut pending: Pending) {
        pending.leaves_at = now + MOVED_PAUSE;
        let shard = self.owner(tenant);
        self.links.entry(shard).or_default().put_back(tenant, pending);
    }

    /// The connection is of no use any more: closes it and counts it as broken.
    fn abandon(&mut self, now: f64, shard: ShardId) {
        self.outputs.push(Output::Close { shard });
        self.disconnected(now, shard);
    }

    /// Ends what is over, opens the connection, sends the next batch: whatever is possible now.
    fn advance(&mut self, now: f64, shard: ShardId) {
        let Some(link) = self.links.get_mut(&shard) else { return };
        link.end_overdue(now, &mut self.outputs);
        match link.state {
            LinkState::Closed { retry_at, failed } if retry_at <= now && (failed || link.has_work()) => {
                let Some(address) = self.maps.active().shard_address(shard) else {
                    link.drop_all(&mut self.outputs);
                    link.state = LinkState::Closed { retry_at: now, failed: false };
                    return;
                };
                link.state = LinkState::Connecting { since: now };
                self.outputs.push(Output::Connect { shard, address });
            }
            LinkState::Connecting { since } if now >= since + self.settings.connect_timeout => {
                self.abandon(now, shard);
            }
            LinkState::Connected if link.is_mute(now, self.settings.answer_timeout) => {
                self.abandon(now, shard);
            }
            LinkState::Connected => {
                if let Some(bytes) = link.next_batch(now) {
                    self.outputs.push(Output::Send { shard, bytes });
                }
            }
            LinkState::Closed { .. } | LinkState::Connecting { .. } => {}
        }
    }
}

impl Pending {
    fn end_all(&self, outcome: Outcome, outputs: &mut Vec<Output>) {
        for part in self.parts.iter().filter(|part| !part.ended) {
            outputs.push(Output::Reply { ticket: part.ticket, outcome: outcome.clone() });
        }
    }

    fn entry(&self, tenant: TenantId) -> BatchEntry {
        let spent: f64 = self.parts.iter().map(|part| part.spent).sum();
        let want: f64 = self.parts.iter().filter(|part| !part.ended).map(|part| part.want).sum();
        let want = u32::try_from(units_to_hundredths(want)).unwrap_or(0);
        BatchEntry {
            tenant,
            plan: self.plan,
            spent_hundredths: units_to_hundredths(spent),
            requested_hundredths: want,
        }
    }
}

impl Link {
    fn add(&mut self, tenant: TenantId, plan: PlanId, leaves_at: f64, part: Part) {
        self.put_back(tenant, Pending { plan, parts: vec![part], leaves_at });
    }

    fn put_back(&mut self, tenant: TenantId, pending: Pending) {
        match self.waiting.get_mut(&tenant) {
            Some(there) => {
                there.plan = pending.plan;
                there.leaves_at = there.leaves_at.min(pending.leaves_at);
                there.parts.extend(pending.parts);
            }
            None => {
                self.waiting.insert(tenant, pending);
            }
        }
    }

    fn has_work(&self) -> bool {
        self.in_flight.is_some() || !self.waiting.is_empty()
    }

    fn is_mute(&self, now: f64, timeout: f64) -> bool {
        let sent_at = self.in_flight.as_ref().and_then(|batch| batch.sent_at);
        sent_at.is_some_and(|at| now >= at + timeout)
    }

    /// Ends requests whose deadline has come, and a batch that nobody waits for and that can't be sent again.
    fn end_overdue(&mut self, now: f64, outputs: &mut Vec<Output>) {
        self.waiting.retain(|_, pending| {
            pending.parts.retain(|part| {
                let over = part.deadline <= now;
                if over && !part.ended {
                    outputs.push(Output::Reply { ticket: part.ticket, outcome: Outcome::Unreached });
                }
                !over
            });
            !pending.parts.is_empty()
        });
        let Some(batch) = &mut self.in_flight else { return };
        for part in batch.entries.iter_mut().flat_map(|(_, pending)| &mut pending.parts) {
            if part.deadline <= now && !part.ended {
                part.ended = true;
                outputs.push(Output::Reply { ticket: part.ticket, outcome: Outcome::Unanswered });
            }
        }
        if batch.deadline <= now && batch.sent_at.is_none() {
            self.in_flight = None;
        }
    }

    /// The shard can't be reached: whoever waits for units hears so at once; reports wait on.
    fn fail_urgent(&mut self, outputs: &mut Vec<Output>) {
        self.waiting.retain(|_, pending| {
            pending.parts.retain(|part| {
                let urgent = part.want > 0.0;
                if urgent && !part.ended {
                    outputs.push(Output::Reply { ticket: part.ticket, outcome: Outcome::Unreached });
                }
                !urgent
            });
            !pending.parts.is_empty()
        });
    }

    /// The shard is no longer in the map.
    fn drop_all(&mut self, outputs: &mut Vec<Output>) {
        for pending in std::mem::take(&mut self.waiting).values() {
            pending.end_all(Outcome::Unreached, outputs);
        }
        if let Some(batch) = self.in_flight.take() {
            for (_, pending) in &batch.entries {
                pending.end_all(Outcome::Unanswered, outputs);
            }
        }
    }

    /// Builds the next batch if none is in flight and an entry's time has come; all that waits goes with it.
    fn next_batch(&mut self, now: f64) -> Option<Vec<u8>> {
        let ready = self.waiting.values().any(|pending| pending.leaves_at <= now);
        if self.in_flight.is_some() || !ready {
            return None;
        }
        let mut order: Vec<(f64, TenantId)> =
            self.waiting.iter().map(|(tenant, pending)| (pending.leaves_at, *tenant)).collect();
        order.sort_by(|a, b| a.0.total_cmp(&b.0).then(a.1.cmp(&b.1)));
        order.truncate(MAX_BATCH_ENTRIES);
        let entries: Vec<(TenantId, Pending)> = order
            .into_iter()
            .filter_map(|(_, tenant)| self.waiting.remove(&tenant).map(|pending| (tenant, pending)))
            .collect();
        let sequence = self.next_sequence;
        self.next_sequence = self.next_sequence.checked_add(1)?;
        let frame = Frame::Batch {
            sequence,
            entries: entries.iter().map(|(tenant, pending)| pending.entry(*tenant)).collect(),
        };
        let bytes = encode(&frame);
        let deadlines = entries.iter().flat_map(|(_, pending)| &pending.parts).map(|part| part.deadline);
        let deadline = deadlines.fold(now, f64::max);
        self.in_flight =
            Some(Batch { sequence, bytes: bytes.clone(), entries, sent_at: Some(now), deadline });
        Some(bytes)
    }

    fn due(&self, settings: &ClientSettings) -> Option<f64> {
        let waiting = self.waiting.values().flat_map(|pending| &pending.parts).map(|part| part.deadline);
        let flying = self.in_flight.iter().flat_map(|batch| batch.entries.iter());
        let flying = flying
            .flat_map(|(_, pending)| &pending.parts)
            .filter(|part| !part.ended)
            .map(|part| part.deadline);
        let mute = self.in_flight.iter().filter_map(|b| b.sent_at).map(|at| at + settings.answer_timeout);
        let leaves = self.waiting.values().map(|pending| pending.leaves_at);
        let leaves = leaves.filter(|_| self.in_flight.is_none() && self.state == LinkState::Connected);
        let state = match self.state {
            LinkState::Closed { retry_at, failed } => (failed || self.has_work()).then_some(retry_at),
            LinkState::Connecting { since } => Some(since + settings.connect_timeout),
            LinkState::Connected => None,
        };
        let expiry = self.in_flight.iter().filter(|batch| batch.sent_at.is_none()).map(|b| b.deadline);
        waiting.chain(flying).chain(mute).chain(leaves).chain(state).chain(expiry).reduce(f64::min)
    }
}
