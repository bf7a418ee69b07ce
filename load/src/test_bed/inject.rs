//! Carries out the fault steps that concern stand-ins.
use super::condition::BackendCondition;
use super::endpoint_list::Status;
use super::TestBed;
use crate::fault_schedule::FaultStep;
use crate::sync::lock;
use quillramp_emulator::script::Kind;
use std::collections::HashMap;

/// Seconds of a millisecond, the unit of a slow counter's delay.
const MILLISECOND: f64 = 0.001;

impl TestBed {
    /// Carries out a step that concerns stand-ins; steps of instances are carried out by the fleet.
    pub fn inject(&self, step: &FaultStep) {
        let magnitude = if step.begins { step.magnitude } else { 0.0 };
        match step.kind {
            Kind::Slow => self.change(step, |c| c.slow = if step.begins { step.magnitude } else { 1.0 }),
            Kind::Swallow => self.change(step, |c| c.swallow = magnitude),
            Kind::Spoil => self.change(step, |c| c.malformed = magnitude),
            Kind::Err => self.change(step, |c| c.fail = magnitude),
            Kind::TurnAway => self.change(step, |c| c.reject = magnitude),
            Kind::Crash => self.crash(step),
            Kind::Vanish => self.vanish(step),
            Kind::Drain => self.drain(step),
            Kind::ListDown => self.endpoints.set_down(step.begins),
            _ => self.inject_at_counter(step, magnitude),
        }
    }

    fn inject_at_counter(&self, step: &FaultStep, magnitude: f64) {
        match step.kind {
            Kind::CounterDown => lock(&self.counter).down = step.begins,
            Kind::CounterSilent => lock(&self.counter).unresponsive = step.begins,
            Kind::CounterSlow => lock(&self.counter).delay = MILLISECOND * magnitude,
            Kind::CounterDeaf => lock(&self.counter).unanswered = magnitude,
            Kind::CounterTurnsAway => lock(&self.counter).reject = magnitude,
            Kind::CounterLost => lock(&self.counts).iter_mut().for_each(HashMap::clear),
            Kind::CounterSplit => {
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
