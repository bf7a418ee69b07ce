//! Authentication of callers: a client sends a token once, by AUTH, and the token is validated again for each command.
use super::log_message::LogMessage;
use super::reducer::Reducer;
use crate::wire::resp::{ClientReply, RequestCommand};
use quillramp_identity::{Authenticator, Trust};

impl Reducer {
    /// Replaces the keys and revocations, or disables authentication. Authenticated callers are validated again with their
    /// next command.
    pub(super) fn set_trust(&mut self, trust: Option<Trust>) {
        if self.identity.as_ref().map(Authenticator::trust) == trust.as_ref() {
            return;
        }
        self.log(match &trust {
            None => LogMessage::CallersNotAuthenticated,
            Some(trust) => LogMessage::CallersAuthenticated {
                issuer: trust.issuer.clone(),
                keys: trust.keys.len(),
                revoked: trust.revoked.len(),
            },
        });
        match (&mut self.identity, trust) {
            (identity, None) => *identity = None,
            (Some(authenticator), Some(trust)) => authenticator.set_trust(trust),
            (identity, Some(trust)) => *identity = Some(Authenticator::new(trust)),
        }
    }

    /// Authenticates a client by its token; returns the reply. The token is secret and is not logged.
    pub(super) fn authenticate_client(&mut self, now: f64, id: u64, token: &[u8]) -> ClientReply {
        let Some(authenticator) = &mut self.identity else {
            return ClientReply::Error("unknown command".into());
        };
        let caller = authenticator.authenticate(now, token);
        let Some(client) = self.clients.connections.get_mut(&id) else { return ClientReply::Okay };
        match caller {
            Ok(caller) => {
                client.caller = Some(caller);
                ClientReply::Okay
            }
            Err(rejection) => {
                client.caller = None;
                self.log(LogMessage::TokenRejected { client: id, rejection });
                ClientReply::Denied(format!("WRONGPASS {rejection}"))
            }
        }
    }

    /// Returns the team of the caller, `None` without authentication, or the reply that denies the command.
    pub(super) fn authorize_caller(
        &mut self,
        now: f64,
        id: u64,
        operation: usize,
        command: &RequestCommand,
    ) -> Result<Option<String>, ClientReply> {
        let Some(authenticator) = &self.identity else { return Ok(None) };
        let client = self.clients.connections.get(&id);
        let Some(caller) = client.and_then(|client| client.caller.as_ref()) else {
            return Err(ClientReply::Denied("NOAUTH a token first, by AUTH".into()));
        };
        if let Err(rejection) = authenticator.revalidate(now, caller) {
            return Err(ClientReply::Denied(format!("NOAUTH {rejection}")));
        }
        // Either the token or a contract must limit the customers that the caller may act for.
        let limits_customers = caller.customers.is_some() || self.has_contracts();
        if !limits_customers
            || !caller.is_allowed(&self.instance.operations[operation].name, command.customer)
        {
            return Err(ClientReply::Denied("NOPERM not this operation, or not for this customer".into()));
        }
        Ok(Some(caller.team.clone()))
    }
}
