//! Accepted tokens, and each reason for which a token is rejected.
use proptest::prelude::*;
use quillramp_identity::{Authenticator, Key, Rejection, SignatureAlgorithm, Trust, MAX_TOKEN_BYTES};
use serde_json::{json, Value};
use std::collections::BTreeSet;

mod help;
use help::Signer;

const NOW: f64 = 1_764_000_000.0;

fn claims() -> Value {
    json!({"iss": "hospitals", "aud": "quillramp", "sub": "radiology", "jti": "t-1", "iat": NOW - 10.0, "exp": NOW + 300.0})
}

fn claims_with(changes: Value) -> Value {
    let mut claims = claims();
    for (name, value) in changes.as_object().expect("claims") {
        claims[name] = value.clone();
    }
    claims
}

fn trust(keys: Vec<Key>) -> Trust {
    Trust {
        issuer: "hospitals".into(),
        audience: "quillramp".into(),
        keys,
        revoked: BTreeSet::new(),
        leeway: 2.0,
        max_lifetime: 3600.0,
        single_use: false,
    }
}

fn rejection(authenticator: &mut Authenticator, token: &str) -> Rejection {
    authenticator.authenticate(NOW, token.as_bytes()).expect_err("it is not taken")
}

#[test]
fn both_signature_algorithms_are_accepted() {
    let ed25519 = Signer::ed("a", 1);
    let p256 = Signer::ec("b");
    let mut authenticator = Authenticator::new(trust(vec![ed25519.key(), p256.key()]));
    for signer in [&ed25519, &p256] {
        signer.key().check().expect("a key");
        let claims = claims_with(
            json!({"ops": ["look"], "customers": ["00000000b4d65521"], "aud": ["x", "quillramp"]}),
        );
        let caller = authenticator.authenticate(NOW, signer.token(&claims).as_bytes()).expect("taken");
        assert_eq!((caller.team.as_str(), caller.key_id.as_str()), ("radiology", signer.id.as_str()));
        assert!(caller.may("look", 0xb4d65521) && !caller.may("order", 0xb4d65521) && !caller.may("look", 1));
    }
}

#[test]
fn claims_are_rejected_with_their_reason() {
    let ours = Signer::ed("a", 1);
    let mut authenticator = Authenticator::new(trust(vec![ours.key(), Signer::ec("b").key()]));
    let rejection_with = |authenticator: &mut Authenticator, changes: Value| {
        rejection(authenticator, &ours.token(&claims_with(changes)))
    };
    assert_eq!(rejection_with(&mut authenticator, json!({"iss": "others"})), Rejection::Issuer);
    assert_eq!(rejection_with(&mut authenticator, json!({"aud": "others"})), Rejection::Audience);
    assert_eq!(rejection_with(&mut authenticator, json!({"exp": NOW - 3.0})), Rejection::Expired);
    assert_eq!(rejection_with(&mut authenticator, json!({"nbf": NOW + 3.0})), Rejection::NotYetValid);
    assert_eq!(rejection_with(&mut authenticator, json!({"iat": NOW + 60.0})), Rejection::NotYetValid);
    assert_eq!(rejection_with(&mut authenticator, json!({"exp": NOW + 9999.0})), Rejection::LifetimeTooLong);
    assert_eq!(rejection_with(&mut authenticator, json!({"exp": "soon"})), Rejection::Malformed);
    assert_eq!(rejection_with(&mut authenticator, json!({"sub": ""})), Rejection::Malformed);
    assert_eq!(rejection_with(&mut authenticator, json!({"customers": ["12"]})), Rejection::Malformed);
    assert_eq!(rejection_with(&mut authenticator, json!({"ops": vec!["x"; 300]})), Rejection::Malformed);
    assert_eq!(rejection_with(&mut authenticator, json!({"ops": {"deep": [[[[]]]]}})), Rejection::Malformed);
}

