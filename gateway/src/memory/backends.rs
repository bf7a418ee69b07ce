//! Deliveries to backends, and the connections that carry them.
use super::event::{Conn, Effect, Why};
use super::kept::*;
use super::reducer::Reducer;
use crate::wire::resp::{figure, Answer, Reply};
use quillramp::facts;
use quillramp::types::*;
use std::collections::HashSet;

impl Reducer {
    pub(super) fn deliver(&mut self, now: f64, inv: Inv, tgt: Tgt) {
        let held = self.held[inv].as_mut().expect("asked about a held invocation");
        let delivery = held.deliveries.len();
        let id = self.places[tgt].idle.pop();
        held.deliveries.push(Sent { tgt, at: now, link: id, took: None });
        if held.ends.is_none() {
            // Whoever is still out when the client's time is up timed out, and the decisions hear of it.
            let until = held.ask.until;
            let ends = self.at(until, Due::GiveUp(inv));
            self.held[inv].as_mut().expect("held").ends = Some(ends);
        }
        if let Some(id) = id {
            let number = self.links.get_mut(&id).expect("idle ones are kept").carry(inv, delivery);
            return self.write(now, (id, number), inv);
        }
        self.room(now);
        if self.short() {
            return self.share(now, inv, delivery, tgt);
        }
        let Some(address) = self.places[tgt].address else {
            return self.ended.push((inv, delivery, Ending::NotConnected, Beside::default()));
        };
        let id = self.new_conn();
        self.held[inv].as_mut().expect("held").deliveries[delivery].link = Some(id);
        let mut link = Link::new(tgt, now);
        link.carry(inv, delivery);
        self.links.insert(id, link);
        self.effects.push(Effect::Connect(Conn::Backend(id), address));
        self.at(now + self.about.dial_timeout, Due::Dial(id));
    }

    /// Descriptors run short: behind another delivery on a connection that is up.
    pub(super) fn share(&mut self, now: f64, inv: Inv, delivery: usize, tgt: Tgt) {
        let most = self.about.per_link;
        let up = self
            .links
            .iter_mut()
            .filter(|(_, l)| l.tgt == tgt && l.up && !l.ending && l.carries.len() < most);
        let Some((&id, link)) = up.min_by_key(|(id, l)| (l.carries.len(), **id)) else {
            return self.ended.push((inv, delivery, Ending::NotConnected, Beside::default()));
        };
        let number = link.carry(inv, delivery);
        self.held[inv].as_mut().expect("held").deliveries[delivery].link = Some(id);
        self.write(now, (id, number), inv);
    }

    /// Writes this numbered delivery of the invocation to its connection.
    fn write(&mut self, now: f64, (connection, delivery): (u64, u64), inv: Inv) {
        let held = self.held[inv].as_ref().expect("held");
        let wait_ms = ((held.ask.until - now) * 1e3).max(1.0) as u64;
        self.effects.push(Effect::Deliver { connection, delivery, call: held.call.clone(), wait_ms });
    }

    pub(super) fn up(&mut self, now: f64, id: u64) {
        let Some(link) = self.links.get_mut(&id) else { return };
        link.up = true;
        let tgt = link.tgt;
        let Some(&Carried { number, delivery: Some((inv, delivery)) }) = link.carries.front() else {
            return self.rest(now, id);
        };
        // It came up late: the invocation may be over by now, or its backend drain.
        let open = self.held[inv].as_ref().is_some_and(|h| !h.closed && now < h.ask.until);
        if open && self.places[tgt].takes() {
            return self.write(now, (id, number), inv);
        }
        link.carries.clear();
        self.end_delivery(inv, delivery, Ending::NotSent, Beside::default());
        self.rest(now, id);
    }

    /// A link with nothing on it waits for the next delivery, or closes where none may come.
    pub(super) fn rest(&mut self, now: f64, id: u64) {
        let Some(link) = self.links.get_mut(&id).filter(|l| l.carries.is_empty()) else { return };
        let tgt = link.tgt;
        link.since = now;
        if link.ending {
            return;
        }
        if self.places[tgt].takes() {
            self.places[tgt].idle.push(id);
        } else {
            self.close_link(id, Why::Delisted);
        }
    }

    /// What came on a link that waits for nothing would be taken for the answer of its next delivery.
    pub(super) fn unasked(&mut self, id: u64) {
        let Some(link) = self.links.get(&id).filter(|l| l.carries.is_empty()) else { return };
        self.places[link.tgt].idle.retain(|i| *i != id);
        self.close_link(id, Why::Surplus);
    }

    pub(super) fn replied(&mut self, now: f64, id: u64, reply: Reply, more: bool) {
        let Some(link) = self.links.get_mut(&id) else { return };
        let Some(front) = link.carries.pop_front() else { return self.unasked(id) };
        if let Some((inv, delivery)) = front.delivery {
            match reply {
                Reply::Value { value, billed, report } => {
                    self.answer(now, inv, Answer::Value(value));
                    self.succeeded(inv, delivery, billed, report);
                }
                Reply::TurnedAway => self.end_delivery(inv, delivery, Ending::TurnedAway, Beside::default()),
                Reply::Errored => self.end_delivery(inv, delivery, Ending::Errored, Beside::default()),
            }
        }
        if more {
            self.unasked(id);
        }
        self.rest(now, id);
    }

    /// With what stood beside its value.
    pub(super) fn succeeded(
        &mut self,
        inv: Inv,
        delivery: usize,
        billed: Option<f64>,
        report: Option<Vec<u8>>,
    ) {
        // Nothing is read where the settings name no values.
        let report = report.and_then(|r| facts::report(&self.about.report, |_, name| figure(&r, name)));
        self.end_delivery(inv, delivery, Ending::Succeeded, Beside { billed, report });
    }

