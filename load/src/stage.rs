//! What the stand-ins of one play share: the time, each backend's condition, the counter's, the list, and what ran. Faults change it.
use crate::faults::{self, Step};
use quillramp_emulator::scenario::{FaultKind, World};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde::{Deserialize, Serialize};
use serde_json::{json, Value};
use std::collections::HashMap;
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Seconds of one column of the charts over time.
pub const COLUMN: f64 = 0.25;

pub fn held<T>(lock: &Mutex<T>) -> MutexGuard<'_, T> {
    lock.lock().unwrap_or_else(|e| e.into_inner())
}

/// A backend at one time.
#[derive(Clone, Debug)]
pub struct Condition {
    /// Its process is gone: connections are refused.
    pub down: bool,
    /// It reads nothing and says nothing.
    pub silent: bool,
    /// Times its work.
    pub slow: f64,
    /// Shares of invocations: done and not answered, answered with what can't be read, failed, turned away.
    pub swallow: f64,
    pub spoil: f64,
    pub err: f64,
    pub turn_away: f64,
    pub draining: bool,
    /// When it last started; none if long past.
    pub started: Option<f64>,
    /// Counts its processes; a connection of an earlier one is over.
    pub process: u64,
}

/// The counter at one time.
#[derive(Clone, Debug, Default)]
pub struct CounterIs {
    pub down: bool,
    pub silent: bool,
    /// Seconds to an answer.
    pub slow: f64,
    /// Shares of calls: added and not answered, turned away.
    pub deaf: f64,
    pub turn_away: f64,
    /// Every other front door meets counts of its own.
    pub split: bool,
}

/// What happens to one invocation at a backend.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Fate {
    Serve(Duration),
    Swallow(Duration),
    Spoil(Duration),
    Err(Duration),
    TurnAway,
}

/// What ran at all backends together.
#[derive(Default)]
pub struct Ran {
    /// How often an invocation's effect was there, by its id.
    times: HashMap<u64, u32>,
    /// Of those that may not be repeated: more than once.
    pub twice: u64,
    pub deliveries: u64,
    pub connections: u64,
    pub by_backend: Vec<u64>,
    /// Units by backend and column of time.
    pub columns: Vec<Vec<f64>>,
    /// When units of a customer came first, by plan.
    pub units: HashMap<(u64, String), Vec<(f64, f64)>>,
}

/// A row of what one backend did in one column of time.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Load {
    pub variant: String,
    pub repetition: usize,
    pub at: f64,
    pub backend: usize,
    pub units: f64,
}

struct Entry {
    name: String,
    /// The stand-in that is there.
    backend: usize,
    at: SocketAddr,
    zone: String,
    group: usize,
    status: &'static str,
    since_ms: u64,
    changed: u64,
}

#[derive(Default)]
struct Listing {
    index: u64,
    entries: Vec<Entry>,
    names: usize,
    down: bool,
}

pub struct Stage {
    pub world: World,
    start: Instant,
    conditions: Vec<Mutex<Condition>>,
    rngs: Vec<Mutex<ChaCha8Rng>>,
    /// Connections that are open at each backend, to end them with its process.
    open: Vec<Mutex<Vec<TcpStream>>>,
    pub counter: Mutex<CounterIs>,
    /// Two sets of counts; the second is in use while they are split.
    pub counts: Mutex<[HashMap<String, f64>; 2]>,
    pub calls: Mutex<u64>,
    listing: Mutex<Listing>,
    news: Condvar,
    /// The play is over: whoever waits for something goes.
    over: AtomicBool,
    pub ran: Mutex<Ran>,
}

impl Stage {
    pub fn new(world: &World, seed: u64, backends: &[SocketAddr]) -> Arc<Stage> {
        let fresh = Condition {
            down: false,
            silent: false,
            slow: 1.0,
            swallow: 0.0,
            spoil: 0.0,
            err: 0.0,
            turn_away: 0.0,
            draining: false,
            started: None,
            process: 0,
        };
        let number = backends.len();
        let entry = |(b, at): (usize, &SocketAddr)| Entry {
            name: format!("s{b}"),
            backend: b,
            at: *at,
            zone: format!("z{}", b % world.zones.max(1)),
            group: b % world.cells.max(1),
            status: "SERVING",
            since_ms: 0,
            changed: 1,
        };
        let entries = backends.iter().enumerate().map(entry).collect();
        Arc::new(Stage {
            world: world.clone(),
            start: Instant::now(),
            conditions: (0..number).map(|_| Mutex::new(fresh.clone())).collect(),
            rngs: (0..=number)
                .map(|b| Mutex::new(ChaCha8Rng::seed_from_u64(seed ^ (b as u64 + 1) << 32)))
                .collect(),
            open: (0..number).map(|_| Mutex::default()).collect(),
            counter: Mutex::default(),
            counts: Mutex::default(),
            calls: Mutex::default(),
            listing: Mutex::new(Listing { index: 1, entries, names: number, down: false }),
            news: Condvar::new(),
            over: AtomicBool::new(false),
            ran: Mutex::new(Ran {
                by_backend: vec![0; number],
                columns: vec![vec![]; number],
                ..Ran::default()
            }),
        })
    }

