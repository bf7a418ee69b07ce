//! A simplified gateway instance. It admits a request from the tenant's lease while units are left. Otherwise
//! it admits the request on credit if the shard's last response reported plenty of available units, or else
//! requests a lease.
use quillramp_lease::client::{
    ClientOutput, ClientSettings, LeaseClient, LeaseOutcome, LeaseRequest, RequestId,
};
use quillramp_lease::shard_map::{ShardMap, TenantId};
use std::collections::{BTreeMap, VecDeque};

/// Units per lease request.
pub const LEASE_UNITS: f64 = 3.0;
/// Maximum units on credit, that is, spent without a lease and not acknowledged by a response to their
/// report.
pub const MAX_CREDIT_UNITS: f64 = 1.0;
/// Minimum number of available units, as reported by the shard, for spending on credit.
const CREDIT_THRESHOLD_UNITS: u32 = 20;
/// Time in seconds after which the unused units of a lease are returned.
const LEASE_LIFETIME: f64 = 0.4;
/// Maximum time in seconds that a request waits for units.
const REQUEST_TIMEOUT: f64 = 0.3;
/// Time in seconds from the submission of a report or a return to its deadline.
const REPORT_TIMEOUT: f64 = 2.0;

/// Id of a gateway instance in the simulation.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct GatewayId(pub usize);

/// Result of a request of a tenant.
pub struct RequestResult {
    pub tenant: TenantId,
    pub admitted: bool,
}

/// State of one tenant at the gateway instance.
#[derive(Default)]
struct Account {
    leased_units: f64,
    /// Unix time in seconds of the last response to a lease request.
    leased_at: f64,
    /// Available units that the shard reported in its last response.
    available_units: u32,
    /// Units spent on credit whose report has not been answered.
    credit_units: f64,
    /// Lease request that has not been answered.
    lease_request: Option<RequestId>,
    /// Deadlines of the requests that wait for units, as Unix time in seconds.
    queued_deadlines: VecDeque<f64>,
}

struct SubmittedRequest {
    tenant: TenantId,
    kind: RequestKind,
}

enum RequestKind {
    Lease,
    Report { units: f64 },
    Return,
}

pub struct Gateway {
    pub client: LeaseClient,
    accounts: BTreeMap<TenantId, Account>,
    submitted: BTreeMap<RequestId, SubmittedRequest>,
    pub results: Vec<RequestResult>,
    /// Units of reports whose outcome is unconfirmed.
    pub lost_credit_units: f64,
    /// Unix time in seconds of the next timer event.
    pub timer: Option<f64>,
}

impl Gateway {
    pub fn new(settings: ClientSettings, map: ShardMap) -> Gateway {
        let client = LeaseClient::new(settings, map).expect("a valid map");
        Gateway {
            client,
            accounts: BTreeMap::new(),
            submitted: BTreeMap::new(),
            results: vec![],
            lost_credit_units: 0.0,
            timer: None,
        }
    }

    pub fn handle_request(&mut self, now: f64, tenant: TenantId) {
        let account = self.accounts.entry(tenant).or_default();
        if account.leased_units >= 1.0 {
            account.leased_units -= 1.0;
            self.results.push(RequestResult { tenant, admitted: true });
        } else if account.available_units >= CREDIT_THRESHOLD_UNITS
            && account.credit_units + 1.0 <= MAX_CREDIT_UNITS
        {
            account.credit_units += 1.0;
            self.results.push(RequestResult { tenant, admitted: true });
            self.report(now, tenant, 1.0);
        } else {
            account.queued_deadlines.push_back(now + REQUEST_TIMEOUT);
            self.request_lease(now, tenant);
        }
    }

    fn request_lease(&mut self, now: f64, tenant: TenantId) {
        let account = self.accounts.entry(tenant).or_default();
        if account.lease_request.is_some() || account.queued_deadlines.is_empty() {
            return;
        }
        let request = LeaseRequest {
            tenant,
            plan: 0,
            requested_units: LEASE_UNITS,
            spent_units: 0.0,
            deadline: now + REQUEST_TIMEOUT,
        };
        let request_id = self.client.submit(now, request);
        account.lease_request = Some(request_id);
        self.submitted.insert(request_id, SubmittedRequest { tenant, kind: RequestKind::Lease });
    }

    /// Reports units that were spent on credit.
    fn report(&mut self, now: f64, tenant: TenantId, units: f64) {
        self.submit_report(now, tenant, units, RequestKind::Report { units });
    }