    pub(super) fn end_delivery(&mut self, inv: Inv, delivery: usize, ending: Ending, beside: Beside) {
        if let Some(held) = self.held[inv].as_mut() {
            if held.deliveries[delivery].link.take().is_some() {
                self.ended.push((inv, delivery, ending, beside));
            }
        }
    }

    /// Ends a link that carries nothing any more.
    pub(super) fn close_link(&mut self, id: u64, why: Why) {
        self.close(Conn::Backend(id), why);
        self.links.remove(&id);
    }

    /// These connections have ended, and what came before their ends in the batch is taken first.
    pub(super) fn are_ending(&mut self, connections: &HashSet<Conn>) {
        for conn in connections {
            let Conn::Backend(id) = conn else { continue };
            let Some(link) = self.links.get_mut(id) else { continue };
            link.ending = true;
            self.places[link.tgt].idle.retain(|idle| idle != id);
        }
    }

    /// A link broke or never came up: whatever had not left for it whole has not run. An answer that can't be read is
    /// one all the same: its backend is no worse than one that says it failed.
    pub(super) fn link_ended(&mut self, now: f64, id: u64, unsent: bool, why: Why) {
        let Some(mut link) = self.links.remove(&id) else { return };
        if let Some((inv, delivery)) = link.front() {
            self.broke_off(now, inv, delivery);
        }
        self.places[link.tgt].idle.retain(|i| *i != id);
        let mut unsent = unsent || !link.up;
        while let Some(last) = link.carries.pop_back() {
            let broke = if why == Why::BadFraming { Ending::Errored } else { Ending::Broken };
            let ending = if unsent { Ending::NotConnected } else { broke };
            unsent = !link.up;
            if let Some((inv, delivery)) = last.delivery {
                self.end_delivery(inv, delivery, ending, Beside::default());
            }
        }
    }

    /// It can't be called off to be sent elsewhere: others' deliveries share its connection, which stays open, and a copy
    /// elsewhere would be a second one.
    pub(super) fn stays_out(&self, inv: Inv, delivery: usize) -> bool {
        let held = self.held[inv].as_ref().filter(|h| !h.closed);
        let link = held.and_then(|h| h.deliveries[delivery].link).and_then(|id| self.links.get(&id));
        link.is_some_and(|l| l.carries.iter().any(|c| c.delivery.is_some_and(|d| d != (inv, delivery))))
    }

    /// Takes a delivery back that stands in its connection's buffer with no byte of it written; whether it did, an
    /// event tells.
    pub(super) fn withdraw(&mut self, inv: Inv, delivery: usize) {
        let connection = self.held[inv].as_ref().and_then(|h| h.deliveries[delivery].link);
        let Some((connection, link)) = connection.and_then(|id| self.links.get(&id).map(|l| (id, l))) else {
            return;
        };
        let own = link.carries.iter().find(|c| c.delivery == Some((inv, delivery)));
        if let Some(own) = own.filter(|_| link.up) {
            self.effects.push(Effect::Withdraw { connection, delivery: own.number });
        }
    }

    /// Takes all back that waits in buffers for backends which may get nothing new any more.
    pub(super) fn withdraw_from_drained(&mut self) {
        let drained = self.links.iter().filter(|(_, l)| l.up && !self.places[l.tgt].takes());
        let all = drained.flat_map(|(id, l)| l.carries.iter().map(|c| (*id, c.number)));
        let mut all: Vec<(u64, u64)> = all.collect();
        all.sort_unstable();
        let withdraw = |(connection, delivery)| Effect::Withdraw { connection, delivery };
        self.effects.extend(all.into_iter().map(withdraw));
    }

    /// A delivery was taken back in time: it has never run, and may go elsewhere.
    pub(super) fn withdrawn(&mut self, now: f64, connection: u64, number: u64) {
        let Some(link) = self.links.get_mut(&connection) else { return };
        let Some(position) = link.carries.iter().position(|c| c.number == number) else { return };
        let carried = link.carries.remove(position).expect("just found");
        let abandoned = link.is_abandoned();
        if let Some((inv, delivery)) = carried.delivery {
            self.end_delivery(inv, delivery, Ending::NotSent, Beside::default());
        }
        if abandoned {
            return self.close_link(connection, Why::GaveUp);
        }
        self.rest(now, connection);
    }

    /// Whatever is still out of it has timed out.
    pub(super) fn time_up(&mut self, inv: Inv) {
        let out = self.held[inv].as_ref().map_or(0, |h| h.deliveries.len());
        for i in 0..out {
            self.give_up(inv, i, Ending::TimedOut);
        }
    }

    pub(super) fn give_up(&mut self, inv: Inv, delivery: usize, ending: Ending) {
        let Some(held) = self.held[inv].as_mut() else { return };
        let Some(id) = held.deliveries[delivery].link else { return };
        self.end_delivery(inv, delivery, ending, Beside::default());
        let Some(link) = self.links.get_mut(&id) else { return };
        let own = link.carries.iter_mut().find(|c| c.delivery == Some((inv, delivery)));
        let number = own.map(|own| {
            own.delivery = None;
            own.number
        });
        if link.is_abandoned() {
            return self.close_link(id, Why::GaveUp);
        }
        // Others on it wait for their answers: it leaves no more if nothing of it has; else its answer is dropped in
        // its turn.
        if let Some(delivery) = number.filter(|_| link.up) {
            self.effects.push(Effect::Withdraw { connection: id, delivery });
        }
    }
}
