//! Defects that can be injected into gateway processes, to verify that the checker detects them.
use super::GatewayProcess;
use crate::context::Context;
use quillramp_gateway::state::connection::{CloseReason, ConnectionId};
use quillramp_gateway::state::event::Event;
use quillramp_gateway::state::log_message::LogMessage;
use quillramp_gateway::wire::endpoints::EndpointList;
use quillramp_gateway::wire::resp::ClientReply;

/// A defect injected into all gateway processes of a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, clap::ValueEnum)]
pub enum InjectedDefect {
    /// One response in fifty is not written.
    #[value(name = "swallows-answers")]
    DropsResponses,
    /// Commands of busy clients are read and discarded once a drain rejects them.
    #[value(name = "discards-late-input")]
    DiscardsLateInput,
    /// A long value is ended once its client's timeout has passed and its backend pauses.
    #[value(name = "ends-silent-values")]
    EndsSilentStreams,
    /// One response in fifty is written twice.
    #[value(name = "answers-twice")]
    DuplicatesResponses,
    /// One attempt in twenty of a non-idempotent operation is written twice.
    #[value(name = "repeats-orders")]
    RepeatsNonIdempotent,
    /// A request that a backend may have executed gets a throttled response instead of an error.
    #[value(name = "throttles-anyway")]
    ThrottlesExecuted,
    /// Drains and deletions of backends are ignored.
    #[value(name = "ignores-drains")]
    IgnoresDrains,
    /// No backend gets a slow start.
    #[value(name = "forgets-cold")]
    SkipsSlowStart,
    /// Quotas and ceilings are fifty times as high as those that the checker expects.
    #[value(name = "busts-ceilings")]
    ExceedsCeilings,
}

/// Probability that a response is dropped or written twice.
const RESPONSE_DEFECT_PROBABILITY: f64 = 0.02;
/// Probability that an attempt of a non-idempotent operation is written twice.
const ATTEMPT_DEFECT_PROBABILITY: f64 = 0.05;

/// Pause of a backend, and time since the client's timeout, at which a long value is ended, in seconds.
const SILENT_STREAM_SECONDS: f64 = 0.35;
/// Interval between two checks of long values, in seconds.
const SILENT_STREAM_CHECK_INTERVAL: f64 = 0.1;

impl GatewayProcess {
    fn has_defect(&self, defect: InjectedDefect) -> bool {
        self.defect == Some(defect)
    }

    /// Returns whether the next response is dropped, drawn at random if the process has this defect.
    pub(super) fn drops_response(&self, ctx: &mut Context) -> bool {
        self.has_defect(InjectedDefect::DropsResponses) && ctx.draw_bool(RESPONSE_DEFECT_PROBABILITY)
    }

    /// Discards the further input of all clients if the process has this defect and has just begun to reject busy clients.
    pub(super) fn discard_late_input(&mut self, message: &LogMessage) {
        let begins = matches!(message, LogMessage::BusyClientsRejected { .. });
        if begins && self.has_defect(InjectedDefect::DiscardsLateInput) {
            let connections = self.connections.iter_mut();
            let clients = connections.filter(|(id, _)| matches!(id, ConnectionId::Client(_)));
            clients.for_each(|(_, connection)| connection.reader.discard = true);
        }
    }

    /// Ends the long values whose backends pause if the process has this defect.
    pub(super) fn end_silent_streams(&mut self, ctx: &mut Context) {
        if !self.has_defect(InjectedDefect::EndsSilentStreams) {
            return;
        }
        let streams = self
            .connections
            .iter()
            .filter_map(|(id, open)| Some((*id, open.stream_progress?, open.reply_due_at)));
        let streams: Vec<_> = streams.collect();
        for (id, progress, due_at) in &streams {
            let is_overdue = ctx.now - due_at >= SILENT_STREAM_SECONDS;
            if is_overdue && progress.silence(ctx.now) >= SILENT_STREAM_SECONDS {
                self.connection_failed(ctx, *id, CloseReason::DescriptorPressure, false);
            }
        }
        if !streams.is_empty() {
            self.wake(ctx, ctx.now + SILENT_STREAM_CHECK_INTERVAL);
        }
    }

    /// Returns whether the next response is written twice, drawn at random if the process has this defect.
    pub(super) fn duplicates_response(&self, ctx: &mut Context) -> bool {
        self.has_defect(InjectedDefect::DuplicatesResponses) && ctx.draw_bool(RESPONSE_DEFECT_PROBABILITY)
    }

    /// Returns whether the next attempt is written twice, drawn at random if the process has this defect.
    pub(super) fn duplicates_attempt(&self, ctx: &mut Context) -> bool {
        self.has_defect(InjectedDefect::RepeatsNonIdempotent) && ctx.draw_bool(ATTEMPT_DEFECT_PROBABILITY)
    }

    /// Returns the response that is written instead of `response`: the same one without a defect.
    pub(super) fn altered_response(&self, response: ClientReply) -> ClientReply {
        match response {
            ClientReply::Error(reason)
                if reason == "failed" && self.has_defect(InjectedDefect::ThrottlesExecuted) =>
            {
                ClientReply::Busy { retry_after_ms: None }
            }
            response => response,
        }
    }

    /// Returns the event that is delivered to the reducer instead of `event`: the same one without a defect.
    pub(super) fn altered_event(&self, event: Event) -> Event {
        let Event::HttpResponse { connection: connection @ ConnectionId::Discovery(_), mut response } = event
        else {
            return event;
        };
        let body = String::from_utf8_lossy(&response.body);
        let altered = match self.defect {
            Some(InjectedDefect::IgnoresDrains) => {
                body.replace("DRAINING", "SERVING").replace("DELETED", "SERVING")
            }
            Some(InjectedDefect::SkipsSlowStart) => without_start_times(&body),
            _ => return Event::HttpResponse { connection, response },
        };
        response.body = altered.into_bytes();
        Event::HttpResponse { connection, response }
    }
}

/// Returns an endpoint list in JSON with the start times of all backends set to 0.
fn without_start_times(body: &str) -> String {
    let mut parts = body.split("\"since_ms\":");
    let mut altered = parts.next().unwrap_or_default().to_owned();
    for part in parts {
        altered += "\"since_ms\":0";
        altered += part.trim_start_matches(|c: char| c.is_ascii_digit() || c == '.');
    }
    altered
}

/// Returns the endpoint list that a process starts with instead of `endpoints`: the same one without a defect.
pub(super) fn altered_endpoints(endpoints: &EndpointList, defect: Option<InjectedDefect>) -> EndpointList {
    let mut endpoints = endpoints.clone();
    if defect == Some(InjectedDefect::SkipsSlowStart) {
        endpoints.endpoints.iter_mut().for_each(|endpoint| endpoint.since_ms = 0.0);
    }
    endpoints
}
