//! Scale runs, small: embedded instances with their stand-ins in process and on sockets, slopes, a burst of changes.
use clap::Subcommand;
use quillramp_load::scale::command::Scale;
use quillramp_load::scale::counts::Counts;
use quillramp_load::scale::embedded_run;
use quillramp_load::scale::fit::{fits, Factor, Line, Point};
use quillramp_load::scale::operating_point::{burst, quota, OperatingPoint, Spread, Tenant};
use quillramp_load::scale::propagation::{self, Burst};
use quillramp_load::scale::rows::{self, Row};
use quillramp_load::scale::span::Span;

fn point() -> OperatingPoint {
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

fn figure(rows: &[Row], what: &str) -> f64 {
    rows.iter().find(|r| r.figure == what).map(|r| r.value).unwrap_or_else(|| panic!("no row '{what}'"))
}

fn in_process(point: &OperatingPoint, seconds: f64) -> Vec<Row> {
    embedded_run::in_process("test", point, 3, &Span { warm_up: 8.0, seconds }).expect("measured")
}

#[test]
fn the_simulation_is_deterministic() {
    let counted = |rows: Vec<Row>| -> Vec<(String, f64)> {
        let machine = |r: &Row| r.figure == "processor" || r.figure == "memory";
        rows.into_iter().filter(|r| !machine(r)).map(|r| (r.figure, r.value)).collect()
    };
    assert_eq!(counted(in_process(&point(), 4.0)), counted(in_process(&point(), 4.0)));
}

#[test]
fn requests_are_served_and_every_byte_is_counted() {
    let rows = in_process(&point(), 10.0);
    assert!((40.0..60.0).contains(&figure(&rows, "requests")), "{rows:?}");
    assert!(figure(&rows, "served") > 0.95, "{rows:?}");
    let (calls, bytes) = (figure(&rows, "counter: calls"), figure(&rows, "counter: bytes out"));
    assert!(calls > 10.0, "{rows:?}");
    // A call names a count, an amount and a host: between 90 and 140 bytes.
    assert!((90.0..140.0).contains(&(bytes / calls)), "{:.1} bytes a call", bytes / calls);
    // Each backend is listed once, in some 100 to 150 bytes.
    let listed = figure(&rows, "list sent until counted") / 60.0;
    assert!((100.0..150.0).contains(&listed), "{listed:.1} bytes a backend");
}

#[test]
fn what_absent_instances_spend_and_correct_is_estimated() {
    let tenant = Tenant { plan: 4, offered: 4.0 };
    assert_eq!((quota(4), burst(4)), (7.0, 14.0));
    let began = 1_700_000_010.0;
    let name = format!("0.{}", (began / 30.0) as u64);
    let mut alone = Counts::new(vec![tenant], None);
    assert_eq!((alone.add(began + 5.0, &name, 1.0), alone.add(began + 9.0, &name, 2.0)), (1.0, 3.0));
    let mut fleet = Counts::new(vec![tenant], Some(1.0));
    // Regained 7 a second, spent 4: a lag of 3 a second, lifted away whenever it reaches an eighth of the burst.
    let lag = |at: f64, total: f64| 7.0 * at - total;
    let first = fleet.add(began + 0.5, &name, 0.0);
    assert!((lag(0.5, first) - 1.5).abs() < 1e-6, "{first}");
    let second = fleet.add(began + 1.0, &name, 0.0);
    assert!((lag(1.0, second) - 1.25).abs() < 1e-6, "{second}");
    // What is added stays: the count is that much further.
    let third = fleet.add(began + 1.0, &name, 1.0);
    assert!((third - second - 1.0).abs() < 1e-6, "{third}");
}

#[test]
fn without_a_counter_there_are_no_counter_calls() {
    let rows = in_process(&OperatingPoint { without_counter: true, ..point() }, 3.0);
    assert_eq!(figure(&rows, "counter: calls"), 0.0);
}

#[test]
fn endpoint_list_changes_cost_bytes() {
    let calm = figure(&in_process(&point(), 5.0), "list: bytes in");
    let busy = figure(&in_process(&OperatingPoint { changes: 4.0, ..point() }, 5.0), "list: bytes in");
    assert!(busy > calm + 4.0 * 100.0, "{calm:.0} B/s calm, {busy:.0} B/s with four changes a second");
}

/// Only a debug build finds options of one name when a command is called.
#[test]
fn the_commands_have_consistent_options() {
    Scale::augment_subcommands(clap::Command::new("scale")).debug_assert();
}

#[test]
fn a_tenants_quota_covers_its_requests_at_the_fleet() {
    for spread in [Spread::Uniform, Spread::Zipf] {
        let point = OperatingPoint { spread, fleet_requests: 97_000.0, tenants: 14_000, ..point() };
        let tenants = point.tenants();
        let all: f64 = tenants.iter().map(|t| t.offered).sum();
        assert!((all - 97_000.0).abs() < 1.0, "{all}");
        assert!(tenants.iter().all(|t| quota(t.plan) >= t.offered), "{spread:?}");
    }
}

/// How often the counter is asked within four seconds differs by when they begin; how long a call is does not.
#[test]
fn sockets_and_simulation_agree() {
    let span = Span { warm_up: 6.0, seconds: 4.0 };
    let sockets = embedded_run::on_sockets("test", &point(), 3, &span).expect("measured");
    let clock = embedded_run::in_process("test", &point(), 3, &span).expect("measured");
    assert!(figure(&sockets, "served") > 0.9, "{sockets:?}");
    let bytes = |rows: &[Row]| figure(rows, "counter: bytes out") / figure(rows, "counter: calls");
    let ratio = bytes(&sockets) / bytes(&clock);
    assert!((0.9..1.1).contains(&ratio), "bytes a call {ratio:.2} times");
}

#[test]
fn a_burst_of_changes_is_in_force_everywhere_while_some_instances_restart() {
    let burst = Burst { burst: 4, over: 2.0, one_in: 5, warm_up: 1.0 };
    let point = OperatingPoint { requests: 5.0, ..point() };
    let rows = propagation::measure("test", &point, 10, &burst).expect("measured");
    assert_eq!(figure(&rows, "changes written"), 4.0);
    assert_eq!(figure(&rows, "front doors restarted"), 2.0);
    assert_eq!(figure(&rows, "changes not in force at the end"), 0.0, "{rows:?}");
    assert!(figure(&rows, "write to in force, all: most") < 6.0, "{rows:?}");
}

/// The line through measurements, given as factor and figure.
fn line_through(measured: &[(f64, f64)]) -> Option<Line> {
    let points: Vec<Point> = measured.iter().map(|&(factor, figure)| Point { factor, figure }).collect();
    Line::through(&points)
}

#[test]
fn a_line_fits_its_points_and_reports_the_residual() {
    let line = line_through(&[(1.0, 5.0), (2.0, 7.0), (4.0, 11.0)]).expect("a line");
    assert!((line.slope - 2.0).abs() < 1e-9 && (line.intercept - 3.0).abs() < 1e-9 && line.residual < 1e-9);
    let off = line_through(&[(0.0, 0.0), (1.0, 3.0), (2.0, 0.0)]).expect("a line");
    assert!((off.at(1.0) - 1.0).abs() < 1e-9 && (off.residual - 2f64.sqrt()).abs() < 1e-9, "{off:?}");
    assert_eq!(line_through(&[(1.0, 1.0)]), None);
}

#[test]
fn rows_are_read_as_they_were_written_and_fitted_by_their_factor() {
    let mut all = vec![];
    for backends in [60, 120] {
        let mut rows = in_process(&OperatingPoint { backends, ..point() }, 1.0);
        rows.iter_mut().for_each(|r| r.run = Factor::Backends.run());
        all.extend(rows);
    }
    let path = std::env::temp_dir().join(format!("quillramp-scale-rows-{}.csv", std::process::id()));
    rows::append(&path, &all).expect("kept");
    assert_eq!(rows::read(&path).expect("read"), all);
    std::fs::remove_file(&path).expect("ours");
    let fits = fits(&all);
    let list = fits.iter().find(|f| f.figure == "list sent until counted").expect("fitted");
    assert!((100.0..150.0).contains(&list.line.slope), "{:.1} bytes a backend", list.line.slope);
}
