//! Measures what embedded instances cost in the steady state at one operating point.
use super::clock::{sleep_until, unix_now};
use super::embedded::Reading;
use super::error::ScaleError;
use super::operating_point::OperatingPoint;
use super::process::process_usage;
use super::requests::Population;
use super::rows::{Row, Rows, Source};
use super::server_traffic::{Role, ServerTrafficCounts};
use super::simulation::Simulation;
use super::socket_group::{partition, Group};
use super::stand_ins::{BackendMode, StandIns};
use super::steady_state::{self, IntervalUsage};
use super::timing::Timing;
use std::thread::scope;

/// Transport between embedded instances and the counter and list service.
#[derive(Clone, Copy, Debug, PartialEq, Eq, clap::ValueEnum)]
pub enum Transport {
    /// Stand-ins in this process, on a simulated clock.
    InProcess,
    /// Sockets on loopback, in real time.
    Sockets,
}

/// Values at the start and at the end of the measured interval.
#[derive(Clone, Copy, Default)]
struct StartEnd<T> {
    start: T,
    end: T,
}

/// Start and end of the measured interval, Unix time in seconds.
type Interval = StartEnd<f64>;

/// Measures `instances` embedded instances on sockets. The memory figure is the growth of this process, including the
/// stand-ins, per instance.
pub fn measure_on_sockets(
    run: &str,
    point: &OperatingPoint,
    instances: usize,
    timing: &Timing,
) -> Result<Vec<Row>, ScaleError> {
    let mut rows = Rows::new(run, Source::Socket, point);
    let pid = std::process::id();
    let usage_before = process_usage(pid);
    let stand_ins = StandIns::start(point, instances, BackendMode::ListedOnly)?;
    let population = Population::new(point)?;
    let start = unix_now() + timing.warm_up;
    let interval = Interval { start, end: start + timing.seconds };
    let readings = scope(|threads| -> Result<SocketReadings, ScaleError> {
        let mut groups = vec![];
        for members in partition(instances) {
            let services = stand_ins.services();
            let population = &population;
            groups.push(threads.spawn(move || {
                let group = Group::start(point, population, members, services)?;
                Ok(read_group(group, interval))
            }));
        }
        let traffic = read_traffic(&stand_ins, interval);
        let resident_mib = process_usage(pid).resident_mib;
        let groups = groups.into_iter().map(|group| group.join().map_err(|_| ScaleError::GroupPanicked)?);
        Ok(SocketReadings { traffic, resident_mib, groups: groups.collect::<Result<_, ScaleError>>()? })
    })?;
    rows.add("hollow front doors", instances as f64, "1");
    steady_state::add_rows(&mut rows, &socket_usage(timing, instances, &readings));
    rows.add("memory", (readings.resident_mib - usage_before.resident_mib) / instances as f64, "MiB");
    Ok(rows.all)
}

/// Readings of a run on sockets.
struct SocketReadings {
    /// Traffic of the stand-ins.
    traffic: StartEnd<ServerTrafficCounts>,
    /// Resident memory of this process at the end, MiB.
    resident_mib: f64,
    /// Usage of the instances, by group.
    groups: Vec<StartEnd<Reading>>,
}

/// Waits until the interval is over, and reads the traffic of the stand-ins at its start and end.
fn read_traffic(stand_ins: &StandIns, interval: Interval) -> StartEnd<ServerTrafficCounts> {
    sleep_until(interval.start);
    let start = stand_ins.traffic.read();
    sleep_until(interval.end);
    StartEnd { start, end: stand_ins.traffic.read() }
}

/// Runs a group until the end of the interval, and reads its usage at the start and end.
fn read_group(mut group: Group, interval: Interval) -> StartEnd<Reading> {
    group.run(interval.start);
    let start = group.read();
    group.run(interval.end);
    StartEnd { start, end: group.read() }
}

fn socket_usage(timing: &Timing, instances: usize, readings: &SocketReadings) -> IntervalUsage {
    let mut usage = IntervalUsage {
        seconds: timing.seconds,
        instances,
        outcomes: Default::default(),
        traffic: readings.traffic.end.since(&readings.traffic.start),
        cpu_seconds: 0.0,
    };
    for reading in &readings.groups {
        let increase = reading.end.since(&reading.start);
        usage.outcomes = usage.outcomes.plus(&increase.outcomes);
        usage.cpu_seconds += increase.cpu_time.as_secs_f64();
    }
    usage
}

/// Measures `instances` embedded instances on a simulated clock, with the stand-ins in this process. The memory
/// figure is the growth of this process per instance.
pub fn measure_in_process(
    run: &str,
    point: &OperatingPoint,
    instances: usize,
    timing: &Timing,
) -> Result<Vec<Row>, ScaleError> {
    let mut rows = Rows::new(run, Source::InProcess, point);
    let pid = std::process::id();
    let mut simulation = Simulation::new(point, instances)?;
    // Read after the tenants and their distribution exist, because all instances share them.
    let usage_before = process_usage(pid);
    simulation.run(timing.warm_up)?;
    let warm_up_traffic = simulation.traffic.read();
    let list_bytes = warm_up_traffic.of(Role::Discovery).bytes_sent;
    rows.add("hollow front doors", instances as f64, "1");
    rows.add("list sent until counted", list_bytes as f64 / instances as f64, "bytes");
    simulation.start_changes(point.changes);
    let traffic_before = simulation.traffic.read();
    let reading_before = simulation.read();
    simulation.run(timing.seconds)?;
    let increase = simulation.read().since(&reading_before);
    let interval_usage = IntervalUsage {
        seconds: timing.seconds,
        instances,
        outcomes: increase.outcomes,
        traffic: simulation.traffic.read().since(&traffic_before),
        cpu_seconds: increase.cpu_time.as_secs_f64(),
    };
    steady_state::add_rows(&mut rows, &interval_usage);
    rows.add(
        "memory",
        (process_usage(pid).resident_mib - usage_before.resident_mib) / instances as f64,
        "MiB",
    );
    Ok(rows.all)
}
