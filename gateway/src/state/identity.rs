//! Who speaks on a client's connection, where callers have to be known: a token once, by AUTH, and a look at it for each command.
use super::event::Effect;
use super::reducer::Reducer;
use crate::wire::resp::{ClientReply, RequestCommand};
use quillramp_identity::{Authenticator, Trust};

impl Reducer {
    /// Other keys and revocations from now on, or nobody has to be known. Who is known is looked at again with its next command.
    pub(super) fn set_trust(&mut self, trust: Option<Trust>) {
        if self.identity.as_ref().map(Authenticator::trust) == trust.as_ref() {
            return;
        }
        let says = match &trust {
            None => "callers need not be known".into(),
            Some(t) => format!(
                "callers are known by tokens of {}: {} keys, {} revoked",
                t.issuer,
                t.keys.len(),
                t.revoked.len()
            ),
        };
        self.effects.push(Effect::Log(says));
        match (&mut self.identity, trust) {
            (identity, None) => *identity = None,
            (Some(authenticator), Some(trust)) => authenticator.set_trust(trust),
            (identity, Some(trust)) => *identity = Some(Authenticator::new(trust)),
        }
    }

    /// A client says who it is. What a token holds is nobody's business, and no line's.
    pub(super) fn authenticate_client(&mut self, now: f64, id: u64, token: &[u8]) -> ClientReply {
        let Some(authenticator) = &mut self.identity else {
            return ClientReply::Error("unknown command".into());
        };
        let caller = authenticator.authenticate(now, token);
        let Some(client) = self.clients.get_mut(&id) else { return ClientReply::Okay };
        match caller {
            Ok(caller) => {
                client.caller = Some(caller);
                ClientReply::Okay
            }
            Err(rejection) => {
                client.caller = None;
                self.effects.push(Effect::Log(format!("client {id}: token not taken: {rejection}")));
                ClientReply::Denied(format!("WRONGPASS {rejection}"))
            }
        }
    }

    /// The team that speaks, where callers have to be known; or what its client hears.
    pub(super) fn authorize_caller(
        &mut self,
        now: f64,
        id: u64,
        operation: usize,
        call: &RequestCommand,
    ) -> Result<Option<String>, ClientReply> {
        let Some(authenticator) = &self.identity else { return Ok(None) };
        let client = self.clients.get(&id);
        let Some(caller) = client.and_then(|c| c.caller.as_ref()) else {
            return Err(ClientReply::Denied("NOAUTH a token first, by AUTH".into()));
        };
        if let Err(rejection) = authenticator.revalidate(now, caller) {
            return Err(ClientReply::Denied(format!("NOAUTH {rejection}")));
        }
        // Somebody has to say for whom it may speak: the token, or a contract.
        let said = caller.customers.is_some() || self.broker.is_some();
        if !said || !caller.may(&self.instance.operations[operation].name, call.customer) {
            return Err(ClientReply::Denied("NOPERM not this operation, or not for this customer".into()));
        }
        Ok(Some(caller.team.clone()))
    }
}
