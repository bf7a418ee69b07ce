//! The command line of quillramp: starts the gateway, or checks an operator's file.
mod serve;

use clap::{CommandFactory, Parser, Subcommand};
use quillramp_gateway::process::{check, logger};
use serve::StartError;
use std::io::Write;
use std::process::ExitCode;

/// A gateway that holds customers to their quotas before a shared back end.
///
/// Without a command it serves. Exit codes: 0 done, 1 a file or the start has something wrong, which is said, 2 a call that can't be
/// understood.
#[derive(Parser)]
#[command(version)]
struct Cli {
    #[command(subcommand)]
    command: Option<Command>,
}

#[derive(Subcommand)]
enum Command {
    /// Serve, as EDGE_CONFIG and EDGE_OPERATOR say.
    Serve,
    /// Check an operator's file, and say all that is wrong with it.
    Check {
        file: String,
        /// The configuration to check it against; else what EDGE_CONFIG names.
        #[arg(long)]
        configuration: Option<String>,
    },
    /// Show what holds under an operator's file, and where each value comes from.
    Show {
        file: String,
        /// The configuration that it narrows; else what EDGE_CONFIG names.
        #[arg(long)]
        configuration: Option<String>,
    },
    /// Print completions for a shell.
    Completions { shell: clap_complete::Shell },
}

/// Why a command failed.
#[derive(Debug, thiserror::Error)]
enum CommandError {
    #[error(transparent)]
    Start(#[from] StartError),
    #[error(transparent)]
    Check(#[from] check::CheckError),
}

impl CommandError {
    /// All that is wrong, a line each.
    fn lines(&self) -> Vec<String> {
        match self {
            CommandError::Start(error) => vec![error.to_string()],
            CommandError::Check(error) => error.lines(),
        }
    }
}

/// Runs a command; its output.
fn run(command: Command) -> Result<String, CommandError> {
    match command {
        Command::Serve => match serve::serve()? {},
        Command::Check { file, configuration } => Ok(check::check(&file, configuration.as_deref())?),
        Command::Show { file, configuration } => Ok(check::shown(&file, configuration.as_deref())?),
        Command::Completions { shell } => Ok(completions(shell)),
    }
}

fn completions(shell: clap_complete::Shell) -> String {
    let mut text = vec![];
    clap_complete::generate(shell, &mut Cli::command(), "quillramp", &mut text);
    String::from_utf8_lossy(&text).into_owned()
}

/// Prints the output; a reader who has gone stops nothing.
fn print(text: &str) {
    let _ = writeln!(std::io::stdout(), "{}", text.trim_end());
}

fn main() -> ExitCode {
    // Without arguments there is nothing to parse, and no memory to spend on it.
    let command = if std::env::args_os().len() > 1 { Cli::parse().command } else { None };
    match run(command.unwrap_or(Command::Serve)) {
        Ok(text) => {
            print(&text);
            ExitCode::SUCCESS
        }
        Err(error) => {
            logger::flush();
            error.lines().iter().for_each(|line| eprintln!("quillramp: {line}"));
            ExitCode::FAILURE
        }
    }
}
