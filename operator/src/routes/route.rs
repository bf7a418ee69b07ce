//! The sections `[[route]]`: the requests to which a class applies.
use super::class::{self, Class};
use super::Platform;
use crate::document::{Document, Located, Section};
use quillramp_broker::contract::matches_any;
use std::collections::{HashMap, HashSet};

/// Diagnostic for an empty list.
const EMPTY_LIST_MESSAGE: &str =
    "expected at least one element, found an empty list; omit the key to match everything";

/// A rule that matches requests by operation, plan and customer; an empty list matches all.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Route {
    /// The line on which the route begins, counted from 1.
    pub line: usize,
    /// Patterns of operations, see [`matches_any`].
    pub operations: Vec<String>,
    /// Names of plans.
    pub plans: Vec<String>,
    /// Ids of customers.
    pub customers: Vec<u64>,
    /// The index of the route's class in [`Routes::classes`](super::Routes::classes).
    pub class: usize,
}

impl Route {
    /// Returns whether the route matches every request that a later route matches.
    fn covers(&self, later: &Route) -> bool {
        let covers_customers = self.customers.is_empty()
            || !later.customers.is_empty() && later.customers.iter().all(|id| self.customers.contains(id));
        covers_customers
            && covers_names(&self.operations, &later.operations)
            && covers_names(&self.plans, &later.plans)
    }
}

fn covers_names(patterns: &[String], later: &[String]) -> bool {
    let covers =
        |name: &String| patterns.contains(name) || !name.ends_with('*') && matches_any(patterns, name);
    patterns.is_empty() || !later.is_empty() && later.iter().all(covers)
}

/// Reads all routes and reports errors to the document, including routes that an earlier route makes unreachable.
pub(super) fn read_all(
    document: &Document,
    file: &Section,
    classes: &[Class],
    platform: Option<&Platform>,
) -> Vec<Route> {
    let mut routes = RouteIndex::default();
    for section in file.sections("route") {
        if let Some(route) = read(document, &section, classes, platform) {
            if let Some(line) = routes.line_that_covers(&route) {
                let message = format!("is unreachable: the route on line {line} matches all of its requests");
                document.report(route.line, "route", message);
            }
            routes.push(route);
        }
        section.finish();
    }
    routes.routes
}

/// Routes in the order of the file, indexed by the customers that they name, because a file may have thousands of routes.
#[derive(Default)]
struct RouteIndex {
    routes: Vec<Route>,
    /// Indexes of the routes that name a customer; under `None`, of the routes that name no customer.
    by_customer: HashMap<Option<u64>, Vec<usize>>,
}

impl RouteIndex {
    /// Returns the line of the first route that matches every request of a later route.
    fn line_that_covers(&self, later: &Route) -> Option<usize> {
        // Only routes that name no customer, or the first customer of the later one, can cover it.
        let for_all = self.by_customer.get(&None);
        let first_customer = later.customers.first();
        let naming_first = first_customer.and_then(|customer| self.by_customer.get(&Some(*customer)));
        let candidates = for_all.into_iter().chain(naming_first).flatten();
        let earlier = candidates.map(|index| &self.routes[*index]);
        earlier.filter(|route| route.covers(later)).map(|route| route.line).min()
    }

    fn push(&mut self, route: Route) {
        let index = self.routes.len();
        if route.customers.is_empty() {
            self.by_customer.entry(None).or_default().push(index);
        }
        for customer in &route.customers {
            self.by_customer.entry(Some(*customer)).or_default().push(index);
        }
        self.routes.push(route);
    }
}

fn read(
    document: &Document,
    section: &Section,
    classes: &[Class],
    platform: Option<&Platform>,
) -> Option<Route> {
    let operations = read_names(section, "operations");
    let plans = read_names(section, "plans");
    let customers = read_customers(section);
    report_duplicates(document, "operations", &operations);
    report_duplicates(document, "plans", &plans);
    if let Some(platform) = platform {
        check_operations(document, &operations, platform);
        check_plans(document, &plans, platform);
    }
    let class = class::find(section, classes)?;
    let values = |names: Vec<Located<String>>| names.into_iter().map(|name| name.value).collect();
    Some(Route { line: section.line, operations: values(operations), plans: values(plans), customers, class })
}

fn read_names(section: &Section, key: &'static str) -> Vec<Located<String>> {
    let names = section.strings(key);
    if names.as_ref().is_some_and(Vec::is_empty) {
        section.report(key, EMPTY_LIST_MESSAGE);
    }
    names.unwrap_or_default()
}

fn read_customers(section: &Section) -> Vec<u64> {
    let customers = section.customers("customers");
    if section.is_empty_list("customers") {
        section.report("customers", EMPTY_LIST_MESSAGE);
    }
    let mut seen = HashSet::new();
    if let Some(repeated) = customers.iter().find(|customer| !seen.insert(**customer)) {
        section.report("customers", format!("expected each id once, found '{repeated:016x}' again"));
    }
    customers
}

fn report_duplicates(document: &Document, key: &str, names: &[Located<String>]) {
    let mut seen = HashSet::new();
    for name in names.iter().filter(|name| !seen.insert(&name.value)) {
        document.report(name.line, key, format!("expected each name once, found '{}' again", name.value));
    }
}

fn check_operations(document: &Document, patterns: &[Located<String>], platform: &Platform) {
    let names: Vec<&str> = platform.operations.iter().map(|operation| operation.name.as_str()).collect();
    for pattern in patterns {
        let is_known = names.iter().any(|name| matches_any(std::slice::from_ref(&pattern.value), name));
        if !is_known {
            let message = format!(
                "expected a pattern that matches one of {1}, found '{0}'",
                pattern.value,
                names.join(", ")
            );
            document.report(pattern.line, "operations", message);
        }
    }
}

fn check_plans(document: &Document, plans: &[Located<String>], platform: &Platform) {
    for plan in plans.iter().filter(|plan| !platform.plans.contains(&plan.value)) {
        let known = platform.plans.join(", ");
        let message = format!("expected one of {known}, found '{}'", plan.value);
        document.report(plan.line, "plans", message);
    }
}
