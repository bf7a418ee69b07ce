//! Checks that each command of a client gets one final response, in order. `deadlines` checks that the response is not late.
use super::client_connection::{ClientConnection, CommandKind, LostRequest, PendingCommand};
use super::deadlines::{Deadline, MALFORMED_TIMEOUT};
use super::request::{AttemptOutcome, RequestEvent, RequestRecord};
use super::response::escape;
use super::{parse_response, Checker, Invariant, ParsedResponse, ResponseKind, TOLERANCE};
use crate::network::LinkId;
use quillramp::types::Idempotency;
use quillramp_gateway::wire::resp;
use quillramp_gateway::wire::DecodedMessage;

/// Number of bytes at the start of a value that include the id of its request.
const VALUE_HEAD_BYTES: usize = 64;
/// Length of a request id in hexadecimal characters.
const ID_LENGTH: usize = 16;

impl Checker {
    /// Records that a client connected to a process. `malformed` is whether the client will send bytes that can't be parsed.
    pub fn client_connected(&mut self, now: f64, link: LinkId, process: usize, malformed: bool) {
        let client =
            ClientConnection { process, malformed, connected_at: now, ..ClientConnection::default() };
        self.clients.insert(link, client);
        if malformed {
            self.deadlines.insert(Deadline::new(now + MALFORMED_TIMEOUT, link));
        }
    }

    /// Records that a process rejects a client's connection: the client gets an error, and the connection is closed. A client with a known
    /// address may be rejected only because that address has too many connections or opens them too fast.
    pub fn connection_rejected(&mut self, now: f64, link: LinkId, known_address: bool, reason: &str) {
        self.coverage.rejected_connections += 1;
        if let Some(client) = self.clients.get_mut(&link) {
            client.unparseable = true;
        }
        if known_address && reason == "full" {
            let message =
                format!("connection {link}: a client with a known address is rejected, reason: {reason}");
            self.record_violation(Invariant::SingleResponse, now, message);
        }
    }

    /// Processes bytes of a client that arrived at the machine of a gateway process.
    pub fn client_bytes_received(&mut self, now: f64, link: LinkId, bytes: &[u8]) {
        let Some(client) = self.clients.get_mut(&link).filter(|client| !client.unparseable) else { return };
        if client.malformed {
            return;
        }
        client.received.extend_from_slice(bytes);
        loop {
            let Some(client) = self.clients.get_mut(&link) else { return };
            match resp::decode_command(&client.received) {
                Ok(None) => return,
                Err(_) => return client.unparseable = true,
                Ok(Some(DecodedMessage { value: command, length })) => {
                    client.received.drain(..length);
                    self.command_received(now, link, &command);
                }
            }
        }
    }

    fn command_received(&mut self, now: f64, link: LinkId, command: &resp::ClientCommand) {
        let Some(client) = self.clients.get_mut(&link) else { return };
        if client.pending.is_empty() {
            client.front_since = now;
        }
        if let resp::ClientCommand::Request(request) = command {
            let kind = CommandKind::Request(request.id);
            client.pending.push_back(PendingCommand { kind, received_at: now });
            self.request_received(now, link, request);
        } else {
            client.pending.push_back(PendingCommand { kind: CommandKind::Other, received_at: now });
        }
        self.schedule_deadline(link);
    }

    fn request_received(&mut self, now: f64, link: LinkId, request: &resp::RequestCommand) {
        let mut operations = self.limits.operations.iter();
        let operation = operations.position(|operation| operation.name.as_bytes() == request.operation());
        let Some(operation) = operation else { return };
        self.coverage.requests += 1;
        let plan = String::from_utf8_lossy(request.plan()).into_owned();
        let timeout = request.timeout_ms / 1e3;
        let mut record = RequestRecord::new(operation, plan, request.customer, timeout);
        record.record(now, RequestEvent::Received(link));
        self.requests.insert(request.id, record);
    }

    /// Processes bytes that a process wrote to a client, and checks each response that they complete.
    pub fn response_bytes_written(&mut self, now: f64, link: LinkId, bytes: &[u8]) {
        let Some(client) = self.clients.get_mut(&link) else { return };
        if client.malformed {
            return self.malformed_client_answered(now, link, bytes);
        }
        client.response_bytes.extend_from_slice(bytes);
        loop {
            let Some(client) = self.clients.get_mut(&link) else { return };
            let Some(ParsedResponse { kind, length }) = parse_response(&client.response_bytes) else {
                return;
            };
            let response: Vec<u8> = client.response_bytes.drain(..length).collect();
            self.response_written(now, link, kind, &response);
        }
    }

    /// Checks that the response to bytes that can't be parsed is an error.
    fn malformed_client_answered(&mut self, now: f64, link: LinkId, bytes: &[u8]) {
        if bytes.starts_with(b"-") {
            self.clients.remove(&link);
        } else {
            let message = format!(
                "connection {link}: expected an error for bytes that can't be parsed, found another response"
            );
            self.record_violation(Invariant::SingleResponse, now, message);
        }
    }

