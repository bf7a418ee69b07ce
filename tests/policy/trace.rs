//! The trace of a test: the decisions of the policy engine and the effects that it requested.
use quillramp::types::*;
use std::fmt::Write;

/// A trace. Each line is a time and an event.
#[derive(Default)]
pub struct Trace {
    lines: String,
}

impl Trace {
    /// Adds a decision on a request. `cause` names the event that led to it, with a leading space, or is
    /// empty.
    pub fn add_decision(&mut self, now: f64, request: RequestIndex, cause: &str, decision: Decision) {
        let text = match decision {
            Decision::Forward { backend } => format!("to {backend}"),
            Decision::Pending => "pending".into(),
            Decision::Throttle { retry_after: Some(seconds) } => format!("throttled, {seconds:.2} s"),
            Decision::Throttle { retry_after: None } => "throttled".into(),
            Decision::Error => "error".into(),
        };
        self.add(now, format_args!("{request}{cause}: {text}"));
    }

    /// Adds the effects of a decision or a poll.
    pub fn add_effects(&mut self, now: f64, effects: &Effects) {
        for call in &effects.counter_calls {
            self.add(now, format_args!("count {}: {:+.2}", call.key.series, call.delta));
        }
        for Cancellation { request, attempt } in &effects.cancellations {
            self.add(now, format_args!("cancel {request}.{attempt}"));
        }
        if effects.fetch_endpoints {
            self.add(now, format_args!("fetches the endpoint list"));
        }
        for message in &effects.gossip {
            self.add(now, format_args!("gossips {message:?}"));
        }
        for line in &effects.log {
            self.add(now, format_args!("log: {line}"));
        }
    }

    fn add(&mut self, now: f64, event: std::fmt::Arguments) {
        writeln!(self.lines, "{now:.3} {event}").expect("writing to a string must succeed");
    }

    /// Empties the trace. Returns it with consecutive events of the same time joined into one line.
    pub fn take(&mut self) -> String {
        let lines = std::mem::take(&mut self.lines);
        let mut merged = String::new();
        let mut last_time = "";
        for line in lines.lines() {
            let (time, event) = line.split_once(' ').expect("a trace line must have a time and an event");
            if time == last_time {
                merged += &format!("; {event}");
            } else {
                merged += &format!("\n{line}");
            }
            last_time = time;
        }
        merged.trim_start().to_string()
    }
}
