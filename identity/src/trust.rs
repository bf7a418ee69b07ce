//! What tokens are checked against.
use crate::Key;
use std::collections::BTreeSet;

/// The issuer, the keys and the rules for tokens.
#[derive(Clone, Debug, PartialEq)]
pub struct Trust {
    /// Who issues tokens.
    pub issuer: String,
    /// Whom tokens have to be meant for.
    pub audience: String,
    /// The issuer's public keys.
    pub keys: Vec<Key>,
    /// Ids of tokens, and names of teams, that are revoked.
    pub revoked: BTreeSet<String>,
    /// Clocks may differ by so much, seconds.
    pub leeway: f64,
    /// A token may be valid for so long at the most, seconds.
    pub max_lifetime: f64,
    /// Each token opens one connection.
    pub single_use: bool,
}

impl Trust {
    pub(crate) fn revokes(&self, token_id: &str, team: &str) -> bool {
        self.revoked.contains(token_id) || self.revoked.contains(team)
    }
}
