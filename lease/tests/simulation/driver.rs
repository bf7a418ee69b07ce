//! Runs a scenario: event loop, arrivals of requests and starts of processes.
use super::events::{Event, EventQueue};
use super::gateway::{Gateway, GatewayId, RequestResult};
use super::network::Network;
use super::outcome::RunOutcome;
use super::reference_bucket::ReferenceBucket;
use super::scenario::{Fault, Scenario};
use super::{two_region_map, BURST, GATEWAYS_PER_REGION, RATE, REGIONS, START, TENANTS};
use quillramp_lease::client::ClientSettings;
use quillramp_lease::shard::{Shard, ShardSettings};
use quillramp_lease::shard_map::{ShardId, ShardMap, TenantId};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::{BTreeMap, BTreeSet};

/// Shards of the initial map, by region.
const SHARDS: [&[ShardId]; 2] = [&[1, 2], &[11, 12]];
/// Highest id of a shard in the first region.
const LAST_SHARD_OF_FIRST_REGION: ShardId = 10;
/// Minimum delay of a timer, in seconds.
const MIN_TIMER_DELAY: f64 = 1e-5;
/// Interval in seconds at which the sum of both regions' fractions is recorded.
const FRACTION_CHECK_INTERVAL: f64 = 0.05;

/// State of a simulation.
pub struct Simulation {
    pub(super) scenario: Scenario,
    pub(super) rng: ChaCha8Rng,
    /// Virtual time, as Unix time in seconds.
    pub(super) now: f64,
    pub(super) queue: EventQueue,
    pub(super) gateways: BTreeMap<GatewayId, Gateway>,
    pub(super) shards: BTreeMap<ShardId, Shard>,
    /// Unix time in seconds of each shard's next timer event.
    shard_timers: BTreeMap<ShardId, f64>,
    pub(super) network: Network,
    last_incarnation: u64,
    /// Map whose owners' fractions are added up.
    pub(super) map: ShardMap,
    /// Map with which new processes start.
    pub(super) latest_map: ShardMap,
    reference_buckets: BTreeMap<TenantId, ReferenceBucket>,
    /// Unix time in seconds at which the current measurement window began, `None` outside of a window.
    pub(super) window_began_at: Option<f64>,
    /// Gateway instances that are killed after a shard has applied their next batch.
    pub(super) gateways_to_kill: BTreeSet<GatewayId>,
    pub(super) outcome: RunOutcome,
}

impl Simulation {
    /// Runs a scenario to its end and returns the outcome.
    pub fn run(scenario: Scenario) -> RunOutcome {
        let map = two_region_map(1, 0.0, SHARDS);
        let mut simulation = Simulation {
            rng: ChaCha8Rng::seed_from_u64(scenario.seed),
            now: START,
            queue: EventQueue::default(),
            gateways: BTreeMap::new(),
            shards: BTreeMap::new(),
            shard_timers: BTreeMap::new(),
            network: Network::new(),
            last_incarnation: 1,
            latest_map: map.clone(),
            map,
            reference_buckets: TENANTS
                .map(|tenant| (tenant, ReferenceBucket::new(RATE, BURST, START)))
                .into(),
            window_began_at: None,
            gateways_to_kill: BTreeSet::new(),
            outcome: RunOutcome::default(),
            scenario,
        };
        simulation.prepare();
        simulation.handle_events();
        simulation.finish()
    }

    fn prepare(&mut self) {
        for shard in SHARDS.concat() {
            self.start_shard(shard);
        }
        for index in 0..REGIONS.len() * GATEWAYS_PER_REGION {
            self.start_gateway(GatewayId(index));
        }
        for region in 0..REGIONS.len() {
            for tenant in TENANTS {
                self.schedule_arrival(region, tenant);
            }
        }
        for timed in std::mem::take(&mut self.scenario.faults) {
            self.queue.schedule(START + timed.at, Event::Fault(timed.fault));
        }
    }

    fn handle_events(&mut self) {
        let end = START + self.scenario.duration;
        let mut next_check_at = START;
        while let Some(next) = self.queue.pop() {
            if next.at > end {
                break;
            }
            self.now = next.at;
            self.handle_event(next.event);
            if self.now >= next_check_at {
                next_check_at = self.now + FRACTION_CHECK_INTERVAL;
                self.record_fraction_sums();
            }
        }
    }

    fn finish(mut self) -> RunOutcome {
        if self.window_began_at.is_some() {
            self.apply_fault(Fault::EndWindow);
        }
        let excesses = self.reference_buckets.values().map(|bucket| bucket.max_excess_units);
        self.outcome.max_excess_units = excesses.fold(0.0, f64::max);
        let lost_credits = self.gateways.values().map(|gateway| gateway.lost_credit_units);
        self.outcome.lost_credit_units += lost_credits.sum::<f64>();
        self.outcome
    }

    /// Schedules the next request of a tenant in a region. The arrivals are a Poisson process.
    fn schedule_arrival(&mut self, region: usize, tenant: TenantId) {
        let is_after_demand_change = self.now >= START + self.scenario.demand_change_at;
        let demand = if is_after_demand_change { self.scenario.later_demand } else { self.scenario.demand };
        let interval = -(1.0 - self.rng.gen::<f64>()).ln() / demand[region];
        self.queue.schedule(self.now + interval, Event::RequestArrival { region, tenant });
    }

