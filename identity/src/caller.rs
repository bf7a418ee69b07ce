//! Authenticated callers.
use std::collections::BTreeSet;

/// The authenticated caller of a connection.
#[derive(Clone, Debug, PartialEq)]
pub struct Caller {
    /// Its team.
    pub team: String,
    /// The id of its token.
    pub token_id: String,
    /// The id of the key that signed it.
    pub key_id: String,
    /// The operations that it may use; none: all that its team's contract includes.
    pub operations: Option<BTreeSet<String>>,
    /// The customers for which it may send requests; none: all that its team's contract includes.
    pub customers: Option<BTreeSet<u64>>,
    /// Expiry of its token plus the leeway, Unix seconds.
    pub valid_until: f64,
}

impl Caller {
    /// Whether its token allows an operation for a customer.
    pub fn is_allowed(&self, operation: &str, customer: u64) -> bool {
        let allows_operation = self.operations.as_ref().is_none_or(|names| names.contains(operation));
        let allows_customer = self.customers.as_ref().is_none_or(|ids| ids.contains(&customer));
        allows_operation && allows_customer
    }
}
