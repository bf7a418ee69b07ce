//! Measures how long a change of the endpoint list takes until every instance has applied it ("in force" in the
//! rows). Embedded instances on sockets watch one list service, which writes a burst of changes while some instances
//! restart.
use super::clock::{sleep_until, unix_now};
use super::error::ScaleError;
use super::operating_point::OperatingPoint;
use super::process::process_usage;
use super::requests::Population;
use super::rows::{Row, Rows, Source};
use super::socket_group::{partition, AppliedVersion, Group, Restart};
use super::stand_ins::{BackendMode, StandIns};
use std::thread::scope;

/// A burst of changes of the endpoint list, and the restarts of instances during it.
#[derive(Clone, Debug, clap::Args)]
pub struct Burst {
    /// Number of changes, evenly spaced over the duration of the burst.
    #[arg(long = "burst", value_name = "CHANGES", default_value_t = 20)]
    pub change_count: usize,
    /// Duration of the burst in seconds, from the first change on.
    #[arg(long = "over", value_name = "SECONDS", default_value_t = 60.0)]
    pub duration: f64,
    /// One in this number of instances restarts during the burst; 0 disables restarts.
    #[arg(long = "one-in", value_name = "ONE_IN", default_value_t = 10)]
    pub restart_one_in: usize,
    /// Seconds between the start of the instances and the first change.
    #[arg(long, value_name = "SECONDS", default_value_t = 15.0)]
    pub warm_up: f64,
}

/// Seconds after the burst during which instances may still apply changes; longer than the longest watch.
const SETTLE_SECONDS: f64 = 7.0;

/// Returns the restarts, evenly spaced over the duration of the burst.
fn evenly_spaced_restarts(instances: usize, burst: &Burst, start: f64) -> Vec<Restart> {
    if burst.restart_one_in == 0 {
        return vec![];
    }
    let restarted: Vec<usize> = (0..instances).step_by(burst.restart_one_in).collect();
    let count = restarted.len() as f64;
    let at = |index: usize| start + burst.duration * (index as f64 + 0.5) / count;
    restarted.into_iter().enumerate().map(|(index, instance)| Restart { at: at(index), instance }).collect()
}

/// Returns the sorted delays, in seconds, from the write of a version until an instance applied it, for the instances
/// that `is_counted` accepts.
fn propagation_delays(
    write_times: &[f64],
    applied_versions: &[AppliedVersion],
    is_counted: impl Fn(usize) -> bool,
) -> Vec<f64> {
    // Version 1 is the initial list, so `write_times` begins with version 2.
    let delay = |applied: &AppliedVersion| {
        Some(applied.at - write_times.get((applied.version as usize).checked_sub(2)?)?)
    };
    let counted = applied_versions.iter().filter(|applied| is_counted(applied.instance));
    let mut all: Vec<f64> = counted.filter_map(delay).collect();
    all.sort_by(f64::total_cmp);
    all
}

fn quantile(sorted: &[f64], quantile: f64) -> f64 {
    let last = sorted.len().saturating_sub(1);
    sorted.get((quantile * last as f64).ceil() as usize).copied().unwrap_or(f64::NAN)
}

/// Measures the propagation delays of a burst of changes on `instances` embedded instances.
pub fn measure(
    run: &str,
    point: &OperatingPoint,
    instances: usize,
    burst: &Burst,
) -> Result<Vec<Row>, ScaleError> {
    let mut rows = Rows::new(run, Source::Socket, point);
    let stand_ins = StandIns::start(point, instances, BackendMode::ListedOnly)?;
    let population = Population::new(point)?;
    let start = unix_now() + burst.warm_up;
    let end = start + burst.duration + SETTLE_SECONDS;
    let restarts = evenly_spaced_restarts(instances, burst, start);
    let applied_versions = scope(|threads| -> Result<Vec<AppliedVersion>, ScaleError> {
        let mut groups = vec![];
        for members in partition(instances) {
            let services = stand_ins.services();
            let population = &population;
            let restarts = &restarts;
            groups.push(threads.spawn(move || -> Result<Vec<AppliedVersion>, ScaleError> {
                let mut group = Group::start(point, population, members, services)?;
                group.schedule_restarts(restarts);
                group.run(end);
                Ok(group.applied_versions)
            }));
        }
        request_changes(&stand_ins, burst, start);
        let mut applied_versions = vec![];
        for group in groups {
            applied_versions.extend(group.join().map_err(|_| ScaleError::GroupPanicked)??);
        }
        Ok(applied_versions)
    })?;
    add_rows(&mut rows, instances, &stand_ins.write_times(), &applied_versions, &restarts);
    Ok(rows.all)
}

/// Requests the changes, evenly spaced over the duration of the burst.
fn request_changes(stand_ins: &StandIns, burst: &Burst, start: f64) {
    for index in 0..burst.change_count {
        sleep_until(start + burst.duration * index as f64 / burst.change_count as f64);
        stand_ins.request_change();
    }
}

fn add_rows(
    rows: &mut Rows,
    instances: usize,
    write_times: &[f64],
    applied_versions: &[AppliedVersion],
    restarts: &[Restart],
) {
    let restarted = |instance: usize| restarts.iter().any(|restart| restart.instance == instance);
    let expected = write_times.len() * instances;
    rows.add("hollow front doors", instances as f64, "1");
    rows.add("changes written", write_times.len() as f64, "1");
    rows.add("front doors restarted", restarts.len() as f64, "1");
    let all = propagation_delays(write_times, applied_versions, |_| true);
    rows.add("changes not in force at the end", (expected - all.len()) as f64, "of front door and change");
    let without_restart = propagation_delays(write_times, applied_versions, |instance| !restarted(instance));
    for (subset, delays) in [("all", all), ("not restarted", without_restart)] {
        rows.add(&format!("write to in force, {subset}: median"), quantile(&delays, 0.5), "s");
        rows.add(&format!("write to in force, {subset}: p99"), quantile(&delays, 0.99), "s");
        rows.add(&format!("write to in force, {subset}: most"), quantile(&delays, 1.0), "s");
    }
    rows.add("memory of the process", process_usage(std::process::id()).resident_mib, "MiB");
}
