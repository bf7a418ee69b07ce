//! An issuer of tokens, for tests.
#![allow(dead_code)]
use base64::engine::general_purpose::URL_SAFE_NO_PAD as B64;
use base64::Engine;
use quillramp_identity::{Key, SignatureAlgorithm};
use ring::rand::SystemRandom;
use ring::signature::{EcdsaKeyPair, Ed25519KeyPair, KeyPair, ECDSA_P256_SHA256_FIXED_SIGNING};
use serde_json::{json, Value};

pub enum Pair {
    Ed(Ed25519KeyPair),
    Ec(EcdsaKeyPair),
}

/// A key pair of an issuer's own, with its public half as key sets write it.
pub struct Signer {
    pub id: String,
    pub pair: Pair,
}

impl Signer {
    pub fn ed(id: &str, seed: u8) -> Signer {
        Signer {
            id: id.into(),
            pair: Pair::Ed(Ed25519KeyPair::from_seed_unchecked(&[seed; 32]).expect("a seed")),
        }
    }

    pub fn ec(id: &str) -> Signer {
        let (rng, way) = (SystemRandom::new(), &ECDSA_P256_SHA256_FIXED_SIGNING);
        let bytes = EcdsaKeyPair::generate_pkcs8(way, &rng).expect("a key");
        Signer {
            id: id.into(),
            pair: Pair::Ec(EcdsaKeyPair::from_pkcs8(way, bytes.as_ref(), &rng).expect("a key")),
        }
    }

    pub fn key(&self) -> Key {
        let (algorithm, x, y) = match &self.pair {
            Pair::Ed(p) => (SignatureAlgorithm::EdDsa, B64.encode(p.public_key()), String::new()),
            Pair::Ec(p) => {
                let point = p.public_key().as_ref();
                (SignatureAlgorithm::Es256, B64.encode(&point[1..33]), B64.encode(&point[33..65]))
            }
        };
        Key { id: self.id.clone(), algorithm, x, y, valid_from: 0.0, valid_until: f64::INFINITY }
    }

    pub fn signs(&self, head: Value, claims: &Value) -> String {
        let text = format!("{}.{}", B64.encode(head.to_string()), B64.encode(claims.to_string()));
        let signature = match &self.pair {
            Pair::Ed(p) => p.sign(text.as_bytes()).as_ref().to_vec(),
            Pair::Ec(p) => p.sign(&SystemRandom::new(), text.as_bytes()).expect("signed").as_ref().to_vec(),
        };
        format!("{text}.{}", B64.encode(signature))
    }

    pub fn token(&self, claims: &Value) -> String {
        let alg = if matches!(self.pair, Pair::Ed(_)) { "EdDSA" } else { "ES256" };
        self.signs(json!({"alg": alg, "typ": "JWT", "kid": self.id}), claims)
    }
}
