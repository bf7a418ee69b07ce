//! Drives the reducer: takes a batch of events to it, carries out what it asks for, and writes once a batch.
use super::clock::Clock;
use super::link::{Common, Link};
use super::peers::Peers;
use crate::life::{handover::Keeper, logger};
use crate::memory::event::{Conn, Effect, End, Event, Why};
use crate::memory::reducer::Reducer;
use crate::wire::resp::Answer;
use atomic_refcell::AtomicRefCell;
use std::collections::HashMap;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;

/// The connections that are open.
#[derive(Default)]
pub struct Links(AtomicRefCell<HashMap<Conn, Arc<Link>>>);

impl Links {
    pub fn insert(&self, conn: Conn, link: Arc<Link>) {
        self.0.borrow_mut().insert(conn, link);
    }
    fn remove(&self, conn: Conn) -> Option<Arc<Link>> {
        self.0.borrow_mut().remove(&conn)
    }
}

/// While leaving: how often it is looked whether all has been written.
const LOOK: f64 = 0.005;
/// A client whose commands are dropped is read from again after so many seconds. It may have left behind what its machine
/// and ours hold for it, some 10 MiB (the largest `tcp_wmem` and `tcp_rmem`): all of it is to be read well within 0.1 s.
const READ_PAUSE: f64 = 0.002;

#[derive(Default)]
struct Batch {
    written: Vec<Conn>,
    /// Clients' connections that we ended and that still have something to send.
    closing: Vec<Arc<Link>>,
    /// It is to end then, once all is written.
    exits: Option<f64>,
}

pub struct Driver {
    pub clock: Clock,
    pub common: Arc<Common>,
    pub links: Arc<Links>,
    pub peers: Option<Arc<Peers>>,
    pub stop_accepting: Arc<AtomicBool>,
    pub keeper: Option<Keeper>,
}

impl Driver {
    pub fn run(self, mut reducer: Reducer) {
        let mut events = Vec::new();
        let mut armed = f64::INFINITY;
        let mut batch = Batch::default();
        loop {
            let next = self.step(&mut reducer, &mut events, &mut batch);
            batch.closing.retain(|link| !link.flushed());
            let now = self.clock.now();
            // Who was taken in just before is told of in the next batch, and then it is not the end yet.
            batch.exits = batch.exits.filter(|_| reducer.is_done());
            let next = match batch.exits {
                Some(at) if now >= at && batch.closing.is_empty() => exit(),
                Some(_) => Some(now + LOOK),
                None => next,
            };
            let resume = self.common.has_paused().then_some(now + READ_PAUSE);
            let next = next.into_iter().chain(resume).reduce(f64::min);
            if let Some(next) = next.filter(|n| *n < armed || armed <= now) {
                armed = next;
                self.common.inbox.ring_in(next - now);
            }
            if self.common.inbox.wait(&mut events) {
                armed = f64::INFINITY;
                self.common.resume_paused();
            }
        }
    }

    fn step(&self, reducer: &mut Reducer, events: &mut Vec<Event>, batch: &mut Batch) -> Option<f64> {
        let now = self.clock.now();
        reducer.stats.written += self.common.written.swap(0, Ordering::Relaxed) as u64;
        for event in events.iter() {
            if let Event::Ended { conn, .. } = event {
                self.links.remove(*conn);
            }
        }
        reducer.batch(now, events);
        let (next, effects) = reducer.settle(now);
        for effect in effects {
            self.carry_out(effect, batch);
        }
        batch.written.sort_unstable();
        batch.written.dedup();
        for conn in batch.written.drain(..) {
            if let Some(link) = self.links.0.borrow().get(&conn) {
                link.flush();
            }
        }
        next
    }

