//! The reasons for which a token is rejected.

/// Why a token is rejected. A reason never includes contents of the token, which may be a misplaced secret.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, thiserror::Error)]
pub enum Rejection {
    /// It is longer than [`MAX_TOKEN_BYTES`](crate::MAX_TOKEN_BYTES).
    #[error("the token is too long")]
    TooLong,
    /// It is no token, or a claim is missing or of the wrong type.
    #[error("no token that can be read")]
    Malformed,
    /// It names no key, or one that is not trusted.
    #[error("no key of this id is trusted")]
    UnknownKey,
    /// It names another algorithm than that of its key.
    #[error("the key signs in another way")]
    Algorithm,
    /// Its key is not valid yet.
    #[error("the key does not hold yet")]
    KeyNotYetValid,
    /// Its key is not valid any more.
    #[error("the key is over")]
    KeyExpired,
    /// The signature is not that of its key.
    #[error("the signature does not fit")]
    Signature,
    /// It is of another issuer.
    #[error("another issuer's")]
    Issuer,
    /// It is for another audience.
    #[error("meant for somebody else")]
    Audience,
    /// It is not valid yet.
    #[error("it does not hold yet")]
    NotYetValid,
    /// It has expired.
    #[error("it is over")]
    Expired,
    /// It is valid for longer than a token may be.
    #[error("it lasts for too long")]
    LifetimeTooLong,
    /// Its id or its team is revoked.
    #[error("it is revoked")]
    Revoked,
    /// It is for single use and was used before.
    #[error("it was used before")]
    AlreadyUsed,
    /// The memory of used single-use tokens is full.
    #[error("too many tokens at once")]
    TooManyTokens,
}