    /// Matches a complete response to the oldest pending command on the connection.
    fn response_written(&mut self, now: f64, link: LinkId, kind: ResponseKind, response: &[u8]) {
        let Some(client) = self.clients.get_mut(&link) else { return };
        client.front_since = now;
        let Some(command) = client.pending.pop_front() else {
            let answers_malformed_bytes = client.unparseable && kind == ResponseKind::Error;
            if !answers_malformed_bytes {
                let escaped = escape(response);
                let message = format!("connection {link}: response without a pending command: {escaped}");
                self.record_violation(Invariant::SingleResponse, now, message);
            }
            return;
        };
        if let CommandKind::Request(id) = command.kind {
            self.request_answered(now, id, kind, response);
        }
        self.schedule_deadline(link);
    }

    fn request_answered(&mut self, now: f64, id: u64, kind: ResponseKind, response: &[u8]) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        request.record(now, RequestEvent::Answered(kind));
        if request.answered_at.replace(now).is_some() {
            let message = format!("request {id:016x} is answered twice");
            return self.record_request_violation(Invariant::SingleResponse, now, id, message);
        }
        match kind {
            ResponseKind::Value => {
                self.coverage.succeeded += 1;
                self.check_value(now, id, response);
            }
            ResponseKind::Busy => {
                self.coverage.throttled += 1;
                self.check_throttling(now, id);
            }
            ResponseKind::Error => self.coverage.errored += 1,
            ResponseKind::Other => {
                let message = format!(
                    "request {id:016x}: expected a value, BUSY or an error, found {}",
                    escape(response)
                );
                self.record_request_violation(Invariant::SingleResponse, now, id, message);
            }
        }
    }

    /// Whether no connection has ended that could have completed the response to a request.
    fn is_cut_off(&self, id: u64) -> bool {
        self.requests.get(&id).is_some_and(|request| !request.connection_lost)
    }

    /// Checks that a value includes the id of its request, and that a backend sent a value for that request.
    fn check_value(&mut self, now: f64, id: u64, response: &[u8]) {
        let value_received = self.requests.get(&id).is_some_and(|request| request.value_received);
        let expected_id = format!("{id:016x}");
        let head = &response[..response.len().min(VALUE_HEAD_BYTES)];
        let includes_id = head.windows(ID_LENGTH).any(|window| window == expected_id.as_bytes());
        if !includes_id || !value_received {
            let message = format!("request {id:016x} is answered with a value that no backend sent for it");
            self.record_request_violation(Invariant::SingleResponse, now, id, message);
        }
    }

    /// Checks that a throttled request is idempotent or was not executed.
    fn check_throttling(&mut self, now: f64, id: u64) {
        let Some(request) = self.requests.get(&id) else { return };
        let operation = &self.limits.operations[request.operation];
        let is_rejected = |outcome| outcome == Some(AttemptOutcome::Rejected);
        let allowed = operation.idempotency == Idempotency::Idempotent
            || request.attempts.iter().all(|attempt| is_rejected(attempt.outcome));
        if !allowed {
            let attempts: Vec<String> = request.attempts.iter().map(|attempt| attempt.describe()).collect();
            let message = format!(
                "{} {id:016x} is throttled although it may have been executed: {}",
                operation.name,
                attempts.join(", ")
            );
            self.record_request_violation(Invariant::AtMostOnce, now, id, message);
        }
    }

    /// Records that a client's connection ended at the process's side, and checks that a process that closed the connection itself
    /// (`by_gateway`) leaves no request without a response.
    pub fn client_disconnected(&mut self, now: f64, link: LinkId, by_gateway: bool) {
        let Some(client) = self.clients.remove(&link) else { return };
        let Some(process) = self.processes.get(&client.process) else { return };
        if !by_gateway || client.malformed || client.unparseable || process.ended {
            return;
        }
        // Client timeouts may have expired during a stall: requests on connections that are closed right after it have failed, and do
        // not count as lost.
        if now <= process.stalled_until + TOLERANCE {
            return;
        }
        let partly_answered = client.front_request().filter(|_| !client.response_bytes.is_empty());
        if let Some(id) = partly_answered.filter(|id| self.is_cut_off(*id)) {
            let message = format!(
                "request {id:016x}: the process closed its connection {link} within the response, although the backend goes on"
            );
            return self.record_request_violation(Invariant::SingleResponse, now, id, message);
        }
        if let Some(LostRequest { id, received_at }) = client.lost_request() {
            let message = format!(
                "request {id:016x}, received at {received_at:.4}: the process closed its connection {link} without a response"
            );
            self.record_request_violation(Invariant::SingleResponse, now, id, message);
        }
    }
}