#[test]
fn foreign_and_malformed_tokens_are_rejected_with_their_reason() {
    let ours = Signer::ed("a", 1);
    let mut authenticator = Authenticator::new(trust(vec![ours.key(), Signer::ec("b").key()]));
    let theirs = Signer::ed("a", 2);
    assert_eq!(rejection(&mut authenticator, &theirs.token(&claims())), Rejection::Signature);
    assert_eq!(rejection(&mut authenticator, &Signer::ed("z", 1).token(&claims())), Rejection::UnknownKey);
    assert_eq!(rejection(&mut authenticator, &"x".repeat(MAX_TOKEN_BYTES + 1)), Rejection::TooLong);
    assert_eq!(
        rejection(
            &mut authenticator,
            &ours.token(&claims_with(json!({"more": "x".repeat(MAX_TOKEN_BYTES)})))
        ),
        Rejection::TooLong
    );
    assert_eq!(rejection(&mut authenticator, "a.b"), Rejection::Malformed);
    assert!(authenticator.authenticate(NOW, &[0xff, 0xfe]).is_err());
}

#[test]
fn other_algorithms_and_altered_tokens_are_rejected() {
    let ours = Signer::ed("a", 1);
    let mut authenticator = Authenticator::new(trust(vec![ours.key(), Signer::ec("b").key()]));
    // Algorithms: none, a shared secret derived from the public key, that of another key.
    let head = |alg: &str, kid: &str| json!({"alg": alg, "typ": "JWT", "kid": kid});
    assert_eq!(rejection(&mut authenticator, &ours.sign(head("none", "a"), &claims())), Rejection::Malformed);
    assert_eq!(
        rejection(&mut authenticator, &ours.sign(head("HS256", "a"), &claims())),
        Rejection::Algorithm
    );
    assert_eq!(
        rejection(&mut authenticator, &ours.sign(head("ES256", "a"), &claims())),
        Rejection::Algorithm
    );
    assert_eq!(
        rejection(&mut authenticator, &ours.sign(head("EdDSA", "b"), &claims())),
        Rejection::Algorithm
    );
    assert_eq!(
        rejection(&mut authenticator, &ours.sign(json!({"alg": "EdDSA"}), &claims())),
        Rejection::UnknownKey
    );
    // A change of the signed text.
    let token = ours.token(&claims());
    let (text, signature) = token.rsplit_once('.').expect("three parts");
    let other = text.replace('a', "b");
    assert!(authenticator.authenticate(NOW, format!("{other}.{signature}").as_bytes()).is_err());
    // No reason has contents of the token.
    assert!(!Rejection::Signature.to_string().contains("radiology"));
}

/// Keys overlap: the next key is trusted before the last one expires, and tokens of both are accepted. Over several rotations no
/// valid caller is rejected and no team is mistaken for another.
#[test]
fn keys_are_rotated_in_service() {
    let ids = ["k0", "k1", "k2", "k3", "k4", "k5", "k6", "k7"];
    let signers: Vec<Signer> = ids.iter().enumerate().map(|(i, id)| Signer::ed(id, i as u8 + 1)).collect();
    let mut authenticator = Authenticator::new(trust(vec![signers[0].key()]));
    let mut callers = vec![];
    for round in 0..signers.len() - 1 {
        let now = NOW + 60.0 * round as f64;
        let token = |signer: &Signer, team: String| {
            signer.token(&claims_with(
                json!({"sub": team, "jti": format!("{}-{round}", signer.id), "iat": now, "exp": now + 90.0}),
            ))
        };
        // Both keys are valid; the old one until its tokens have expired.
        let last = Key { valid_until: now + 120.0, ..signers[round].key() };
        authenticator.set_trust(trust(vec![last, signers[round + 1].key()]));
        for (i, signer) in signers[round..=round + 1].iter().enumerate() {
            let team = format!("team-{}", round * 10 + i);
            let caller = authenticator
                .authenticate(now, token(signer, team.clone()).as_bytes())
                .expect("a valid caller");
            assert_eq!(caller.team, team);
            callers.push((now, caller));
        }
        let valid = callers
            .iter()
            .filter(|(authenticated_at, caller)| now < authenticated_at + 80.0 && caller.key_id != "gone");
        for (_, caller) in valid.filter(|(_, caller)| {
            caller.key_id == signers[round].id || caller.key_id == signers[round + 1].id
        }) {
            assert_eq!(authenticator.revalidate(now, caller), Ok(()));
        }
    }
    // A key that is not in the trust any more is rejected at once.
    let (_, old) = &callers[0];
    assert_eq!(authenticator.revalidate(NOW + 400.0, old), Err(Rejection::UnknownKey));
}

