//! Drives the reducer: takes a batch of events to it, carries out what it asks for, and writes once a batch.
use super::clock::Clock;
use super::link::{Common, Link};
use super::peers::Peers;
use crate::process::{handover::Keeper, logger};
use crate::state::event::{CloseReason, ClosedConnection, ConnectionId, Effect, Event};
use crate::state::reducer::Reducer;
use crate::wire::resp::ClientReply;
use atomic_refcell::AtomicRefCell;
use std::collections::HashMap;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;

/// The connections that are open.
#[derive(Default)]
pub struct Links(AtomicRefCell<HashMap<ConnectionId, Arc<Link>>>);

impl Links {
    pub fn insert(&self, conn: ConnectionId, link: Arc<Link>) {
        self.0.borrow_mut().insert(conn, link);
    }
    fn remove(&self, conn: ConnectionId) -> Option<Arc<Link>> {
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
    written: Vec<ConnectionId>,
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
            if let Event::ConnectionEnded { connection: conn, .. } = event {
                self.links.remove(*conn);
            }
        }
        reducer.handle_batch(now, events);
        let (next, effects) = reducer.poll(now);
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
        let mut write = |conn: ConnectionId, encode: &dyn Fn(&Link)| {
            if let Some(link) = self.links.0.borrow().get(&conn) {
                encode(link);
                batch.written.push(conn);
            }
        };
        match effect {
            Effect::Reply(id, answer) => write(ConnectionId::Client(id), &|link| {
                answer.encode(link.out.borrow_mut().buffer());
                link.answered();
            }),
            Effect::Reject(id, why) => {
                write(ConnectionId::Client(id), &|link| {
                    ClientReply::Error(why.into()).encode(link.out.borrow_mut().buffer());
                });
            }
            Effect::SendAttempt { connection, delivery, call, timeout_ms: wait_ms } => {
                write(ConnectionId::Backend(connection), &|link| {
                    link.out.borrow_mut().append(delivery, |buffer| call.encode(wait_ms, buffer));
                })
            }
            Effect::Withdraw { connection, delivery } => {
                let links = self.links.0.borrow();
                let link = links.get(&ConnectionId::Backend(connection));
                if link.is_some_and(|l| l.out.borrow_mut().withdraw(delivery)) {
                    self.common.inbox.push(Event::Withdrawn { connection, attempt: delivery });
                }
            }
            Effect::AdminRespond(id, response) => write(ConnectionId::Admin(id), &|link| {
                response.encode(link.out.borrow_mut().buffer());
                link.mute();
            }),
            Effect::SaveChange(id, change) => {
                if let Some(keeper) = &self.keeper {
                    keeper.write(id, change);
                }
            }
            Effect::AnnounceDescriptorLimit(most) => {
                if let Some(keeper) = &self.keeper {
                    keeper.holds(most);
                }
            }
            Effect::Stream(id, to) => {
                let links = self.links.0.borrow();
                if let Some(from) = links.get(&ConnectionId::Backend(id)) {
                    from.pass(to.and_then(|to| links.get(&ConnectionId::Client(to)).cloned()));
                    batch.written.extend(to.map(ConnectionId::Client));
                }
            }
            Effect::CloseIfStalled { connection, unresponsive_for: silent_for, stalled_for: still_for } => {
                let conn = ConnectionId::Backend(connection);
                let stalled = |link: &Arc<Link>| {
                    let still = link.still_for();
                    still >= still_for || still >= silent_for && link.is_silent()
                };
                if self.links.0.borrow().get(&conn).is_some_and(stalled) {
                    self.end(conn, batch);
                    self.common.inbox.push(Event::ConnectionEnded {
                        connection: conn,
                        reason: CloseReason::StreamStalled,
                        unsent: false,
                    });
                }
            }
            Effect::StopReading(id) => {
                if let Some(link) = self.links.0.borrow().get(&ConnectionId::Client(id)) {
                    link.mute();
                }
            }
            Effect::CloseIfIdle(id, why) => {
                // What came meanwhile is read first, answered, and then it is looked again.
                let quiet = self.links.0.borrow().get(&ConnectionId::Client(id)).is_some_and(|l| !l.unread());
                if quiet {
                    self.end(ConnectionId::Client(id), batch);
                    self.common.inbox.push(Event::IdleClientClosed(id, why));
                }
            }
            Effect::HttpRequest(conn, request) => {
                write(conn, &|link| request.encode(link.to, link.out.borrow_mut().buffer()))
            }
            Effect::Connect(conn, to) => match Link::connect(conn, to, &self.common) {
                Ok(link) => self.links.insert(conn, link),
                Err(e) => {
                    tracing::warn!("connect to {to}: {e}");
                    self.common.inbox.push(Event::ConnectionEnded {
                        connection: conn,
                        reason: CloseReason::Refused,
                        unsent: true,
                    });
                }
            },
            Effect::Close(conn) => self.end(conn, batch),
            Effect::SendDatagram(to, body) => {
                if let Some(peers) = &self.peers {
                    peers.send(to, &body);
                }
            }
            Effect::Log(line) => tracing::info!("{line}"),
            Effect::LogClosed(end) => {
                let ClosedConnection { kind, id, ref name, reason: why } = end;
                tracing::info!(connection = kind, id, name, why = why.code(), "{end}");
            }
            Effect::StopAccepting => {
                self.stop_accepting.store(true, Ordering::Relaxed);
                self.common.wake_acceptors();
            }
            Effect::Exit => batch.exits = Some(self.clock.now() + 2.0 * LOOK),
            Effect::ExitImmediately => exit(),
        }
    }

    fn end(&self, conn: ConnectionId, batch: &mut Batch) {
        if let Some(link) = self.links.remove(conn) {
            link.close();
            if matches!(conn, ConnectionId::Client(_)) && !link.flushed() {
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
