//! The budget for connections' buffers: everything is counted once and given back once.
use proptest::prelude::*;
use quillramp_gateway::state::memory_budget::{HeldMemory, MemoryBudget, MemoryUse};
use std::collections::HashMap;

const MEBIBYTE: usize = 1024 * 1024;
const USES: [MemoryUse; 3] = [MemoryUse::Input, MemoryUse::Commands, MemoryUse::Output];

/// A step of a connection's life.
#[derive(Clone, Debug)]
enum Step {
    /// The connection is opened, unless it is open.
    Open(usize),
    /// Its use of memory for one purpose changes.
    Set { connection: usize, memory_use: usize, bytes: usize },
    /// It is closed.
    Close(usize),
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let step = prop_oneof![
        (0..8usize).prop_map(Step::Open),
        (0..8usize, 0..3usize, 0..5_000_000usize).prop_map(|(connection, memory_use, bytes)| Step::Set {
            connection,
            memory_use,
            bytes
        }),
        (0..8usize).prop_map(Step::Close),
    ];
    prop::collection::vec(step, 0..200)
}

proptest! {
    /// Guards against memory that is counted twice or never given back, after which a client is rejected for good.
    #[test]
    fn the_sum_is_what_open_connections_hold(steps in steps()) {
        let budget = MemoryBudget::new(32 * MEBIBYTE);
        let mut open: HashMap<usize, (HeldMemory, [usize; 3])> = HashMap::new();
        for step in steps {
            match step {
                Step::Open(id) => {
                    open.entry(id).or_insert_with(|| (HeldMemory::new(budget.clone(), true), [0; 3]));
                }
                Step::Set { connection, memory_use, bytes } => {
                    if let Some((held, model)) = open.get_mut(&connection) {
                        held.set(USES[memory_use], bytes);
                        model[memory_use] = bytes;
                    }
                }
                Step::Close(id) => drop(open.remove(&id)),
            }
            let expected: usize = open.values().flat_map(|(_, model)| model).sum();
            prop_assert_eq!(budget.used_bytes(), expected);
        }
        drop(open);
        prop_assert_eq!(budget.used_bytes(), 0);
        prop_assert_eq!(budget.max_bytes(), MemoryBudget::new(32 * MEBIBYTE).max_bytes());
    }
}

/// Guards against a client that takes the memory of all others: each connection keeps a share.
#[test]
fn a_connection_that_fills_the_memory_leaves_the_others_their_shares() {
    let budget = MemoryBudget::new(32 * MEBIBYTE);
    let usual: Vec<HeldMemory> = (0..100).map(|_| HeldMemory::new(budget.clone(), true)).collect();
    let greedy = HeldMemory::new(budget.clone(), true);
    let mut taken = 0;
    while greedy.allows(1024) {
        taken += 1024;
        greedy.set(MemoryUse::Commands, taken);
    }
    assert!(taken > MEBIBYTE && taken < 8 * MEBIBYTE, "{taken} bytes for one client");
    assert!(usual.iter().all(|held| held.allows(4 * 1024)), "every other one may hold some commands");
}

/// Guards against shares that add up to more than the limit.
#[test]
fn connections_that_all_take_what_they_may_stay_within_the_limit() {
    for (memory_mb, connections) in [(32, 10), (32, 300), (32, 900), (64, 900), (192, 50), (192, 900)] {
        let budget = MemoryBudget::new(memory_mb * MEBIBYTE);
        let held: Vec<HeldMemory> = (0..connections).map(|_| HeldMemory::new(budget.clone(), true)).collect();
        let mut progress = true;
        while progress {
            progress = false;
            for connection in held.iter().filter(|connection| connection.allows(1024)) {
                connection.set(MemoryUse::Commands, connection.total() + 1024);
                progress = true;
            }
        }
        assert!(budget.used_bytes() <= budget.max_bytes(), "{memory_mb} MiB, {connections} connections");
    }
}
