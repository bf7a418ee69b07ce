//! The claims of a token, and the checks on them.
use crate::{Rejection, Trust};
use serde::Deserialize;
use std::collections::BTreeSet;

/// Maximum number of names in a list of a token.
const MAX_NAMES: usize = 256;
/// Number of hexadecimal digits of a customer's id.
const CUSTOMER_DIGITS: usize = 16;

/// The claims under their names in RFC 7519; `ops` and `customers` are private claims.
#[derive(Deserialize)]
pub(crate) struct Claims {
    /// The issuer.
    pub iss: String,
    /// The audience.
    pub aud: Audience,
    /// The subject: the caller's team.
    pub sub: String,
    /// The id of the token.
    pub jti: String,
    /// Expiry, Unix seconds.
    pub exp: f64,
    /// Start of validity, Unix seconds.
    #[serde(default)]
    pub nbf: f64,
    /// Time of issue, Unix seconds.
    pub iat: Option<f64>,
    /// Names of the operations that the caller may use; `None` for no restriction.
    pub ops: Option<Vec<String>>,
    /// Ids of the customers, in hexadecimal; `None` for no restriction.
    pub customers: Option<Vec<String>>,
}

/// An audience: one name, or a list of names.
#[derive(Deserialize)]
#[serde(untagged)]
pub(crate) enum Audience {
    One(String),
    Many(Vec<String>),
}

impl Audience {
    fn includes(&self, name: &str) -> bool {
        match self {
            Audience::One(audience) => audience == name,
            Audience::Many(audiences) => audiences.iter().any(|audience| audience == name),
        }
    }
}

impl Claims {
    /// Checks issuer, audience, times and revocations.
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

    /// Checks that team and token id are not empty and that the lists are not too long.
    pub fn check_form(&self) -> Result<(), Rejection> {
        let is_short =
            |list: &Option<Vec<String>>| list.as_ref().is_none_or(|names| names.len() <= MAX_NAMES);
        let has_names = !self.sub.is_empty() && !self.jti.is_empty();
        if !has_names || !is_short(&self.ops) || !is_short(&self.customers) {
            return Err(Rejection::Malformed);
        }
        Ok(())
    }

    /// Returns the customers as numbers; `None` if the token has no list of customers.
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
