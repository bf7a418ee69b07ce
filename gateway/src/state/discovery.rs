//! Discovery: watches the endpoint list at the list service, and notifies the policy engine of changes.
use super::connection::{CloseReason, ConnectionId};
use super::effect::Effect;
use super::log_message::LogMessage;
use super::reducer::Reducer;
use super::timers::{TimerKey, TimerKind};
use crate::wire::endpoints::{self, EndpointList, EndpointListError};
use crate::wire::http::{Request, Response};
use quillramp::types::*;

/// Maximum time that a watch waits for a change, in seconds. The response is due then even without changes,
/// which limits how long changes are missed on an unresponsive connection: a missed change counts as reported
/// to the instance 6 s after the connection became unresponsive.
const MAX_WATCH_SECONDS: f64 = 5.0;
/// Time beyond the wait after which a response is overdue, in seconds. The list service is then polled
/// without a wait on a new connection. A request is always pending, because changes count as reported to the
/// instance as soon as an unresponsive list service responds again.
const RESPONSE_GRACE_SECONDS: f64 = 0.4;
/// Delay before another poll after one that was refused or ended without a response, in seconds.
const POLL_RETRY_SECONDS: f64 = 0.2;

/// An unresponsive connection whose response is still accepted.
#[derive(Clone, Copy)]
pub(super) struct OverdueWatch {
    connection: u64,
    /// Time until which it is kept, in seconds, unless more of its response arrives.
    until: f64,
}

/// State of the connections to the list service.
#[derive(Default)]
pub(super) struct DiscoveryState {
    /// The connection with the pending request, if there is one.
    pub connection: Option<u64>,
    /// The timeout of the pending request.
    timer: TimerKey,
    /// Time at which a part of its response last arrived, in seconds; `None` if nothing has.
    progress_at: Option<f64>,
    /// Whether a response was due and none has arrived since.
    is_unresponsive: bool,
    /// The unresponsive connection that is kept, if there is one.
    pub overdue_watch: Option<OverdueWatch>,
    /// The version of the last list; `None` after a change of the list service's address.
    version: Option<u64>,
}

