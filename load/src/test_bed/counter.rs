//! Stand-in for the counter: adds to totals over HTTP, subject to the injected faults.
use super::loopback::spawn_connection;
use super::TestBed;
use crate::example_servers::{parse_query_number, read_target};
use crate::sync::lock;
use std::io::{BufReader, Result, Write};
use std::net::{TcpListener, TcpStream};
use std::sync::Arc;
use std::thread::{sleep, spawn};
use std::time::Duration;

/// Interval at which an unresponsive counter checks whether the fault has ended.
const POLL_INTERVAL: Duration = Duration::from_millis(5);

/// Selects one of the two counters, which have separate totals while they are split.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CounterInstance {
    /// Always uses the first set of totals.
    First,
    /// Uses the second set of totals while the counters are split, else the first one.
    Second,
}

/// Starts a counter on new threads.
pub fn start(listener: TcpListener, instance: CounterInstance, test_bed: Arc<TestBed>) {
    spawn(move || {
        for stream in listener.incoming().flatten() {
            if lock(&test_bed.counter_condition).down {
                continue; // drops the connection
            }
            let test_bed = test_bed.clone();
            spawn_connection(stream, move |stream| serve(stream, instance, &test_bed));
        }
    });
}

fn serve(mut stream: TcpStream, instance: CounterInstance, test_bed: &TestBed) -> Result<()> {
    let mut reader = BufReader::new(stream.try_clone()?);
    while let Some(target) = read_target(&mut reader)? {
        let condition = lock(&test_bed.counter_condition).clone();
        if condition.down {
            return Ok(());
        }
        while lock(&test_bed.counter_condition).unresponsive && !test_bed.is_finished() {
            sleep(POLL_INTERVAL);
        }
        sleep(Duration::from_secs_f64(condition.delay_seconds));
        *lock(&test_bed.counter_calls) += 1;
        if test_bed.draw_counter_fault(condition.rejected_fraction) {
            stream.write_all(b"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n")?;
            continue;
        }
        let uses_second_set = instance == CounterInstance::Second && condition.split;
        let total = add(test_bed, &target, usize::from(uses_second_set)).to_string();
        if test_bed.draw_counter_fault(condition.unanswered_fraction) {
            return Ok(());
        }
        write!(stream, "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{total}", total.len())?;
    }
    Ok(())
}

/// Adds to the total that the request target names, in one of the two sets, and returns the new total.
fn add(test_bed: &TestBed, target: &str, set: usize) -> f64 {
    let name = target.split('?').next().unwrap_or("").to_owned();
    let mut totals = lock(&test_bed.counter_totals);
    let total = totals[set].entry(name).or_default();
    *total += parse_query_number(target, "by");
    *total
}
