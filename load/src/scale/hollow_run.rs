//! Hollow front doors in the steady state: what each of them costs at a point.
use super::hollow::Parts;
use super::in_process::Simulation;
use super::on_sockets::{unix_now, Group, Reading};
use super::point::Point;
use super::process::usage;
use super::real::Span;
use super::rows::{Row, Rows, Source};
use super::stand_ins::{Backends, StandIns};
use super::steady::{self, Spent};
use super::traffic::{Answered, Population};
use std::thread::{scope, sleep};
use std::time::Duration;

/// What hollow front doors are run on.
#[derive(Clone, Copy, Debug, PartialEq, Eq, clap::ValueEnum)]
pub enum Ground {
    /// Stand-ins in this process, on a clock of their own.
    InProcess,
    /// A counter and a list service on loopback, in real time.
    Sockets,
}

/// Threads that hollow front doors on sockets are spread over; the stand-ins have another one.
const THREADS: usize = 6;

/// Measures so many hollow front doors on sockets. Memory is what this process grew by, its stand-ins with it.
pub fn on_sockets(run: &str, point: &Point, front_doors: usize, span: &Span) -> Result<Vec<Row>, String> {
    let mut rows = Rows::new(run, Source::Socket, point);
    let own = std::process::id();
    let before = usage(own);
    let stand_ins = StandIns::start(point, front_doors, Backends::Listed)?;
    let population = Population::new(point)?;
    let parts = Parts { counter: stand_ins.counter, list: stand_ins.list };
    let begin = unix_now() + span.warm_up;
    let end = begin + span.seconds;
    let threads = THREADS.min(front_doors);
    let (mut tallies, mut readings) = ([Default::default(); 2], vec![]);
    let resident = scope(|all| -> Result<f64, String> {
        let mut groups = vec![];
        for n in 0..threads {
            let own = n * front_doors / threads..(n + 1) * front_doors / threads;
            let population = &population;
            groups.push(all.spawn(move || -> Result<[Reading; 2], String> {
                let mut group = Group::start(point, population, own, parts)?;
                group.run(begin);
                let first = group.read();
                group.run(end);
                Ok([first, group.read()])
            }));
        }
        for (tally, at) in tallies.iter_mut().zip([begin, end]) {
            sleep(Duration::from_secs_f64((at - unix_now()).max(0.0)));
            *tally = stand_ins.tallies.read();
        }
        let resident = usage(own).resident;
        for group in groups {
            readings.push(group.join().map_err(|_| "a group of front doors has panicked")??);
        }
        Ok(resident)
    })?;
    let mut spent = Spent {
        seconds: span.seconds,
        front_doors,
        answered: Answered::default(),
        counted: steady::since(&tallies[1], &tallies[0]),
        processor: 0.0,
    };
    for [first, last] in &readings {
        spent.answered = spent.answered.plus(&last.answered.since(&first.answered));
        spent.processor += last.processor.saturating_sub(first.processor).as_secs_f64();
    }
    rows.add("hollow front doors", front_doors as f64, "1");
    steady::add(&mut rows, &spent);
    rows.add("memory", (resident - before.resident) / front_doors as f64, "MiB");
    Ok(rows.all)
}

/// Measures so many hollow front doors, with their stand-ins in this process. Memory is what this process grew by.
pub fn in_process(run: &str, point: &Point, front_doors: usize, span: &Span) -> Result<Vec<Row>, String> {
    let mut rows = Rows::new(run, Source::InProcess, point);
    let own = std::process::id();
    let mut simulation = Simulation::new(point, front_doors)?;
    let before = usage(own); // tenants and their draw, which all front doors share, are there by now
    simulation.run(span.warm_up)?;
    let [_, list, _] = simulation.tallies.read();
    rows.add("hollow front doors", front_doors as f64, "1");
    rows.add("list sent until counted", list.sent as f64 / front_doors as f64, "bytes");
    simulation.begin_changes(point.changes);
    let (tallies, answered, processor) =
        (simulation.tallies.read(), simulation.answered(), simulation.processor());
    simulation.run(span.seconds)?;
    let spent = Spent {
        seconds: span.seconds,
        front_doors,
        answered: simulation.answered().since(&answered),
        counted: steady::since(&simulation.tallies.read(), &tallies),
        processor: simulation.processor().saturating_sub(processor).as_secs_f64(),
    };
    steady::add(&mut rows, &spent);
    rows.add("memory", (usage(own).resident - before.resident) / front_doors as f64, "MiB");
    Ok(rows.all)
}
