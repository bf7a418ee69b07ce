//! A plain front door: spends leases, spends on credit where the last answer told of plenty of room, asks otherwise.
use quillramp_lease::client::{
    ClientOutput, ClientSettings, LeaseClient, LeaseOutcome, LeaseRequest, RequestId,
};
use quillramp_lease::shard_map::{ShardMap, TenantId};
use std::collections::{BTreeMap, VecDeque};

/// Units asked for at a time.
pub const LEASE: f64 = 3.0;
/// Units spent without a lease and not yet reported, at the most.
pub const CREDIT: f64 = 1.0;
/// Room told from which on a front door spends on credit, units.
const CREDIT_ROOM: u32 = 20;
/// A lease not used up is given back after that, seconds.
const LEASE_LIFE: f64 = 0.4;
/// A request waits for units that long, seconds.
const PATIENCE: f64 = 0.3;

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct DoorId(pub usize);

/// A request that has ended.
pub struct RequestResult {
    pub tenant: TenantId,
    pub served: bool,
}

#[derive(Default)]
struct Account {
    held: f64,
    held_since: f64,
    room: u32,
    /// Reported and not answered, or not reported yet.
    credit_out: f64,
    question: Option<RequestId>,
    waiting: VecDeque<f64>,
}

enum Asked {
    Units,
    Report(f64),
    Return,
}

pub struct Door {
    pub client: LeaseClient,
    accounts: BTreeMap<TenantId, Account>,
    pending_requests: BTreeMap<RequestId, (TenantId, Asked)>,
    pub results: Vec<RequestResult>,
    pub credit_lost: f64,
    pub timer: Option<f64>,
}

impl Door {
    pub fn new(settings: ClientSettings, map: ShardMap) -> Door {
        let client = LeaseClient::new(settings, map).expect("a good map");
        Door {
            client,
            accounts: BTreeMap::new(),
            pending_requests: BTreeMap::new(),
            results: vec![],
            credit_lost: 0.0,
            timer: None,
        }
    }

    pub fn arrive(&mut self, now: f64, tenant: TenantId) {
        let account = self.accounts.entry(tenant).or_default();
        if account.held >= 1.0 {
            account.held -= 1.0;
            self.results.push(RequestResult { tenant, served: true });
        } else if account.room >= CREDIT_ROOM && account.credit_out + 1.0 <= CREDIT {
            account.credit_out += 1.0;
            self.results.push(RequestResult { tenant, served: true });
            self.report(now, tenant, 1.0);
        } else {
            account.waiting.push_back(now + PATIENCE);
            self.ask(now, tenant);
        }
    }

    fn ask(&mut self, now: f64, tenant: TenantId) {
        let account = self.accounts.entry(tenant).or_default();
        if account.question.is_some() || account.waiting.is_empty() {
            return;
        }
        let request = LeaseRequest {
            tenant,
            plan: 0,
            requested_units: LEASE,
            spent_units: 0.0,
            deadline: now + PATIENCE,
        };
        let request_id = self.client.submit(now, request);
        account.question = Some(request_id);
        self.pending_requests.insert(request_id, (tenant, Asked::Units));
    }

    fn report(&mut self, now: f64, tenant: TenantId, units: f64) {
        let request =
            LeaseRequest { tenant, plan: 0, requested_units: 0.0, spent_units: units, deadline: now + 2.0 };
        let request_id = self.client.submit(now, request);
        self.pending_requests.insert(request_id, (tenant, Asked::Report(units)));
    }

    pub fn tick(&mut self, now: f64) {
        self.client.handle_timeout(now);
        let tenants: Vec<TenantId> = self.accounts.keys().copied().collect();
        for tenant in tenants {
            self.give_back_old_lease(now, tenant);
            let account = self.accounts.get_mut(&tenant).expect("just listed");
            while account.waiting.front().is_some_and(|until| *until <= now) {
                account.waiting.pop_front();
                self.results.push(RequestResult { tenant, served: false });
            }
        }
    }

    fn give_back_old_lease(&mut self, now: f64, tenant: TenantId) {
        let account = self.accounts.get_mut(&tenant).expect("known");
        if account.held <= 0.0 || now < account.held_since + LEASE_LIFE {
            return;
        }
        let units = std::mem::take(&mut account.held);
        let request =
            LeaseRequest { tenant, plan: 0, requested_units: 0.0, spent_units: -units, deadline: now + 2.0 };
        let request_id = self.client.submit(now, request);
        self.pending_requests.insert(request_id, (tenant, Asked::Return));
    }

    /// Takes the client's replies; the outputs for the network are handed on.
    pub fn drain(&mut self, now: f64) -> Vec<ClientOutput> {
        let mut rest = vec![];
        loop {
            let outputs = self.client.poll_outputs();
            if outputs.is_empty() {
                return rest;
            }
            for output in outputs {
                match output {
                    ClientOutput::Completed { request_id, outcome } => {
                        self.replied(now, request_id, &outcome)
                    }
                    other => rest.push(other),
                }
            }
        }
    }

    fn replied(&mut self, now: f64, request_id: RequestId, outcome: &LeaseOutcome) {
        let (tenant, asked) = self.pending_requests.remove(&request_id).expect("each request ends once");
        let account = self.accounts.get_mut(&tenant).expect("known");
        if let LeaseOutcome::Granted { available_units, .. } = outcome {
            account.room = *available_units;
        } else {
            account.room = 0;
        }
        match asked {
            Asked::Units => {
                account.question = None;
                self.units_came(now, tenant, outcome);
            }
            Asked::Report(units) => match outcome {
                LeaseOutcome::Granted { .. } => account.credit_out -= units,
                LeaseOutcome::NotApplied => self.report(now, tenant, units),
                LeaseOutcome::Unconfirmed => {
                    account.credit_out -= units;
                    self.credit_lost += units;
                }
            },
            Asked::Return => {}
        }
    }

    fn units_came(&mut self, now: f64, tenant: TenantId, outcome: &LeaseOutcome) {
        let account = self.accounts.get_mut(&tenant).expect("known");
        let units = if let LeaseOutcome::Granted { units, .. } = outcome { *units } else { 0.0 };
        account.held += units;
        account.held_since = now;
        let mut spent = false;
        while account.held >= 1.0 && account.waiting.pop_front().is_some() {
            account.held -= 1.0;
            spent = true;
            self.results.push(RequestResult { tenant, served: true });
        }
        if spent {
            self.ask(now, tenant);
            return;
        }
        while account.waiting.pop_front().is_some() {
            self.results.push(RequestResult { tenant, served: false });
        }
    }

    pub fn due(&self) -> Option<f64> {
        let leases = self.accounts.values().filter(|a| a.held > 0.0).map(|a| a.held_since + LEASE_LIFE);
        let waiting = self.accounts.values().filter_map(|a| a.waiting.front().copied());
        leases.chain(waiting).chain(self.client.poll_timeout()).reduce(f64::min)
    }

    pub fn held(&self) -> f64 {
        self.accounts.values().map(|account| account.held).sum()
    }

    pub fn credit_out(&self) -> f64 {
        self.accounts.values().map(|account| account.credit_out).sum()
    }

    pub fn waiting_requests(&self) -> u64 {
        self.accounts.values().map(|account| account.waiting.len() as u64).sum()
    }
}
