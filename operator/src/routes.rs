//! Classes of limits and the routes that lead to them: read, checked against the rules and against what the platform's configuration allows.
//! A class can only narrow. Nothing here decides about an invocation; `quillramp::decide` is given what is declared.
use crate::reading::{At, Reading, Section};
use quillramp::types::{Declared, Effect, Group};
use quillramp_broker::contract::matches_any;
use std::collections::{BTreeMap, HashMap, HashSet};
use std::fmt;

/// The most attempts that a file may declare, and the longest time, seconds.
const ATTEMPTS: usize = 32;
const LONGEST: f64 = 600.0;

/// An operation as the platform's configuration has it.
#[derive(Clone, Debug, PartialEq)]
pub struct Operation {
    pub name: String,
    pub effect: Effect,
    /// Seconds: its latency objective, and when its clients give up.
    pub objective: f64,
    pub timeout: f64,
}

/// What the platform's configuration allows, as far as a file is checked against it.
#[derive(Clone, Debug, PartialEq)]
pub struct Platform {
    pub operations: Vec<Operation>,
    pub plans: Vec<String>,
    pub attempts: usize,
    pub second_copies: bool,
    pub sockets: usize,
}

/// Limits that hold for what is routed to them; what is left out is as without the file.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Class {
    pub name: String,
    pub line: usize,
    pub attempts: Option<At<usize>>,
    pub second_copies: Option<At<bool>>,
    pub per_try: Option<At<f64>>,
    pub objective: Option<At<f64>>,
    pub timeout: Option<At<f64>>,
    pub repeat_within: Option<At<f64>>,
    pub repeat_group: Option<At<&'static str>>,
}

impl Class {
    /// As the decisions are given it.
    pub fn declared(&self) -> Declared {
        let plain = Declared::default();
        let or = |is: &Option<At<f64>>, plain: f64| is.as_ref().map_or(plain, |a| a.is);
        Declared {
            attempts: self.attempts.as_ref().map_or(plain.attempts, |a| a.is),
            second_copies: self.second_copies.as_ref().map_or(plain.second_copies, |a| a.is),
            per_try: or(&self.per_try, plain.per_try),
            objective: or(&self.objective, plain.objective),
            repeat_within: or(&self.repeat_within, plain.repeat_within),
        }
    }
}

/// Which invocations a class is for; an empty list stands for all.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Route {
    pub line: usize,
    pub operations: Vec<String>,
    pub plans: Vec<String>,
    pub customers: Vec<u64>,
    /// Its place among the classes.
    pub class: usize,
}

/// All of a file's classes and routes.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Routes {
    pub classes: Vec<Class>,
    /// The first that fits holds.
    pub routes: Vec<Route>,
}

pub fn read(reading: &Reading, file: &Section, platform: Option<&Platform>) -> Routes {
    let mut classes: Vec<Class> = vec![];
    let mut names: BTreeMap<String, usize> = BTreeMap::new();
    for s in file.sections("class") {
        let class = class(&s);
        if !s.has("name") {
            s.fault("name", "is missing");
        } else if class.name.is_empty() {
            s.fault("name", "expected a name");
        } else if let Some(other) = names.insert(class.name.clone(), class.line) {
            s.fault("name", format!("'{}' stands on line {other} already", class.name));
        }
        s.done();
        classes.push(class);
    }
    let mut routes: Vec<Route> = vec![];
    // Those that may cover a later one: all that name no customer, and those that name its first.
    let mut broad: HashMap<Option<u64>, Vec<usize>> = HashMap::new();
    for s in file.sections("route") {
        if let Some(route) = route(reading, &s, &classes, platform) {
            let (all, first) = (broad.get(&None), route.customers.first());
            let named = first.and_then(|c| broad.get(&Some(*c)));
            let earlier = all.into_iter().chain(named).flatten().map(|i| &routes[*i]);
            if let Some(earlier) = earlier.filter(|r| covers(r, &route)).min_by_key(|r| r.line) {
                let why = format!("is never reached: the route on line {} takes all of it", earlier.line);
                reading.fault(route.line, "route", why);
            }
            let keys: Vec<Option<u64>> = route.customers.iter().copied().map(Some).collect();
            let keys = if keys.is_empty() { vec![None] } else { keys };
            keys.into_iter().for_each(|key| broad.entry(key).or_default().push(routes.len()));
            routes.push(route);
        }
        s.done();
    }
    if let Some(platform) = platform {
        let mut said = HashSet::new();
        for route in &routes {
            for operation in platform.operations.iter().filter(|o| matches_any(&route.operations, &o.name)) {
                // One fault for a class and an operation, by however many routes they meet.
                if said.insert((route.class, &operation.name)) {
                    against(reading, (&classes[route.class], route.line), operation, platform);
                }
            }
        }
    }
    Routes { classes, routes }
}

