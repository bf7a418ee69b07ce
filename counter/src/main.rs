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

/// A counter of named totals, in a durable log.
///
/// Exit codes: 0 done, 1 a start, a disk or a file has something wrong, which is said, 2 a call that can't be understood.
#[derive(Parser)]
#[command(version)]
struct Cli {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
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
        #[arg(long = "member", value_parser = parse_member)]
        members: Vec<Member>,
        /// Seconds without a word of the leader, at least, before another one stands.
        #[arg(long = "patience", value_name = "PATIENCE", default_value_t = Timing::default().election_timeout)]
        election_timeout: f64,
        /// The longest that a name lives, seconds; budgets of longer periods need more.
        #[arg(long = "longest-life", value_name = "LONGEST_LIFE", default_value_t = Timing::default().max_lifetime)]
        max_lifetime: f64,
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

/// The text of a `--member` option that is not of the form ID=ADDRESS.
#[derive(Debug, thiserror::Error)]
#[error("'{0}': expected ID=ADDRESS")]
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
            Ok(format!("{contents}; all checksums fit"))
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
            let _ = writeln!(std::io::stdout(), "{text}"); // a reader that has gone stops nothing
            ExitCode::SUCCESS
        }
        Err(error) => {
            eprintln!("quillramp-counter: {error}");
            ExitCode::FAILURE
        }
    }
}
