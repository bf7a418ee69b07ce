//! The routing table of the gateway: one lookup by operation and plan, and one by customer.
use super::{Class, Platform, Route, Routes};
use quillramp::types::RequestLimits;
use quillramp_broker::contract::matches_any;
use std::collections::{HashMap, HashSet};
use std::fmt;

/// Limits of a request that a route matches.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct EffectiveLimits {
    /// The limits that the policy engine applies.
    pub request_limits: RequestLimits,
    /// Time after which the request gets its final answer, seconds.
    pub timeout: f64,
}

/// An operation and a plan, by their indexes in the platform's configuration.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct OperationAndPlan {
    operation: usize,
    plan: usize,
}

/// Indexes of the classes for one operation and plan.
#[derive(Clone, Debug, Default, PartialEq)]
struct CustomerRoutes {
    /// By customer, for customers that a route names.
    named: HashMap<u64, usize>,
    /// For all other customers.
    others: Option<usize>,
}

/// All routes, indexed by operation, plan and customer.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Table {
    /// By the index of the class.
    limits: Vec<EffectiveLimits>,
    routes: HashMap<OperationAndPlan, CustomerRoutes>,
}

impl fmt::Display for Table {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        let classes = self.routes.values().flat_map(|routes| routes.named.values().chain(&routes.others));
        let reached: HashSet<usize> = classes.copied().collect();
        write!(f, "{} classes, for {} pairs of operation and plan", reached.len(), self.routes.len())
    }
}

impl Table {
    /// Builds the table from the routes of a file that was checked against this platform.
    pub fn new(routes: &Routes, platform: &Platform) -> Table {
        let limits = |class: &Class| EffectiveLimits {
            request_limits: class.limits(),
            timeout: class.timeout.as_ref().map_or(f64::INFINITY, |timeout| timeout.value),
        };
        let mut table = Table { limits: routes.classes.iter().map(limits).collect(), routes: HashMap::new() };
        for route in &routes.routes {
            table.add(route, platform);
        }
        table
    }

    /// Returns the limits of a request; `None` if no route matches it.
    pub fn lookup(&self, operation: usize, plan: usize, customer: u64) -> Option<EffectiveLimits> {
        let routes = self.routes.get(&OperationAndPlan { operation, plan })?;
        let class = routes.named.get(&customer).copied().or(routes.others)?;
        Some(self.limits[class])
    }

    fn add(&mut self, route: &Route, platform: &Platform) {
        let operations = platform.operations.iter().map(|operation| operation.name.as_str());
        let plans = platform.plans.iter().map(String::as_str);
        let plans = matching_indexes(plans, &route.plans);
        for operation in matching_indexes(operations, &route.operations) {
            for plan in &plans {
                let key = OperationAndPlan { operation, plan: *plan };
                self.routes.entry(key).or_default().add(route);
            }
        }
    }
}

impl CustomerRoutes {
    fn add(&mut self, route: &Route) {
        // A route for all customers makes the routes after it unreachable.
        if self.others.is_some() {
            return;
        }
        for customer in &route.customers {
            self.named.entry(*customer).or_insert(route.class);
        }
        self.others = route.customers.is_empty().then_some(route.class);
    }
}

/// Returns the indexes of the names that match a pattern.
fn matching_indexes<'a>(names: impl Iterator<Item = &'a str>, patterns: &[String]) -> Vec<usize> {
    let matching = names.enumerate().filter(|(_, name)| matches_any(patterns, name));
    matching.map(|(index, _)| index).collect()
}
