//! Authenticated callers.
use std::collections::BTreeSet;

/// The authenticated caller of a connection.
#[derive(Clone, Debug, PartialEq)]
pub struct Caller {
    /// Team of the caller.
    pub team: String,
    /// Id of the caller's token.
    pub token_id: String,
    /// Id of the key that signed the token.
    pub key_id: String,
    /// Operations that the caller may use; `None` for all in its team's contract.
    pub operations: Option<BTreeSet<String>>,
    /// Customers for which the caller may send requests; `None` for all in its team's contract.
    pub customers: Option<BTreeSet<u64>>,
    /// Expiry of the token plus the leeway, Unix seconds.
    pub valid_until: f64,
}

impl Caller {
    /// Returns whether the token allows an operation for a customer.
    pub fn is_allowed(&self, operation: &str, customer: u64) -> bool {
        let allows_operation = self.operations.as_ref().is_none_or(|names| names.contains(operation));
        let allows_customer = self.customers.as_ref().is_none_or(|ids| ids.contains(&customer));
        allows_operation && allows_customer
    }
}