fn class(s: &Section) -> Class {
    let seconds = |name: &'static str| s.number(name, 0.001..=LONGEST);
    let groups = [("all", "all"), ("zone", "zone"), ("cell", "cell")];
    let class = Class {
        name: s.text("name").map(|n| n.is).unwrap_or_default(),
        line: s.line,
        attempts: s.whole("attempts", 1..=ATTEMPTS),
        second_copies: s.yes("second_copies"),
        per_try: seconds("per_try"),
        objective: seconds("objective"),
        timeout: seconds("timeout"),
        repeat_within: seconds("repeat_within"),
        repeat_group: s.word("repeat_group", &groups),
    };
    let is = |at: &Option<At<f64>>| at.as_ref().map(|a| a.is);
    let one = class.attempts.as_ref().is_some_and(|a| a.is == 1);
    if let (Some(objective), Some(timeout)) = (is(&class.objective), is(&class.timeout)) {
        if objective > timeout {
            s.fault("objective", format!("{objective} s lies past the time-out of {timeout} s"));
        }
    }
    if one && class.second_copies.as_ref().is_some_and(|c| c.is) {
        s.fault("second_copies", "a second copy is a second attempt, and attempts = 1");
    }
    if one {
        for name in ["per_try", "repeat_within", "repeat_group"] {
            if s.has(name) {
                s.fault(name, "attempts = 1 leaves nothing that this could be about");
            }
        }
    }
    class
}

fn route(reading: &Reading, s: &Section, classes: &[Class], platform: Option<&Platform>) -> Option<Route> {
    let texts = |name: &'static str| {
        let list = s.texts(name);
        if list.as_ref().is_some_and(Vec::is_empty) {
            s.fault(name, "an empty list takes nothing; leave it out to take all");
        }
        list.unwrap_or_default()
    };
    let (operations, plans) = (texts("operations"), texts("plans"));
    let ids = s.customers("customers");
    if s.empty("customers") {
        s.fault("customers", "an empty list takes nothing; leave it out to take all");
    }
    if let Some((_, again)) = ids.iter().enumerate().find(|(i, id)| ids[..*i].contains(id)) {
        s.fault("customers", format!("'{again:016x}' stands here twice"));
    }
    for (name, list) in [("operations", &operations), ("plans", &plans)] {
        let mut seen = HashSet::new();
        for text in list.iter().filter(|t| !seen.insert(t.is.clone())) {
            reading.fault(text.line, name, format!("'{}' stands here twice", text.is));
        }
    }
    if let Some(platform) = platform {
        for wanted in &operations {
            if !platform.operations.iter().any(|o| matches_any(std::slice::from_ref(&wanted.is), &o.name)) {
                let all: Vec<&str> = platform.operations.iter().map(|o| o.name.as_str()).collect();
                let why = format!("no operation is called '{}'; there are {}", wanted.is, all.join(", "));
                reading.fault(wanted.line, "operations", why);
            }
        }
        for wanted in plans.iter().filter(|w| !platform.plans.contains(&w.is)) {
            let why = format!("no plan is called '{}'; there are {}", wanted.is, platform.plans.join(", "));
            reading.fault(wanted.line, "plans", why);
        }
    }
    let Some(wanted) = s.text("class") else {
        if !s.has("class") {
            s.fault("class", "is missing");
        }
        return None;
    };
    let Some(class) = classes.iter().position(|c| c.name == wanted.is) else {
        s.fault("class", format!("no class is called '{}'", wanted.is));
        return None;
    };
    let names = |list: Vec<At<String>>| list.into_iter().map(|t| t.is).collect::<Vec<_>>();
    Some(Route { line: s.line, operations: names(operations), plans: names(plans), customers: ids, class })
}

