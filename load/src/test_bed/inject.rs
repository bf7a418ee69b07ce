//! Carries out the fault steps that concern stand-ins.
use super::condition::BackendCondition;
use super::endpoint_list::Status;
use super::TestBed;
use crate::fault_schedule::FaultStep;
use crate::sync::lock;
use quillramp_emulator::scenario::FaultKind;
use std::collections::HashMap;

/// Seconds of a millisecond, the unit of a slow counter's delay.
const MILLISECOND: f64 = 0.001;

impl TestBed {
    /// Carries out a step that concerns stand-ins; steps of instances are carried out by the fleet.
    pub fn inject(&self, step: &FaultStep) {
        let magnitude = if step.begins { step.magnitude } else { 0.0 };
        match step.kind {
            FaultKind::Slow => self.change(step, |c| c.slow = if step.begins { step.magnitude } else { 1.0 }),
            FaultKind::LostResponses => self.change(step, |c| c.swallow = magnitude),
            FaultKind::MalformedResponses => self.change(step, |c| c.malformed = magnitude),
            FaultKind::Errors => self.change(step, |c| c.fail = magnitude),
            FaultKind::Rejections => self.change(step, |c| c.reject = magnitude),
            FaultKind::Crash => self.crash(step),
            FaultKind::Unresponsive => self.vanish(step),
            FaultKind::Drain => self.drain(step),
            FaultKind::DiscoveryDown => self.endpoints.set_down(step.begins),
            _ => self.inject_at_counter(step, magnitude),
        }
    }

    fn inject_at_counter(&self, step: &FaultStep, magnitude: f64) {
        match step.kind {
            FaultKind::CounterDown => lock(&self.counter).down = step.begins,
            FaultKind::CounterUnresponsive => lock(&self.counter).unresponsive = step.begins,
            FaultKind::CounterSlow => lock(&self.counter).delay = MILLISECOND * magnitude,
            FaultKind::CounterLostResponses => lock(&self.counter).unanswered = magnitude,
            FaultKind::CounterRejections => lock(&self.counter).reject = magnitude,
            FaultKind::CounterReset => lock(&self.counts).iter_mut().for_each(HashMap::clear),
            FaultKind::CounterSplit => {
                lock(&self.counter).split = step.begins;
                let mut counts = lock(&self.counts);
                counts[1] = counts[0].clone();
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
            self.list_restarted(step.target);
        }
    }

    /// The machine becomes unresponsive, so its connections stay; or a new process starts.
    fn vanish(&self, step: &FaultStep) {
        self.change_process(step, |c| c.unresponsive = step.begins);
        if !step.begins {
            self.end_connections(step.target);
            self.list_restarted(step.target);
        }
    }

    /// Changes a backend together with its process, which is new when the fault ends.
    fn change_process(&self, step: &FaultStep, change: impl FnOnce(&mut BackendCondition)) {
        let now = self.now();
        self.change(step, |c| {
            c.process += 1;
            change(c);
            c.started = if step.begins { c.started } else { Some(now) };
        });
    }

    /// The backend drains, or a new one with a new name takes its place.
    fn drain(&self, step: &FaultStep) {
        if step.begins {
            self.change(step, |c| c.draining = true);
            let restarted = self.condition(step.target).started.is_some();
            self.endpoints.set_status(step.target, Status::Draining, restarted);
            return;
        }
        let now = self.now();
        self.change(step, |c| {
            c.draining = false;
            c.started = Some(now);
            c.process += 1;
        });
        self.end_connections(step.target);
        self.endpoints.replace(step.target, Status::Serving);
    }

    fn list_restarted(&self, backend: usize) {
        let restarted = self.condition(backend).started.is_some();
        self.endpoints.set_status(backend, Status::Serving, restarted);
    }
}