    /// Records the sum of both regions' fractions of each tenant's quota.
    fn record_fraction_sums(&mut self) {
        for tenant in TENANTS {
            let owners = self.map.regions.iter().map(|region| region.owner(tenant));
            let sum: u32 =
                owners.filter_map(|owner| self.shards.get(&owner)?.quota_fraction_ppm(tenant)).sum();
            self.outcome.max_fraction_sum_ppm = self.outcome.max_fraction_sum_ppm.max(sum);
        }
    }

    pub(super) fn start_shard(&mut self, id: ShardId) {
        self.last_incarnation += 1;
        let settings = ShardSettings {
            id,
            region: REGIONS[usize::from(id > LAST_SHARD_OF_FIRST_REGION)].to_owned(),
            incarnation: self.last_incarnation,
            injected_fault: self.scenario.injected_fault,
        };
        let shard =
            Shard::new(self.now, settings, self.latest_map.clone()).expect("the map contains the shard");
        self.network.unresponsive_shards.remove(&id);
        self.shards.insert(id, shard);
    }

    fn start_gateway(&mut self, id: GatewayId) {
        self.last_incarnation += 1;
        let region = REGIONS[id.0 % REGIONS.len()];
        let mut settings = ClientSettings::new(id.0 as u64, self.last_incarnation, region);
        settings.injected_fault = self.scenario.injected_fault;
        self.gateways.insert(id, Gateway::new(settings, self.latest_map.clone()));
    }

    fn handle_event(&mut self, event: Event) {
        match event {
            Event::RequestArrival { region, tenant } => {
                self.schedule_arrival(region, tenant);
                self.handle_arrival(region, tenant);
            }
            Event::Fault(fault) => self.apply_fault(fault),
            Event::GatewayTimer(gateway) => {
                self.with_gateway(gateway, |gateway, now| gateway.handle_timeout(now));
            }
            Event::ShardTimer(shard) => self.with_shard(shard, |shard, now| shard.handle_timeout(now)),
            Event::StartGateway(gateway) => self.start_gateway(gateway),
            Event::ConnectCompleted { gateway, shard, connection, accepted } => {
                self.complete_connect(gateway, shard, connection, accepted);
            }
            Event::BytesToShard { connection, bytes } => self.deliver_to_shard(connection, &bytes),
            Event::BytesToGateway { connection, bytes } => self.deliver_to_gateway(connection, &bytes),
            Event::ConnectionReset { connection } => self.reset_connection(connection),
            Event::PeerFrame { to, bytes } => self.deliver_peer_frame(to, &bytes),
        }
    }

    fn handle_arrival(&mut self, region: usize, tenant: TenantId) {
        let gateway = GatewayId(self.rng.gen_range(0..GATEWAYS_PER_REGION) * REGIONS.len() + region);
        self.outcome.requests += 1;
        self.outcome.window_requests += u64::from(self.window_began_at.is_some());
        if self.gateways.contains_key(&gateway) {
            self.with_gateway(gateway, |gateway, now| gateway.handle_request(now, tenant));
        } else {
            self.outcome.rejected += 1;
        }
    }

    /// Applies `action` to a gateway instance, then performs its outputs and sets its timer.
    pub(super) fn with_gateway(&mut self, id: GatewayId, action: impl FnOnce(&mut Gateway, f64)) {
        let Some(gateway) = self.gateways.get_mut(&id) else { return };
        action(gateway, self.now);
        let outputs = gateway.poll_outputs(self.now);
        let results = std::mem::take(&mut gateway.results);
        if let Some(timeout_at) = gateway.poll_timeout() {
            if gateway.timer.is_none_or(|at| timeout_at < at || at <= self.now) {
                gateway.timer = Some(timeout_at);
                self.queue.schedule(timeout_at.max(self.now + MIN_TIMER_DELAY), Event::GatewayTimer(id));
            }
        }
        for result in results {
            self.count_result(&result);
        }
        for output in outputs {
            self.handle_client_output(id, output);
        }
    }

    fn count_result(&mut self, result: &RequestResult) {
        if result.admitted {
            self.outcome.admitted += 1;
            self.outcome.window_admitted += u64::from(self.window_began_at.is_some());
            let bucket = self.reference_buckets.get_mut(&result.tenant).expect("a known tenant");
            bucket.spend(1.0, self.now);
        } else {
            self.outcome.rejected += 1;
        }
    }

    /// Applies `action` to a shard, then performs its outputs and sets its timer.
    pub(super) fn with_shard(&mut self, id: ShardId, action: impl FnOnce(&mut Shard, f64)) {
        let Some(shard) = self.shards.get_mut(&id) else { return };
        action(shard, self.now);
        let outputs = shard.poll_outputs();
        let timeout_at = shard.poll_timeout().max(self.now + MIN_TIMER_DELAY);
        let timer = self.shard_timers.entry(id).or_insert(0.0);
        if timeout_at < *timer || *timer <= self.now {
            *timer = timeout_at;
            self.queue.schedule(timeout_at, Event::ShardTimer(id));
        }
        for output in outputs {
            self.handle_shard_output(output);
        }
    }
}
