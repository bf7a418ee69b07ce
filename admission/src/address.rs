//! The state of one client address: its connections, its pending commands and its token bucket. The state is kept after the last
//! connection has closed until removing it would have no effect on later verdicts.
use crate::{ConnectionId, CustomerId, Limits};
use std::collections::{BTreeMap, BTreeSet};
use std::net::IpAddr;

/// The state of one client address.
#[derive(Debug)]
pub(crate) struct Address {
    /// Open connections of the address.
    pub connections: BTreeSet<ConnectionId>,
    /// Number of connections that have not sent a command yet.
    pub unidentified: usize,
    /// Number of pending commands.
    pub pending: usize,
    /// Pending commands by customer.
    pub pending_by_customer: Counts,
    /// Connections by the customer of their last command.
    pub connections_by_customer: Counts,
    /// Rate limit of new connections.
    pub bucket: TokenBucket,
    /// Whether the address lies in a network that the operator listed.
    pub is_listed: bool,
    /// Time until which the address is known because a command from it was served, seconds.
    pub known_until: f64,
}

impl Address {
    /// Creates an address without connections and with a full bucket.
    pub fn new(now: f64, from: IpAddr, limits: &Limits) -> Address {
        Address {
            connections: BTreeSet::new(),
            unidentified: 0,
            pending: 0,
            pending_by_customer: Counts::default(),
            connections_by_customer: Counts::default(),
            bucket: TokenBucket { tokens: limits.burst, refilled_at: now },
            is_listed: limits.lists(from),
            known_until: 0.0,
        }
    }

    /// Counts a connection by the customer of its last command; `None` before its first command.
    pub fn count_connection(&mut self, customer: Option<CustomerId>) {
        match customer {
            None => self.unidentified += 1,
            Some(customer) => self.connections_by_customer.increment(customer),
        }
    }

    /// Undoes [`count_connection`](Self::count_connection).
    pub fn discount_connection(&mut self, customer: Option<CustomerId>) {
        match customer {
            None => self.unidentified -= 1,
            Some(customer) => self.connections_by_customer.decrement(customer),
        }
    }

    /// Returns whether the address is listed, or had a command served recently.
    pub fn is_known(&self, now: f64) -> bool {
        self.is_listed || now < self.known_until
    }

    /// Returns whether the state can be removed: the address has no connection, is not known, and its bucket is full.
    pub fn is_forgettable(&self, now: f64, limits: &Limits) -> bool {
        self.connections.is_empty() && !self.is_known(now) && self.bucket.is_full(now, limits)
    }
}

/// A token bucket; a new connection takes one token. The rate and the capacity are those of the [`Limits`].
#[derive(Debug)]
pub(crate) struct TokenBucket {
    tokens: f64,
    /// Time of the last refill, seconds.
    refilled_at: f64,
}

impl TokenBucket {
    /// Adds the tokens accrued since the last refill, up to the burst.
    pub fn refill(&mut self, now: f64, limits: &Limits) {
        let gained = limits.rate * (now - self.refilled_at).max(0.0);
        self.tokens = (self.tokens + gained).min(limits.burst);
        self.refilled_at = now;
    }

    /// Takes one token; false if the bucket has less than one.
    pub fn take(&mut self) -> bool {
        if self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }

    fn is_full(&self, now: f64, limits: &Limits) -> bool {
        self.tokens + limits.rate * (now - self.refilled_at) >= limits.burst
    }
}

/// Counts by customer. Counts of 0 are not stored.
#[derive(Debug, Default)]
pub(crate) struct Counts(BTreeMap<CustomerId, usize>);

impl Counts {
    /// Returns the count of a customer.
    pub fn count(&self, customer: CustomerId) -> usize {
        self.0.get(&customer).copied().unwrap_or(0)
    }

    /// Returns the number of customers with a count.
    pub fn customers(&self) -> usize {
        self.0.len()
    }

    /// Returns the sum of all counts.
    pub fn total(&self) -> usize {
        self.0.values().sum()
    }

    /// Returns the counts, ordered by customer.
    pub fn values(&self) -> Vec<usize> {
        self.0.values().copied().collect()
    }

    /// Returns the customer with the highest count; among equal counts the one with the lowest id.
    pub fn highest(&self) -> Option<CustomerCount> {
        let by_count = |(customer, count): &(&CustomerId, &usize)| (**count, std::cmp::Reverse(**customer));
        let (customer, count) = self.0.iter().max_by_key(by_count)?;
        Some(CustomerCount { customer: *customer, count: *count })
    }

    /// Adds one to the count of a customer.
    pub fn increment(&mut self, customer: CustomerId) {
        *self.0.entry(customer).or_default() += 1;
    }

    /// Subtracts one from the count of a customer; a count of 0 stays 0.
    pub fn decrement(&mut self, customer: CustomerId) {
        if let Some(count) = self.0.get_mut(&customer) {
            *count = count.saturating_sub(1);
            if *count == 0 {
                self.0.remove(&customer);
            }
        }
    }
}

/// A customer with its count.
pub(crate) struct CustomerCount {
    /// The customer.
    pub customer: CustomerId,
    /// The count, above 0.
    pub count: usize,
}
