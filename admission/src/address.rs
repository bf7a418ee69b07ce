//! The state of one client address: its connections, its pending commands and its token bucket. It outlives the last connection
//! until nothing would be lost by forgetting it.
use crate::{ConnectionId, CustomerId, Limits};
use std::collections::{BTreeMap, BTreeSet};
use std::net::IpAddr;

/// The state of one client address.
#[derive(Debug)]
pub(crate) struct Address {
    /// Its open connections.
    pub connections: BTreeSet<ConnectionId>,
    /// Number of its connections that have not sent a command yet.
    pub unidentified: usize,
    /// Number of its pending commands.
    pub pending: usize,
    /// Its pending commands by customer.
    pub pending_by_customer: Counts,
    /// Its connections by the customer of their last command.
    pub connections_by_customer: Counts,
    /// Rate limit of new connections.
    pub bucket: TokenBucket,
    /// Whether it lies in a network that the operator listed.
    pub is_listed: bool,
    /// Time until which it is known because a command of it was served, seconds.
    pub known_until: f64,
}

impl Address {
    /// An address without connections, with a full bucket.
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

    /// Counts a connection by the customer of its last command; none if it has sent no command yet.
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

    /// Whether it is listed, or a command of it was served lately.
    pub fn is_known(&self, now: f64) -> bool {
        self.is_listed || now < self.known_until
    }

    /// Whether nothing is lost by forgetting it: it has no connection, is not known, and its bucket is full.
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
    /// Adds the tokens since the last refill, up to the burst.
    pub fn refill(&mut self, now: f64, limits: &Limits) {
        let gained = limits.rate * (now - self.refilled_at).max(0.0);
        self.tokens = (self.tokens + gained).min(limits.burst);
        self.refilled_at = now;
    }

    /// Takes one token; false if there is less than one.
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
    /// The count of a customer.
    pub fn count(&self, customer: CustomerId) -> usize {
        self.0.get(&customer).copied().unwrap_or(0)
    }

    /// Number of customers with a count.
    pub fn customers(&self) -> usize {
        self.0.len()
    }

    /// The sum of all counts.
    pub fn total(&self) -> usize {
        self.0.values().sum()
    }

    /// The counts, by customer.
    pub fn values(&self) -> Vec<usize> {
        self.0.values().copied().collect()
    }

    /// The customer with the highest count; of several the one with the lowest id.
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

/// A customer and its count.
pub(crate) struct CustomerCount {
    /// The customer.
    pub customer: CustomerId,
    /// Its count, above 0.
    pub count: usize,
}
