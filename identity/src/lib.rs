//! Authentication of callers by signed tokens (RFC 7519, with the advice of RFC 8725): which team a caller speaks for, for which
//! customers, and which operations it may use. Keys come and go in service; tokens are revoked by their id, by their team or with
//! their key. There is no I/O and no clock here; times are Unix seconds.
#![warn(missing_docs)]
mod authenticator;
mod caller;
mod claims;
mod key;
mod rejection;
mod trust;
mod used_tokens;

pub use authenticator::{Authenticator, MAX_TOKEN_BYTES};
pub use caller::Caller;
pub use key::{Key, KeyComponent, KeyError, KeyProblem, SignatureAlgorithm};
pub use rejection::Rejection;
pub use trust::Trust;