    fn submit_report(&mut self, now: f64, tenant: TenantId, spent_units: f64, kind: RequestKind) {
        let deadline = now + REPORT_TIMEOUT;
        let request = LeaseRequest { tenant, plan: 0, requested_units: 0.0, spent_units, deadline };
        let request_id = self.client.submit(now, request);
        self.submitted.insert(request_id, SubmittedRequest { tenant, kind });
    }

    pub fn handle_timeout(&mut self, now: f64) {
        self.client.handle_timeout(now);
        let tenants: Vec<TenantId> = self.accounts.keys().copied().collect();
        for tenant in tenants {
            self.return_expired_lease(now, tenant);
            let account = self.accounts.get_mut(&tenant).expect("a listed tenant");
            while account.queued_deadlines.front().is_some_and(|deadline| *deadline <= now) {
                account.queued_deadlines.pop_front();
                self.results.push(RequestResult { tenant, admitted: false });
            }
        }
    }

    fn return_expired_lease(&mut self, now: f64, tenant: TenantId) {
        let account = self.accounts.get_mut(&tenant).expect("a known tenant");
        if account.leased_units <= 0.0 || now < account.leased_at + LEASE_LIFETIME {
            return;
        }
        let units = std::mem::take(&mut account.leased_units);
        self.submit_report(now, tenant, -units, RequestKind::Return);
    }

    /// Handles the outcomes of the client's requests, and returns the remaining outputs for the network.
    pub fn poll_outputs(&mut self, now: f64) -> Vec<ClientOutput> {
        let mut network_outputs = vec![];
        loop {
            let outputs = self.client.poll_outputs();
            if outputs.is_empty() {
                return network_outputs;
            }
            for output in outputs {
                match output {
                    ClientOutput::Completed { request_id, outcome } => {
                        self.handle_outcome(now, request_id, &outcome);
                    }
                    other => network_outputs.push(other),
                }
            }
        }
    }

    fn handle_outcome(&mut self, now: f64, request_id: RequestId, outcome: &LeaseOutcome) {
        let SubmittedRequest { tenant, kind } =
            self.submitted.remove(&request_id).expect("each request is completed only once");
        let account = self.accounts.get_mut(&tenant).expect("a known tenant");
        if let LeaseOutcome::Granted { available_units, .. } = outcome {
            account.available_units = *available_units;
        } else {
            account.available_units = 0;
        }
        match kind {
            RequestKind::Lease => {
                account.lease_request = None;
                self.handle_lease_outcome(now, tenant, outcome);
            }
            RequestKind::Report { units } => match outcome {
                LeaseOutcome::Granted { .. } => account.credit_units -= units,
                LeaseOutcome::NotApplied => self.report(now, tenant, units),
                LeaseOutcome::Unconfirmed => {
                    account.credit_units -= units;
                    self.lost_credit_units += units;
                }
            },
            RequestKind::Return => {}
        }
    }

    /// Admits as many queued requests as the leased units cover, and requests another lease for the others.
    /// Rejects all of them if the units cover none.
    fn handle_lease_outcome(&mut self, now: f64, tenant: TenantId, outcome: &LeaseOutcome) {
        let account = self.accounts.get_mut(&tenant).expect("a known tenant");
        let units = if let LeaseOutcome::Granted { units, .. } = outcome { *units } else { 0.0 };
        account.leased_units += units;
        account.leased_at = now;
        let mut has_spent = false;
        while account.leased_units >= 1.0 && account.queued_deadlines.pop_front().is_some() {
            account.leased_units -= 1.0;
            has_spent = true;
            self.results.push(RequestResult { tenant, admitted: true });
        }
        if has_spent {
            self.request_lease(now, tenant);
            return;
        }
        while account.queued_deadlines.pop_front().is_some() {
            self.results.push(RequestResult { tenant, admitted: false });
        }
    }

    pub fn poll_timeout(&self) -> Option<f64> {
        let leased = self.accounts.values().filter(|account| account.leased_units > 0.0);
        let lease_expiries = leased.map(|account| account.leased_at + LEASE_LIFETIME);
        let accounts = self.accounts.values();
        let queued_deadlines = accounts.filter_map(|account| account.queued_deadlines.front().copied());
        lease_expiries.chain(queued_deadlines).chain(self.client.poll_timeout()).reduce(f64::min)
    }

    pub fn leased_units(&self) -> f64 {
        self.accounts.values().map(|account| account.leased_units).sum()
    }

    pub fn credit_units(&self) -> f64 {
        self.accounts.values().map(|account| account.credit_units).sum()
    }

    pub fn queued_requests(&self) -> u64 {
        self.accounts.values().map(|account| account.queued_deadlines.len() as u64).sum()
    }
}
