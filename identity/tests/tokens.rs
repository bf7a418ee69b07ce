//! Accepted tokens, each reason for which a token is rejected, and changes of the trusted keys.
use proptest::prelude::*;
use quillramp_identity::{Authenticator, Caller, Key, Rejection, SignatureAlgorithm, Trust, MAX_TOKEN_BYTES};
use serde_json::{json, Value};
use std::collections::BTreeSet;

mod help;
use help::Signer;

/// Unix time of the tests, seconds.
const NOW: f64 = 1_764_000_000.0;
/// The trusted issuer, and the audience and the team of a valid token.
const ISSUER: &str = "issuer";
const AUDIENCE: &str = "quillramp";
const TEAM: &str = "radiology";

/// The claims of a valid token.
fn claims() -> Value {
    json!({"iss": ISSUER, "aud": AUDIENCE, "sub": TEAM, "jti": "t-1", "iat": NOW - 10.0, "exp": NOW + 300.0})
}

/// The claims of a valid token with some of them replaced or added.
fn claims_with(changes: Value) -> Value {
    let mut claims = claims();
    for (name, value) in changes.as_object().expect("claims") {
        claims[name] = value.clone();
    }
    claims
}

fn trust(keys: Vec<Key>) -> Trust {
    Trust {
        issuer: ISSUER.into(),
        audience: AUDIENCE.into(),
        keys,
        revoked: BTreeSet::new(),
        leeway: 2.0,
        max_lifetime: 3600.0,
        single_use: false,
    }
}

fn caller(authenticator: &mut Authenticator, now: f64, token: &str) -> Caller {
    authenticator.authenticate(now, token.as_bytes()).expect("a valid token")
}

fn rejection(authenticator: &mut Authenticator, token: &str) -> Rejection {
    authenticator.authenticate(NOW, token.as_bytes()).expect_err("an invalid token")
}

/// The signer whose tokens most tests use.
fn trusted_signer() -> Signer {
    Signer::ed("a", 1)
}

/// An authenticator that trusts this signer's key and another one of the other algorithm.
fn authenticator_trusting(signer: &Signer) -> Authenticator {
    Authenticator::new(trust(vec![signer.key(), Signer::ec("b").key()]))
}

#[test]
fn both_signature_algorithms_are_accepted() {
    let ed25519 = Signer::ed("a", 1);
    let p256 = Signer::ec("b");
    let mut authenticator = Authenticator::new(trust(vec![ed25519.key(), p256.key()]));
    let claims =
        claims_with(json!({"ops": ["look"], "customers": ["00000000b4d65521"], "aud": ["x", AUDIENCE]}));
    for signer in [&ed25519, &p256] {
        signer.key().check().expect("a valid key");
        let caller = caller(&mut authenticator, NOW, &signer.token(&claims));
        assert_eq!(caller.team, TEAM);
        assert_eq!(caller.key_id, signer.id);
        assert!(caller.is_allowed("look", 0xb4d65521));
        assert!(!caller.is_allowed("order", 0xb4d65521), "another operation");
        assert!(!caller.is_allowed("look", 1), "another customer");
    }
}

#[test]
fn claims_are_rejected_with_their_reason() {
    let signer = trusted_signer();
    let mut authenticator = authenticator_trusting(&signer);
    let mut rejection_with =
        |changes: Value| rejection(&mut authenticator, &signer.token(&claims_with(changes)));
    assert_eq!(rejection_with(json!({"iss": "others"})), Rejection::Issuer);
    assert_eq!(rejection_with(json!({"aud": "others"})), Rejection::Audience);
    assert_eq!(rejection_with(json!({"exp": NOW - 3.0})), Rejection::Expired);
    assert_eq!(rejection_with(json!({"nbf": NOW + 3.0})), Rejection::NotYetValid);
    assert_eq!(rejection_with(json!({"iat": NOW + 60.0})), Rejection::NotYetValid);
    assert_eq!(rejection_with(json!({"exp": NOW + 9999.0})), Rejection::LifetimeTooLong);
    assert_eq!(rejection_with(json!({"exp": "soon"})), Rejection::Malformed);
    assert_eq!(rejection_with(json!({"sub": ""})), Rejection::Malformed);
    assert_eq!(rejection_with(json!({"customers": ["12"]})), Rejection::Malformed);
    assert_eq!(rejection_with(json!({"ops": vec!["x"; 300]})), Rejection::Malformed);
    assert_eq!(rejection_with(json!({"ops": {"deep": [[[[]]]]}})), Rejection::Malformed);
}