    pub fn over(&self) -> bool {
        self.over.load(Ordering::Relaxed)
    }

    /// Ends all that the stand-ins still do.
    pub fn end(&self) {
        self.over.store(true, Ordering::Relaxed);
        (0..self.conditions.len()).for_each(|b| {
            held(&self.conditions[b]).down = true;
            self.end_connections(b);
        });
        self.relist(|l| l.down = true);
    }

    pub fn now(&self) -> f64 {
        self.start.elapsed().as_secs_f64()
    }

    pub fn condition(&self, backend: usize) -> Condition {
        held(&self.conditions[backend]).clone()
    }

    fn chance(&self, whose: usize) -> f64 {
        held(&self.rngs[whose]).gen_range(0.0..1.0)
    }

    /// What comes of an invocation that a backend has just begun.
    pub fn fate(&self, backend: usize, units: f64) -> Fate {
        let c = self.condition(backend);
        let age = c.started.map(|s| self.now() - s);
        let takes = units * self.world.service_time * c.slow / faults::warmth(&self.world, age);
        let work = Duration::from_secs_f64(takes.min(60.0));
        let drawn = self.chance(backend);
        let mut upto = 0.0;
        let fates = [
            (c.turn_away, Fate::TurnAway),
            (c.err, Fate::Err(work)),
            (c.spoil, Fate::Spoil(work)),
            (c.swallow, Fate::Swallow(work)),
        ];
        for (share, fate) in fates {
            upto += share;
            if drawn < upto {
                return fate;
            }
        }
        Fate::Serve(work)
    }

    /// Whether a share of the counter's calls strikes this one.
    pub fn strikes(&self, share: f64) -> bool {
        share > 0.0 && self.chance(self.conditions.len()) < share
    }

    /// An invocation has its effect at a backend. Its units count when it first does.
    pub fn runs(&self, backend: usize, (id, customer, plan): (u64, u64, &str), units: f64, once: bool) {
        let at = self.now();
        let mut ran = held(&self.ran);
        ran.deliveries += 1;
        ran.by_backend[backend] += 1;
        let column = (at / COLUMN) as usize;
        let columns = &mut ran.columns[backend];
        if columns.len() <= column {
            columns.resize(column + 1, 0.0);
        }
        columns[column] += units;
        let times = ran.times.entry(id).or_default();
        *times += 1;
        let times = *times;
        ran.twice += u64::from(once && times > 1);
        if times == 1 {
            ran.units.entry((customer, plan.to_owned())).or_default().push((at, units));
        }
    }

    pub fn connects(&self, backend: usize, stream: &TcpStream) {
        held(&self.ran).connections += 1;
        let mut open = held(&self.open[backend]);
        open.retain(|s| s.take_error().is_ok_and(|e| e.is_none()) && s.peer_addr().is_ok());
        open.extend(stream.try_clone());
    }

    fn end_connections(&self, backend: usize) {
        for stream in held(&self.open[backend]).drain(..) {
            let _ = stream.shutdown(Shutdown::Both); // it may have ended
        }
    }

    // ======== the list

    /// All of it; none while the list service is down.
    pub fn whole_list(&self) -> Option<Value> {
        let l = held(&self.listing);
        let all: Vec<Value> = l.entries.iter().filter(|e| e.status != "DELETED").map(written).collect();
        (!l.down).then(|| json!({"index": l.index, "snapshot": true, "endpoints": all}))
    }

    /// What has changed since then, or nothing once the time is over; none while the list service is down.
    pub fn watched(&self, since: u64, wait: Duration) -> Option<Value> {
        let until = Instant::now() + wait.min(Duration::from_secs(60));
        let mut l = held(&self.listing);
        loop {
            if l.down {
                return None;
            }
            let left = until.saturating_duration_since(Instant::now());
            if l.index > since || left.is_zero() {
                let new: Vec<Value> = l.entries.iter().filter(|e| e.changed > since).map(written).collect();
                return Some(json!({"index": l.index, "snapshot": false, "endpoints": new}));
            }
            l = self.news.wait_timeout(l, left).unwrap_or_else(|e| e.into_inner()).0;
        }
    }

