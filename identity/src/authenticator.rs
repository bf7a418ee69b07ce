//! The authenticator: verifies tokens.
use crate::claims::Claims;
use crate::used_tokens::UsedTokens;
use crate::{Caller, Key, Rejection, Trust};
use jsonwebtoken::errors::ErrorKind;
use jsonwebtoken::{DecodingKey, Validation};
use std::collections::BTreeMap;

/// Maximum length of a token, bytes.
pub const MAX_TOKEN_BYTES: usize = 4096;

/// Authenticates callers by their tokens. Times are Unix seconds.
pub struct Authenticator {
    trust: Trust,
    /// Valid keys by id.
    keys: BTreeMap<String, TrustedKey>,
    used_tokens: UsedTokens,
}

/// A key with its form for the verification of signatures.
struct TrustedKey {
    key: Key,
    decoding_key: DecodingKey,
}

impl Authenticator {
    /// Creates an authenticator; invalid keys are left out, see [`Key::check`].
    pub fn new(trust: Trust) -> Authenticator {
        let keys = trusted_keys(&trust);
        Authenticator { trust, keys, used_tokens: UsedTokens::default() }
    }

    /// Replaces keys, revocations and rules. Single-use tokens that were used stay used.
    pub fn set_trust(&mut self, trust: Trust) {
        self.keys = trusted_keys(&trust);
        self.trust = trust;
    }

    /// Returns the issuer, keys and rules against which tokens are checked.
    pub fn trust(&self) -> &Trust {
        &self.trust
    }

    /// Authenticates the bearer of a token. A single-use token counts as used only if it is accepted.
    pub fn authenticate(&mut self, now: f64, token: &[u8]) -> Result<Caller, Rejection> {
        if token.len() > MAX_TOKEN_BYTES {
            return Err(Rejection::TooLong);
        }
        let token = std::str::from_utf8(token).map_err(|_| Rejection::Malformed)?;
        let header = jsonwebtoken::decode_header(token).map_err(|_| Rejection::Malformed)?;
        let key_id = header.kid.ok_or(Rejection::UnknownKey)?;
        let trusted = self.keys.get(&key_id).ok_or(Rejection::UnknownKey)?;
        // The key determines the algorithm, never the token: this prevents algorithm confusion (RFC 8725).
        if header.alg != trusted.key.token_algorithm() {
            return Err(Rejection::Algorithm);
        }
        self.check_key_times(now, &trusted.key)?;
        let claims = trusted.verify(token)?;
        claims.check(now, &self.trust)?;
        claims.check_form()?;
        let customers = claims.customer_ids()?;
        let leeway = self.trust.leeway;
        if self.trust.single_use {
            self.used_tokens.insert(now - leeway, &claims.jti, claims.exp)?;
        }
        Ok(Caller {
            team: claims.sub,
            token_id: claims.jti,
            key_id,
            operations: claims.ops.map(|names| names.into_iter().collect()),
            customers,
            valid_until: claims.exp + leeway,
        })
    }

    /// Checks that an authenticated caller is still valid: its token has not expired, its key is still trusted, and neither
    /// the token nor the team is revoked.
    pub fn revalidate(&self, now: f64, caller: &Caller) -> Result<(), Rejection> {
        let trusted = self.keys.get(&caller.key_id).ok_or(Rejection::UnknownKey)?;
        if now - self.trust.leeway >= trusted.key.valid_until {
            return Err(Rejection::KeyExpired);
        }
        if now >= caller.valid_until {
            return Err(Rejection::Expired);
        }
        if self.trust.revokes(&caller.token_id, &caller.team) {
            return Err(Rejection::Revoked);
        }
        Ok(())
    }

    fn check_key_times(&self, now: f64, key: &Key) -> Result<(), Rejection> {
        if now + self.trust.leeway < key.valid_from {
            return Err(Rejection::KeyNotYetValid);
        }
        if now - self.trust.leeway >= key.valid_until {
            return Err(Rejection::KeyExpired);
        }
        Ok(())
    }
}

impl TrustedKey {
    /// Verifies the signature of a token and returns its claims, which are not checked yet.
    fn verify(&self, token: &str) -> Result<Claims, Rejection> {
        let mut validation = Validation::new(self.key.token_algorithm());
        // Claims::check checks times and names, against the caller's clock.
        validation.validate_exp = false;
        validation.validate_nbf = false;
        validation.validate_aud = false;
        validation.required_spec_claims.clear();
        let decoded = jsonwebtoken::decode::<Claims>(token, &self.decoding_key, &validation);
        decoded.map(|token| token.claims).map_err(|error| match error.kind() {
            ErrorKind::InvalidSignature => Rejection::Signature,
            _ => Rejection::Malformed,
        })
    }
}

/// Returns the valid keys by id; of several keys with the same id, the last.
fn trusted_keys(trust: &Trust) -> BTreeMap<String, TrustedKey> {
    let trusted = |key: &Key| {
        let decoding_key = key.decoding_key()?;
        Some((key.id.clone(), TrustedKey { key: key.clone(), decoding_key }))
    };
    trust.keys.iter().filter_map(trusted).collect()
}
