//! The effective limits of each operation, by route.
use crate::document::Located;
use crate::routes::{group_name, value_or, Class, Operation, Platform, Route, Routes};
use quillramp::types::Idempotency;
use quillramp_broker::contract::matches_any;

/// Returns the lines for each operation of the platform.
pub(super) fn show(routes: &Routes, platform: &Platform) -> String {
    platform.operations.iter().map(|operation| show_operation(routes, operation, platform)).collect()
}

fn show_operation(routes: &Routes, operation: &Operation, platform: &Platform) -> String {
    let mut text = format!("\n{}, {}\n", operation.name, idempotency(operation.idempotency));
    let matching = routes.routes.iter().filter(|route| matches_any(&route.operations, &operation.name));
    for route in matching {
        let class = &routes.classes[route.class];
        let line = route.line;
        text += &format!("  {}: class '{}' (route on line {line})\n", customers(route), class.name);
        text += &limits(operation, class, platform);
    }
    text += "  all other requests: as in the configuration\n";
    text += &limits(operation, &Class::default(), platform);
    text
}

fn idempotency(idempotency: Idempotency) -> String {
    match idempotency {
        Idempotency::Idempotent => "idempotent".into(),
        Idempotency::NonIdempotent => "non-idempotent".into(),
        Idempotency::Keyed { scope, window } => {
            format!("keyed, in group '{}' for {window} s", group_name(scope))
        }
    }
}

/// Describes the plans and customers that a route matches.
fn customers(route: &Route) -> String {
    let plans = if route.plans.is_empty() { "all plans".into() } else { route.plans.join(", ") };
    match route.customers[..] {
        [] => format!("{plans}, all customers"),
        [customer] => format!("{plans}, customer {customer:016x}"),
        _ => format!("{plans}, {} customers", route.customers.len()),
    }
}

/// Returns a line for each limit, with its effective value and the source of the value.
fn limits(operation: &Operation, class: &Class, platform: &Platform) -> String {
    let attempts = value_or(&class.max_attempts, platform.max_attempts).min(platform.max_attempts);
    let allows_hedging = platform.hedging && operation.idempotency == Idempotency::Idempotent;
    let hedging = if allows_hedging && value_or(&class.hedging, true) { "yes" } else { "no" };
    let objective = value_or(&class.latency_objective, operation.latency_objective);
    let timeout = value_or(&class.timeout, operation.timeout);
    let mut text = limit("attempts", &attempts.to_string(), &class.max_attempts);
    text += &limit("second copies", hedging, &class.hedging);
    text += &declared_limit("per try", &class.attempt_timeout);
    text += &limit("latency objective", &format!("{objective} s"), &class.latency_objective);
    text += &limit("integration timeout", &format!("{timeout} s"), &class.timeout);
    text += &declared_limit("repeats within", &class.retry_window);
    text
}

/// Returns the line of a limit in seconds; empty unless the class declares it.
fn declared_limit(name: &str, seconds: &Option<Located<f64>>) -> String {
    match seconds {
        Some(located) => limit(name, &format!("{} s", located.value), seconds),
        None => String::new(),
    }
}

fn limit<T>(name: &str, value: &str, declared: &Option<Located<T>>) -> String {
    let source = match declared {
        Some(located) => format!("line {}", located.line),
        None => "configuration".into(),
    };
    format!("    {name} {value} ({source})\n")
}
