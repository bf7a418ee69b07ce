//! Writes rows as CSV files.
use super::count_faults;
use crate::simulation::Report;
use std::path::Path;

const RUN_COLUMNS: [&str; 14] = [
    "seed",
    "steps",
    "digest",
    "invocations",
    "succeeded",
    "throttled",
    "errored",
    "deliveries",
    "repeats",
    "counter_calls",
    "faults",
    "rule",
    "at",
    "says",
];

/// Writes one row per run.
pub(super) fn write_runs(path: &Path, reports: &[Report]) -> Result<(), csv::Error> {
    let mut out = csv::Writer::from_path(path)?;
    out.write_record(RUN_COLUMNS)?;
    for report in reports {
        out.write_record(run_row(report))?;
    }
    out.flush()?;
    Ok(())
}

fn run_row(report: &Report) -> [String; 14] {
    let coverage = &report.coverage;
    let faults: Vec<String> =
        report.faults.iter().map(|(kind, occurrences)| format!("{} {occurrences}", kind.name())).collect();
    let violation = report.violation.as_ref();
    [
        report.seed.to_string(),
        report.steps.to_string(),
        format!("{:016x}", report.digest),
        coverage.requests.to_string(),
        coverage.succeeded.to_string(),
        coverage.throttled.to_string(),
        coverage.errored.to_string(),
        coverage.attempts.to_string(),
        coverage.repeated_attempts.to_string(),
        report.counter_calls.to_string(),
        faults.join("; "),
        violation.map_or(String::new(), |violation| violation.invariant.name().to_owned()),
        violation.map_or(String::new(), |violation| format!("{:.4}", violation.at)),
        violation.map_or(String::new(), |violation| violation.message.clone()),
    ]
}

/// Writes one row per kind of fault.
pub(super) fn write_faults(path: &Path, reports: &[Report]) -> Result<(), csv::Error> {
    let mut out = csv::Writer::from_path(path)?;
    out.write_record(["kind", "strikes", "runs", "runs_with_a_broken_rule"])?;
    for (kind, counts) in count_faults(reports) {
        let numbers =
            [counts.occurrences, counts.runs, counts.violated_runs].map(|number| number.to_string());
        out.write_record(std::iter::once(kind.name()).chain(numbers))?;
    }
    out.flush()?;
    Ok(())
}
