//! Routes by index, for the gateway: a look-up by operation and plan, and one by customer.
use super::{Class, Platform, Route, Routes};
use quillramp::types::RequestLimits;
use quillramp_broker::contract::matches_any;
use std::collections::{HashMap, HashSet};
use std::fmt;

/// What holds for a request that a route takes.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct EffectiveLimits {
    /// What `quillramp::decide` is told.
    pub declared: RequestLimits,
    /// The longest that the request is worked on, seconds.
    pub timeout: f64,
}

/// An operation and a plan, by their places in the platform's configuration.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct OperationAndPlan {
    operation: usize,
    plan: usize,
}

/// Places of the classes for one operation and plan.
#[derive(Clone, Debug, Default, PartialEq)]
struct CustomerRoutes {
    /// For the customers that are named.
    named: HashMap<u64, usize>,
    /// For all others.
    others: Option<usize>,
}

/// All routes, by operation, plan and customer.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Table {
    /// By the place of the class.
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
    /// The routes of a file that was checked for this platform.
    pub fn new(routes: &Routes, platform: &Platform) -> Table {
        let limits = |class: &Class| EffectiveLimits {
            declared: class.declared(),
            timeout: class.timeout.as_ref().map_or(f64::INFINITY, |timeout| timeout.value),
        };
        let mut table = Table { limits: routes.classes.iter().map(limits).collect(), routes: HashMap::new() };
        for route in &routes.routes {
            table.add(route, platform);
        }
        table
    }

    /// What holds for a request; none where no route takes it.
    pub fn lookup(&self, operation: usize, plan: usize, customer: u64) -> Option<EffectiveLimits> {
        let routes = self.routes.get(&OperationAndPlan { operation, plan })?;
        let class = routes.named.get(&customer).copied().or(routes.others)?;
        Some(self.limits[class])
    }

    fn add(&mut self, route: &Route, platform: &Platform) {
        let operations = platform.operations.iter().map(|operation| operation.name.as_str());
        let plans = platform.plans.iter().map(String::as_str);
        let plans = places(plans, &route.plans);
        for operation in places(operations, &route.operations) {
            for plan in &plans {
                let key = OperationAndPlan { operation, plan: *plan };
                self.routes.entry(key).or_default().add(route);
            }
        }
    }
}

impl CustomerRoutes {
    fn add(&mut self, route: &Route) {
        // What follows a route for all customers is never reached.
        if self.others.is_some() {
            return;
        }
        for customer in &route.customers {
            self.named.entry(*customer).or_insert(route.class);
        }
        self.others = route.customers.is_empty().then_some(route.class);
    }
}

/// Places of the names that match.
fn places<'a>(names: impl Iterator<Item = &'a str>, patterns: &[String]) -> Vec<usize> {
    let matching = names.enumerate().filter(|(_, name)| matches_any(patterns, name));
    matching.map(|(place, _)| place).collect()
}
