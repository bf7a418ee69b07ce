//! Carries out the fault steps that concern stand-ins.
use super::condition::BackendCondition;
use super::endpoint_list::Status;
use super::TestBed;
use crate::fault_schedule::FaultStep;
use crate::sync::lock;
use quillramp_emulator::scenario::FaultKind;
use std::collections::HashMap;

/// Seconds of a millisecond, the unit of a slow counter's delay.
const SECONDS_PER_MILLISECOND: f64 = 0.001;

impl TestBed {
    /// Carries out a step that concerns stand-ins; steps of instances are carried out by the fleet.
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

    fn change(&self, step: &FaultStep, change: impl FnOnce(&mut BackendCondition)) {
        change(&mut lock(&self.conditions[step.target]));
    }

    /// The process ends and refuses connections, or a new one starts.
    fn crash(&self, step: &FaultStep) {
        self.change_process(step, |c| c.down = step.begins);
        self.end_connections(step.target);
        if !step.begins {
            self.list_as_serving(step.target);
        }
    }

    /// The machine becomes unresponsive, so its connections stay; or a new process starts.
    fn make_unresponsive(&self, step: &FaultStep) {
        self.change_process(step, |c| c.unresponsive = step.begins);
        if !step.begins {
            self.end_connections(step.target);
            self.list_as_serving(step.target);
        }
    }

    /// Changes a backend together with its process, which is new when the fault ends.
    fn change_process(&self, step: &FaultStep, change: impl FnOnce(&mut BackendCondition)) {
        let now = self.now();
        self.change(step, |c| {
            c.process_number += 1;
            change(c);
            c.started_at = if step.begins { c.started_at } else { Some(now) };
        });
    }

    /// The backend drains, or a new one with a new name takes its place.
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

    fn list_as_serving(&self, backend: usize) {
        let restarted = self.condition(backend).started_at.is_some();
        self.endpoints.set_status(backend, Status::Serving, restarted);
    }
}
