//! What all parts of a simulated world share: clock, random draws, links, the checker, the trace.
use crate::checker::Checker;
use crate::event_queue::EventQueue;
use crate::network::{Link, LinkId, Partition};
use crate::scenario::World;
use crate::scheduled_event::ScheduledEvent;
use crate::trace::Trace;
use rand::Rng;
use rand_chacha::ChaCha8Rng;
use std::collections::BTreeMap;

/// The shared state of one run. Times are seconds of the virtual clock.
pub struct Context {
    /// The time.
    pub now: f64,
    /// What is to happen.
    pub events: EventQueue<ScheduledEvent>,
    /// The source of all random draws of a run: their order is part of its result.
    pub rng: ChaCha8Rng,
    /// Checks the invariants.
    pub checker: Checker,
    /// What happened.
    pub trace: Trace,
    /// The deployment.
    pub world: World,
    /// The links that at least one end has open.
    pub links: BTreeMap<LinkId, Link>,
    pub(crate) last_link: LinkId,
    /// Connections that processes asked for to backends.
    pub backend_connections: u64,
    /// Zones that can't be reached.
    pub partitions: Vec<Partition>,
    /// How many times longer than usual everything takes on the network.
    pub delay_factor: f64,
    /// The fraction of datagrams between gateway instances that is lost.
    pub datagram_loss: f64,
    /// Each backend's zone, by the backend's index.
    pub backend_zones: Vec<usize>,
}

impl Context {
    /// A world in which nothing has happened before `now`.
    pub fn new(rng: ChaCha8Rng, checker: Checker, world: World, now: f64) -> Context {
        let backend_zones = (0..world.backends).map(|backend| backend % world.zones).collect();
        Context {
            now,
            events: EventQueue::default(),
            rng,
            checker,
            trace: Trace::default(),
            world,
            links: BTreeMap::new(),
            last_link: 0,
            backend_connections: 0,
            partitions: vec![],
            delay_factor: 1.0,
            datagram_loss: 0.0,
            backend_zones,
        }
    }

    /// True with this probability. Nothing is drawn where it is 0.
    pub fn draw_bool(&mut self, probability: f64) -> bool {
        probability > 0.0 && self.rng.gen_bool(probability.min(1.0))
    }

    /// Schedules an event in so many seconds.
    pub fn schedule_in(&mut self, seconds: f64, event: ScheduledEvent) {
        self.events.schedule(self.now + seconds, event);
    }
}
