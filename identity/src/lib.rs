//! Authentication of callers by signed tokens (RFC 7519, following the best practices of RFC 8725). A token states the caller's
//! team, its customers, and the operations that it may use. Keys can be replaced at run time; tokens are revoked by their id, by
//! their team or together with their key. There is no I/O and no clock here; times are Unix seconds.
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
