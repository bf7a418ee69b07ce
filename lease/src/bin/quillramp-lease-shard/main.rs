//! `quillramp-lease-shard`: runs one shard of the lease service on TCP sockets.
mod clock;
mod connections;
mod error;
mod peers;
mod service;

use clap::Parser;
use error::{MapFileError, StartError};
use quillramp_lease::shard::ShardSettings;
use quillramp_lease::shard_map::{ShardId, ShardMap};
use service::{Event, Service};
use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};
use signal_hook::iterator::Signals;
use std::fmt::Display;
use std::net::{SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::sync::mpsc::Sender;

/// Runs one shard of the lease service, which keeps in memory the token buckets of the tenants that it owns.
///
/// SIGHUP reloads the shard map; SIGTERM and SIGINT stop the shard. Exit codes: 0 if the shard was stopped by
/// a signal, 1 if it could not start (the reason is on standard error), 2 if the command line is invalid.
#[derive(Parser)]
#[command(version)]
struct Arguments {
    /// Address on which to accept gateway instances and other shards, as IP:PORT.
    #[arg(long)]
    listen: SocketAddr,
    /// Path of the shard map, a TOML file.
    #[arg(long, value_name = "FILE")]
    map: PathBuf,
    /// Name of this shard's region in the shard map.
    #[arg(long)]
    region: String,
    /// Id of this shard in the shard map.
    #[arg(long)]
    id: ShardId,
}

fn main() -> ExitCode {
    match run(Arguments::parse()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            log(error);
            ExitCode::FAILURE
        }
    }
}

/// Writes a line to standard error.
fn log(line: impl Display) {
    eprintln!("quillramp-lease-shard: {line}");
}

fn run(arguments: Arguments) -> Result<(), StartError> {
    let map = read_map(&arguments.map)?;
    let settings = ShardSettings {
        id: arguments.id,
        region: arguments.region,
        incarnation: clock::incarnation(),
        injected_fault: None,
    };
    let signals = Signals::new([SIGHUP, SIGINT, SIGTERM]).map_err(StartError::Signals)?;
    let listener = TcpListener::bind(arguments.listen)
        .map_err(|source| StartError::Listen { address: arguments.listen, source })?;
    let address = listener.local_addr().map_err(StartError::LocalAddress)?;
    let service = Service::new(settings, map)
        .map_err(|source| MapFileError::Invalid { path: arguments.map.clone(), source })?;
    connections::spawn_acceptor(listener, service.event_sender());
    spawn_signal_handler(signals, arguments.map, service.event_sender());
    log(format_args!("serves at {address}"));
    service.run();
    log("stopped");
    Ok(())
}

fn read_map(path: &Path) -> Result<ShardMap, MapFileError> {
    let text = std::fs::read_to_string(path)
        .map_err(|source| MapFileError::Unreadable { path: path.to_owned(), source })?;
    ShardMap::parse(&text).map_err(|source| MapFileError::Invalid { path: path.to_owned(), source })
}

fn spawn_signal_handler(mut signals: Signals, map_path: PathBuf, events: Sender<Event>) {
    std::thread::spawn(move || {
        for signal in signals.forever() {
            if !handle_signal(signal, &map_path, &events) {
                break;
            }
        }
    });
}

/// Reloads the map on SIGHUP and stops the service on any other signal. Returns whether to wait for further
/// signals.
fn handle_signal(signal: i32, map_path: &Path, events: &Sender<Event>) -> bool {
    if signal != SIGHUP {
        // Fails if the service has already stopped.
        let _ = events.send(Event::Stop);
        return false;
    }
    match read_map(map_path) {
        Ok(map) => events.send(Event::MapReloaded(map)).is_ok(),
        Err(error) => {
            log(format_args!("{error}; keeping the last valid shard map"));
            true
        }
    }
}