#[test]
fn foreign_and_malformed_tokens_are_rejected_with_their_reason() {
    let signer = trusted_signer();
    let mut authenticator = authenticator_trusting(&signer);
    let mut rejection = |token: &str| rejection(&mut authenticator, token);
    let same_id_other_key = Signer::ed("a", 2);
    assert_eq!(rejection(&same_id_other_key.token(&claims())), Rejection::Signature);
    let unknown_id = Signer::ed("z", 1);
    assert_eq!(rejection(&unknown_id.token(&claims())), Rejection::UnknownKey);
    assert_eq!(rejection(&"x".repeat(MAX_TOKEN_BYTES + 1)), Rejection::TooLong);
    let long_claims = claims_with(json!({"more": "x".repeat(MAX_TOKEN_BYTES)}));
    assert_eq!(rejection(&signer.token(&long_claims)), Rejection::TooLong);
    assert_eq!(rejection("a.b"), Rejection::Malformed);
    assert!(authenticator.authenticate(NOW, &[0xff, 0xfe]).is_err());
}

/// The header names `none`, a shared-secret algorithm that would use the public key as the secret, or the algorithm of another key.
#[test]
fn tokens_whose_header_names_another_algorithm_or_no_key_are_rejected() {
    let signer = trusted_signer();
    let mut authenticator = authenticator_trusting(&signer);
    let mut rejection_of_header =
        |header: Value| rejection(&mut authenticator, &signer.sign(header, &claims()));
    let header = |algorithm: &str, key_id: &str| json!({"alg": algorithm, "typ": "JWT", "kid": key_id});
    assert_eq!(rejection_of_header(header("none", "a")), Rejection::Malformed);
    assert_eq!(rejection_of_header(header("HS256", "a")), Rejection::Algorithm);
    assert_eq!(rejection_of_header(header("ES256", "a")), Rejection::Algorithm);
    assert_eq!(rejection_of_header(header("EdDSA", "b")), Rejection::Algorithm);
    assert_eq!(rejection_of_header(json!({"alg": "EdDSA"})), Rejection::UnknownKey);
}

#[test]
fn altered_tokens_are_rejected() {
    let signer = trusted_signer();
    let mut authenticator = authenticator_trusting(&signer);
    let token = signer.token(&claims());
    let (signed_text, signature) = token.rsplit_once('.').expect("three parts");
    let altered = format!("{}.{signature}", signed_text.replace('a', "b"));
    assert!(authenticator.authenticate(NOW, altered.as_bytes()).is_err());
}

#[test]
fn no_reason_of_a_rejection_has_contents_of_the_token() {
    assert!(!Rejection::Signature.to_string().contains(TEAM));
}

struct AuthenticatedCaller {
    authenticated_at: f64,
    caller: Caller,
}

/// A token of a team that is issued now and valid for 90 s.
fn token_of_team(signer: &Signer, team: &str, now: f64) -> String {
    let token_id = format!("{}-{team}", signer.id);
    signer.token(&claims_with(json!({"sub": team, "jti": token_id, "iat": now, "exp": now + 90.0})))
}

/// Keys overlap: the next key is trusted before the last one expires, and tokens of both are accepted. Over several rotations no
/// valid caller is rejected, and each caller is authenticated as its own team.
#[test]
fn keys_are_rotated_in_service() {
    const ROUND: f64 = 60.0;
    let ids = ["k0", "k1", "k2", "k3", "k4", "k5", "k6", "k7"];
    let signers: Vec<Signer> = ids.iter().zip(1..).map(|(id, seed)| Signer::ed(id, seed)).collect();
    let mut authenticator = Authenticator::new(trust(vec![signers[0].key()]));
    let mut callers: Vec<AuthenticatedCaller> = vec![];
    for round in 0..signers.len() - 1 {
        let now = NOW + ROUND * round as f64;
        let (old, new) = (&signers[round], &signers[round + 1]);
        // Both keys are valid; the old one until its tokens have expired.
        let expiring = Key { valid_until: now + 120.0, ..old.key() };
        authenticator.set_trust(trust(vec![expiring, new.key()]));
        for (index, signer) in [old, new].into_iter().enumerate() {
            let team = format!("team-{}", round * 10 + index);
            let token = token_of_team(signer, &team, now);
            let caller = caller(&mut authenticator, now, &token);
            assert_eq!(caller.team, team);
            callers.push(AuthenticatedCaller { authenticated_at: now, caller });
        }
        let is_valid = |caller: &&AuthenticatedCaller| {
            let has_current_key = [&old.id, &new.id].contains(&&caller.caller.key_id);
            has_current_key && now < caller.authenticated_at + 80.0
        };
        for valid in callers.iter().filter(is_valid) {
            assert_eq!(authenticator.revalidate(now, &valid.caller), Ok(()));
        }
    }
    let first = &callers[0].caller;
    let verdict = authenticator.revalidate(NOW + 400.0, first);
    assert_eq!(verdict, Err(Rejection::UnknownKey), "its key is not trusted any more");
}

