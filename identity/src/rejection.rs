//! Why a token is rejected.

/// Why a token is rejected. What it holds is never part of it: it may be a secret gone astray.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, thiserror::Error)]
pub enum Rejection {
    /// Longer than [`MAX_TOKEN_BYTES`](crate::MAX_TOKEN_BYTES).
    #[error("the token is too long")]
    TooLong,
    /// Not a token, or a claim is missing or not of its type.
    #[error("no token that can be read")]
    Malformed,
    /// It names no key, or none that is trusted.
    #[error("no key of this id is trusted")]
    UnknownKey,
    /// It names an algorithm that is not its key's.
    #[error("the key signs in another way")]
    Algorithm,
    /// Its key is not trusted yet.
    #[error("the key does not hold yet")]
    KeyNotYetValid,
    /// Its key is trusted no more.
    #[error("the key is over")]
    KeyExpired,
    /// Its key did not sign it.
    #[error("the signature does not fit")]
    Signature,
    /// Another issuer's.
    #[error("another issuer's")]
    Issuer,
    /// Meant for somebody else.
    #[error("meant for somebody else")]
    Audience,
    /// Its time has not begun.
    #[error("it does not hold yet")]
    NotYetValid,
    /// Its time is up.
    #[error("it is over")]
    Expired,
    /// Valid for longer than a token may be.
    #[error("it lasts for too long")]
    LifetimeTooLong,
    /// Its id or its team is revoked.
    #[error("it is revoked")]
    Revoked,
    /// It may be used once and was.
    #[error("it was used before")]
    AlreadyUsed,
    /// Too many tokens that may be used once are remembered.
    #[error("too many tokens at once")]
    TooManyTokens,
}
