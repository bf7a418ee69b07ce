//! quillramp-counter: serves a counter, alone or as one of two or three replicas, or inspects a replica's files.
mod inspect;
mod serve;

use clap::{Parser, Subcommand};
use quillramp_counter::server::Timing;
use serve::{Member, ServeOptions};
use std::io::Write;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;

/// A counter service: named totals in a durable log, alone or replicated by Raft.
///
/// Exit codes: 0 success; 1 an option, a socket, the disk or a file is not usable (standard error names it); 2 invalid command
/// line.
#[derive(Parser)]
#[command(version)]
struct Cli {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Run a replica until SIGTERM or SIGINT.
    Serve {
        /// Address on which gateway instances are accepted, as IP:PORT.
        #[arg(long)]
        listen: SocketAddr,
        /// Directory of the log, created if necessary; no other replica may use it.
        #[arg(long, value_name = "DIRECTORY")]
        data: PathBuf,
        /// The id of this replica among the members.
        #[arg(long, default_value_t = 1)]
        id: u64,
        /// A replica and the address on which it accepts its peers; given once for each of two or three replicas, including
        /// this one [default: this replica runs alone]
        #[arg(long = "member", value_name = "ID=IP:PORT", value_parser = parse_member)]
        members: Vec<Member>,
        /// Minimum election timeout, 0.02 to 60 seconds: a replica starts an election when no message from a leader has arrived
        /// for a time drawn at random between one and two times this value.
        #[arg(long = "patience", value_name = "SECONDS", default_value_t = Timing::default().election_timeout)]
        election_timeout: f64,
        /// Maximum time for which a name and its total are kept, 1 to 1e8 seconds; at least 1.5 times the longest budget period.
        #[arg(long = "longest-life", value_name = "SECONDS", default_value_t = Timing::default().max_lifetime)]
        max_lifetime: f64,
    },
    /// Check that the files of a replica can be read and that all checksums match.
    Verify {
        /// The directory of the replica's log.
        #[arg(value_name = "DIRECTORY")]
        data: PathBuf,
    },
    /// Print a summary of the files of a replica.
    Show {
        /// The directory of the replica's log.
        #[arg(value_name = "DIRECTORY")]
        data: PathBuf,
        /// Also print every name and its total.
        #[arg(long)]
        names: bool,
    },
}

/// A `--member` option that does not have the form ID=IP:PORT.
#[derive(Debug, thiserror::Error)]
#[error("expected ID=IP:PORT, found '{0}'")]
struct InvalidMember(String);

fn parse_member(text: &str) -> Result<Member, InvalidMember> {
    let parts = text.split_once('=');
    let member =
        parts.and_then(|(id, address)| Some(Member { id: id.parse().ok()?, address: address.parse().ok()? }));
    member.ok_or_else(|| InvalidMember(text.to_owned()))
}

fn run(command: Command) -> Result<String, Box<dyn std::error::Error>> {
    match command {
        Command::Serve { listen, data, id, members, election_timeout, max_lifetime } => {
            let options = ServeOptions {
                id,
                client_address: listen,
                members,
                directory: data,
                election_timeout,
                max_lifetime,
            };
            serve::serve(options)?;
            Ok("stopped".into())
        }
        Command::Verify { data } => {
            let contents = inspect::read(&data)?;
            Ok(format!("{contents}; all checksums match"))
        }
        Command::Show { data, names } => {
            let contents = inspect::read(&data)?;
            let names = if names { contents.names() } else { String::new() };
            Ok(format!("{contents}{names}"))
        }
    }
}

fn main() -> ExitCode {
    match run(Cli::parse().command) {
        Ok(text) => {
            let _ = writeln!(std::io::stdout(), "{text}"); // a closed pipe is not an error
            ExitCode::SUCCESS
        }
        Err(error) => {
            eprintln!("quillramp-counter: {error}");
            ExitCode::FAILURE
        }
    }
}
