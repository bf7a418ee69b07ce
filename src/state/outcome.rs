//! Kinds of outcomes of attempts: whether the connection to the backend succeeded, whether the backend served the operation, and
//! whether it served the plan.
use crate::types::RequestAttributes;

/// One kind of outcome, as an index into lists with one item per kind.
#[derive(Clone, Copy)]
pub struct OutcomeKind(usize);

impl OutcomeKind {
    /// Whether the connection to the backend succeeded.
    pub const CONNECTION: OutcomeKind = OutcomeKind(0);

    /// Returns its position in a list with one item per kind, which is less than [`OutcomeKinds::count`].
    pub fn index(self) -> usize {
        self.0
    }
}

/// All kinds of outcomes, in this order: the connection, each operation, each plan.
#[derive(Clone, Copy)]
pub struct OutcomeKinds {
    operations: usize,
    plans: usize,
}

impl OutcomeKinds {
    /// Returns the kinds for the given numbers of operations and plans.
    pub fn new(operations: usize, plans: usize) -> OutcomeKinds {
        OutcomeKinds { operations, plans }
    }

    /// Returns the number of kinds.
    pub fn count(self) -> usize {
        1 + self.operations + self.plans
    }

    /// Returns the kinds to which an attempt of the request contributes: the connection, its operation, its plan.
    pub fn of_request(self, attributes: &RequestAttributes) -> [OutcomeKind; 3] {
        let operation = OutcomeKind(1 + attributes.operation);
        let plan = OutcomeKind(1 + self.operations + attributes.plan);
        [OutcomeKind::CONNECTION, operation, plan]
    }
}
