//! Small scale runs: embedded instances with their stand-ins in process and on sockets, fitted lines, and a burst of changes of
//! the endpoint list.
use clap::Subcommand;
use quillramp_load::scale::command::Scale;
use quillramp_load::scale::counter_totals::CounterTotals;
use quillramp_load::scale::embedded_run;
use quillramp_load::scale::fit::{fit_rows, DataPoint, Factor, Line};
use quillramp_load::scale::operating_point::{burst, quota, OperatingPoint, Spread, Tenant};
use quillramp_load::scale::propagation::{self, Burst};
use quillramp_load::scale::rows::{self, Row};
use quillramp_load::scale::timing::Timing;
use std::ops::Range;

/// Bytes for which a backend is listed.
const BYTES_PER_BACKEND: Range<f64> = 100.0..150.0;
/// Bytes of a counter call, which has the name of a count, an amount and a host.
const BYTES_PER_CALL: Range<f64> = 90.0..140.0;
/// Largest difference of two equal figures, by their rounding.
const ROUNDING: f64 = 1e-9;

fn operating_point() -> OperatingPoint {
    OperatingPoint {
        seed: 5,
        instances: 20,
        backends: 60,
        tenants: 200,
        fleet_requests: 1_000.0,
        requests: 50.0,
        routes: 10,
        changes: 0.0,
        spread: Spread::Uniform,
        without_counter: false,
        alone: false,
    }
}

/// The value of the row with this figure.
fn figure(rows: &[Row], name: &str) -> f64 {
    let row = rows.iter().find(|row| row.figure == name);
    row.unwrap_or_else(|| panic!("no row '{name}'")).value
}

fn bytes_per_call(rows: &[Row]) -> f64 {
    figure(rows, "counter: bytes out") / figure(rows, "counter: calls")
}

fn in_process(point: &OperatingPoint, seconds: f64) -> Vec<Row> {
    embedded_run::measure_in_process("test", point, 3, &Timing { warm_up: 8.0, seconds })
        .expect("the run completes")
}

#[test]
fn the_simulation_is_deterministic() {
    let simulated_figures = || -> Vec<(String, f64)> {
        let depends_on_machine = |row: &Row| row.figure == "processor" || row.figure == "memory";
        let rows = in_process(&operating_point(), 4.0);
        let simulated = rows.into_iter().filter(|row| !depends_on_machine(row));
        simulated.map(|row| (row.figure, row.value)).collect()
    };
    assert_eq!(simulated_figures(), simulated_figures());
}

#[test]
fn requests_are_served_and_every_byte_is_counted() {
    let rows = in_process(&operating_point(), 10.0);
    assert!((40.0..60.0).contains(&figure(&rows, "requests")), "{rows:?}");
    assert!(figure(&rows, "served") > 0.95, "{rows:?}");
    assert!(figure(&rows, "counter: calls") > 10.0, "{rows:?}");
    let bytes_per_call = bytes_per_call(&rows);
    assert!(BYTES_PER_CALL.contains(&bytes_per_call), "{bytes_per_call:.1} bytes a call");
    // Each of the 60 backends is listed once.
    let bytes_per_backend = figure(&rows, "list sent until counted") / 60.0;
    assert!(BYTES_PER_BACKEND.contains(&bytes_per_backend), "{bytes_per_backend:.1} bytes a backend");
}

#[test]
fn what_absent_instances_spend_and_correct_is_estimated() {
    let tenant = Tenant { plan: 4, offered_rate: 4.0 };
    assert_eq!(quota(4), 7.0);
    assert_eq!(burst(4), 14.0);
    let window_start = 1_700_000_010.0;
    let count = format!("0.{}", (window_start / 30.0) as u64);
    let mut without_others = CounterTotals::new(vec![tenant], None);
    assert_eq!(without_others.add(window_start + 5.0, &count, 1.0), 1.0);
    assert_eq!(without_others.add(window_start + 9.0, &count, 2.0), 3.0);

    // The token bucket refills 7 units a second and the fleet spends 4: the total lags by 3 units a second more, and is corrected
    // whenever it lags by an eighth of the burst.
    let mut with_others = CounterTotals::new(vec![tenant], Some(1.0));
    let lag = |seconds: f64, total: f64| 7.0 * seconds - total;
    let first = with_others.add(window_start + 0.5, &count, 0.0);
    assert!((lag(0.5, first) - 1.5).abs() < 1e-6, "{first}");
    let second = with_others.add(window_start + 1.0, &count, 0.0);
    assert!((lag(1.0, second) - 1.25).abs() < 1e-6, "{second}");
    // What the call itself adds stays in the total.
    let third = with_others.add(window_start + 1.0, &count, 1.0);
    assert!((third - second - 1.0).abs() < 1e-6, "{third}");
}

#[test]
fn without_a_counter_there_are_no_counter_calls() {
    let rows = in_process(&OperatingPoint { without_counter: true, ..operating_point() }, 3.0);
    assert_eq!(figure(&rows, "counter: calls"), 0.0);
}

