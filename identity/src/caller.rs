//! Who was authenticated.
use std::collections::BTreeSet;

/// Who speaks on a connection.
#[derive(Clone, Debug, PartialEq)]
pub struct Caller {
    /// The team that it speaks for.
    pub team: String,
    /// The id of its token.
    pub token_id: String,
    /// The id of the key that signed it.
    pub key_id: String,
    /// The operations that it may use; none: all of its contract.
    pub operations: Option<BTreeSet<String>>,
    /// The customers that it speaks for; none: all of its contract.
    pub customers: Option<BTreeSet<u64>>,
    /// When its token ends, with the leeway, Unix seconds.
    pub valid_until: f64,
}

impl Caller {
    /// Whether its token allows an operation for a customer.
    pub fn may(&self, operation: &str, customer: u64) -> bool {
        let allows_operation = self.operations.as_ref().is_none_or(|names| names.contains(operation));
        let allows_customer = self.customers.as_ref().is_none_or(|ids| ids.contains(&customer));
        allows_operation && allows_customer
    }
}
