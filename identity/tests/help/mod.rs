//! An issuer of tokens, for the tests of this package and of the gateway.
#![allow(dead_code)]
use base64::engine::general_purpose::URL_SAFE_NO_PAD;
use base64::Engine;
use quillramp_identity::{Key, SignatureAlgorithm};
use ring::rand::SystemRandom;
use ring::signature::{EcdsaKeyPair, Ed25519KeyPair, KeyPair as _, ECDSA_P256_SHA256_FIXED_SIGNING};
use serde_json::{json, Value};

/// Length of each coordinate of a P-256 public key.
const P256_COORDINATE_BYTES: usize = 32;

fn base64url(bytes: impl AsRef<[u8]>) -> String {
    URL_SAFE_NO_PAD.encode(bytes)
}

pub enum KeyPair {
    Ed25519(Ed25519KeyPair),
    P256(EcdsaKeyPair),
}

/// An issuer's key pair, which signs tokens.
pub struct Signer {
    pub id: String,
    pub pair: KeyPair,
}

impl Signer {
    /// A signer with an Ed25519 key that is derived from a seed.
    pub fn ed(id: &str, seed: u8) -> Signer {
        Signer {
            id: id.into(),
            pair: KeyPair::Ed25519(Ed25519KeyPair::from_seed_unchecked(&[seed; 32]).expect("a seed")),
        }
    }

    /// A signer with a random P-256 key.
    pub fn ec(id: &str) -> Signer {
        let rng = SystemRandom::new();
        let algorithm = &ECDSA_P256_SHA256_FIXED_SIGNING;
        let bytes = EcdsaKeyPair::generate_pkcs8(algorithm, &rng).expect("a key");
        Signer {
            id: id.into(),
            pair: KeyPair::P256(EcdsaKeyPair::from_pkcs8(algorithm, bytes.as_ref(), &rng).expect("a key")),
        }
    }

    /// The public key.
    pub fn key(&self) -> Key {
        let (x, y) = match &self.pair {
            KeyPair::Ed25519(pair) => (base64url(pair.public_key()), String::new()),
            KeyPair::P256(pair) => {
                // An uncompressed point: the byte 4, then both coordinates.
                let (x, y) = pair.public_key().as_ref()[1..].split_at(P256_COORDINATE_BYTES);
                (base64url(x), base64url(y))
            }
        };
        let algorithm = match self.pair {
            KeyPair::Ed25519(_) => SignatureAlgorithm::EdDsa,
            KeyPair::P256(_) => SignatureAlgorithm::Es256,
        };
        Key { id: self.id.clone(), algorithm, x, y, valid_from: 0.0, valid_until: f64::INFINITY }
    }

    /// A token with a given header, which may not match the key.
    pub fn sign(&self, header: Value, claims: &Value) -> String {
        let header = base64url(header.to_string());
        let claims = base64url(claims.to_string());
        let text = format!("{header}.{claims}");
        let signature = match &self.pair {
            KeyPair::Ed25519(pair) => pair.sign(text.as_bytes()).as_ref().to_vec(),
            KeyPair::P256(pair) => {
                pair.sign(&SystemRandom::new(), text.as_bytes()).expect("signed").as_ref().to_vec()
            }
        };
        format!("{text}.{}", base64url(signature))
    }

    /// A token with the header that matches the key.
    pub fn token(&self, claims: &Value) -> String {
        let algorithm = match self.pair {
            KeyPair::Ed25519(_) => "EdDSA",
            KeyPair::P256(_) => "ES256",
        };
        self.sign(json!({"alg": algorithm, "typ": "JWT", "kid": self.id}), claims)
    }
}
