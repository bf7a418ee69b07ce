//! One real front door at a point: the program as it is built, among the stand-ins, asked at its share of the fleet's rate.
use super::operator_file;
use super::point::Point;
use super::process::{own_loopback, usage, Usage};
use super::rows::{Row, Rows, Source};
use super::stand_ins::{Backends, StandIns};
use super::steady::{self, Spent};
use super::traffic::{Arrivals, Clients, Population};
use crate::sync::lock;
use serde_json::json;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::thread::sleep;
use std::time::{Duration, Instant};

/// How long a measurement takes.
#[derive(Clone, Debug, clap::Args)]
pub struct Span {
    /// Seconds of traffic before anything is counted: the pace of counter calls is learnt in them.
    #[arg(long, default_value_t = 10.0)]
    pub warm_up: f64,
    /// Seconds that are counted.
    #[arg(long, default_value_t = 15.0)]
    pub seconds: f64,
}

impl Span {
    /// The arguments that say the same again.
    pub fn arguments(&self) -> [String; 4] {
        ["--warm-up".to_owned(), self.warm_up.to_string(), "--seconds".to_owned(), self.seconds.to_string()]
    }
}

/// Descriptors of the front door: enough for a connection to each backend.
const DESCRIPTORS: usize = 8_192;
const MEMORY_MB: usize = 256;
/// The longest that a front door may take to accept.
const START: Duration = Duration::from_secs(20);
const LOOK: Duration = Duration::from_millis(1);

struct FrontDoor {
    process: Child,
    file: PathBuf,
}

impl Drop for FrontDoor {
    fn drop(&mut self) {
        let _ = self.process.kill(); // it may have ended
        let _ = self.process.wait();
        let _ = std::fs::remove_file(&self.file);
        let _ = std::fs::remove_file(self.file.with_extension("toml")); // it may not be there
    }
}

impl FrontDoor {
    /// Starts the program with an empty list, so that all of the list crosses its connection; waits until it accepts.
    fn start(
        program: &Path,
        point: &Point,
        stand_ins: &StandIns,
        at: SocketAddr,
    ) -> Result<FrontDoor, String> {
        let file = std::env::temp_dir().join(format!("quillramp-scale-{}.json", std::process::id()));
        let text = json!({"name": "n0", "listen": at, "discovery": stand_ins.list, "counter": stand_ins.counter,
            "seed": format!("{:016x}", point.seed),
            "limits": {"cores": 1.0, "memory_mb": MEMORY_MB, "sockets": DESCRIPTORS},
            "known": {"index": 0, "snapshot": true, "endpoints": []}, "settings": point.settings(0)});
        std::fs::write(&file, text.to_string()).map_err(|e| format!("{}: {e}", file.display()))?;
        let operator = operator_file::text(point).map(|text| (file.with_extension("toml"), text));
        let mut command = Command::new(program);
        if let Some((operator, text)) = &operator {
            std::fs::write(operator, text).map_err(|e| format!("{}: {e}", operator.display()))?;
            command.env("EDGE_OPERATOR", operator);
        }
        command.env("EDGE_CONFIG", &file).stdout(Stdio::null()).stderr(Stdio::null());
        let process = command.spawn().map_err(|e| format!("{}: {e}", program.display()))?;
        let mut front_door = FrontDoor { process, file };
        let until = Instant::now() + START;
        while TcpStream::connect(at).is_err() {
            if let Ok(Some(status)) = front_door.process.try_wait() {
                return Err(format!("{} ended at its start: {status}", program.display()));
            }
            if Instant::now() > until {
                return Err(format!("{} does not accept at {at}", program.display()));
            }
            sleep(LOOK);
        }
        Ok(front_door)
    }

    fn usage(&self) -> Usage {
        usage(self.process.id())
    }
}

/// A port of this process's own address. Nobody else chooses there, so it is still free when the front door takes it.
fn free_port() -> Result<SocketAddr, String> {
    let listener = TcpListener::bind((own_loopback(), 0)).map_err(|e| format!("a port: {e}"))?;
    listener.local_addr().map_err(|e| format!("a port: {e}"))
}

/// Measures one front door of the program at a point.
pub fn measure(program: &Path, run: &str, point: &Point, span: &Span) -> Result<Vec<Row>, String> {
    let mut rows = Rows::new(run, Source::Real, point);
    let stand_ins = StandIns::start(point, 1, Backends::Served)?;
    let at = free_port()?;
    let front_door = FrontDoor::start(program, point, &stand_ins, at)?;
    sleep(Duration::from_secs(1));
    let [_, list, _] = stand_ins.tallies.read();
    rows.add("whole list", stand_ins.list_bytes as f64, "bytes");
    rows.add("list sent at start", list.sent as f64, "bytes");
    rows.add("processor to the list in force", front_door.usage().processor(), "s");
    rows.add("memory after start", front_door.usage().resident, "MiB");
    let population = Population::new(point)?;
    let asks = point.requests > 0.0;
    let clients = asks.then(|| Clients::start(at, Arrivals::new(point, &population, 0)?)).transpose()?;
    sleep(Duration::from_secs_f64(span.warm_up));
    if let Some(clients) = &clients {
        lock(&clients.took).reset();
    }
    let (tallies, used, from) = (stand_ins.tallies.read(), front_door.usage(), Instant::now());
    let answered = clients.as_ref().map(|c| c.answers.read()).unwrap_or_default();
    sleep(Duration::from_secs_f64(span.seconds));
    let (seconds, used_now) = (from.elapsed().as_secs_f64(), front_door.usage());
    let answered = clients.as_ref().map(|c| c.answers.read()).unwrap_or_default().since(&answered);
    let spent = Spent {
        seconds,
        front_doors: 1,
        answered,
        counted: steady::since(&stand_ins.tallies.read(), &tallies),
        processor: used_now.processor() - used.processor(),
    };
    steady::add(&mut rows, &spent);
    rows.add("processor, kernel", (used_now.system - used.system) / seconds, "cores");
    rows.add("memory", used_now.resident, "MiB");
    if let Some(clients) = &clients {
        let took = lock(&clients.took);
        for quantile in [0.5, 0.99] {
            let what = format!("answered within, quantile {quantile}");
            rows.add(&what, took.value_at_quantile(quantile) as f64 / 1e3, "ms");
        }
    }
    Ok(rows.all)
}