#[test]
fn revocations_take_effect_at_once() {
    let signer = Signer::ed("a", 1);
    let mut authenticator = Authenticator::new(trust(vec![signer.key()]));
    let caller = authenticator.authenticate(NOW, signer.token(&claims()).as_bytes()).expect("taken");
    for revoked in ["t-1", "radiology"] {
        authenticator
            .set_trust(Trust { revoked: BTreeSet::from([revoked.to_owned()]), ..trust(vec![signer.key()]) });
        assert_eq!(authenticator.revalidate(NOW, &caller), Err(Rejection::Revoked), "{revoked}");
        assert_eq!(rejection(&mut authenticator, &signer.token(&claims())), Rejection::Revoked);
    }
    authenticator.set_trust(trust(vec![Key { valid_until: NOW - 5.0, ..signer.key() }]));
    assert_eq!(authenticator.revalidate(NOW, &caller), Err(Rejection::KeyExpired));
    assert_eq!(rejection(&mut authenticator, &signer.token(&claims())), Rejection::KeyExpired);
    authenticator.set_trust(trust(vec![Key { valid_from: NOW + 5.0, ..signer.key() }]));
    assert_eq!(rejection(&mut authenticator, &signer.token(&claims())), Rejection::KeyNotYetValid);
    authenticator.set_trust(trust(vec![signer.key()]));
    assert_eq!(
        (authenticator.revalidate(NOW + 301.0, &caller), authenticator.revalidate(NOW + 303.0, &caller)),
        (Ok(()), Err(Rejection::Expired))
    );
}

#[test]
fn single_use_tokens_are_accepted_once() {
    let signer = Signer::ed("a", 1);
    let mut authenticator = Authenticator::new(Trust { single_use: true, ..trust(vec![signer.key()]) });
    let token = signer.token(&claims());
    assert!(authenticator.authenticate(NOW, token.as_bytes()).is_ok());
    assert_eq!(rejection(&mut authenticator, &token), Rejection::AlreadyUsed);
    // Also over a change of keys; a token that is rejected for another reason is not used up.
    authenticator.set_trust(Trust { single_use: true, ..trust(vec![signer.key()]) });
    assert_eq!(rejection(&mut authenticator, &token), Rejection::AlreadyUsed);
    assert_eq!(
        rejection(&mut authenticator, &signer.token(&claims_with(json!({"jti": "t-2", "iss": "x"})))),
        Rejection::Issuer
    );
    assert!(authenticator
        .authenticate(NOW, signer.token(&claims_with(json!({"jti": "t-2"}))).as_bytes())
        .is_ok());
}

#[test]
fn invalid_keys_are_reported_with_reasons() {
    let valid = Signer::ed("a", 1).key();
    let error = |key: Key| key.check().expect_err("no key").to_string();
    assert!(error(Key { x: "???".into(), ..valid.clone() }).contains("base64url"));
    assert!(error(Key { x: "AAAA".into(), ..valid.clone() }).contains("32 bytes, found 3"));
    assert!(error(Key { y: valid.x.clone(), ..valid.clone() }).contains("has none"));
    assert!(error(Key { algorithm: SignatureAlgorithm::Es256, ..valid }).starts_with("y: "));
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 2000, failure_persistence: None, ..ProptestConfig::default() })]

    /// For arbitrary bytes: nobody is authenticated by bytes that no trusted key has signed, and nothing panics.
    #[test]
    fn unsigned_bytes_authenticate_nobody(bytes in proptest::collection::vec(any::<u8>(), 0..300), offset in 0usize..400, bit in 0u8..8) {
        let signer = Signer::ed("a", 1);
        let mut authenticator = Authenticator::new(trust(vec![signer.key()]));
        prop_assert!(authenticator.authenticate(NOW, &bytes).is_err());
        let mut token = signer.token(&claims()).into_bytes();
        let offset = offset % token.len();
        token[offset] ^= 1 << bit;
        // The last character of a part may have unused bits, so that the token may still be valid.
        if let Ok(caller) = authenticator.authenticate(NOW, &token) {
            prop_assert_eq!(caller.team, "radiology");
        }
    }
}
