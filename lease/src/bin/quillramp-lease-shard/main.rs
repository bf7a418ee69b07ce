//! quillramp-lease-shard: one shard of the lease service on sockets.
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

/// One shard of the lease service: keeps the token buckets of the tenants that it owns, in memory.
///
/// SIGHUP reloads the shard map, SIGTERM and SIGINT stop the shard. Exit codes: 0 stopped by a signal; 1 the shard could not start,
/// standard error says why; 2 a command line that can't be understood.
#[derive(Parser)]
#[command(version)]
struct Arguments {
    /// Address on which gateway instances and other shards are accepted, as IP:PORT.
    #[arg(long)]
    listen: SocketAddr,
    /// The shard map, a TOML file.
    #[arg(long, value_name = "FILE")]
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

/// Returns whether further signals are to be handled.
fn handle_signal(signal: i32, map_path: &Path, events: &Sender<Event>) -> bool {
    if signal != SIGHUP {
        // A service that has ended does not need to be stopped.
        let _ = events.send(Event::Stop);
        return false;
    }
    match read_map(map_path) {
        Ok(map) => events.send(Event::MapReloaded(map)).is_ok(),
        Err(error) => {
            log(format_args!("{error}; the last good map stays"));
            true
        }
    }
}