#[test]
fn a_revoked_token_or_team_is_rejected_at_once() {
    let signer = trusted_signer();
    let mut authenticator = Authenticator::new(trust(vec![signer.key()]));
    let token = signer.token(&claims());
    let caller = caller(&mut authenticator, NOW, &token);
    for revoked in ["t-1", TEAM] {
        let revoked_names = BTreeSet::from([revoked.to_owned()]);
        authenticator.set_trust(Trust { revoked: revoked_names, ..trust(vec![signer.key()]) });
        assert_eq!(authenticator.revalidate(NOW, &caller), Err(Rejection::Revoked), "{revoked}");
        assert_eq!(rejection(&mut authenticator, &token), Rejection::Revoked, "{revoked}");
    }
}

#[test]
fn a_key_outside_its_time_of_validity_is_rejected_at_once() {
    let signer = trusted_signer();
    let mut authenticator = Authenticator::new(trust(vec![signer.key()]));
    let token = signer.token(&claims());
    let caller = caller(&mut authenticator, NOW, &token);
    authenticator.set_trust(trust(vec![Key { valid_until: NOW - 5.0, ..signer.key() }]));
    assert_eq!(authenticator.revalidate(NOW, &caller), Err(Rejection::KeyExpired));
    assert_eq!(rejection(&mut authenticator, &token), Rejection::KeyExpired);
    authenticator.set_trust(trust(vec![Key { valid_from: NOW + 5.0, ..signer.key() }]));
    assert_eq!(rejection(&mut authenticator, &token), Rejection::KeyNotYetValid);
    authenticator.set_trust(trust(vec![signer.key()]));
    assert_eq!(authenticator.revalidate(NOW, &caller), Ok(()), "its key is valid again");
}

#[test]
fn a_caller_is_valid_until_its_token_expires_with_the_leeway() {
    let signer = trusted_signer();
    let mut authenticator = Authenticator::new(trust(vec![signer.key()]));
    let caller = caller(&mut authenticator, NOW, &signer.token(&claims()));
    assert_eq!(authenticator.revalidate(NOW + 301.0, &caller), Ok(()));
    assert_eq!(authenticator.revalidate(NOW + 303.0, &caller), Err(Rejection::Expired));
}

#[test]
fn single_use_tokens_are_accepted_once() {
    let signer = trusted_signer();
    let single_use = || Trust { single_use: true, ..trust(vec![signer.key()]) };
    let mut authenticator = Authenticator::new(single_use());
    let token = signer.token(&claims());
    assert!(authenticator.authenticate(NOW, token.as_bytes()).is_ok());
    assert_eq!(rejection(&mut authenticator, &token), Rejection::AlreadyUsed);
    authenticator.set_trust(single_use());
    assert_eq!(rejection(&mut authenticator, &token), Rejection::AlreadyUsed, "after a change of keys, too");
    // A token that is rejected for another reason is not used up.
    let of_other_issuer = signer.token(&claims_with(json!({"jti": "t-2", "iss": "x"})));
    assert_eq!(rejection(&mut authenticator, &of_other_issuer), Rejection::Issuer);
    let same_id = signer.token(&claims_with(json!({"jti": "t-2"})));
    assert!(authenticator.authenticate(NOW, same_id.as_bytes()).is_ok());
}

#[test]
fn invalid_keys_are_reported_with_reasons() {
    let valid = trusted_signer().key();
    let error = |key: Key| key.check().expect_err("an invalid key").to_string();
    let no_base64 = error(Key { x: "???".into(), ..valid.clone() });
    assert!(no_base64.contains("base64url"), "{no_base64}");
    let too_short = error(Key { x: "AAAA".into(), ..valid.clone() });
    assert!(too_short.contains("32 bytes, found 3"), "{too_short}");
    let with_y = error(Key { y: valid.x.clone(), ..valid.clone() });
    assert!(with_y.contains("has no such coordinate"), "{with_y}");
    let without_y = error(Key { algorithm: SignatureAlgorithm::Es256, ..valid });
    assert!(without_y.starts_with("y: "), "{without_y}");
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 2000, failure_persistence: None, ..ProptestConfig::default() })]

    /// For arbitrary bytes: bytes that no trusted key has signed authenticate no caller and cause no panic.
    #[test]
    fn unsigned_bytes_authenticate_nobody(
        bytes in proptest::collection::vec(any::<u8>(), 0..300),
        offset in 0usize..400,
        bit in 0u8..8,
    ) {
        let signer = trusted_signer();
        let mut authenticator = Authenticator::new(trust(vec![signer.key()]));
        prop_assert!(authenticator.authenticate(NOW, &bytes).is_err());
        let mut token = signer.token(&claims()).into_bytes();
        let offset = offset % token.len();
        token[offset] ^= 1 << bit;
        // The last character of a part may have unused bits, so that the token may still be valid.
        if let Ok(caller) = authenticator.authenticate(NOW, &token) {
            prop_assert_eq!(caller.team, TEAM);
        }
    }
}
