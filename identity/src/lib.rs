//! Callers that are known by a signed token (RFC 7519, RFC 8725's advice): which team one speaks for, for which customers, and which operations it
//! may use. Keys come and go in service, tokens are revoked by their id, by their team or with their key. No I/O and no clock of its own.
use base64::engine::general_purpose::URL_SAFE_NO_PAD;
use base64::Engine;
use jsonwebtoken::{Algorithm, DecodingKey, Validation};
use serde::Deserialize;
use std::collections::{BTreeMap, BTreeSet, HashSet};
use std::fmt;

/// The longest token, bytes; and the most names in one of its lists.
pub const LONGEST: usize = 4096;
const LISTED: usize = 256;
/// Tokens that may be used once are remembered so many at the most; past that none is taken until some are over.
const REMEMBERED: usize = 1 << 16;

/// How a key signs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Signs {
    EdDsa,
    Es256,
}

/// A public key, as key sets write it (RFC 7517): base64url of x, and of y for ES256. Unix seconds.
#[derive(Clone, Debug, PartialEq)]
pub struct Key {
    pub id: String,
    pub signs: Signs,
    pub x: String,
    pub y: String,
    pub from: f64,
    pub until: f64,
}

/// What tokens are checked against.
#[derive(Clone, Debug, PartialEq)]
pub struct Trust {
    pub issuer: String,
    pub audience: String,
    pub keys: Vec<Key>,
    /// Ids of tokens, and names of teams, that are revoked.
    pub revoked: BTreeSet<String>,
    /// Clocks may differ by so much, seconds.
    pub leeway: f64,
    /// A token may last for so long at the most, seconds.
    pub longest: f64,
    /// Each token opens one connection.
    pub once: bool,
}

/// Who speaks on a connection.
#[derive(Clone, Debug, PartialEq)]
pub struct Caller {
    pub team: String,
    pub token: String,
    pub key: String,
    /// Operations and customers; none: all that its contract has.
    pub operations: Option<BTreeSet<String>>,
    pub customers: Option<BTreeSet<u64>>,
    pub until: f64,
}

/// Why a token is not taken. What it holds is never said: it may be a secret gone astray.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum No {
    TooLong,
    Malformed,
    UnknownKey,
    Algorithm,
    KeyNotYet,
    KeyOver,
    Signature,
    Issuer,
    Audience,
    NotYet,
    Over,
    TooLasting,
    Revoked,
    UsedBefore,
    Crowded,
}

impl fmt::Display for No {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        f.write_str(match self {
            No::TooLong => "the token is too long",
            No::Malformed => "no token that can be read",
            No::UnknownKey => "no key of this id is trusted",
            No::Algorithm => "the key signs in another way",
            No::KeyNotYet => "the key does not hold yet",
            No::KeyOver => "the key is over",
            No::Signature => "the signature does not fit",
            No::Issuer => "another issuer's",
            No::Audience => "meant for somebody else",
            No::NotYet => "it does not hold yet",
            No::Over => "it is over",
            No::TooLasting => "it lasts for too long",
            No::Revoked => "it is revoked",
            No::UsedBefore => "it was used before",
            No::Crowded => "too many tokens at once",
        })
    }
}

#[derive(Deserialize)]
struct Claims {
    iss: String,
    aud: Audience,
    sub: String,
    jti: String,
    exp: f64,
    #[serde(default)]
    nbf: f64,
    iat: Option<f64>,
    ops: Option<Vec<String>>,
    customers: Option<Vec<String>>,
}

#[derive(Deserialize)]
#[serde(untagged)]
enum Audience {
    One(String),
    Many(Vec<String>),
}

impl Key {
    /// Whether its parts are what such a key has.
    pub fn check(&self) -> Result<(), String> {
        let part = |name: &str, text: &str| {
            let bytes = URL_SAFE_NO_PAD
                .decode(text)
                .map_err(|_| format!("{name}: expected base64url without padding"))?;
            if bytes.len() == 32 {
                Ok(())
            } else {
                Err(format!("{name}: expected 32 bytes, found {}", bytes.len()))
            }
        };
        part("x", &self.x)?;
        match self.signs {
            Signs::EdDsa if !self.y.is_empty() => Err("y: an EdDSA key has none".into()),
            Signs::EdDsa => Ok(()),
            Signs::Es256 => part("y", &self.y),
        }
    }

    fn public(&self) -> Option<DecodingKey> {
        match self.signs {
            Signs::EdDsa => DecodingKey::from_ed_components(&self.x).ok(),
            Signs::Es256 => DecodingKey::from_ec_components(&self.x, &self.y).ok(),
        }
    }

    fn algorithm(&self) -> Algorithm {
        match self.signs {
            Signs::EdDsa => Algorithm::EdDSA,
            Signs::Es256 => Algorithm::ES256,
        }
    }
}

/// Checks tokens.
pub struct Door {
    trust: Trust,
    keys: BTreeMap<String, (Key, DecodingKey)>,
    /// Tokens that may be used once and were, by when they are over.
    used: BTreeSet<(u64, String)>,
    known: HashSet<String>,
}

impl Door {
    pub fn new(trust: Trust) -> Door {
        let mut door = Door { trust, keys: BTreeMap::new(), used: BTreeSet::new(), known: HashSet::new() };
        door.opens();
        door
    }