#[test]
fn endpoint_list_changes_cost_bytes() {
    const CHANGES_PER_SECOND: f64 = 4.0;
    let bytes_received = |changes: f64| {
        let point = OperatingPoint { changes, ..operating_point() };
        figure(&in_process(&point, 5.0), "list: bytes in")
    };
    let without_changes = bytes_received(0.0);
    let with_changes = bytes_received(CHANGES_PER_SECOND);
    let least_bytes = CHANGES_PER_SECOND * BYTES_PER_BACKEND.start;
    assert!(
        with_changes > without_changes + least_bytes,
        "{without_changes:.0} B/s without changes, {with_changes:.0} B/s with {CHANGES_PER_SECOND} a second"
    );
}

/// Only a debug build finds options of one name when a command is called.
#[test]
fn the_commands_have_consistent_options() {
    Scale::augment_subcommands(clap::Command::new("scale")).debug_assert();
}

#[test]
fn a_tenants_quota_covers_its_requests_at_the_fleet() {
    for spread in [Spread::Uniform, Spread::Zipf] {
        let point = OperatingPoint { spread, fleet_requests: 97_000.0, tenants: 14_000, ..operating_point() };
        let tenants = point.tenants();
        let offered: f64 = tenants.iter().map(|tenant| tenant.offered_rate).sum();
        assert!((offered - 97_000.0).abs() < 1.0, "{offered}");
        assert!(tenants.iter().all(|tenant| quota(tenant.plan) >= tenant.offered_rate), "{spread:?}");
    }
}

/// How often the counter is called within four seconds depends on when they begin; how long a call is does not.
#[test]
fn sockets_and_simulation_agree() {
    let timing = Timing { warm_up: 6.0, seconds: 4.0 };
    let on_sockets =
        embedded_run::measure_on_sockets("test", &operating_point(), 3, &timing).expect("the run completes");
    let simulated =
        embedded_run::measure_in_process("test", &operating_point(), 3, &timing).expect("the run completes");
    assert!(figure(&on_sockets, "served") > 0.9, "{on_sockets:?}");
    let ratio = bytes_per_call(&on_sockets) / bytes_per_call(&simulated);
    assert!((0.9..1.1).contains(&ratio), "bytes a call {ratio:.2} times");
}

#[test]
fn a_burst_of_changes_is_in_force_everywhere_while_some_instances_restart() {
    let burst = Burst { change_count: 4, duration: 2.0, restart_one_in: 5, warm_up: 1.0 };
    let point = OperatingPoint { requests: 5.0, ..operating_point() };
    let rows = propagation::measure("test", &point, 10, &burst).expect("the run completes");
    assert_eq!(figure(&rows, "changes written"), 4.0);
    assert_eq!(figure(&rows, "front doors restarted"), 2.0);
    assert_eq!(figure(&rows, "changes not in force at the end"), 0.0, "{rows:?}");
    assert!(figure(&rows, "write to in force, all: most") < 6.0, "{rows:?}");
}

/// The line through measurements, given as factor and figure.
fn line_through(measured: &[(f64, f64)]) -> Option<Line> {
    let points: Vec<DataPoint> =
        measured.iter().map(|&(factor, figure)| DataPoint { factor, figure }).collect();
    Line::through(&points)
}

#[test]
fn a_line_fits_its_points_and_reports_the_residual() {
    let line = line_through(&[(1.0, 5.0), (2.0, 7.0), (4.0, 11.0)]).expect("a line");
    assert!((line.slope - 2.0).abs() < ROUNDING, "{line:?}");
    assert!((line.intercept - 3.0).abs() < ROUNDING, "{line:?}");
    assert!(line.residual < ROUNDING, "{line:?}");
    let with_residual = line_through(&[(0.0, 0.0), (1.0, 3.0), (2.0, 0.0)]).expect("a line");
    assert!((with_residual.value_at(1.0) - 1.0).abs() < ROUNDING, "{with_residual:?}");
    assert!((with_residual.residual - 2f64.sqrt()).abs() < ROUNDING, "{with_residual:?}");
    assert_eq!(line_through(&[(1.0, 1.0)]), None);
}

#[test]
fn rows_are_read_as_they_were_written_and_fitted_by_their_factor() {
    let mut written = vec![];
    for backends in [60, 120] {
        let mut rows = in_process(&OperatingPoint { backends, ..operating_point() }, 1.0);
        for row in &mut rows {
            row.run = Factor::Backends.run_name();
        }
        written.extend(rows);
    }
    let file = std::env::temp_dir().join(format!("quillramp-scale-rows-{}.csv", std::process::id()));
    rows::append(&file, &written).expect("the rows are written");
    assert_eq!(rows::read(&file).expect("the rows are read"), written);
    std::fs::remove_file(&file).expect("the file of this test");
    let fits = fit_rows(&written);
    let list_fit = fits.iter().find(|fit| fit.figure == "list sent until counted").expect("a fit");
    let bytes_per_backend = list_fit.line.slope;
    assert!(BYTES_PER_BACKEND.contains(&bytes_per_backend), "{bytes_per_backend:.1} bytes a backend");
}
