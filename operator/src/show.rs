//! What holds once a file is taken up, and where each value came from: for people.
use crate::routes::{Class, Operation, Platform, Route};
use crate::Operator;
use quillramp::types::{Effect, Group};
use quillramp_broker::contract::matches_any;
use std::fmt::Write;

/// All that a file sets, and by operation what holds; without a platform only the former.
pub fn show(operator: &Operator, platform: Option<&Platform>) -> String {
    let mut text = String::new();
    match &operator.admission {
        Some(l) => {
            let _ = writeln!(
                text,
                "admission: {} connections, {} kept for known addresses; of one address {}, {} new a second, {} at once, {} unfinished \
                 commands; {} strangers, first word within {} s; known for {} s, and {} networks",
                l.connections,
                l.reserve,
                l.per_address,
                l.rate,
                l.burst,
                l.unfinished,
                l.strangers,
                l.first_word,
                l.known_for,
                l.known.len()
            );
        }
        None => text += "admission: off\n",
    }
    match &operator.log {
        Some(l) => {
            let of = |(from, level): &(String, String)| {
                if from.is_empty() {
                    level.clone()
                } else {
                    format!("{from} {level}")
                }
            };
            let levels: Vec<String> = l.levels.iter().map(of).collect();
            let levels = if levels.is_empty() { "as usual".into() } else { levels.join(", ") };
            let _ = writeln!(text, "log: {:?}, levels {levels}", l.form);
        }
        None => text += "log: plain, levels as usual\n",
    }
    text += &operator
        .presence
        .map_or("roster on the counter: off\n".into(), |p| format!("roster on the counter: every {p} s\n"));
    match &operator.identity {
        Some(t) => {
            let _ = writeln!(
                text,
                "callers: tokens of {} for {}, {} keys, {} revoked, of {} s at the most{}",
                t.issuer,
                t.audience,
                t.keys.len(),
                t.revoked.len(),
                t.max_lifetime,
                if t.single_use { ", each used once" } else { "" }
            );
        }
        None => text += "callers: need not be known\n",
    }
    match &operator.broker {
        Some(terms) => {
            let strangers = if terms.strangers { "pass" } else { "are refused" };
            let _ = writeln!(text, "broker: {} units a second in all; strangers {strangers}", terms.capacity);
            for c in terms.contracts.all() {
                let budget =
                    c.budget.map_or(String::new(), |b| format!(", {} units in {} s", b.units, b.period));
                let _ = writeln!(
                    text,
                    "  {} version {}: {} units a second, {} at once, weight {}{budget}",
                    c.team, c.version, c.rate, c.burst, c.weight
                );
            }
        }
        None => text += "broker: off\n",
    }
    let Some(platform) = platform else {
        let (classes, routes) = (operator.routes.classes.len(), operator.routes.routes.len());
        let _ = writeln!(
            text,
            "limits: {classes} classes, {routes} routes; name a configuration to see what holds"
        );
        return text;
    };
    for o in &platform.operations {
        let _ = writeln!(text, "\n{}, {}", o.name, effect(o.effect));
        for route in operator.routes.routes.iter().filter(|r| matches_any(&r.operations, &o.name)) {
            let class = &operator.routes.classes[route.class];
            let _ =
                writeln!(text, "  {}: class '{}' (route on line {})", whose(route), class.name, route.line);
            text += &limits(o, class, platform, "    ");
        }
        text += "  all else: as configured\n";
        text += &limits(o, &Class::default(), platform, "    ");
    }
    text
}

fn effect(effect: Effect) -> String {
    match effect {
        Effect::Idempotent => "idempotent".into(),
        Effect::NonIdempotent => "non-idempotent".into(),
        Effect::Tokened { group, window } => {
            let group = match group {
                Group::All => "all",
                Group::Zone => "zone",
                Group::Cell => "cell",
            };
            format!("tokened, in group '{group}' for {window} s")
        }
    }
}

fn whose(route: &Route) -> String {
    let plans = if route.plans.is_empty() { "all plans".into() } else { route.plans.join(", ") };
    match route.customers.len() {
        0 => format!("{plans}, all customers"),
        1 => format!("{plans}, customer {:016x}", route.customers[0]),
        n => format!("{plans}, {n} customers"),
    }
}

/// A line for each limit: what holds and where it came from.
fn limits(o: &Operation, class: &Class, platform: &Platform, indent: &str) -> String {
    let mut text = String::new();
    let mut line = |name: &str, value: String, at: Option<usize>| {
        let from = at.map_or("configuration".into(), |line| format!("line {line}"));
        let _ = writeln!(text, "{indent}{name} {value} ({from})");
    };
    let seconds = |s: f64| format!("{s} s");
    let attempts = class.attempts.as_ref();
    line(
        "attempts",
        attempts.map_or(platform.attempts, |a| a.is.min(platform.attempts)).to_string(),
        attempts.map(|a| a.line),
    );
    let copies = class.second_copies.as_ref();
    let may = platform.second_copies && o.effect == Effect::Idempotent && copies.is_none_or(|c| c.is);
    line("second copies", if may { "yes" } else { "no" }.into(), copies.map(|c| c.line));
    if let Some(p) = &class.per_try {
        line("per try", seconds(p.is), Some(p.line));
    }
    let objective = class.objective.as_ref();
    line("latency objective", seconds(objective.map_or(o.objective, |a| a.is)), objective.map(|a| a.line));
    let timeout = class.timeout.as_ref();
    line("integration timeout", seconds(timeout.map_or(o.timeout, |t| t.is)), timeout.map(|t| t.line));
    if let Some(r) = &class.repeat_within {
        line("repeats within", seconds(r.is), Some(r.line));
    }
    text
}
