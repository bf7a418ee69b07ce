//! Public keys, as key sets write them (RFC 7517).
use base64::engine::general_purpose::URL_SAFE_NO_PAD;
use base64::Engine;
use jsonwebtoken::{Algorithm, DecodingKey};
use std::fmt;

/// Bytes of a coordinate, in both kinds of keys.
const COORDINATE_BYTES: usize = 32;

/// How a key signs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SignatureAlgorithm {
    /// EdDSA with Ed25519 (RFC 8037).
    EdDsa,
    /// ECDSA with P-256 and SHA-256 (RFC 7518).
    Es256,
}

/// A public key.
#[derive(Clone, Debug, PartialEq)]
pub struct Key {
    /// Its id, which tokens name.
    pub id: String,
    /// How it signs.
    pub algorithm: SignatureAlgorithm,
    /// The x coordinate, base64url without padding.
    pub x: String,
    /// The y coordinate, base64url without padding; empty for EdDSA.
    pub y: String,
    /// Trusted from then on, Unix seconds.
    pub valid_from: f64,
    /// Trusted before then, Unix seconds.
    pub valid_until: f64,
}

/// A part of a key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum KeyComponent {
    /// The x coordinate.
    X,
    /// The y coordinate.
    Y,
}

impl KeyComponent {
    /// Its name in key sets.
    pub fn name(self) -> &'static str {
        match self {
            KeyComponent::X => "x",
            KeyComponent::Y => "y",
        }
    }
}

impl fmt::Display for KeyComponent {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        f.write_str(self.name())
    }
}

/// Why a part of a key is none.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum KeyProblem {
    /// Not base64url.
    #[error("expected base64url without padding")]
    Encoding,
    /// The wrong number of bytes.
    #[error("expected 32 bytes, found {0}")]
    Length(usize),
    /// Such a key has no such part.
    #[error("an EdDSA key has none")]
    Superfluous,
}

/// What is wrong with a key.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{component}: {problem}")]
pub struct KeyError {
    /// The part that is wrong.
    pub component: KeyComponent,
    /// What is wrong with it.
    pub problem: KeyProblem,
}

impl Key {
    /// Checks that its parts are what such a key has.
    pub fn check(&self) -> Result<(), KeyError> {
        check_coordinate(KeyComponent::X, &self.x)?;
        match self.algorithm {
            SignatureAlgorithm::EdDsa if self.y.is_empty() => Ok(()),
            SignatureAlgorithm::EdDsa => {
                Err(KeyError { component: KeyComponent::Y, problem: KeyProblem::Superfluous })
            }
            SignatureAlgorithm::Es256 => check_coordinate(KeyComponent::Y, &self.y),
        }
    }

    /// The key to check signatures with, if its parts make one.
    pub(crate) fn decoding_key(&self) -> Option<DecodingKey> {
        match self.algorithm {
            SignatureAlgorithm::EdDsa => DecodingKey::from_ed_components(&self.x).ok(),
            SignatureAlgorithm::Es256 => DecodingKey::from_ec_components(&self.x, &self.y).ok(),
        }
    }

    /// What the header of its tokens names as the algorithm.
    pub(crate) fn token_algorithm(&self) -> Algorithm {
        match self.algorithm {
            SignatureAlgorithm::EdDsa => Algorithm::EdDSA,
            SignatureAlgorithm::Es256 => Algorithm::ES256,
        }
    }
}

fn check_coordinate(component: KeyComponent, text: &str) -> Result<(), KeyError> {
    let error = |problem| KeyError { component, problem };
    let bytes = URL_SAFE_NO_PAD.decode(text).map_err(|_| error(KeyProblem::Encoding))?;
    if bytes.len() != COORDINATE_BYTES {
        return Err(error(KeyProblem::Length(bytes.len())));
    }
    Ok(())
}
