//! What the commands print.
use quillramp_emulator::scenario::{FaultKind, FaultTarget};
use quillramp_emulator::simulation::Report;
use std::io::Write;
use std::process::ExitCode;

/// Lines of the trace that are printed of a run with a violation, at least.
const VIOLATION_TRACE: usize = 20;

/// Prints a line; a reader that has gone stops nothing.
pub fn print(text: &str) {
    let _ = writeln!(std::io::stdout(), "{text}");
}

/// Prints a run, with so many of the trace's last lines; the code is that of a failure where there is a violation.
pub fn print_report(report: &Report, trace_lines: usize) -> ExitCode {
    let Report { seed, steps, digest, coverage, counter_calls, violation, trace, .. } = report;
    let lines = if violation.is_some() { trace_lines.max(VIOLATION_TRACE) } else { trace_lines };
    for line in trace.iter().skip(trace.len().saturating_sub(lines)) {
        print(line);
    }
    print(&format!(
        "seed {seed}: {steps} steps, digest {digest:016x}; {} requests: {} succeeded, {} throttled, {} errored; {} \
         attempts, {counter_calls} counter calls",
        coverage.requests, coverage.succeeded, coverage.throttled, coverage.errored, coverage.attempts
    ));
    let Some(violation) = violation else { return ExitCode::SUCCESS };
    print(&format!(
        "violation: {}, {:.4} s after the start, step {steps}: {}",
        violation.invariant.name(),
        violation.at,
        violation.message
    ));
    for line in &violation.history {
        print(&format!("  {line}"));
    }
    ExitCode::FAILURE
}

/// Prints the kinds of faults, with the keys that each needs in a scenario file.
pub fn print_fault_kinds() {
    print("| kind | keys | range of `by` |\n| --- | --- | --- |");
    for kind in FaultKind::all() {
        let target = match kind.target() {
            FaultTarget::Backend => "backend, ",
            FaultTarget::Instance => "door, ",
            FaultTarget::Zone => "zone, ",
            FaultTarget::InstanceAndBackend => "door, backend, ",
            FaultTarget::Global => "",
        };
        let duration = if kind.is_instant() { "" } else { ", lasts" };
        let severity =
            kind.severity_range().map_or(String::new(), |range| format!("{} to {}", range.min, range.max));
        print(&format!("| {} | {target}at{duration} | {severity} |", kind.name()));
    }
}
