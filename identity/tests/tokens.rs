//! Tokens that are taken, and each reason for which one is not.
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

fn with(changes: Value) -> Value {
    let mut all = claims();
    for (name, value) in changes.as_object().expect("claims") {
        all[name] = value.clone();
    }
    all
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
fn both_ways_of_signing_are_taken() {
    let (ed, ec) = (Signer::ed("a", 1), Signer::ec("b"));
    let mut authenticator = Authenticator::new(trust(vec![ed.key(), ec.key()]));
    for signer in [&ed, &ec] {
        signer.key().check().expect("a key");
        let claims =
            with(json!({"ops": ["look"], "customers": ["00000000b4d65521"], "aud": ["x", "quillramp"]}));
        let caller = authenticator.authenticate(NOW, signer.token(&claims).as_bytes()).expect("taken");
        assert_eq!((caller.team.as_str(), caller.key_id.as_str()), ("radiology", signer.id.as_str()));
        assert!(caller.may("look", 0xb4d65521) && !caller.may("order", 0xb4d65521) && !caller.may("look", 1));
    }
}

#[test]
fn each_reason_for_which_one_is_not_taken() {
    let (ours, theirs, ec) = (Signer::ed("a", 1), Signer::ed("a", 2), Signer::ec("b"));
    let mut authenticator = Authenticator::new(trust(vec![ours.key(), ec.key()]));
    let said = |authenticator: &mut Authenticator, changes: Value| {
        rejection(authenticator, &ours.token(&with(changes)))
    };
    assert_eq!(said(&mut authenticator, json!({"iss": "others"})), Rejection::Issuer);
    assert_eq!(said(&mut authenticator, json!({"aud": "others"})), Rejection::Audience);
    assert_eq!(said(&mut authenticator, json!({"exp": NOW - 3.0})), Rejection::Expired);
    assert_eq!(said(&mut authenticator, json!({"nbf": NOW + 3.0})), Rejection::NotYetValid);
    assert_eq!(said(&mut authenticator, json!({"iat": NOW + 60.0})), Rejection::NotYetValid);
    assert_eq!(said(&mut authenticator, json!({"exp": NOW + 9999.0})), Rejection::LifetimeTooLong);
    assert_eq!(said(&mut authenticator, json!({"exp": "soon"})), Rejection::Malformed);
    assert_eq!(said(&mut authenticator, json!({"sub": ""})), Rejection::Malformed);
    assert_eq!(said(&mut authenticator, json!({"customers": ["12"]})), Rejection::Malformed);
    assert_eq!(said(&mut authenticator, json!({"ops": vec!["x"; 300]})), Rejection::Malformed);
    assert_eq!(said(&mut authenticator, json!({"ops": {"deep": [[[[]]]]}})), Rejection::Malformed);
    assert_eq!(rejection(&mut authenticator, &theirs.token(&claims())), Rejection::Signature);
    assert_eq!(rejection(&mut authenticator, &Signer::ed("z", 1).token(&claims())), Rejection::UnknownKey);
    assert_eq!(rejection(&mut authenticator, &"x".repeat(MAX_TOKEN_BYTES + 1)), Rejection::TooLong);
    assert_eq!(
        rejection(&mut authenticator, &ours.token(&with(json!({"more": "x".repeat(MAX_TOKEN_BYTES)})))),
        Rejection::TooLong
    );
    assert_eq!(rejection(&mut authenticator, "a.b"), Rejection::Malformed);
    assert!(authenticator.authenticate(NOW, &[0xff, 0xfe]).is_err());
    // Algorithms: none at all, a shared secret made of the public key, another key's way.
    let head = |alg: &str, kid: &str| json!({"alg": alg, "typ": "JWT", "kid": kid});
    assert_eq!(
        rejection(&mut authenticator, &ours.signs(head("none", "a"), &claims())),
        Rejection::Malformed
    );
    assert_eq!(
        rejection(&mut authenticator, &ours.signs(head("HS256", "a"), &claims())),
        Rejection::Algorithm
    );
    assert_eq!(
        rejection(&mut authenticator, &ours.signs(head("ES256", "a"), &claims())),
        Rejection::Algorithm
    );
    assert_eq!(
        rejection(&mut authenticator, &ours.signs(head("EdDSA", "b"), &claims())),
        Rejection::Algorithm
    );
    assert_eq!(
        rejection(&mut authenticator, &ours.signs(json!({"alg": "EdDSA"}), &claims())),
        Rejection::UnknownKey
    );
    // One bit elsewhere in what is signed.
    let token = ours.token(&claims());
    let (text, signature) = token.rsplit_once('.').expect("three parts");
    let other = text.replace('a', "b");
    assert!(authenticator.authenticate(NOW, format!("{other}.{signature}").as_bytes()).is_err());
    // No reason tells what the token held.
    assert!(!Rejection::Signature.to_string().contains("radiology"));
}

/// Keys overlap: the next one is there before the last one goes, and tokens of both are taken meanwhile. Rotated again and again, no valid
/// caller is refused and no team is taken for another.
#[test]
fn keys_change_in_service() {
    let ids = ["k0", "k1", "k2", "k3", "k4", "k5", "k6", "k7"];
    let signers: Vec<Signer> = ids.iter().enumerate().map(|(i, id)| Signer::ed(id, i as u8 + 1)).collect();
    let mut authenticator = Authenticator::new(trust(vec![signers[0].key()]));
    let mut callers = vec![];
    for round in 0..signers.len() - 1 {
        let now = NOW + 60.0 * round as f64;
        let token = |s: &Signer, team: String| {
            s.token(&with(
                json!({"sub": team, "jti": format!("{}-{round}", s.id), "iat": now, "exp": now + 90.0}),
            ))
        };
        // Both keys hold; the old one until tokens of its are over.
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
        let valid = callers.iter().filter(|(at, c)| now < at + 80.0 && c.key_id != "gone");
        for (_, caller) in
            valid.filter(|(_, c)| c.key_id == signers[round].id || c.key_id == signers[round + 1].id)
        {
            assert_eq!(authenticator.revalidate(now, caller), Ok(()));
        }
    }
    // What was trusted two rounds ago is trusted no more, at once.
    let (_, old) = &callers[0];
    assert_eq!(authenticator.revalidate(NOW + 400.0, old), Err(Rejection::UnknownKey));
}

#[test]
fn what_is_revoked_stops_at_once() {
    let signer = Signer::ed("a", 1);
    let mut authenticator = Authenticator::new(trust(vec![signer.key()]));
    let caller = authenticator.authenticate(NOW, signer.token(&claims()).as_bytes()).expect("taken");
    for what in ["t-1", "radiology"] {
        authenticator
            .set_trust(Trust { revoked: BTreeSet::from([what.to_owned()]), ..trust(vec![signer.key()]) });
        assert_eq!(authenticator.revalidate(NOW, &caller), Err(Rejection::Revoked), "{what}");
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
fn a_token_that_may_be_used_once_is_used_once() {
    let signer = Signer::ed("a", 1);
    let mut authenticator = Authenticator::new(Trust { single_use: true, ..trust(vec![signer.key()]) });
    let token = signer.token(&claims());
    assert!(authenticator.authenticate(NOW, token.as_bytes()).is_ok());
    assert_eq!(rejection(&mut authenticator, &token), Rejection::AlreadyUsed);
    // Over a change of keys as well; and a token that is refused for another reason is not used up.
    authenticator.set_trust(Trust { single_use: true, ..trust(vec![signer.key()]) });
    assert_eq!(rejection(&mut authenticator, &token), Rejection::AlreadyUsed);
    assert_eq!(
        rejection(&mut authenticator, &signer.token(&with(json!({"jti": "t-2", "iss": "x"})))),
        Rejection::Issuer
    );
    assert!(authenticator.authenticate(NOW, signer.token(&with(json!({"jti": "t-2"}))).as_bytes()).is_ok());
}

#[test]
fn keys_that_are_none_say_why() {
    let good = Signer::ed("a", 1).key();
    let why = |key: Key| key.check().expect_err("no key").to_string();
    assert!(why(Key { x: "???".into(), ..good.clone() }).contains("base64url"));
    assert!(why(Key { x: "AAAA".into(), ..good.clone() }).contains("32 bytes, found 3"));
    assert!(why(Key { y: good.x.clone(), ..good.clone() }).contains("has none"));
    assert!(why(Key { algorithm: SignatureAlgorithm::Es256, ..good }).starts_with("y: "));
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 2000, failure_persistence: None, ..ProptestConfig::default() })]

    /// Whatever comes: nobody is let in by bytes that no trusted key has signed, and nothing panics.
    #[test]
    fn what_is_not_signed_opens_nothing(bytes in proptest::collection::vec(any::<u8>(), 0..300), at in 0usize..400, bit in 0u8..8) {
        let signer = Signer::ed("a", 1);
        let mut authenticator = Authenticator::new(trust(vec![signer.key()]));
        prop_assert!(authenticator.authenticate(NOW, &bytes).is_err());
        let mut token = signer.token(&claims()).into_bytes();
        let at = at % token.len();
        token[at] ^= 1 << bit;
        // The last character of a part may hold bits that mean nothing.
        if let Ok(caller) = authenticator.authenticate(NOW, &token) {
            prop_assert_eq!(caller.team, "radiology");
        }
    }
}
