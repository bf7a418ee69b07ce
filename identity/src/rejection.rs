//! The reasons for which a token is rejected.

/// Why a token is rejected. A reason never includes contents of the token, which may be a misplaced secret.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, thiserror::Error)]
pub enum Rejection {
    /// The token is longer than [`MAX_TOKEN_BYTES`](crate::MAX_TOKEN_BYTES).
    #[error("the token is too long")]
    TooLong,
    /// The string is not a token, or a claim is missing or has the wrong type.
    #[error("no token that can be read")]
    Malformed,
    /// The token names no key, or a key that is not trusted.
    #[error("no key of this id is trusted")]
    UnknownKey,
    /// The token names an algorithm other than that of its key.
    #[error("the key signs in another way")]
    Algorithm,
    /// The key of the token is not valid yet.
    #[error("the key does not hold yet")]
    KeyNotYetValid,
    /// The key of the token has expired.
    #[error("the key is over")]
    KeyExpired,
    /// The key does not verify the signature.
    #[error("the signature does not fit")]
    Signature,
    /// The token names another issuer.
    #[error("another issuer's")]
    Issuer,
    /// The token names another audience.
    #[error("meant for somebody else")]
    Audience,
    /// The token is not valid yet.
    #[error("it does not hold yet")]
    NotYetValid,
    /// The token has expired.
    #[error("it is over")]
    Expired,
    /// The remaining lifetime of the token exceeds the maximum.
    #[error("it lasts for too long")]
    LifetimeTooLong,
    /// The token's id or its team is revoked.
    #[error("it is revoked")]
    Revoked,
    /// The single-use token was used before.
    #[error("it was used before")]
    AlreadyUsed,
    /// The set of used tokens is full.
    #[error("too many tokens at once")]
    TooManyTokens,
}
