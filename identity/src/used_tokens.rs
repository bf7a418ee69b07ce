//! Tokens that may be used once, and were.
use crate::Rejection;
use std::collections::{BTreeSet, HashSet};

/// Beyond so many tokens none is accepted until some have expired, which bounds the memory.
const MAX_TOKENS: usize = 1 << 16;

#[derive(Default)]
pub(crate) struct UsedTokens {
    ids: HashSet<String>,
    /// By the Unix second in which they expire.
    by_expiry: BTreeSet<(u64, String)>,
}

impl UsedTokens {
    /// Notes that a token is used; an error if it was before. Tokens that expired before `oldest` are forgotten.
    pub fn insert(&mut self, oldest: f64, id: &str, expires_at: f64) -> Result<(), Rejection> {
        self.forget_before(oldest);
        if self.ids.contains(id) {
            return Err(Rejection::AlreadyUsed);
        }
        if self.ids.len() >= MAX_TOKENS {
            return Err(Rejection::TooManyTokens);
        }
        self.ids.insert(id.to_owned());
        self.by_expiry.insert((expires_at.max(0.0).ceil() as u64, id.to_owned()));
        Ok(())
    }

    fn forget_before(&mut self, oldest: f64) {
        while self.by_expiry.first().is_some_and(|(expires_at, _)| (*expires_at as f64) < oldest) {
            if let Some((_, id)) = self.by_expiry.pop_first() {
                self.ids.remove(&id);
            }
        }
    }
}
