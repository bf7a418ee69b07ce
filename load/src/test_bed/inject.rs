//! Applies the fault steps that target stand-in servers.
use super::condition::BackendCondition;
use super::endpoint_list::Status;
use super::TestBed;
use crate::fault_schedule::FaultStep;
use crate::sync::lock;
use quillramp_emulator::scenario::FaultKind;
use std::collections::HashMap;

/// Converts the delay of a slow counter, which is given in milliseconds.
const SECONDS_PER_MILLISECOND: f64 = 0.001;

impl TestBed {
    /// Applies a fault step that targets a stand-in. Steps that target instances are executed by `Fleet::inject`.
    pub fn inject(&self, step: &FaultStep) {
        let magnitude = if step.begins { step.magnitude } else { 0.0 };
        match step.kind {
            FaultKind::Slow => {
                self.change(step, |c| c.work_factor = if step.begins { step.magnitude } else { 1.0 })
            }
            FaultKind::LostResponses => self.change(step, |c| c.unanswered_fraction = magnitude),
            FaultKind::MalformedResponses => self.change(step, |c| c.malformed_fraction = magnitude),
            FaultKind::Errors => self.change(step, |c| c.failed_fraction = magnitude),
            FaultKind::Rejections => self.change(step, |c| c.rejected_fraction = magnitude),
            FaultKind::Crash => self.crash(step),
            FaultKind::Unresponsive => self.make_unresponsive(step),
            FaultKind::Drain => self.drain(step),
            FaultKind::DiscoveryDown => self.endpoints.set_down(step.begins),
            _ => self.inject_at_counter(step, magnitude),
        }
    }

    fn inject_at_counter(&self, step: &FaultStep, magnitude: f64) {
        match step.kind {
            FaultKind::CounterDown => lock(&self.counter_condition).down = step.begins,
            FaultKind::CounterUnresponsive => lock(&self.counter_condition).unresponsive = step.begins,
            FaultKind::CounterSlow => {
                lock(&self.counter_condition).delay_seconds = SECONDS_PER_MILLISECOND * magnitude
            }
            FaultKind::CounterLostResponses => lock(&self.counter_condition).unanswered_fraction = magnitude,
            FaultKind::CounterRejections => lock(&self.counter_condition).rejected_fraction = magnitude,
            FaultKind::CounterReset => lock(&self.counter_totals).iter_mut().for_each(HashMap::clear),
            FaultKind::CounterSplit => {
                lock(&self.counter_condition).split = step.begins;
                let mut totals = lock(&self.counter_totals);
                totals[1] = totals[0].clone();
            }
            _ => {}
        }
    }

    /// Changes the condition of the backend that a step targets.
    fn change(&self, step: &FaultStep, change: impl FnOnce(&mut BackendCondition)) {
        change(&mut lock(&self.conditions[step.target]));
    }

    /// Ends the process, so that connections are refused, or starts a new one.
    fn crash(&self, step: &FaultStep) {
        self.change_process(step, |c| c.down = step.begins);
        self.end_connections(step.target);
        if !step.begins {
            self.list_as_serving(step.target);
        }
    }

    /// Makes the machine unresponsive, with its connections left open, or starts a new process.
    fn make_unresponsive(&self, step: &FaultStep) {
        self.change_process(step, |c| c.unresponsive = step.begins);
        if !step.begins {
            self.end_connections(step.target);
            self.list_as_serving(step.target);
        }
    }

    /// Changes the condition of a backend and its process number. The end of the fault is the start of a new process.
    fn change_process(&self, step: &FaultStep, change: impl FnOnce(&mut BackendCondition)) {
        let now = self.now();
        self.change(step, |c| {
            c.process_number += 1;
            change(c);
            c.started_at = if step.begins { c.started_at } else { Some(now) };
        });
    }

    /// Starts draining the backend, or replaces it by a new process with a new name.
    fn drain(&self, step: &FaultStep) {
        if step.begins {
            self.change(step, |c| c.draining = true);
            let restarted = self.condition(step.target).started_at.is_some();
            self.endpoints.set_status(step.target, Status::Draining, restarted);
            return;
        }
        let now = self.now();
        self.change(step, |c| {
            c.draining = false;
            c.started_at = Some(now);
            c.process_number += 1;
        });
        self.end_connections(step.target);
        self.endpoints.replace(step.target, Status::Serving);
    }

    /// Lists the backend as serving, with a new start time if it has restarted in this run.
    fn list_as_serving(&self, backend: usize) {
        let restarted = self.condition(backend).started_at.is_some();
        self.endpoints.set_status(backend, Status::Serving, restarted);
    }
}
