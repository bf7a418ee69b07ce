//! Discovery: the endpoint list is watched, and the policy engine notified of it.
use super::connection::{CloseReason, ConnectionId};
use super::effect::Effect;
use super::log_message::LogMessage;
use super::reducer::Reducer;
use super::timers::{TimerKey, TimerKind};
use crate::wire::endpoints::{self, EndpointList, EndpointListError};
use crate::wire::http::{Request, Response};
use quillramp::types::*;

/// How long a watch waits for a change, in seconds: for no longer is nothing learnt over a connection that has become
/// unresponsive, for its response, with or without changes, is due by then. A change missed there counts as known 6 s
/// after the connection fell silent.
const WATCH_SECONDS: f64 = 5.0;
/// How much longer the response may take, in seconds. Then the service is polled without a wait, on a new connection:
/// what a service that was silent learns at its return counts as known at once, so a request is always pending.
const RESPONSE_GRACE: f64 = 0.4;
/// When such a poll is refused or ends without a response, it is repeated after so many seconds.
const RETRY_SECONDS: f64 = 0.2;

/// An unresponsive connection whose response would still count.
#[derive(Clone, Copy)]
pub(super) struct OverdueWatch {
    connection: u64,
    /// Until when it is kept, in seconds.
    until: f64,
}

/// What is known of the discovery service.
#[derive(Default)]
pub(super) struct DiscoveryState {
    /// The connection on which the list is watched.
    pub connection: Option<u64>,
    /// The timeout of the pending watch.
    timer: TimerKey,
    /// No response has come since one was due.
    is_unresponsive: bool,
    /// The unresponsive connection that is kept, if there is one.
    pub overdue_watch: Option<OverdueWatch>,
    /// The version of the list that is known here; none where it is another service's.
    version: Option<u64>,
}

impl Reducer {
    /// Takes over a list, or changes to it.
    pub(super) fn apply_endpoint_list(&mut self, now: f64, list: &EndpointList) {
        self.discovery.version = Some(list.index);
        if list.snapshot {
            for entry in &mut self.backends.entries {
                entry.status = EndpointStatus::Removed;
            }
        }
        let listed = list.endpoints.iter();
        let entries: Vec<Endpoint> = listed.map(|endpoint| self.apply_endpoint(endpoint)).collect();
        self.engine.update_endpoints(now, list.snapshot, &entries);
        for endpoint in &list.endpoints {
            self.admin.known_backends.add(&endpoint.name);
            // What an operator has ejected stays so, whatever the list reports.
            let backend = self.backends.names.get(&endpoint.name);
            let ejected_since = self.admin.shared.ejected_backends.get(&endpoint.name);
            if let (Some(backend), Some(&since)) = (backend, ejected_since) {
                self.set_manual_ejection(now, backend, Some(since));
            }
        }
        for backend in 0..self.backends.entries.len() {
            if !self.backends.entries[backend].accepts_requests() {
                self.close_idle_connections_to(backend);
            }
        }
        self.withdraw_from_unavailable();
    }

    /// Takes over an entry of the list; returns it as the policy engine has it.
    fn apply_endpoint(&mut self, listed: &endpoints::ListedEndpoint) -> Endpoint {
        let backend = self.backends.names.intern(&listed.name);
        if backend == self.backends.entries.len() {
            self.backends.entries.push(Default::default());
        }
        let entry = &mut self.backends.entries[backend];
        entry.address = Some(listed.address);
        entry.status = listed.status;
        let zones = &self.instance.zones;
        let zone = zones.iter().position(|zone| *zone == listed.zone).unwrap_or(zones.len());
        Endpoint {
            backend,
            status: listed.status,
            zone,
            cell: listed.group,
            weight: listed.weight,
            started_at: (listed.since_ms > 0.0).then_some(listed.since_ms / 1e3),
        }
    }

    /// Opens a connection for the next request.
    pub(super) fn open_watch(&mut self, now: f64) {
        let id = self.next_connection_id();
        self.discovery.connection = Some(id);
        let address = self.config.discovery;
        self.effects.push(Effect::Connect { connection: ConnectionId::Discovery(id), address });
        self.schedule_watch_timeout(now, id);
    }

    /// The service has another address: its complete list is fetched there, then watched.
    pub(super) fn discovery_address_changed(&mut self, now: f64) {
        self.close_overdue_watch(CloseReason::AddressChanged);
        if let Some(old) = self.discovery.connection.take() {
            self.close(ConnectionId::Discovery(old), CloseReason::AddressChanged);
        }
        self.discovery.version = None;
        self.discovery.is_unresponsive = false;
        self.open_watch(now);
    }

