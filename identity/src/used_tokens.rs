//! The set of single-use tokens that were used.
use crate::Rejection;
use std::collections::{BTreeSet, HashSet};

/// Maximum number of tokens in the set; beyond it, single-use tokens are rejected until some have expired.
const MAX_TOKENS: usize = 1 << 16;

/// Expiry of a token; ordered by time.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct Expiry {
    /// Time of the expiry, rounded up to a Unix second.
    at: u64,
    /// The id of the token.
    id: String,
}

/// Ids of used tokens until their expiry.
#[derive(Default)]
pub(crate) struct UsedTokens {
    ids: HashSet<String>,
    /// The same ids, in the order of expiry.
    by_expiry: BTreeSet<Expiry>,
}

impl UsedTokens {
    /// Marks a token as used. Fails if it was used before, or if the set is full. Tokens that expired before `oldest` are removed.
    pub fn insert(&mut self, oldest: f64, id: &str, expires_at: f64) -> Result<(), Rejection> {
        self.remove_expired(oldest);
        if self.ids.contains(id) {
            return Err(Rejection::AlreadyUsed);
        }
        if self.ids.len() >= MAX_TOKENS {
            return Err(Rejection::TooManyTokens);
        }
        self.ids.insert(id.to_owned());
        self.by_expiry.insert(Expiry { at: expires_at.max(0.0).ceil() as u64, id: id.to_owned() });
        Ok(())
    }

    fn remove_expired(&mut self, oldest: f64) {
        while self.by_expiry.first().is_some_and(|expiry| (expiry.at as f64) < oldest) {
            if let Some(expiry) = self.by_expiry.pop_first() {
                self.ids.remove(&expiry.id);
            }
        }
    }
}
