//! Measures one process of the gateway program with stand-in servers, at one instance's request rate.
use super::clients::Clients;
use super::error::ScaleError;
use super::operating_point::OperatingPoint;
use super::operator_file;
use super::process::{process_usage, ProcessUsage};
use super::requests::{Population, RequestSource};
use super::rows::{Row, Rows, Source};
use super::server_traffic::Role;
use super::stand_ins::{BackendMode, StandIns};
use super::steady_state::{self, IntervalUsage};
use super::timing::Timing;
use crate::sync::lock;
use crate::test_bed::loopback::reserve_address;
use serde_json::json;
use std::net::{SocketAddr, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::thread::sleep;
use std::time::{Duration, Instant};

/// File descriptors in the instance's limits, enough for a connection to each backend.
const MAX_DESCRIPTORS: usize = 8_192;
/// Memory in the instance's limits, MB.
const MEMORY_MB: usize = 256;
/// Maximum time until a started instance accepts connections.
const START_TIMEOUT: Duration = Duration::from_secs(20);
/// Interval of the connection attempts to a starting instance.
const START_POLL: Duration = Duration::from_millis(1);
/// Time for the instance to receive and apply the endpoint list.
const LIST_WAIT: Duration = Duration::from_secs(1);

struct InstanceProcess {
    process: Child,
    configuration_path: PathBuf,
}

impl Drop for InstanceProcess {
    fn drop(&mut self) {
        let _ = self.process.kill(); // fails if the process has exited
        let _ = self.process.wait();
        let _ = std::fs::remove_file(&self.configuration_path);
        // Fails if the operating point has no routes and therefore no operator's file.
        let _ = std::fs::remove_file(self.configuration_path.with_extension("toml"));
    }
}

impl InstanceProcess {
    /// Starts the program and waits until it accepts connections. Its initial endpoint list is empty, so that the
    /// traffic of the list service includes the whole list.
    fn start(
        program: &Path,
        point: &OperatingPoint,
        stand_ins: &StandIns,
        address: SocketAddr,
    ) -> Result<InstanceProcess, ScaleError> {
        let path = std::env::temp_dir().join(format!("quillramp-scale-{}.json", std::process::id()));
        let text = json!({"name": "n0", "listen": address, "discovery": stand_ins.discovery,
            "counter": stand_ins.counter, "seed": format!("{:016x}", point.seed),
            "limits": {"cores": 1.0, "memory_mb": MEMORY_MB, "sockets": MAX_DESCRIPTORS},
            "known": {"index": 0, "snapshot": true, "endpoints": []}, "settings": point.settings(0)});
        std::fs::write(&path, text.to_string()).map_err(ScaleError::file(&path))?;
        let mut command = Command::new(program);
        if let Some(text) = operator_file::render(point) {
            let operator = path.with_extension("toml");
            std::fs::write(&operator, text).map_err(ScaleError::file(&operator))?;
            command.env("EDGE_OPERATOR", operator);
        }
        command.env("EDGE_CONFIG", &path).stdout(Stdio::null()).stderr(Stdio::null());
        let process = command.spawn().map_err(ScaleError::file(program))?;
        let mut instance = InstanceProcess { process, configuration_path: path };
        instance.wait_until_accepting(program, address)?;
        Ok(instance)
    }

    fn wait_until_accepting(&mut self, program: &Path, address: SocketAddr) -> Result<(), ScaleError> {
        let deadline = Instant::now() + START_TIMEOUT;
        while TcpStream::connect(address).is_err() {
            if let Ok(Some(status)) = self.process.try_wait() {
                return Err(ScaleError::ExitedAtStart { program: program.to_owned(), status });
            }
            if Instant::now() > deadline {
                return Err(ScaleError::NotAccepting { program: program.to_owned(), address });
            }
            sleep(START_POLL);
        }
        Ok(())
    }

    fn usage(&self) -> ProcessUsage {
        process_usage(self.process.id())
    }
}

/// Measures one process of the gateway program at an operating point.
pub fn measure(
    program: &Path,
    run: &str,
    point: &OperatingPoint,
    timing: &Timing,
) -> Result<Vec<Row>, ScaleError> {
    let mut rows = Rows::new(run, Source::Real, point);
    let stand_ins = StandIns::start(point, 1, BackendMode::Listening)?;
    let address = reserve_address();
    let instance = InstanceProcess::start(program, point, &stand_ins, address)?;
    sleep(LIST_WAIT);
    add_start_rows(&mut rows, &stand_ins, &instance);
    let population = Population::new(point)?;
    let clients = if point.requests > 0.0 {
        Some(Clients::start(address, RequestSource::new(point, &population, 0)?)?)
    } else {
        None
    };
    sleep(Duration::from_secs_f64(timing.warm_up));
    if let Some(clients) = &clients {
        lock(&clients.latencies).reset();
    }
    add_steady_state_rows(&mut rows, &stand_ins, &instance, clients.as_ref(), timing);
    if let Some(clients) = &clients {
        add_latency_rows(&mut rows, clients);
    }
    Ok(rows.all)
}

/// Adds the cost of the start: the bytes of the list, processor time and memory.
fn add_start_rows(rows: &mut Rows, stand_ins: &StandIns, instance: &InstanceProcess) {
    let list_bytes = stand_ins.traffic.read().of(Role::Discovery).bytes_sent;
    rows.add("whole list", stand_ins.snapshot_bytes as f64, "bytes");
    rows.add("list sent at start", list_bytes as f64, "bytes");
    rows.add("processor to the list in force", instance.usage().cpu_seconds(), "s");
    rows.add("memory after start", instance.usage().resident_mib, "MiB");
}

/// Adds the figures of the measured interval.
fn add_steady_state_rows(
    rows: &mut Rows,
    stand_ins: &StandIns,
    instance: &InstanceProcess,
    clients: Option<&Clients>,
    timing: &Timing,
) {
    let outcomes = || clients.map(|clients| clients.outcomes.read()).unwrap_or_default();
    let traffic_before = stand_ins.traffic.read();
    let usage_before = instance.usage();
    let start = Instant::now();
    let outcomes_before = outcomes();
    sleep(Duration::from_secs_f64(timing.seconds));
    let seconds = start.elapsed().as_secs_f64();
    let usage_after = instance.usage();
    let interval_usage = IntervalUsage {
        seconds,
        instances: 1,
        outcomes: outcomes().since(&outcomes_before),
        traffic: stand_ins.traffic.read().since(&traffic_before),
        cpu_seconds: usage_after.cpu_seconds() - usage_before.cpu_seconds(),
    };
    steady_state::add_rows(rows, &interval_usage);
    rows.add(
        "processor, kernel",
        (usage_after.system_seconds - usage_before.system_seconds) / seconds,
        "cores",
    );
    rows.add("memory", usage_after.resident_mib, "MiB");
}

fn add_latency_rows(rows: &mut Rows, clients: &Clients) {
    let latencies = lock(&clients.latencies);
    for quantile in [0.5, 0.99] {
        let figure = format!("answered within, quantile {quantile}");
        rows.add(&figure, latencies.value_at_quantile(quantile) as f64 / 1e3, "ms");
    }
}
