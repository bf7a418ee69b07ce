//! quillramp-counter: serves a counter, alone or as one of two or three; or looks at one's files.
use clap::{Parser, Subcommand};
use quillramp_counter::disk::Folder;
use quillramp_counter::log::Log;
use quillramp_counter::service::{self, Place, Times};
use quillramp_counter::totals::{Add, Totals};
use signal_hook::consts::{SIGINT, SIGTERM};
use std::collections::BTreeMap;
use std::io::Write;
use std::net::{SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::ExitCode;

/// A counter of named totals, in a durable log.
///
/// Exit codes: 0 done, 1 a start, a disk or a file has something wrong, which is said, 2 a call that can't be understood.
#[derive(Parser)]
#[command(version)]
struct Cli {
    #[command(subcommand)]
    what: What,
}

#[derive(Subcommand)]
enum What {
    /// Serve until SIGTERM.
    Serve {
        /// Where front doors call.
        #[arg(long)]
        listen: SocketAddr,
        /// The folder of its log, which nobody else may have.
        #[arg(long)]
        data: PathBuf,
        /// Which of the members this is.
        #[arg(long, default_value_t = 1)]
        id: u64,
        /// All members, this one included, as ID=ADDRESS; left out: alone.
        #[arg(long = "member", value_parser = member)]
        members: Vec<(u64, SocketAddr)>,
        /// Seconds without a word of the leader, at least, before another one stands.
        #[arg(long, default_value_t = Times::default().patience)]
        patience: f64,
        /// The longest that a name lives, seconds; budgets of longer periods need more.
        #[arg(long, default_value_t = Times::default().longest_life)]
        longest_life: f64,
    },
    /// Look whether a folder's files are whole.
    Verify { data: PathBuf },
    /// Print what a folder holds.
    Show {
        data: PathBuf,
        /// With every name and its total.
        #[arg(long)]
        names: bool,
    },
}

fn member(text: &str) -> Result<(u64, SocketAddr), String> {
    let wrong = || format!("'{text}': expected ID=ADDRESS");
    let (id, at) = text.split_once('=').ok_or_else(wrong)?;
    Ok((id.parse().map_err(|_| wrong())?, at.parse().map_err(|_| wrong())?))
}

fn serve(place: Place, data: &Path, (patience, longest_life): (f64, f64)) -> Result<String, String> {
    if !(0.02..=60.0).contains(&patience) {
        return Err(format!("--patience: expected 0.02 to 60 seconds, found {patience}"));
    }
    if !(1.0..=1e8).contains(&longest_life) {
        return Err(format!("--longest-life: expected 1 to 1e8 seconds, found {longest_life}"));
    }
    let times = Times { beat: patience / 7.0, patience, longest_life, ..Times::default() };
    let own = *place.members.get(&place.id).ok_or(format!("--id {}: no --member has it", place.id))?;
    let bind = |at: SocketAddr| TcpListener::bind(at).map_err(|e| format!("{at}: {e}"));
    let sockets = (bind(place.listen)?, bind(own)?);
    let disk = Folder::new(data).map_err(|e| format!("{}: {e}", data.display()))?;
    let mut signals = signal_hook::iterator::Signals::new([SIGTERM, SIGINT]).map_err(|e| e.to_string())?;
    let seed =
        std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH).unwrap_or_default().as_nanos();
    let told = |e: quillramp_counter::log::Wrong| format!("{}: {e}", data.display());
    let mut service = service::start(disk, place, times, sockets, seed as u64).map_err(told)?;
    eprintln!("quillramp-counter: serves at {}", service.listen);
    let handle = signals.handle();
    let stopper = service.stopper();
    std::thread::spawn(move || {
        if signals.forever().next().is_some() {
            stopper();
        }
    });
    let ended = service.wait();
    handle.close();
    ended.map_err(told).map(|()| "stopped".into())
}

fn look(data: &Path, names: bool, whole: bool) -> Result<String, String> {
    let told = |e: &dyn std::fmt::Display| format!("{}: {e}", data.display());
    if !data.is_dir() {
        return Err(told(&"no such folder"));
    }
    // On a copy in memory: looking changes nothing, and an unfinished write is told and not dropped.
    let mut copy = quillramp_counter::disk::Memory::default();
    let mut disk = Folder::new(data).map_err(|e| told(&e))?;
    copy.fill(&mut disk).map_err(|e| told(&e))?;
    let (_, found) = Log::open::<Totals, Add>(copy).map_err(|e| told(&e))?;
    let mut totals = found.snapshot.state.clone();
    for add in found.entries.iter().filter_map(|e| e.command.as_ref()) {
        totals.add(add);
    }
    let mut text = format!(
        "{}: {}; a state up to entry {}, {} entries behind it, {} names",
        data.display(),
        service::vow_of(&found.vow),
        found.snapshot.index,
        found.entries.len(),
        totals.len()
    );
    if found.torn > 0 {
        text += &format!("; {} bytes of an unfinished write at the end", found.torn);
    }
    if whole {
        text += "; all checksums fit";
    }
    if names {
        for (name, total) in totals.all() {
            text += &format!("\n{} {total}", String::from_utf8_lossy(name));
        }
    }
    Ok(text)
}

fn main() -> ExitCode {
    let done = match Cli::parse().what {
        What::Serve { listen, data, id, members, patience, longest_life } => {
            let alone = || BTreeMap::from([(id, SocketAddr::from(([127, 0, 0, 1], 0)))]);
            let given: BTreeMap<u64, SocketAddr> = members.iter().copied().collect();
            if given.len() < members.len() || given.len() > 3 {
                Err("--member: expected each id once, three at the most".into())
            } else {
                let members = if given.is_empty() { alone() } else { given };
                serve(Place { id, listen, members }, &data, (patience, longest_life))
            }
        }
        What::Verify { data } => look(&data, false, true),
        What::Show { data, names } => look(&data, names, false),
    };
    match done {
        Ok(text) => {
            let _ = writeln!(std::io::stdout(), "{text}"); // somebody who has stopped reading stops nothing
            ExitCode::SUCCESS
        }
        Err(why) => {
            eprintln!("quillramp-counter: {why}");
            ExitCode::FAILURE
        }
    }
}
