//! How many customers an instance keeps accounts of: requests under ever new customers' numbers must not use up the
//! memory, nor keep other clients' new customers out.
use super::reducer::Reducer;

/// Memory of a customer's account, its timers and its calls to the counter, in bytes.
const CUSTOMER_BYTES: usize = 2560;
/// The memory of the process divided by this is the limit for customers' accounts.
const CUSTOMER_MEMORY_DIVISOR: usize = 4;
/// Time for which a client's new customers count against its share, in seconds. Accounts live that long without
/// requests.
const WINDOW_SECONDS: f64 = 12.0;
/// Minimum number of new customers in each window that any client may have.
const MIN_SHARE: usize = 4;

/// Returns the maximum number of customers for a process with this much memory.
pub fn max_customers(memory_bytes: usize) -> usize {
    memory_bytes / CUSTOMER_MEMORY_DIVISOR / CUSTOMER_BYTES
}

/// The customers that the requests of one client have added.
#[derive(Default)]
pub struct AddedCustomers {
    window_started_at: f64,
    count: usize,
}

impl AddedCustomers {
    /// Returns their number in the current window.
    fn count_at(&mut self, now: f64) -> &mut usize {
        if now - self.window_started_at >= WINDOW_SECONDS {
            self.window_started_at = now;
            self.count = 0;
        }
        &mut self.count
    }
}

impl Reducer {
    /// Returns whether a client's request may be accepted as far as the number of customers is concerned. Half of that
    /// number is for whoever needs it first, the other half is divided among the clients.
    pub(super) fn admits_customer(&mut self, now: f64, client: u64, customer: u64) -> bool {
        if self.customers.get(&customer).is_some() {
            return true;
        }
        let max = self.config.max_customers;
        let share = (max / 2 / self.clients.connections.len().max(1)).max(MIN_SHARE);
        let Some(client) = self.clients.connections.get_mut(&client) else { return false };
        let added = client.added_customers.count_at(now);
        let is_admitted = self.customers.len() < max / 2 || self.customers.len() < max && *added < share;
        *added += usize::from(is_admitted);
        is_admitted
    }
}