    fn relist(&self, change: impl FnOnce(&mut Listing)) {
        let mut l = held(&self.listing);
        l.index += 1;
        change(&mut l);
        drop(l);
        self.news.notify_all();
    }

    /// The newest process behind a backend's address is now so; a new name is a new backend there.
    fn lists(&self, backend: usize, status: &'static str, anew: bool) {
        let since_ms = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis() as u64;
        let condition = self.condition(backend);
        self.relist(|l| {
            let index = l.index;
            let at = l.entries.iter().position(|e| e.backend == backend && e.status != "DELETED");
            let Some(at) = at else { return };
            if anew {
                let name = format!("s{}", l.names);
                l.names += 1;
                let old = &mut l.entries[at];
                (old.status, old.changed) = ("DELETED", index);
                let entry = Entry {
                    name,
                    backend,
                    at: old.at,
                    zone: old.zone.clone(),
                    group: old.group,
                    status,
                    since_ms,
                    changed: index,
                };
                l.entries.push(entry);
            } else {
                let entry = &mut l.entries[at];
                (entry.status, entry.changed) = (status, index);
                if condition.started.is_some() {
                    entry.since_ms = since_ms;
                }
            }
        });
    }

    // ======== faults

    /// Carries out a step that is about stand-ins; those about front doors are the fleet's.
    pub fn strike(&self, step: &Step) {
        let now = self.now();
        let by = if step.begins { step.by } else { 0.0 };
        let backend = |change: &dyn Fn(&mut Condition)| change(&mut held(&self.conditions[step.whom]));
        match step.kind {
            FaultKind::Slow => backend(&|c| c.slow = if step.begins { step.by } else { 1.0 }),
            FaultKind::LostResponses => backend(&|c| c.swallow = by),
            FaultKind::MalformedResponses => backend(&|c| c.spoil = by),
            FaultKind::Errors => backend(&|c| c.err = by),
            FaultKind::Rejections => backend(&|c| c.turn_away = by),
            FaultKind::Crash | FaultKind::Unresponsive => {
                let silent = step.kind == FaultKind::Unresponsive;
                backend(&|c| {
                    c.process += 1;
                    if silent {
                        c.silent = step.begins;
                    } else {
                        c.down = step.begins;
                    }
                    c.started = if step.begins { c.started } else { Some(now) };
                });
                if !(silent && step.begins) {
                    self.end_connections(step.whom);
                }
                if !step.begins {
                    self.lists(step.whom, "SERVING", false);
                }
            }
            FaultKind::Drain if step.begins => {
                backend(&|c| c.draining = true);
                self.lists(step.whom, "DRAINING", false);
            }
            FaultKind::Drain => {
                backend(&|c| (c.draining, c.started, c.process) = (false, Some(now), c.process + 1));
                self.end_connections(step.whom);
                self.lists(step.whom, "SERVING", true);
            }
            FaultKind::CounterDown => held(&self.counter).down = step.begins,
            FaultKind::CounterUnresponsive => held(&self.counter).silent = step.begins,
            FaultKind::CounterSlow => held(&self.counter).slow = 0.001 * by,
            FaultKind::CounterLostResponses => held(&self.counter).deaf = by,
            FaultKind::CounterRejections => held(&self.counter).turn_away = by,
            FaultKind::CounterReset => held(&self.counts).iter_mut().for_each(HashMap::clear),
            FaultKind::CounterSplit => {
                held(&self.counter).split = step.begins;
                let mut counts = held(&self.counts);
                counts[1] = counts[0].clone();
            }
            FaultKind::DiscoveryDown => {
                self.relist(|l| l.down = step.begins);
            }
            _ => {}
        }
    }

    /// What each backend did over time.
    pub fn loads(&self, variant: &str, repetition: usize) -> Vec<Load> {
        let ran = held(&self.ran);
        let row = |backend: usize, column: usize, units: f64| Load {
            variant: variant.to_owned(),
            repetition,
            at: column as f64 * COLUMN,
            backend,
            units,
        };
        let of = |(b, columns): (usize, &Vec<f64>)| {
            columns.iter().enumerate().map(|(i, units)| row(b, i, *units)).collect::<Vec<_>>()
        };
        ran.columns.iter().enumerate().flat_map(of).collect()
    }
}

fn written(e: &Entry) -> Value {
    json!({"name": e.name, "address": e.at, "zone": e.zone, "type": "m", "group": e.group, "status": e.status,
           "weight": 1.0, "since_ms": e.since_ms})
}
