//! What the outcomes of attempts are counted by: whether a backend could be connected to, whether it served the operation, and
//! whether it served the plan.
use crate::types::RequestAttributes;

/// One kind of outcome, as an index into what is kept by kind.
#[derive(Clone, Copy)]
pub struct OutcomeKind(usize);

impl OutcomeKind {
    /// Whether the backend could be connected to.
    pub const CONNECTION: OutcomeKind = OutcomeKind(0);

    /// Its position in a list of one item a kind, less than [`OutcomeKinds::count`].
    pub fn index(self) -> usize {
        self.0
    }
}

/// All kinds of outcomes: first the connection, then each operation, then each plan.
#[derive(Clone, Copy)]
pub struct OutcomeKinds {
    operations: usize,
    plans: usize,
}

impl OutcomeKinds {
    /// The kinds where there are so many operations and plans.
    pub fn new(operations: usize, plans: usize) -> OutcomeKinds {
        OutcomeKinds { operations, plans }
    }

    /// How many kinds there are.
    pub fn count(self) -> usize {
        1 + self.operations + self.plans
    }

    /// The kinds that an attempt of such a request counts for: the connection, its operation, its plan.
    pub fn of_request(self, attributes: &RequestAttributes) -> [OutcomeKind; 3] {
        let operation = OutcomeKind(1 + attributes.operation);
        let plan = OutcomeKind(1 + self.operations + attributes.plan);
        [OutcomeKind::CONNECTION, operation, plan]
    }
}