    fn opens(&mut self) {
        let with_public = |k: &Key| Some((k.id.clone(), (k.clone(), k.public()?)));
        self.keys = self.trust.keys.iter().filter_map(with_public).collect();
    }

    /// Other keys, other revocations. What was used once stays used.
    pub fn trusts(&mut self, trust: Trust) {
        self.trust = trust;
        self.opens();
    }

    pub fn trust(&self) -> &Trust {
        &self.trust
    }

    /// Who a token is for, if anybody.
    pub fn opens_to(&mut self, now: f64, token: &[u8]) -> Result<Caller, No> {
        if token.len() > LONGEST {
            return Err(No::TooLong);
        }
        let token = std::str::from_utf8(token).map_err(|_| No::Malformed)?;
        let head = jsonwebtoken::decode_header(token).map_err(|_| No::Malformed)?;
        let id = head.kid.ok_or(No::UnknownKey)?;
        let (key, public) = self.keys.get(&id).ok_or(No::UnknownKey)?;
        // The key says how it signs; what the token says of that has to be the same.
        if head.alg != key.algorithm() {
            return Err(No::Algorithm);
        }
        let leeway = self.trust.leeway;
        if now + leeway < key.from {
            return Err(No::KeyNotYet);
        }
        if now - leeway >= key.until {
            return Err(No::KeyOver);
        }
        let mut wanted = Validation::new(key.algorithm());
        // Times and names are looked at below, by the caller's clock.
        (wanted.validate_exp, wanted.validate_nbf, wanted.validate_aud) = (false, false, false);
        wanted.required_spec_claims.clear();
        let claims = jsonwebtoken::decode::<Claims>(token, public, &wanted).map_err(|e| match e.kind() {
            jsonwebtoken::errors::ErrorKind::InvalidSignature => No::Signature,
            _ => No::Malformed,
        })?;
        let claims = claims.claims;
        self.checks(now, &claims)?;
        let listed = |list: &Option<Vec<String>>| list.as_ref().is_none_or(|l| l.len() <= LISTED);
        if !listed(&claims.ops)
            || !listed(&claims.customers)
            || claims.sub.is_empty()
            || claims.jti.is_empty()
        {
            return Err(No::Malformed);
        }
        let hex = |text: &String| u64::from_str_radix(text, 16).ok().filter(|_| text.len() == 16);
        let customers = match &claims.customers {
            None => None,
            Some(list) => Some(list.iter().map(hex).collect::<Option<BTreeSet<u64>>>().ok_or(No::Malformed)?),
        };
        let key = id.clone();
        if self.trust.once {
            self.uses(now, &claims)?;
        }
        let operations = claims.ops.map(|o| o.into_iter().collect());
        Ok(Caller {
            team: claims.sub,
            token: claims.jti,
            key,
            operations,
            customers,
            until: claims.exp + leeway,
        })
    }

    fn checks(&self, now: f64, claims: &Claims) -> Result<(), No> {
        let t = &self.trust;
        if claims.iss != t.issuer {
            return Err(No::Issuer);
        }
        let ours = match &claims.aud {
            Audience::One(one) => *one == t.audience,
            Audience::Many(all) => all.contains(&t.audience),
        };
        if !ours {
            return Err(No::Audience);
        }
        if !claims.exp.is_finite() || !claims.nbf.is_finite() {
            return Err(No::Malformed);
        }
        if now >= claims.exp + t.leeway {
            return Err(No::Over);
        }
        let begins = claims.nbf.max(claims.iat.unwrap_or(0.0));
        if now + t.leeway < begins {
            return Err(No::NotYet);
        }
        if claims.exp - now > t.longest + t.leeway {
            return Err(No::TooLasting);
        }
        if t.revoked.contains(&claims.jti) || t.revoked.contains(&claims.sub) {
            return Err(No::Revoked);
        }
        Ok(())
    }

    fn uses(&mut self, now: f64, claims: &Claims) -> Result<(), No> {
        while self.used.first().is_some_and(|(until, _)| (*until as f64) < now - self.trust.leeway) {
            if let Some((_, id)) = self.used.pop_first() {
                self.known.remove(&id);
            }
        }
        if self.known.contains(&claims.jti) {
            return Err(No::UsedBefore);
        }
        if self.known.len() >= REMEMBERED {
            return Err(No::Crowded);
        }
        self.known.insert(claims.jti.clone());
        self.used.insert((claims.exp.max(0.0).ceil() as u64, claims.jti.clone()));
        Ok(())
    }

    /// Whether a caller that was let in may go on: its time is not up, its key is still trusted, and nobody has revoked it.
    pub fn still(&self, now: f64, caller: &Caller) -> Result<(), No> {
        let (key, _) = self.keys.get(&caller.key).ok_or(No::UnknownKey)?;
        if now - self.trust.leeway >= key.until {
            return Err(No::KeyOver);
        }
        if now >= caller.until {
            return Err(No::Over);
        }
        if self.trust.revoked.contains(&caller.token) || self.trust.revoked.contains(&caller.team) {
            return Err(No::Revoked);
        }
        Ok(())
    }
}

impl Caller {
    pub fn may(&self, operation: &str, customer: u64) -> bool {
        self.operations.as_ref().is_none_or(|o| o.contains(operation))
            && self.customers.as_ref().is_none_or(|c| c.contains(&customer))
    }
}
