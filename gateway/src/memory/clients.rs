//! Clients: their commands in, their answers out in the same order.
use super::event::{Conn, Effect, Why};
use super::kept::*;
use super::reducer::Reducer;
use crate::wire::resp::{Answer, Call, Command};
use quillramp::types::*;
use std::sync::Arc;

impl Reducer {
    pub(super) fn command(&mut self, now: f64, id: u64, command: Command) {
        let Some(client) = self.clients.get_mut(&id) else { return };
        (client.used, client.said) = (now, true);
        let no = client.first + client.owed.len() as u64;
        let answer = match command {
            Command::Ping => Answer::Pong,
            Command::Wrong(why) => Answer::Error(why),
            Command::Broken(why) => {
                client.broken = true;
                Answer::Error(format!("protocol: {why}"))
            }
            Command::Call(call) => match self.ask(now, &call) {
                Ok(ask) => return self.take(now, (id, no), *call, ask),
                Err(why) => Answer::Error(why),
            },
        };
        self.clients.get_mut(&id).expect("checked").owed.push_back((None, Some(answer)));
        self.answer_in_order(id);
    }

    pub(super) fn ask(&mut self, now: f64, call: &Call) -> Result<Ask, String> {
        let place = |names: &[String], name: &[u8]| names.iter().position(|n| n.as_bytes() == name);
        let operation = place(&self.about.operations, call.operation()).ok_or("unknown operation")?;
        let plan = place(&self.about.plans, call.plan()).ok_or("unknown plan")?;
        if call.first >= self.about.doors || call.spread > self.about.doors {
            return Err("first and spread: no such front doors".into());
        }
        let customer = self.customers.index(&call.customer);
        let of = Doors { first: call.first, number: call.spread };
        let until = now + call.wait / 1e3;
        Ok(Ask { operation, plan, customer, units: call.units, of, until })
    }

    pub(super) fn take(&mut self, now: f64, (client, command): (u64, u64), call: Call, ask: Ask) {
        let call = Arc::new(call);
        let (deliveries, closed, ends) = (vec![], false, None);
        let inv = self.held.put(Held { ask, call, client, command, deliveries, closed, ends });
        self.clients.get_mut(&client).expect("checked").owed.push_back((Some(inv), None));
        self.place(now, inv);
    }

    /// The final answer; it goes out once all before it on the connection have.
    pub(super) fn answer(&mut self, now: f64, inv: Inv, answer: Answer) {
        let Some(held) = self.held[inv].as_mut().filter(|h| !h.closed) else { return };
        held.closed = true;
        let (id, command) = (held.client, held.command);
        let Some(client) = self.clients.get_mut(&id) else { return };
        client.used = now;
        let place = command.checked_sub(client.first).and_then(|i| client.owed.get_mut(i as usize));
        if let Some(place) = place {
            *place = (None, Some(answer));
        }
        self.answer_in_order(id);
    }

    pub(super) fn answer_in_order(&mut self, id: u64) {
        let Some(client) = self.clients.get_mut(&id) else { return };
        while let Some((_, Some(_))) = client.owed.front() {
            let answer = client.owed.pop_front().and_then(|(_, a)| a).expect("checked");
            client.first += 1;
            self.effects.push(Effect::Answer(id, answer));
        }
        let (done, broken) = (client.owed.is_empty(), client.broken);
        if done && (broken || self.leaving) {
            self.clients.remove(&id);
            self.close(Conn::Client(id), if broken { Why::BadFraming } else { Why::Stopping });
            self.exit_when_done();
        }
    }

    pub(super) fn client_gone(&mut self, id: u64) {
        let Some(client) = self.clients.remove(&id) else { return };
        for inv in client.owed.into_iter().filter_map(|(inv, _)| inv) {
            if let Some(held) = self.held[inv].as_mut() {
                held.closed = true;
                self.door.gone(inv);
                self.release(inv);
            }
        }
        self.exit_when_done();
    }
}
