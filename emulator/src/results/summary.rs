//! Writes the summary of many runs as Markdown.
use super::count_faults;
use crate::checker::{Coverage, Invariant};
use crate::simulation::Report;
use crate::sweep::Totals;
use std::fmt::Write;

/// Returns the summary of runs that took `seconds` of wall-clock time.
pub fn summary(reports: &[Report], seconds: f64) -> String {
    let totals = Totals::of(reports);
    let mut text = String::from("# Runs of the emulator\n\n");
    let first_seed = reports.first().map_or(0, |report| report.seed);
    let last_seed = reports.last().map_or(0, |report| report.seed);
    let Totals { runs, steps, .. } = totals;
    let _ =
        writeln!(text, "{runs} runs, seeds {first_seed} to {last_seed}, {steps} steps, {seconds:.1} s.\n");
    write_invariants(&mut text, reports, &totals.coverage);
    write_outcomes(&mut text, &totals);
    write_faults(&mut text, reports);
    write_violations(&mut text, reports);
    text
}

/// Returns how often an invariant was checked: the number of requests, attempts, endpoints or descriptor counts that it applied to.
fn check_count(invariant: Invariant, coverage: &Coverage) -> u64 {
    match invariant {
        Invariant::SingleResponse => coverage.requests,
        Invariant::AtMostOnce => coverage.repeated_attempts + coverage.throttled,
        Invariant::DrainGrace => coverage.drain_checks,
        Invariant::SlowStart => coverage.slow_start_checks,
        Invariant::RateCeiling => coverage.ceiling_checks,
        Invariant::DescriptorLimit => coverage.descriptor_checks,
    }
}

fn write_invariants(text: &mut String, reports: &[Report], coverage: &Coverage) {
    let _ = writeln!(text, "| invariant | checks | violations |\n| --- | --- | --- |");
    for invariant in Invariant::ALL {
        let violated = |report: &&Report| {
            report.violation.as_ref().is_some_and(|violation| violation.invariant == invariant)
        };
        let violations = reports.iter().filter(violated).count();
        let checks = check_count(invariant, coverage);
        let _ = writeln!(text, "| {} | {checks} | {violations} |", invariant.name());
    }
}

fn write_outcomes(text: &mut String, totals: &Totals) {
    let Totals { coverage, counter_calls, .. } = totals;
    let percent = |count: u64| 100.0 * count as f64 / coverage.requests.max(1) as f64;
    let _ = writeln!(
        text,
        "\n{} requests: {:.1}% succeeded, {:.1}% throttled, {:.1}% errored; {} attempts, {} of them after one that may have \
         been executed; {counter_calls} counter calls.\n\nThe models are simple: these figures say nothing about the quality of service.\n",
        coverage.requests,
        percent(coverage.succeeded),
        percent(coverage.throttled),
        percent(coverage.errored),
        coverage.attempts,
        coverage.repeated_attempts
    );
}

fn write_faults(text: &mut String, reports: &[Report]) {
    let _ =
        writeln!(text, "| fault | occurrences | runs | runs with a violation |\n| --- | --- | --- | --- |");
    for (kind, counts) in count_faults(reports) {
        let name = kind.name();
        let _ = writeln!(
            text,
            "| {name} | {} | {} | {} |",
            counts.occurrences, counts.runs, counts.violated_runs
        );
    }
}

fn write_violations(text: &mut String, reports: &[Report]) {
    for report in reports {
        if let Some(violation) = &report.violation {
            let name = violation.invariant.name();
            let _ = writeln!(
                text,
                "\n- seed {}: {name} at {:.4} s: {}",
                report.seed, violation.at, violation.message
            );
        }
    }
}
