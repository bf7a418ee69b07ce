//! The state of one address, while it has connections and for a while after.
use crate::{ConnectionId, CustomerId, Limits};
use std::collections::{BTreeMap, BTreeSet};
use std::net::IpAddr;

#[derive(Debug)]
pub(crate) struct Address {
    pub connections: BTreeSet<ConnectionId>,
    /// Connections without a command yet.
    pub strangers: usize,
    /// Commands without an answer.
    pub unanswered: usize,
    pub unanswered_by_customer: Counts,
    /// Connections by the customer of their last command.
    pub connections_by_customer: Counts,
    /// The allowance of new connections.
    pub bucket: TokenBucket,
    /// It lies in a network that the operator listed.
    pub is_listed: bool,
    /// Known until then because a command of it was served.
    pub known_until: f64,
}

impl Address {
    pub fn new(now: f64, from: IpAddr, limits: &Limits) -> Address {
        Address {
            connections: BTreeSet::new(),
            strangers: 0,
            unanswered: 0,
            unanswered_by_customer: Counts::default(),
            connections_by_customer: Counts::default(),
            bucket: TokenBucket { tokens: limits.burst, refilled_at: now },
            is_listed: limits.lists(from),
            known_until: 0.0,
        }
    }

    pub fn is_known(&self, now: f64) -> bool {
        self.is_listed || now < self.known_until
    }

    /// It has no connection, is not known, and its bucket is full: nothing is lost if it is forgotten.
    pub fn is_forgettable(&self, now: f64, limits: &Limits) -> bool {
        self.connections.is_empty() && !self.is_known(now) && self.bucket.is_full(now, limits)
    }
}

#[derive(Debug)]
pub(crate) struct TokenBucket {
    tokens: f64,
    refilled_at: f64,
}

impl TokenBucket {
    pub fn refill(&mut self, now: f64, limits: &Limits) {
        let gained = limits.rate * (now - self.refilled_at).max(0.0);
        self.tokens = (self.tokens + gained).min(limits.burst);
        self.refilled_at = now;
    }

    /// Takes a token, if there is a whole one.
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

/// Counts by customer; a count of 0 is not there.
#[derive(Debug, Default)]
pub(crate) struct Counts(BTreeMap<CustomerId, usize>);

impl Counts {
    pub fn of(&self, customer: CustomerId) -> usize {
        self.0.get(&customer).copied().unwrap_or(0)
    }

    /// Customers with a count.
    pub fn customers(&self) -> usize {
        self.0.len()
    }

    pub fn total(&self) -> usize {
        self.0.values().sum()
    }

    pub fn values(&self) -> Vec<usize> {
        self.0.values().copied().collect()
    }

    /// The customer with the highest count, of several the first.
    pub fn highest(&self) -> Option<CustomerCount> {
        let by_count = |(customer, count): &(&CustomerId, &usize)| (**count, std::cmp::Reverse(**customer));
        let (customer, count) = self.0.iter().max_by_key(by_count)?;
        Some(CustomerCount { customer: *customer, count: *count })
    }

    pub fn increment(&mut self, customer: CustomerId) {
        *self.0.entry(customer).or_default() += 1;
    }

    pub fn decrement(&mut self, customer: CustomerId) {
        if let Some(count) = self.0.get_mut(&customer) {
            *count = count.saturating_sub(1);
            if *count == 0 {
                self.0.remove(&customer);
            }
        }
    }
}

pub(crate) struct CustomerCount {
    pub customer: CustomerId,
    pub count: usize,
}
