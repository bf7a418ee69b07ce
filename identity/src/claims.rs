//! The claims of a token, and the checks on them.
use crate::{Rejection, Trust};
use serde::Deserialize;
use std::collections::BTreeSet;

/// Names in one of a token's lists.
const MAX_LIST_LENGTH: usize = 256;
/// Hexadecimal digits of a customer.
const CUSTOMER_DIGITS: usize = 16;

/// The claims, by their names in RFC 7519; `ops` and `customers` are the project's own.
#[derive(Deserialize)]
pub(crate) struct Claims {
    pub iss: String,
    pub aud: Audience,
    /// The team.
    pub sub: String,
    /// The id of the token.
    pub jti: String,
    /// When it ends, Unix seconds.
    pub exp: f64,
    /// When it begins, Unix seconds.
    #[serde(default)]
    pub nbf: f64,
    /// When it was issued, Unix seconds.
    pub iat: Option<f64>,
    pub ops: Option<Vec<String>>,
    pub customers: Option<Vec<String>>,
}

#[derive(Deserialize)]
#[serde(untagged)]
pub(crate) enum Audience {
    One(String),
    Many(Vec<String>),
}

impl Audience {
    fn includes(&self, name: &str) -> bool {
        match self {
            Audience::One(one) => one == name,
            Audience::Many(all) => all.iter().any(|one| one == name),
        }
    }
}

impl Claims {
    /// Checks names, times and revocations.
    pub fn check(&self, now: f64, trust: &Trust) -> Result<(), Rejection> {
        if self.iss != trust.issuer {
            return Err(Rejection::Issuer);
        }
        if !self.aud.includes(&trust.audience) {
            return Err(Rejection::Audience);
        }
        self.check_times(now, trust)?;
        if trust.revokes(&self.jti, &self.sub) {
            return Err(Rejection::Revoked);
        }
        Ok(())
    }

    /// Checks that the names are there and the lists are not too long.
    pub fn check_form(&self) -> Result<(), Rejection> {
        let is_short = |list: &Option<Vec<String>>| list.as_ref().is_none_or(|l| l.len() <= MAX_LIST_LENGTH);
        let has_names = !self.sub.is_empty() && !self.jti.is_empty();
        if !has_names || !is_short(&self.ops) || !is_short(&self.customers) {
            return Err(Rejection::Malformed);
        }
        Ok(())
    }

    /// The customers as numbers; none if the token does not list them.
    pub fn customer_ids(&self) -> Result<Option<BTreeSet<u64>>, Rejection> {
        let Some(customers) = &self.customers else { return Ok(None) };
        let ids: Option<BTreeSet<u64>> = customers.iter().map(|text| customer_id(text)).collect();
        ids.map(Some).ok_or(Rejection::Malformed)
    }

    fn check_times(&self, now: f64, trust: &Trust) -> Result<(), Rejection> {
        if !self.exp.is_finite() || !self.nbf.is_finite() {
            return Err(Rejection::Malformed);
        }
        if now >= self.exp + trust.leeway {
            return Err(Rejection::Expired);
        }
        let begins = self.nbf.max(self.iat.unwrap_or(0.0));
        if now + trust.leeway < begins {
            return Err(Rejection::NotYetValid);
        }
        if self.exp - now > trust.max_lifetime + trust.leeway {
            return Err(Rejection::LifetimeTooLong);
        }
        Ok(())
    }
}

fn customer_id(text: &str) -> Option<u64> {
    u64::from_str_radix(text, 16).ok().filter(|_| text.len() == CUSTOMER_DIGITS)
}