    fn carry_out(&self, effect: Effect, batch: &mut Batch) {
        let mut write = |conn: Conn, encode: &dyn Fn(&Link)| {
            if let Some(link) = self.links.0.borrow().get(&conn) {
                encode(link);
                batch.written.push(conn);
            }
        };
        match effect {
            Effect::Answer(id, answer) => write(Conn::Client(id), &|link| {
                answer.encode(link.out.borrow_mut().buffer());
                link.answered();
            }),
            Effect::TurnAway(id, why) => {
                write(Conn::Client(id), &|link| {
                    Answer::Error(why.into()).encode(link.out.borrow_mut().buffer());
                });
            }
            Effect::Deliver { connection, delivery, call, wait_ms } => {
                write(Conn::Backend(connection), &|link| {
                    link.out.borrow_mut().append(delivery, |buffer| call.encode(wait_ms, buffer));
                })
            }
            Effect::Withdraw { connection, delivery } => {
                let links = self.links.0.borrow();
                let link = links.get(&Conn::Backend(connection));
                if link.is_some_and(|l| l.out.borrow_mut().withdraw(delivery)) {
                    self.common.inbox.push(Event::Withdrawn { connection, delivery });
                }
            }
            Effect::Respond(id, response) => write(Conn::Operator(id), &|link| {
                response.encode(link.out.borrow_mut().buffer());
                link.mute();
            }),
            Effect::Keep(id, change) => {
                if let Some(keeper) = &self.keeper {
                    keeper.write(id, change);
                }
            }
            Effect::Holds(most) => {
                if let Some(keeper) = &self.keeper {
                    keeper.holds(most);
                }
            }
            Effect::Pass(id, to) => {
                let links = self.links.0.borrow();
                if let Some(from) = links.get(&Conn::Backend(id)) {
                    from.pass(to.and_then(|to| links.get(&Conn::Client(to)).cloned()));
                    batch.written.extend(to.map(Conn::Client));
                }
            }
            Effect::EndIfStalled { connection, silent_for, still_for } => {
                let conn = Conn::Backend(connection);
                let stalled = |link: &Arc<Link>| {
                    let still = link.still_for();
                    still >= still_for || still >= silent_for && link.is_silent()
                };
                if self.links.0.borrow().get(&conn).is_some_and(stalled) {
                    self.end(conn, batch);
                    self.common.inbox.push(Event::Ended { conn, why: Why::Stalled, unsent: false });
                }
            }
            Effect::Mute(id) => {
                if let Some(link) = self.links.0.borrow().get(&Conn::Client(id)) {
                    link.mute();
                }
            }
            Effect::Part(id, why) => {
                // What came meanwhile is read first, answered, and then it is looked again.
                let quiet = self.links.0.borrow().get(&Conn::Client(id)).is_some_and(|l| !l.unread());
                if quiet {
                    self.end(Conn::Client(id), batch);
                    self.common.inbox.push(Event::Parted(id, why));
                }
            }
            Effect::Request(conn, request) => {
                write(conn, &|link| request.encode(link.to, link.out.borrow_mut().buffer()))
            }
            Effect::Connect(conn, to) => match Link::connect(conn, to, &self.common) {
                Ok(link) => self.links.insert(conn, link),
                Err(e) => {
                    tracing::warn!("connect to {to}: {e}");
                    self.common.inbox.push(Event::Ended { conn, why: Why::Refused, unsent: true });
                }
            },
            Effect::Close(conn) => self.end(conn, batch),
            Effect::Datagram(to, body) => {
                if let Some(peers) = &self.peers {
                    peers.send(to, &body);
                }
            }
            Effect::Log(line) => tracing::info!("{line}"),
            Effect::LogEnd(end) => {
                let End { kind, id, ref name, why } = end;
                tracing::info!(connection = kind, id, name, why = why.code(), "{end}");
            }
            Effect::StopAccepting => {
                self.stop_accepting.store(true, Ordering::Relaxed);
                self.common.wake_acceptors();
            }
            Effect::Exit => batch.exits = Some(self.clock.now() + 2.0 * LOOK),
            Effect::ExitNow => exit(),
        }
    }

    fn end(&self, conn: Conn, batch: &mut Batch) {
        if let Some(link) = self.links.remove(conn) {
            link.close();
            if matches!(conn, Conn::Client(_)) && !link.flushed() {
                batch.closing.push(link);
            }
        }
    }
}

fn exit() -> ! {
    tracing::info!("stopped");
    logger::flush();
    std::process::exit(0)
}
