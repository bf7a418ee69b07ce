//! Gateway processes broken on purpose, so that each check is seen to find what it is for.
use super::GatewayProcess;
use crate::context::Context;
use quillramp_gateway::state::connection::ConnectionId;
use quillramp_gateway::state::event::Event;
use quillramp_gateway::wire::endpoints::EndpointList;
use quillramp_gateway::wire::resp::ClientReply;

/// How a gateway process is broken.
#[derive(Clone, Copy, Debug, PartialEq, Eq, clap::ValueEnum)]
pub enum InjectedDefect {
    /// One answer in fifty is never written.
    #[value(name = "swallows-answers")]
    DropsResponses,
    /// One answer in fifty is written twice.
    #[value(name = "answers-twice")]
    DuplicatesResponses,
    /// Deliveries that may not be repeated are, now and then.
    #[value(name = "repeats-orders")]
    RepeatsNonIdempotent,
    /// What may have run is throttled instead of errored.
    #[value(name = "throttles-anyway")]
    ThrottlesExecuted,
    /// Drains and deletions are not heard.
    #[value(name = "ignores-drains")]
    IgnoresDrains,
    /// Every backend counts as warm.
    #[value(name = "forgets-cold")]
    SkipsSlowStart,
    /// Quotas and ceilings are taken for fifty times what they are.
    #[value(name = "busts-ceilings")]
    ExceedsCeilings,
}

/// The probability with which a response is dropped or written twice.
const RESPONSE_FAULT: f64 = 0.02;
/// The probability with which an attempt is written twice.
const ATTEMPT_FAULT: f64 = 0.05;

impl GatewayProcess {
    fn has_defect(&self, defect: InjectedDefect) -> bool {
        self.defect == Some(defect)
    }

    /// Draws whether the next response is dropped.
    pub(super) fn drops_response(&self, ctx: &mut Context) -> bool {
        self.has_defect(InjectedDefect::DropsResponses) && ctx.draw_bool(RESPONSE_FAULT)
    }

    /// Draws whether the next response is written twice.
    pub(super) fn duplicates_response(&self, ctx: &mut Context) -> bool {
        self.has_defect(InjectedDefect::DuplicatesResponses) && ctx.draw_bool(RESPONSE_FAULT)
    }

    /// Draws whether the next attempt is written twice.
    pub(super) fn duplicates_attempt(&self, ctx: &mut Context) -> bool {
        self.has_defect(InjectedDefect::RepeatsNonIdempotent) && ctx.draw_bool(ATTEMPT_FAULT)
    }

    /// The response that is written in place of this one.
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

    /// The event that the reducer gets in place of this one.
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

/// A discovery response in which every backend was started long ago.
fn without_start_times(body: &str) -> String {
    let mut parts = body.split("\"since_ms\":");
    let mut altered = parts.next().unwrap_or_default().to_owned();
    for part in parts {
        altered += "\"since_ms\":0";
        altered += part.trim_start_matches(|c: char| c.is_ascii_digit() || c == '.');
    }
    altered
}

/// The endpoint list that a process starts with in place of this one.
pub(super) fn altered_endpoints(endpoints: &EndpointList, defect: Option<InjectedDefect>) -> EndpointList {
    let mut endpoints = endpoints.clone();
    if defect == Some(InjectedDefect::SkipsSlowStart) {
        endpoints.endpoints.iter_mut().for_each(|endpoint| endpoint.since_ms = 0.0);
    }
    endpoints
}