impl Reducer {
    /// Applies a complete endpoint list, or changes to it.
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
            // An operator's ejection stays in force whatever the list reports.
            let backend = self.backends.names.get(&endpoint.name);
            let ejected_since = self.admin.shared.ejected_backends.get(&endpoint.name);
            if let (Some(backend), Some(&since)) = (backend, ejected_since) {
                self.set_manual_ejection(now, backend, Some(since));
            }
        }
        for backend in 0..self.backends.entries.len() {
            if !self.backends.entries[backend].accepts_attempts() {
                self.close_idle_connections_to(backend);
            }
        }
        self.withdraw_from_unavailable_backends();
    }

    /// Applies an entry of the endpoint list; returns it in the form of the policy engine.
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

    /// Opens a connection to the list service for the next request.
    pub(super) fn open_watch(&mut self, now: f64) {
        let id = self.next_connection_id();
        self.discovery.connection = Some(id);
        let address = self.config.discovery;
        self.effects.push(Effect::Connect { connection: ConnectionId::Discovery(id), address });
        self.schedule_watch_timeout(now, id);
    }

    /// Handles a new address of the list service: the complete list is fetched from there, then watched.
    pub(super) fn discovery_address_changed(&mut self, now: f64) {
        self.close_overdue_watch(CloseReason::AddressChanged);
        if let Some(old) = self.discovery.connection.take() {
            self.close(ConnectionId::Discovery(old), CloseReason::AddressChanged);
        }
        self.discovery.version = None;
        self.discovery.is_unresponsive = false;
        self.open_watch(now);
    }

    /// Sends the next request on an established connection.
    pub(super) fn send_watch(&mut self, connection: ConnectionId) {
        let wait_ms = if self.discovery.is_unresponsive { 1 } else { (MAX_WATCH_SECONDS * 1e3) as u64 };
        let request = self
            .discovery
            .version
            .map_or(Request::FetchEndpoints, |since| Request::WatchEndpoints { since, wait_ms });
        self.effects.push(Effect::HttpRequest { connection, request });
    }

    /// Records that a part of a response has arrived: a connection is not given up while its response arrives, however
    /// slowly.
    pub(super) fn partial_endpoint_list(&mut self, now: f64, id: u64) {
        if self.discovery.connection == Some(id) {
            self.discovery.progress_at = Some(now);
        }
        if let Some(overdue) =
            self.discovery.overdue_watch.as_mut().filter(|overdue| overdue.connection == id)
        {
            overdue.until = now + MAX_WATCH_SECONDS;
        }
    }

    fn schedule_watch_timeout(&mut self, now: f64, id: u64) {
        self.discovery.progress_at = None;
        self.timers.cancel(self.discovery.timer);
        // The list service also sends the complete list without a wait.
        let is_immediate = self.discovery.is_unresponsive || self.discovery.version.is_none();
        let wait = if is_immediate { 0.0 } else { MAX_WATCH_SECONDS };
        self.discovery.timer =
            self.timers.schedule(now + wait + RESPONSE_GRACE_SECONDS, TimerKind::WatchTimeout(id));
    }

    /// Handles an overdue response. Either the connection is dead or the list service is slow, so the service is polled on
    /// a new connection at once, and one overdue connection is kept for a while, as its response is still accepted.
    pub(super) fn watch_timed_out(&mut self, now: f64, id: u64) {
        if self.discovery.connection != Some(id) {
            return;
        }
        if self.discovery.overdue_watch.is_some_and(|overdue| now >= overdue.until) {
            self.close_overdue_watch(CloseReason::Unresponsive);
        }
        let is_arriving = self.discovery.progress_at.is_some_and(|at| now - at < RESPONSE_GRACE_SECONDS);
        if is_arriving && self.discovery.overdue_watch.is_some() {
            let next_check = now + RESPONSE_GRACE_SECONDS;
            self.discovery.timer = self.timers.schedule(next_check, TimerKind::WatchTimeout(id));
            return;
        }
        if self.discovery.overdue_watch.is_none() {
            self.discovery.overdue_watch =
                Some(OverdueWatch { connection: id, until: now + MAX_WATCH_SECONDS });
        } else {
            self.close(ConnectionId::Discovery(id), CloseReason::Unresponsive);
        }
        self.discovery.is_unresponsive = true;
        self.open_watch(now);
    }

    /// Closes the unresponsive connection that was kept.
    fn close_overdue_watch(&mut self, reason: CloseReason) {
        if let Some(overdue) = self.discovery.overdue_watch.take() {
            self.close(ConnectionId::Discovery(overdue.connection), reason);
        }
    }

    /// Handles the end of a connection to the list service.
    pub(super) fn discovery_connection_ended(&mut self, now: f64, id: u64) {
        if self.is_overdue(id) {
            self.discovery.overdue_watch = None;
        }
        if self.discovery.connection != Some(id) {
            return;
        }
        self.discovery.connection = None;
        if std::mem::replace(&mut self.discovery.is_unresponsive, true) {
            self.timers.schedule(now + POLL_RETRY_SECONDS, TimerKind::RetryWatch);
        } else {
            self.open_watch(now);
        }
    }

    /// Polls the list service, unless a request is pending.
    pub(super) fn watch_if_not_pending(&mut self, now: f64) {
        if self.discovery.connection.is_none() {
            self.open_watch(now);
        }
    }

    fn is_overdue(&self, id: u64) -> bool {
        self.discovery.overdue_watch.is_some_and(|overdue| overdue.connection == id)
    }

    /// Handles a response. The first response is applied, whichever connection it arrives on; the other connection is
    /// closed, because a later response there would be older.
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
