//! quillramp-load: runs load experiments and writes their results.
use clap::{Parser, Subcommand};
use quillramp_load::error::RunError;
use quillramp_load::experiment::{Experiment, ExperimentError};
use quillramp_load::results::{self, Session, SessionError};
use quillramp_load::run::run_variant;
use quillramp_load::scale::command::{self, Scale};
use quillramp_load::scale::error::ScaleError;
use std::io::Write;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::time::Instant;

/// Starts gateway instances on loopback, sends them requests and measures the outcomes.
///
/// Exit codes: 0 success; 1 a non-idempotent request was executed twice, or an instance crashed; 2 a file or the command line is
/// invalid, or a run failed.
#[derive(Parser)]
#[command(version)]
struct Cli {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Run an experiment: all variants in turn, for the experiment's number of repetitions.
    Run {
        /// Experiment file, TOML.
        experiment: PathBuf,
        /// Directory to write rows (CSV), the summary and charts to; it is created if necessary.
        #[arg(long, value_name = "DIRECTORY")]
        out: PathBuf,
    },
    /// Compare the results of two sessions, variant by variant.
    Compare {
        /// Directory of the first session's results.
        first: PathBuf,
        /// Directory of the second session's results.
        second: PathBuf,
    },
    /// Check experiment files without running them.
    Check {
        /// Experiment files, TOML.
        experiments: Vec<PathBuf>,
    },
    /// Measure the resource usage of one gateway instance of a large fleet.
    Scale {
        /// What to measure.
        #[command(subcommand)]
        what: Scale,
    },
}

/// The reasons for which a command fails, as they are printed to the user.
#[derive(Debug, thiserror::Error)]
enum CommandError {
    /// A file can't be read, or the output directory can't be created.
    #[error("{}: {source}", path.display())]
    File { path: PathBuf, source: std::io::Error },
    /// A file is not a valid experiment; each line of the message names the file.
    #[error("{}", prefix_lines(path, error))]
    Experiment { path: PathBuf, error: ExperimentError },
    /// A run of a variant failed; the results of the earlier runs have been written.
    #[error("variant {variant}: {error}; the results of the {done} earlier runs are in {}", folder.display())]
    Run { variant: String, error: RunError, done: usize, folder: PathBuf },
    /// One or more experiments are invalid.
    #[error("{}", .0.iter().map(ToString::to_string).collect::<Vec<_>>().join("\n"))]
    Check(Vec<CommandError>),
    #[error(transparent)]
    Session(#[from] SessionError),
    #[error(transparent)]
    Scale(#[from] ScaleError),
}

/// Prefixes each line of the error with the path.
fn prefix_lines(path: &Path, error: &ExperimentError) -> String {
    let text = error.to_string();
    let lines: Vec<String> = text.lines().map(|line| format!("{}: {line}", path.display())).collect();
    lines.join("\n")
}

fn read_experiment(path: &Path) -> Result<Experiment, CommandError> {
    let file = |source| CommandError::File { path: path.to_owned(), source };
    let text = std::fs::read_to_string(path).map_err(file)?;
    Experiment::read(&text).map_err(|error| CommandError::Experiment { path: path.to_owned(), error })
}

/// Runs all variants of an experiment, and writes the results after each run.
fn run(path: &Path, folder: &Path) -> Result<ExitCode, CommandError> {
    let experiment = read_experiment(path)?;
    let file = |source| CommandError::File { path: folder.to_owned(), source };
    std::fs::create_dir_all(folder).map_err(file)?;
    let mut session = Session::default();
    let all = experiment.repetitions * experiment.variants.len();
    let start = Instant::now();
    for repetition in 0..experiment.repetitions {
        for variant in &experiment.variants {
            let done = session.runs.len();
            let remaining = remaining_time(start, done, all);
            eprintln!(
                "run {} of {all}: {}, repetition {}{remaining}",
                done + 1,
                variant.name,
                repetition + 1
            );
            match run_variant(&experiment, variant, repetition, folder) {
                Ok(result) => session.add(result),
                Err(error) => {
                    session.write(folder)?; // the summary marks the session as interrupted
                    let variant = variant.name.clone();
                    return Err(CommandError::Run { variant, error, done, folder: folder.to_owned() });
                }
            }
            session.complete = session.runs.len() == all;
            session.write(folder)?;
        }
    }
    let _ = writeln!(std::io::stdout(), "{}", results::summary(&session));
    let bad = session.runs.iter().any(|run| run.duplicates > 0 || run.crashed > 0);
    Ok(if bad { ExitCode::FAILURE } else { ExitCode::SUCCESS })
}

/// Returns the estimated time for the remaining runs as text; empty before the first run has ended.
fn remaining_time(start: Instant, done: usize, all: usize) -> String {
    if done == 0 {
        return String::new();
    }
    let left = start.elapsed().as_secs_f64() / done as f64 * (all - done) as f64;
    format!(", about {left:.0} s left")
}

fn compare(first: &Path, second: &Path) -> Result<ExitCode, CommandError> {
    let text = results::compare_sessions(&Session::read(first)?, &Session::read(second)?)?;
    let _ = writeln!(std::io::stdout(), "{text}");
    Ok(ExitCode::SUCCESS)
}

fn check(paths: &[PathBuf]) -> Result<ExitCode, CommandError> {
    let errors: Vec<CommandError> = paths.iter().filter_map(|path| read_experiment(path).err()).collect();
    if errors.is_empty() {
        Ok(ExitCode::SUCCESS)
    } else {
        Err(CommandError::Check(errors))
    }
}

fn scale(what: &Scale) -> Result<ExitCode, CommandError> {
    let text = command::run(what)?;
    let _ = write!(std::io::stdout(), "{text}");
    Ok(ExitCode::SUCCESS)
}

fn main() -> ExitCode {
    let done = match Cli::parse().command {
        Command::Run { experiment, out } => run(&experiment, &out),
        Command::Compare { first, second } => compare(&first, &second),
        Command::Scale { what } => scale(&what),
        Command::Check { experiments } => check(&experiments),
    };
    done.unwrap_or_else(|error| {
        error.to_string().lines().for_each(|line| eprintln!("quillramp-load: {line}"));
        ExitCode::from(2)
    })
}
