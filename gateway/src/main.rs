//! The command line of quillramp: starts the gateway, or checks an operator's file.
mod serve;

use clap::{CommandFactory, Parser, Subcommand};
use quillramp_gateway::process::{check, logger};
use serve::StartError;
use std::io::Write;
use std::process::ExitCode;

/// A gateway that holds customers to their quotas before a shared back end.
///
/// Without a command, the gateway serves. Exit codes: 0 success, 1 an invalid file or a failed start, whose
/// errors are printed, 2 an invalid command line.
#[derive(Parser)]
#[command(version)]
struct Cli {
    #[command(subcommand)]
    command: Option<Command>,
}

#[derive(Subcommand)]
enum Command {
    /// Serve, with the files that EDGE_CONFIG and EDGE_OPERATOR name.
    Serve,
    /// Check an operator's file, and print all its errors.
    Check {
        file: String,
        /// The configuration to check it against; by default the file that EDGE_CONFIG names.
        #[arg(long)]
        configuration: Option<String>,
    },
    /// Show the effective values under an operator's file, and the source of each.
    Show {
        file: String,
        /// The configuration that it restricts; by default the file that EDGE_CONFIG names.
        #[arg(long)]
        configuration: Option<String>,
    },
    /// Print completions for a shell.
    Completions { shell: clap_complete::Shell },
}

/// Error of a command.
#[derive(Debug, thiserror::Error)]
enum CommandError {
    #[error(transparent)]
    Start(#[from] StartError),
    #[error(transparent)]
    Check(#[from] check::CheckError),
}

impl CommandError {
    /// Returns the error's lines, one for each diagnostic.
    fn lines(&self) -> Vec<String> {
        match self {
            CommandError::Start(error) => vec![error.to_string()],
            CommandError::Check(error) => error.lines(),
        }
    }
}

/// Runs a command and returns its output.
fn run(command: Command) -> Result<String, CommandError> {
    match command {
        Command::Serve => match serve::serve()? {},
        Command::Check { file, configuration } => Ok(check::check(&file, configuration.as_deref())?),
        Command::Show { file, configuration } => {
            Ok(check::effective_values(&file, configuration.as_deref())?)
        }
        Command::Completions { shell } => Ok(completions(shell)),
    }
}

fn completions(shell: clap_complete::Shell) -> String {
    let mut text = vec![];
    clap_complete::generate(shell, &mut Cli::command(), "quillramp", &mut text);
    String::from_utf8_lossy(&text).into_owned()
}

/// Prints the output; errors, such as a closed pipe, are ignored.
fn print(text: &str) {
    let _ = writeln!(std::io::stdout(), "{}", text.trim_end());
}

fn main() -> ExitCode {
    // Without arguments, the parser and its memory are not needed.
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
