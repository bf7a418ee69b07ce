//! quillramp-lease-shard: one shard of the lease service on sockets.
mod clock;
mod peers;
mod service;

use clap::Parser;
use quillramp_lease::shard::ShardSettings;
use quillramp_lease::shard_map::{ShardId, ShardMap};
use service::{Input, Service};
use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};
use std::net::{SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::sync::mpsc::Sender;

/// One shard of the lease service: keeps the buckets of the tenants that it owns, in memory.
///
/// SIGHUP reads the map again; SIGTERM ends it. Exit codes: 0 done, 1 the start has something wrong, which is said, 2 a
/// call that can't be understood.
#[derive(Parser)]
#[command(version)]
struct Arguments {
    /// Where front doors and other shards call.
    #[arg(long)]
    listen: SocketAddr,
    /// The shard map, a TOML file.
    #[arg(long)]
    map: PathBuf,
    /// The region of this shard in the map.
    #[arg(long)]
    region: String,
    /// The number of this shard in the map.
    #[arg(long)]
    id: ShardId,
}

fn main() -> ExitCode {
    match run(Arguments::parse()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            log(&error);
            ExitCode::FAILURE
        }
    }
}

/// A line on standard error.
fn log(line: &str) {
    eprintln!("quillramp-lease-shard: {line}");
}

fn read_map(path: &Path) -> Result<ShardMap, String> {
    let told = |error: &dyn std::fmt::Display| format!("{}: {error}", path.display());
    let text = std::fs::read_to_string(path).map_err(|error| told(&error))?;
    ShardMap::parse(&text).map_err(|error| told(&error))
}

fn run(arguments: Arguments) -> Result<(), String> {
    let map = read_map(&arguments.map)?;
    let settings = ShardSettings {
        id: arguments.id,
        region: arguments.region,
        incarnation: clock::incarnation(),
        injected_fault: None,
    };
    let mut signals = signal_hook::iterator::Signals::new([SIGHUP, SIGINT, SIGTERM])
        .map_err(|error| format!("signals: {error}"))?;
    let listener = TcpListener::bind(arguments.listen)
        .map_err(|error| format!("--listen {}: {error}", arguments.listen))?;
    let address = listener.local_addr().map_err(|error| error.to_string())?;
    let service =
        Service::new(settings, map).map_err(|error| format!("{}: {error}", arguments.map.display()))?;
    let inputs = service.inputs();
    service::accept(listener, inputs.clone());
    let path = arguments.map;
    std::thread::spawn(move || {
        for signal in signals.forever() {
            if !handle_signal(signal, &path, &inputs) {
                break;
            }
        }
    });
    log(&format!("serves at {address}"));
    service.run();
    log("stopped");
    Ok(())
}

/// False: no further signal counts.
fn handle_signal(signal: i32, path: &Path, inputs: &Sender<Input>) -> bool {
    if signal != SIGHUP {
        let _ = inputs.send(Input::Stop); // a service that has ended needs no telling
        return false;
    }
    match read_map(path) {
        Ok(map) => inputs.send(Input::Map(map)).is_ok(),
        Err(error) => {
            log(&format!("{error}; the last good map stays"));
            true
        }
    }
}
