//! Public keys, with the parameters of JSON Web Keys (RFC 7517).
use base64::engine::general_purpose::URL_SAFE_NO_PAD;
use base64::Engine;
use jsonwebtoken::{Algorithm, DecodingKey};
use std::fmt;

/// Size of a coordinate of Ed25519 and P-256 keys, bytes.
const COORDINATE_BYTES: usize = 32;

/// A signature algorithm.
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
    /// Id of the key, which tokens name in their header.
    pub id: String,
    /// Algorithm of the signatures.
    pub algorithm: SignatureAlgorithm,
    /// The x coordinate, base64url without padding.
    pub x: String,
    /// The y coordinate, base64url without padding; empty for EdDSA.
    pub y: String,
    /// Start of the validity, Unix seconds.
    pub valid_from: f64,
    /// End of the validity, exclusive, Unix seconds.
    pub valid_until: f64,
}

/// A component of a key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum KeyComponent {
    /// The x coordinate.
    X,
    /// The y coordinate.
    Y,
}

impl KeyComponent {
    /// Returns the name of the component in JSON Web Keys and in the operator's file.
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

/// Why a component of a key is invalid.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum KeyProblem {
    /// The component is not base64url.
    #[error("expected base64url without padding")]
    Encoding,
    /// The component has the wrong number of bytes.
    #[error("expected 32 bytes, found {0}")]
    Length(usize),
    /// Keys of this algorithm have no such component.
    #[error("an EdDSA key has no such coordinate")]
    Superfluous,
}

/// Why a key is invalid.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{component}: {problem}")]
pub struct KeyError {
    /// The invalid component.
    pub component: KeyComponent,
    /// The reason.
    pub problem: KeyProblem,
}

impl Key {
    /// Checks that the key has the components of its algorithm, each of the right size.
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

    /// Returns the key in the form that verification needs; `None` if a component is invalid.
    pub(crate) fn decoding_key(&self) -> Option<DecodingKey> {
        match self.algorithm {
            SignatureAlgorithm::EdDsa => DecodingKey::from_ed_components(&self.x).ok(),
            SignatureAlgorithm::Es256 => DecodingKey::from_ec_components(&self.x, &self.y).ok(),
        }
    }

    /// Returns the algorithm that the header of a token has to name.
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
