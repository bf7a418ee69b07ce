//! An issuer of tokens, for tests.
#![allow(dead_code)]
use base64::engine::general_purpose::URL_SAFE_NO_PAD as B64;
use base64::Engine;
use quillramp_identity::{Key, SignatureAlgorithm};
use ring::rand::SystemRandom;
use ring::signature::{EcdsaKeyPair, Ed25519KeyPair, KeyPair as _, ECDSA_P256_SHA256_FIXED_SIGNING};
use serde_json::{json, Value};

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
    /// A signer with an Ed25519 key, which the seed determines.
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

    pub fn key(&self) -> Key {
        let (algorithm, x, y) = match &self.pair {
            KeyPair::Ed25519(pair) => {
                (SignatureAlgorithm::EdDsa, B64.encode(pair.public_key()), String::new())
            }
            KeyPair::P256(pair) => {
                let point = pair.public_key().as_ref();
                (SignatureAlgorithm::Es256, B64.encode(&point[1..33]), B64.encode(&point[33..65]))
            }
        };
        Key { id: self.id.clone(), algorithm, x, y, valid_from: 0.0, valid_until: f64::INFINITY }
    }

    pub fn sign(&self, header: Value, claims: &Value) -> String {
        let text = format!("{}.{}", B64.encode(header.to_string()), B64.encode(claims.to_string()));
        let signature = match &self.pair {
            KeyPair::Ed25519(pair) => pair.sign(text.as_bytes()).as_ref().to_vec(),
            KeyPair::P256(pair) => {
                pair.sign(&SystemRandom::new(), text.as_bytes()).expect("signed").as_ref().to_vec()
            }
        };
        format!("{text}.{}", B64.encode(signature))
    }

    pub fn token(&self, claims: &Value) -> String {
        let algorithm = if matches!(self.pair, KeyPair::Ed25519(_)) { "EdDSA" } else { "ES256" };
        self.sign(json!({"alg": algorithm, "typ": "JWT", "kid": self.id}), claims)
    }
}