/// All that `later` takes, `earlier` takes before it.
fn covers(earlier: &Route, later: &Route) -> bool {
    let names = |a: &[String], b: &[String]| {
        a.is_empty()
            || !b.is_empty() && b.iter().all(|n| a.contains(n) || !n.ends_with('*') && matches_any(a, n))
    };
    let customers = earlier.customers.is_empty()
        || !later.customers.is_empty() && later.customers.iter().all(|c| earlier.customers.contains(c));
    customers && names(&earlier.operations, &later.operations) && names(&earlier.plans, &later.plans)
}

/// A class against the rules, for one operation that is routed to it.
fn against(reading: &Reading, (class, route): (&Class, usize), o: &Operation, platform: &Platform) {
    let key = |name: &str| format!("class '{}'.{name}", class.name);
    let fault = |line: usize, name: &str, why: String| {
        reading.fault(line, key(name), format!("{why} (by the route on line {route})"));
    };
    let (name, idempotent) = (&o.name, o.effect == Effect::Idempotent);
    let attempts = class.attempts.as_ref();
    if let Some(a) = attempts.filter(|a| a.is > 1) {
        if o.effect == Effect::NonIdempotent {
            let why = format!("'{name}' is non-idempotent: a second delivery could have its effect twice");
            fault(a.line, "attempts", why);
        }
        if a.is > platform.attempts {
            fault(a.line, "attempts", format!("the configuration allows {}", platform.attempts));
        }
    }
    if let Some(c) = class.second_copies.as_ref().filter(|c| c.is) {
        match o.effect {
            Effect::NonIdempotent => {
                let why = format!("'{name}' is non-idempotent: a second copy could have its effect twice");
                fault(c.line, "second_copies", why);
            }
            Effect::Tokened { .. } => {
                fault(
                    c.line,
                    "second_copies",
                    format!("'{name}' is tokened: only what is idempotent is copied"),
                );
            }
            Effect::Idempotent if !platform.second_copies => {
                fault(c.line, "second_copies", "the configuration allows none".into());
            }
            Effect::Idempotent => {}
        }
    }
    if let Some(p) = class.per_try.as_ref().filter(|_| !idempotent) {
        let why =
            format!("'{name}' is not idempotent: a delivery of it that is out is not given up for another");
        fault(p.line, "per_try", why);
    }
    match o.effect {
        Effect::Tokened { group, window } => {
            let within = |r: &&At<f64>| r.is > window;
            if let Some(r) = class.repeat_within.as_ref().filter(within) {
                let why = format!("the token of '{name}' is remembered for {window} s, not for {} s", r.is);
                fault(r.line, "repeat_within", why);
            }
            let own = match group {
                Group::All => "all",
                Group::Zone => "zone",
                Group::Cell => "cell",
            };
            if let Some(r) = class.repeat_group.as_ref().filter(|r| r.is != own) {
                let why = format!(
                    "a repeat of '{name}' is known within its own group, which is '{own}', not '{}'",
                    r.is
                );
                fault(r.line, "repeat_group", why);
            }
        }
        Effect::NonIdempotent => {
            for (name_of, at) in [
                ("repeat_within", class.repeat_within.as_ref().map(|r| r.line)),
                ("repeat_group", class.repeat_group.as_ref().map(|r| r.line)),
            ] {
                if let Some(line) = at {
                    fault(line, name_of, format!("'{name}' is non-idempotent: it has no repeats"));
                }
            }
        }
        Effect::Idempotent => {
            if let Some(r) = &class.repeat_group {
                fault(r.line, "repeat_group", format!("'{name}' is idempotent: its repeats may go anywhere"));
            }
        }
    }
    if let Some(t) = class.timeout.as_ref().filter(|t| t.is > o.timeout) {
        let why = format!("clients of '{name}' give up after {} s: {} s is later", o.timeout, t.is);
        fault(t.line, "timeout", why);
    }
    let timeout = class.timeout.as_ref().map_or(o.timeout, |t| t.is.min(o.timeout));
    if let Some(at) = &class.objective {
        if at.is > o.objective {
            let why =
                format!("the latency objective of '{name}' is {} s: a file can only narrow it", o.objective);
            fault(at.line, "objective", why);
        } else if at.is > timeout {
            fault(at.line, "objective", format!("lies past the time-out of '{name}', {timeout} s"));
        }
    }
    if let Some(p) = class.per_try.as_ref().filter(|_| idempotent) {
        let (n, declared) =
            attempts.map_or((platform.attempts, false), |a| (a.is.min(platform.attempts), true));
        if n > 1 && p.is >= timeout {
            let why = format!(
                "{} s leaves no time for another try before clients of '{name}' give up at {timeout} s",
                p.is
            );
            fault(p.line, "per_try", why);
        } else if declared && p.is * n as f64 > timeout {
            let why = format!(
                "{n} attempts of {} s cannot end before clients of '{name}' give up at {timeout} s",
                p.is
            );
            fault(p.line, "per_try", why);
        }
    }
}

