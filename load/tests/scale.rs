//! Small scale runs: embedded instances on a simulated clock and on sockets, the estimate for absent instances,
//! fitted lines, and a burst of changes of the endpoint list.
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

/// Expected bytes of one backend's entry in the endpoint list.
const BYTES_PER_BACKEND: Range<f64> = 100.0..150.0;
/// Expected bytes of one counter call, which contains a counter key, an amount and a host.
const BYTES_PER_CALL: Range<f64> = 90.0..140.0;
/// Maximum rounding error between figures that are mathematically equal.
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

/// Returns the value of the row with this figure.
fn figure(rows: &[Row], name: &str) -> f64 {
    let row = rows.iter().find(|row| row.figure == name);
    row.unwrap_or_else(|| panic!("no row has the figure '{name}'")).value
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
fn spending_and_corrections_of_absent_instances_are_estimated() {
    let tenant = Tenant { plan: 4, offered_rate: 4.0 };
    assert_eq!(quota(4), 7.0);
    assert_eq!(burst(4), 14.0);
    let window_start = 1_700_000_010.0;
    let key = format!("0.{}", (window_start / 30.0) as u64);
    let mut without_others = CounterTotals::new(vec![tenant], None);
    assert_eq!(without_others.add(window_start + 5.0, &key, 1.0), 1.0);
    assert_eq!(without_others.add(window_start + 9.0, &key, 2.0), 3.0);

    // The token bucket refills 7 units per second and the fleet spends 4, so the lag of the total grows by 3 units
    // per second. The total is corrected whenever the lag reaches an eighth of the burst.
    let mut with_others = CounterTotals::new(vec![tenant], Some(1.0));
    let lag = |seconds: f64, total: f64| 7.0 * seconds - total;
    let first = with_others.add(window_start + 0.5, &key, 0.0);
    assert!((lag(0.5, first) - 1.5).abs() < 1e-6, "{first}");
    let second = with_others.add(window_start + 1.0, &key, 0.0);
    assert!((lag(1.0, second) - 1.25).abs() < 1e-6, "{second}");
    // The total includes the amount of the call itself.
    let third = with_others.add(window_start + 1.0, &key, 1.0);
    assert!((third - second - 1.0).abs() < 1e-6, "{third}");
}

#[test]
fn without_a_counter_there_are_no_counter_calls() {
    let rows = in_process(&OperatingPoint { without_counter: true, ..operating_point() }, 3.0);
    assert_eq!(figure(&rows, "counter: calls"), 0.0);
}

#[test]
fn endpoint_list_changes_add_traffic() {
    const CHANGES_PER_SECOND: f64 = 4.0;
    let bytes_received = |changes: f64| {
        let point = OperatingPoint { changes, ..operating_point() };
        figure(&in_process(&point, 5.0), "list: bytes in")
    };
    let without_changes = bytes_received(0.0);
    let with_changes = bytes_received(CHANGES_PER_SECOND);
    let min_change_bytes = CHANGES_PER_SECOND * BYTES_PER_BACKEND.start;
    assert!(
        with_changes > without_changes + min_change_bytes,
        "{without_changes:.0} B/s without changes, {with_changes:.0} B/s with {CHANGES_PER_SECOND} changes per second"
    );
}

/// Guards against two options of the same name in one command, which only a debug build reports when the command is
/// called.
#[test]
fn the_commands_have_consistent_options() {
    Scale::augment_subcommands(clap::Command::new("scale")).debug_assert();
}

#[test]
fn each_tenants_quota_covers_its_request_rate() {
    for spread in [Spread::Uniform, Spread::Zipf] {
        let point = OperatingPoint { spread, fleet_requests: 97_000.0, tenants: 14_000, ..operating_point() };
        let tenants = point.tenants();
        let offered_rate: f64 = tenants.iter().map(|tenant| tenant.offered_rate).sum();
        assert!((offered_rate - 97_000.0).abs() < 1.0, "{offered_rate} requests per second");
        assert!(tenants.iter().all(|tenant| quota(tenant.plan) >= tenant.offered_rate), "{spread:?}");
    }
}

/// Compares the size of counter calls, because their number within four seconds depends on when the interval starts.
#[test]
fn sockets_and_simulation_agree() {
    let timing = Timing { warm_up: 6.0, seconds: 4.0 };
    let on_sockets =
        embedded_run::measure_on_sockets("test", &operating_point(), 3, &timing).expect("the run completes");
    let simulated =
        embedded_run::measure_in_process("test", &operating_point(), 3, &timing).expect("the run completes");
    assert!(figure(&on_sockets, "served") > 0.9, "{on_sockets:?}");
    let ratio = bytes_per_call(&on_sockets) / bytes_per_call(&simulated);
    assert!(
        (0.9..1.1).contains(&ratio),
        "bytes per counter call on sockets are {ratio:.2} times those of the simulation"
    );
}

#[test]
fn a_burst_of_changes_reaches_every_instance_while_some_restart() {
    let burst = Burst { change_count: 4, duration: 2.0, restart_one_in: 5, warm_up: 1.0 };
    let point = OperatingPoint { requests: 5.0, ..operating_point() };
    let rows = propagation::measure("test", &point, 10, &burst).expect("the run completes");
    assert_eq!(figure(&rows, "changes written"), 4.0);
    assert_eq!(figure(&rows, "front doors restarted"), 2.0);
    assert_eq!(figure(&rows, "changes not in force at the end"), 0.0, "{rows:?}");
    assert!(figure(&rows, "write to in force, all: most") < 6.0, "{rows:?}");
}

/// Fits a line to pairs of a factor and a figure.
fn line_through(pairs: &[(f64, f64)]) -> Option<Line> {
    let points: Vec<DataPoint> = pairs.iter().map(|&(factor, figure)| DataPoint { factor, figure }).collect();
    Line::through(&points)
}

#[test]
fn a_line_fits_its_points_and_reports_the_residual() {
    let line = line_through(&[(1.0, 5.0), (2.0, 7.0), (4.0, 11.0)]).expect("three points give a line");
    assert!((line.slope - 2.0).abs() < ROUNDING, "{line:?}");
    assert!((line.intercept - 3.0).abs() < ROUNDING, "{line:?}");
    assert!(line.residual < ROUNDING, "{line:?}");
    let with_residual =
        line_through(&[(0.0, 0.0), (1.0, 3.0), (2.0, 0.0)]).expect("three points give a line");
    assert!((with_residual.value_at(1.0) - 1.0).abs() < ROUNDING, "{with_residual:?}");
    assert!((with_residual.residual - 2f64.sqrt()).abs() < ROUNDING, "{with_residual:?}");
    assert_eq!(line_through(&[(1.0, 1.0)]), None);
}

#[test]
fn rows_are_read_as_written_and_fitted_by_factor() {
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
    std::fs::remove_file(&file).expect("the file is removed");
    let fits = fit_rows(&written);
    let list_fit =
        fits.iter().find(|fit| fit.figure == "list sent until counted").expect("the figure has a fit");
    let bytes_per_backend = list_fit.line.slope;
    assert!(BYTES_PER_BACKEND.contains(&bytes_per_backend), "{bytes_per_backend:.1} bytes a backend");
}
