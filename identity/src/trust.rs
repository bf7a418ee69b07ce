//! The trust configuration against which tokens are checked.
use crate::Key;
use std::collections::BTreeSet;

/// The issuer, the keys and the rules for tokens.
#[derive(Clone, Debug, PartialEq)]
pub struct Trust {
    /// The issuer that tokens have to name.
    pub issuer: String,
    /// The audience that tokens have to name.
    pub audience: String,
    /// The issuer's public keys.
    pub keys: Vec<Key>,
    /// Revoked ids of tokens and names of teams.
    pub revoked: BTreeSet<String>,
    /// Tolerance for clock skew, seconds.
    pub leeway: f64,
    /// Maximum remaining lifetime of a token, seconds.
    pub max_lifetime: f64,
    /// Whether a token is accepted only once.
    pub single_use: bool,
}

impl Trust {
    /// Returns whether a token's id or its team is revoked.
    pub(crate) fn revokes(&self, token_id: &str, team: &str) -> bool {
        self.revoked.contains(token_id) || self.revoked.contains(team)
    }
}