/// What holds for an invocation that a route takes.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Held {
    pub declared: Declared,
    /// The longest that it is worked at, seconds.
    pub timeout: f64,
}

/// The classes of one operation and plan: of the customers that are named, and of all others.
#[derive(Clone, Debug, Default, PartialEq)]
struct Ways {
    named: HashMap<u64, usize>,
    others: Option<usize>,
}

/// Routes by index, for the front door: a look-up is one by operation and plan and one by customer.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Table {
    held: Vec<Held>,
    by: HashMap<(usize, usize), Ways>,
}

impl fmt::Display for Table {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        let reached: HashSet<usize> =
            self.by.values().flat_map(|w| w.named.values().chain(&w.others)).copied().collect();
        write!(f, "{} classes, for {} pairs of operation and plan", reached.len(), self.by.len())
    }
}

impl Table {
    pub fn new(routes: &Routes, platform: &Platform) -> Table {
        let held = |c: &Class| Held {
            declared: c.declared(),
            timeout: c.timeout.as_ref().map_or(f64::INFINITY, |t| t.is),
        };
        let mut by: HashMap<(usize, usize), Ways> = HashMap::new();
        for r in &routes.routes {
            for (o, _) in
                platform.operations.iter().enumerate().filter(|(_, o)| matches_any(&r.operations, &o.name))
            {
                for (p, _) in platform.plans.iter().enumerate().filter(|(_, p)| matches_any(&r.plans, p)) {
                    let ways = by.entry((o, p)).or_default();
                    // Behind one that takes everybody nothing is reached.
                    if ways.others.is_some() {
                        continue;
                    }
                    for customer in &r.customers {
                        ways.named.entry(*customer).or_insert(r.class);
                    }
                    ways.others = r.customers.is_empty().then_some(r.class);
                }
            }
        }
        Table { held: routes.classes.iter().map(held).collect(), by }
    }

    /// What holds for it; none where no route takes it.
    pub fn of(&self, operation: usize, plan: usize, customer: u64) -> Option<Held> {
        let ways = self.by.get(&(operation, plan))?;
        ways.named.get(&customer).copied().or(ways.others).map(|class| self.held[class])
    }
}