    /// Sends the next request on a connection that is up.
    pub(super) fn send_watch(&mut self, connection: ConnectionId) {
        let wait_ms = if self.discovery.is_unresponsive { 1 } else { (WATCH_SECONDS * 1e3) as u64 };
        let request = self
            .discovery
            .version
            .map_or(Request::FetchEndpoints, |since| Request::WatchEndpoints { since, wait_ms });
        self.effects.push(Effect::HttpRequest { connection, request });
    }

    fn schedule_watch_timeout(&mut self, now: f64, id: u64) {
        self.timers.cancel(self.discovery.timer);
        // The complete list is sent without a wait, too.
        let is_immediate = self.discovery.is_unresponsive || self.discovery.version.is_none();
        let wait = if is_immediate { 0.0 } else { WATCH_SECONDS };
        self.discovery.timer = self.timers.schedule(now + wait + RESPONSE_GRACE, TimerKind::WatchTimeout(id));
    }

    /// No response when one was due, not even that nothing has changed: the connection may be dead and the service well,
    /// or slow. So the service is polled at once, and one such connection is kept for a while: its response still counts.
    pub(super) fn watch_timed_out(&mut self, now: f64, id: u64) {
        if self.discovery.connection != Some(id) {
            return;
        }
        if self.discovery.overdue_watch.is_some_and(|overdue| now >= overdue.until) {
            self.close_overdue_watch(CloseReason::Unresponsive);
        }
        if self.discovery.overdue_watch.is_none() {
            self.discovery.overdue_watch = Some(OverdueWatch { connection: id, until: now + WATCH_SECONDS });
        } else {
            self.close(ConnectionId::Discovery(id), CloseReason::Unresponsive);
        }
        self.discovery.is_unresponsive = true;
        self.open_watch(now);
    }

    /// Closes the unresponsive connection whose response would still have counted.
    fn close_overdue_watch(&mut self, reason: CloseReason) {
        if let Some(overdue) = self.discovery.overdue_watch.take() {
            self.close(ConnectionId::Discovery(overdue.connection), reason);
        }
    }

    /// A connection ended.
    pub(super) fn discovery_connection_ended(&mut self, now: f64, id: u64) {
        if self.is_overdue(id) {
            self.discovery.overdue_watch = None;
        }
        if self.discovery.connection != Some(id) {
            return;
        }
        self.discovery.connection = None;
        if std::mem::replace(&mut self.discovery.is_unresponsive, true) {
            self.timers.schedule(now + RETRY_SECONDS, TimerKind::RetryWatch);
        } else {
            self.open_watch(now);
        }
    }

    /// Polls again, unless a request is pending by now.
    pub(super) fn watch_if_not_pending(&mut self, now: f64) {
        if self.discovery.connection.is_none() {
            self.open_watch(now);
        }
    }

    fn is_overdue(&self, id: u64) -> bool {
        self.discovery.overdue_watch.is_some_and(|overdue| overdue.connection == id)
    }

    /// A response. The first one is taken, whichever connection it comes on; the other connection is closed, for what
    /// comes there later is older.
    pub(super) fn discovery_responded(&mut self, now: f64, id: u64, response: Response) {
        if self.is_overdue(id) {
            self.discovery.overdue_watch = None;
            if let Some(pending) = self.discovery.connection.replace(id) {
                self.close(ConnectionId::Discovery(pending), CloseReason::Unresponsive);
            }
        }
        if self.discovery.connection == Some(id) {
            self.close_overdue_watch(CloseReason::Unresponsive);
            self.apply_watch_response(now, id, response);
        }
    }

    fn apply_watch_response(&mut self, now: f64, id: u64, response: Response) {
        self.discovery.is_unresponsive = false;
        let list = if response.status == 200 {
            endpoints::decode(&response.body)
        } else {
            Err(EndpointListError::Status(response.status))
        };
        match list {
            Ok(list) if !response.closes_connection => {
                self.apply_endpoint_list(now, &list);
                self.send_watch(ConnectionId::Discovery(id));
                self.schedule_watch_timeout(now, id);
            }
            Ok(list) => {
                self.apply_endpoint_list(now, &list);
                self.close(ConnectionId::Discovery(id), CloseReason::Closed);
                self.open_watch(now);
            }
            Err(error) => {
                self.log(LogMessage::EndpointListRejected { error });
                self.close(ConnectionId::Discovery(id), CloseReason::BadFraming);
                self.discovery.connection = None;
                self.engine.endpoint_fetch_failed(now);
            }
        }
    }
}
