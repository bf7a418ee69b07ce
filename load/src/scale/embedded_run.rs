//! Embedded instances in the steady state: what each of them costs at a point.
use super::clock::{sleep_until, unix_now};
use super::embedded::Reading;
use super::error::ScaleError;
use super::operating_point::OperatingPoint;
use super::process::usage;
use super::requests::Population;
use super::rows::{Row, Rows, Source};
use super::server_load::{LoadReadings, Role};
use super::simulation::Simulation;
use super::socket_group::{partition, Group};
use super::span::Span;
use super::stand_ins::{Backends, StandIns};
use super::steady_state::{self, SpanUsage};
use std::thread::scope;

/// What embedded instances are run on.
#[derive(Clone, Copy, Debug, PartialEq, Eq, clap::ValueEnum)]
pub enum Transport {
    /// Stand-ins in this process, on a virtual clock.
    InProcess,
    /// Sockets on loopback, in real time.
    Sockets,
}

/// Values read at the beginning and at the end of a span.
#[derive(Clone, Copy, Default)]
struct AtBounds<T> {
    begin: T,
    end: T,
}

/// When a span is counted, Unix time in seconds.
type Bounds = AtBounds<f64>;

/// Measures `instances` embedded instances on sockets. Memory is what this process grew by, its stand-ins with it.
pub fn on_sockets(
    run: &str,
    point: &OperatingPoint,
    instances: usize,
    span: &Span,
) -> Result<Vec<Row>, ScaleError> {
    let mut rows = Rows::new(run, Source::Socket, point);
    let process = std::process::id();
    let before = usage(process);
    let stand_ins = StandIns::start(point, instances, Backends::Listed)?;
    let population = Population::new(point)?;
    let begin = unix_now() + span.warm_up;
    let bounds = Bounds { begin, end: begin + span.seconds };
    let measured = scope(|threads| -> Result<SocketReadings, ScaleError> {
        let mut groups = vec![];
        for members in partition(instances) {
            let services = stand_ins.services();
            let population = &population;
            groups.push(threads.spawn(move || {
                let group = Group::start(point, population, members, services)?;
                Ok(read_group(group, bounds))
            }));
        }
        let loads = read_loads(&stand_ins, bounds);
        let resident = usage(process).resident;
        let groups = groups.into_iter().map(|group| group.join().map_err(|_| ScaleError::GroupPanicked)?);
        Ok(SocketReadings { loads, resident, groups: groups.collect::<Result<_, ScaleError>>()? })
    })?;
    rows.add("hollow front doors", instances as f64, "1");
    steady_state::add_rows(&mut rows, &socket_usage(span, instances, &measured));
    rows.add("memory", (measured.resident - before.resident) / instances as f64, "MiB");
    Ok(rows.all)
}

/// What was measured over a span on sockets.
struct SocketReadings {
    /// The load of the stand-ins.
    loads: AtBounds<LoadReadings>,
    /// Memory of this process at the end, MiB.
    resident: f64,
    /// The instances, by group.
    groups: Vec<AtBounds<Reading>>,
}

/// Waits for the span to pass, and reads the load of the stand-ins at both of its ends.
fn read_loads(stand_ins: &StandIns, bounds: Bounds) -> AtBounds<LoadReadings> {
    sleep_until(bounds.begin);
    let begin = stand_ins.loads.read();
    sleep_until(bounds.end);
    AtBounds { begin, end: stand_ins.loads.read() }
}

/// Runs a group over the span.
fn read_group(mut group: Group, bounds: Bounds) -> AtBounds<Reading> {
    group.run(bounds.begin);
    let begin = group.read();
    group.run(bounds.end);
    AtBounds { begin, end: group.read() }
}

fn socket_usage(span: &Span, instances: usize, measured: &SocketReadings) -> SpanUsage {
    let mut usage = SpanUsage {
        seconds: span.seconds,
        instances,
        outcomes: Default::default(),
        loads: measured.loads.end.since(&measured.loads.begin),
        processor: 0.0,
    };
    for reading in &measured.groups {
        let counted = reading.end.since(&reading.begin);
        usage.outcomes = usage.outcomes.plus(&counted.outcomes);
        usage.processor += counted.processor.as_secs_f64();
    }
    usage
}

/// Measures `instances` embedded instances, with their stand-ins in this process. Memory is what this process grew by.
pub fn in_process(
    run: &str,
    point: &OperatingPoint,
    instances: usize,
    span: &Span,
) -> Result<Vec<Row>, ScaleError> {
    let mut rows = Rows::new(run, Source::InProcess, point);
    let process = std::process::id();
    let mut simulation = Simulation::new(point, instances)?;
    let before = usage(process); // tenants and their distribution, which all instances share, are there by now
    simulation.run(span.warm_up)?;
    let warm_up = simulation.loads.read();
    let list_bytes = warm_up.of(Role::Discovery).sent;
    rows.add("hollow front doors", instances as f64, "1");
    rows.add("list sent until counted", list_bytes as f64 / instances as f64, "bytes");
    simulation.begin_changes(point.changes);
    let loads = simulation.loads.read();
    let reading = simulation.read();
    simulation.run(span.seconds)?;
    let counted = simulation.read().since(&reading);
    let span_usage = SpanUsage {
        seconds: span.seconds,
        instances,
        outcomes: counted.outcomes,
        loads: simulation.loads.read().since(&loads),
        processor: counted.processor.as_secs_f64(),
    };
    steady_state::add_rows(&mut rows, &span_usage);
    rows.add("memory", (usage(process).resident - before.resident) / instances as f64, "MiB");
    Ok(rows.all)
}
