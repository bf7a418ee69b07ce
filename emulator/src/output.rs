//! The output of the commands.
use quillramp_emulator::scenario::{FaultKind, FaultTarget};
use quillramp_emulator::simulation::Report;
use std::io::Write;
use std::process::ExitCode;

/// Minimum number of trace lines printed for a run with a violation.
const MIN_VIOLATION_TRACE_LINES: usize = 20;

/// Prints a line to standard output. Write errors, such as a closed pipe, are ignored.
pub fn print(text: &str) {
    let _ = writeln!(std::io::stdout(), "{text}");
}

/// Prints the report of a run, after the last `trace_lines` lines of its trace. Returns the exit code: a failure if an invariant was
/// violated.
pub fn print_report(report: &Report, trace_lines: usize) -> ExitCode {
    let Report { seed, steps, digest, coverage, counter_calls, violation, trace, .. } = report;
    let lines = if violation.is_some() { trace_lines.max(MIN_VIOLATION_TRACE_LINES) } else { trace_lines };
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

/// Prints a table of the kinds of faults, with the keys that each requires in a scenario file.
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
