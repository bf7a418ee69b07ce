//! The state that all parts of a simulation share: clock, event queue, random number generator, links, checker and trace.
use crate::checker::Checker;
use crate::event_queue::EventQueue;
use crate::network::{Link, LinkId, Partition};
use crate::scenario::World;
use crate::scheduled_event::ScheduledEvent;
use crate::trace::Trace;
use rand::Rng;
use rand_chacha::ChaCha8Rng;
use std::collections::BTreeMap;

/// The shared state of one run. Times are in seconds of the virtual clock.
pub struct Context {
    /// The current time.
    pub now: f64,
    /// Events that have not happened yet.
    pub events: EventQueue<ScheduledEvent>,
    /// Generator of all random numbers of a run. The result of the run depends on the order of the draws.
    pub rng: ChaCha8Rng,
    /// The checker of the invariants.
    pub checker: Checker,
    /// The trace of the run.
    pub trace: Trace,
    /// The simulated deployment.
    pub world: World,
    /// Links that are open at one or both sides.
    pub links: BTreeMap<LinkId, Link>,
    /// Id of the newest link.
    pub(crate) last_link: LinkId,
    /// Number of connections that gateway processes opened to backends, including refused ones.
    pub backend_connections: u64,
    /// Current partitions.
    pub partitions: Vec<Partition>,
    /// Factor on network delays; 1 without a fault.
    pub delay_factor: f64,
    /// Fraction of the datagrams between gateway instances that is lost.
    pub datagram_loss: f64,
    /// Zone of each backend, by the backend's index.
    pub backend_zones: Vec<usize>,
}

impl Context {
    /// Creates the state at the start of a run, which is at time `now`.
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

    /// Draws a boolean that is true with this probability. A probability of 0 draws no random number.
    pub fn draw_bool(&mut self, probability: f64) -> bool {
        probability > 0.0 && self.rng.gen_bool(probability.min(1.0))
    }

    /// Schedules an event after a delay in seconds.
    pub fn schedule_in(&mut self, seconds: f64, event: ScheduledEvent) {
        self.events.schedule(self.now + seconds, event);
    }
}
