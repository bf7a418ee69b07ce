//! Admission: the gate is told what happens to clients' connections, and what it says is carried out.
use super::event::{Conn, Declares, Effect, Why};
use super::kept::Client;
use super::reducer::Reducer;
use crate::wire::resp::Answer;
use quillramp::types::Inv;
use quillramp_admission::{AdmissionController, CommandVerdict, ConnectionVerdict, Limits, OpenConnection};
use std::net::IpAddr;

impl Reducer {
    /// What an operator's file says holds from now on. Invocations that were taken keep what they began under.
    pub fn declares(&mut self, now: f64, declares: Declares) {
        let Declares { admission, routes, presence, broker, identity } = declares;
        self.identifies(identity);
        self.brokers(now, broker);
        self.presence(now, presence);
        if routes != self.routes {
            self.effects.push(Effect::Log(format!("limits declared: {routes}")));
            self.routes = routes;
        }
        self.admits(now, admission);
    }

    /// Limits from now on, or none. What is open above them stays.
    pub fn admits(&mut self, now: f64, limits: Option<Limits>) {
        let says = match (&self.gate, &limits) {
            (None, None) => return,
            (_, None) => "admission: no limits from now on".into(),
            (_, Some(l)) => {
                format!("admission: {} connections, {} kept for known addresses", l.connections, l.reserve)
            }
        };
        self.effects.push(Effect::Log(says));
        match (&mut self.gate, limits) {
            (Some(gate), Some(limits)) => gate.set_limits(now, limits),
            (_, None) => self.gate = None,
            (None, Some(limits)) => {
                // Who is here already is held too.
                let mut gate = AdmissionController::new(limits);
                for (id, client) in &self.clients {
                    let Some(from) = client.from else { continue };
                    let of = |inv: Inv| self.held[inv].as_ref().map(|h| h.call.customer);
                    let unanswered = client.owed.iter().filter_map(|(inv, _)| inv.and_then(of)).collect();
                    let open = OpenConnection { id: *id, from, has_spoken: client.said, unanswered };
                    gate.add_open(now, open);
                }
                self.gate = Some(gate);
            }
        }
    }

    /// Whether a connection that has just come is held. One that is not hears why, and ends.
    pub(super) fn admitted(&mut self, now: f64, id: u64, from: IpAddr) -> bool {
        let gate = self.gate.as_mut();
        let verdict = gate.map_or(ConnectionVerdict::Accept, |gate| gate.admit_connection(now, id, from));
        // What came with it in this batch was read before it was held.
        let read = self.speak.get(&id).copied().unwrap_or(0);
        self.gate.iter_mut().for_each(|gate| gate.commands_read(id, read));
        match verdict {
            ConnectionVerdict::Accept => true,
            ConnectionVerdict::Replace(other) => {
                self.let_go(other, Why::Crowded);
                true
            }
            ConnectionVerdict::Reject(reason) => {
                self.turned_away = true;
                self.effects.push(Effect::TurnAway(id, reason.message()));
                self.close(Conn::Client(id), Why::TurnedAway);
                false
            }
        }
    }

    /// What a client hears in place of an answer, where its command may not be taken now.
    pub(super) fn may_ask(&mut self, now: f64, id: u64, customer: u64) -> Option<Answer> {
        match self.gate.as_mut()?.admit_command(now, id, customer) {
            CommandVerdict::Accept => None,
            CommandVerdict::RetryAfter(seconds) => {
                let retry_after_ms = self.about.advises.then(|| (seconds * 1e3).ceil() as u64);
                Some(Answer::Busy { retry_after_ms })
            }
        }
    }

    /// Connections that say nothing for longer than they may.
    pub(super) fn overdue(&self, now: f64) -> Vec<u64> {
        let overdue = self.gate.as_ref().map_or(vec![], |gate| gate.overdue(now));
        let free = |id: &u64| self.clients.get(id).is_some_and(|c| c.owed.is_empty() && !c.said);
        overdue.into_iter().filter(free).collect()
    }

    /// A client's connection is over.
    pub(super) fn no_client(&mut self, id: u64) -> Option<Client> {
        if let Some(gate) = &mut self.gate {
            gate.connection_closed(id);
        }
        self.clients.remove(&id)
    }
}
