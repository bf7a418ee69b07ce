//! How long a change of the endpoint list takes to be in force on every instance: a burst of changes while some instances
//! restart. Embedded instances on sockets, one list service.
use super::clock::{sleep_until, unix_now};
use super::error::ScaleError;
use super::operating_point::OperatingPoint;
use super::process::usage;
use super::requests::Population;
use super::rows::{Row, Rows, Source};
use super::socket_group::{partition, Group, InForce, Restart};
use super::stand_ins::{Backends, StandIns};
use std::thread::scope;

/// The burst of changes.
#[derive(Clone, Debug, clap::Args)]
pub struct Burst {
    /// Number of changes, evenly over the span.
    #[arg(long, value_name = "CHANGES", default_value_t = 20)]
    pub burst: usize,
    /// Seconds from the first change to the end of the span.
    #[arg(long, value_name = "SECONDS", default_value_t = 60.0)]
    pub over: f64,
    /// One of this number of instances restarts within the span; 0: none does.
    #[arg(long, default_value_t = 10)]
    pub one_in: usize,
    /// Seconds before the first change, in which the instances start.
    #[arg(long, value_name = "SECONDS", default_value_t = 15.0)]
    pub warm_up: f64,
}

/// Seconds after the span in which changes may still come into force; the longest watch is shorter.
const DRAIN_SECONDS: f64 = 7.0;

/// The instances that restart, evenly over the span.
fn restarts(instances: usize, burst: &Burst, begin: f64) -> Vec<Restart> {
    if burst.one_in == 0 {
        return vec![];
    }
    let which: Vec<usize> = (0..instances).step_by(burst.one_in).collect();
    let count = which.len() as f64;
    let at = |index: usize| begin + burst.over * (index as f64 + 0.5) / count;
    which.into_iter().enumerate().map(|(index, instance)| Restart { at: at(index), instance }).collect()
}

/// Seconds from write to in force, sorted, of the instances that `is_counted` accepts.
fn delays(written: &[f64], in_force: &[InForce], is_counted: impl Fn(usize) -> bool) -> Vec<f64> {
    // Version 1 is the list that all start with.
    let delay = |seen: &InForce| Some(seen.at - written.get((seen.version as usize).checked_sub(2)?)?);
    let counted = in_force.iter().filter(|seen| is_counted(seen.instance));
    let mut all: Vec<f64> = counted.filter_map(delay).collect();
    all.sort_by(f64::total_cmp);
    all
}

fn quantile(sorted: &[f64], quantile: f64) -> f64 {
    let last = sorted.len().saturating_sub(1);
    sorted.get((quantile * last as f64).ceil() as usize).copied().unwrap_or(f64::NAN)
}

/// Measures the burst with so many embedded instances.
pub fn measure(
    run: &str,
    point: &OperatingPoint,
    instances: usize,
    burst: &Burst,
) -> Result<Vec<Row>, ScaleError> {
    let mut rows = Rows::new(run, Source::Socket, point);
    let stand_ins = StandIns::start(point, instances, Backends::Listed)?;
    let population = Population::new(point)?;
    let begin = unix_now() + burst.warm_up;
    let end = begin + burst.over + DRAIN_SECONDS;
    let restarts = restarts(instances, burst, begin);
    let in_force = scope(|threads| -> Result<Vec<InForce>, ScaleError> {
        let mut groups = vec![];
        for members in partition(instances) {
            let services = stand_ins.services();
            let population = &population;
            let restarts = &restarts;
            groups.push(threads.spawn(move || -> Result<Vec<InForce>, ScaleError> {
                let mut group = Group::start(point, population, members, services)?;
                group.schedule_restarts(restarts);
                group.run(end);
                Ok(group.in_force)
            }));
        }
        write_changes(&stand_ins, burst, begin);
        let mut seen = vec![];
        for group in groups {
            seen.extend(group.join().map_err(|_| ScaleError::GroupPanicked)??);
        }
        Ok(seen)
    })?;
    add_rows(&mut rows, instances, &stand_ins.written(), &in_force, &restarts);
    Ok(rows.all)
}

/// Changes the list, evenly over the span.
fn write_changes(stand_ins: &StandIns, burst: &Burst, begin: f64) {
    for index in 0..burst.burst {
        sleep_until(begin + burst.over * index as f64 / burst.burst as f64);
        stand_ins.change();
    }
}

fn add_rows(rows: &mut Rows, instances: usize, written: &[f64], in_force: &[InForce], restarts: &[Restart]) {
    let restarted = |instance: usize| restarts.iter().any(|restart| restart.instance == instance);
    let expected = written.len() * instances;
    rows.add("hollow front doors", instances as f64, "1");
    rows.add("changes written", written.len() as f64, "1");
    rows.add("front doors restarted", restarts.len() as f64, "1");
    let all = delays(written, in_force, |_| true);
    rows.add("changes not in force at the end", (expected - all.len()) as f64, "of front door and change");
    let without_restart = delays(written, in_force, |instance| !restarted(instance));
    for (who, delays) in [("all", all), ("not restarted", without_restart)] {
        rows.add(&format!("write to in force, {who}: median"), quantile(&delays, 0.5), "s");
        rows.add(&format!("write to in force, {who}: p99"), quantile(&delays, 0.99), "s");
        rows.add(&format!("write to in force, {who}: most"), quantile(&delays, 1.0), "s");
    }
    rows.add("memory of the process", usage(std::process::id()).resident, "MiB");
}
