//! quillramp-load: plays experiments and keeps what came of them.
use clap::{Parser, Subcommand};
use quillramp_load::experiment::Experiment;
use quillramp_load::play;
use quillramp_load::results::{self, Session};
use quillramp_load::scale::command::{self, Scale};
use std::io::Write;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::time::Instant;

/// Loads front doors on loopback and measures them.
///
/// Exit codes: 0 all was played, 1 an effect was there twice or a front door died, 2 a file or a call that can't be understood.
#[derive(Parser)]
#[command(version)]
struct Cli {
    #[command(subcommand)]
    what: What,
}

#[derive(Subcommand)]
enum What {
    /// Play an experiment: each variant so often, in turns.
    Run {
        experiment: PathBuf,
        /// A folder for rows, plays, summary and chart.
        #[arg(long)]
        out: PathBuf,
    },
    /// Compare what two folders keep, variant by variant.
    Compare { first: PathBuf, second: PathBuf },
    /// Check experiments without playing them.
    Check { experiments: Vec<PathBuf> },
    /// Measure what one front door of a large fleet costs.
    Scale {
        #[command(subcommand)]
        what: Scale,
    },
}

fn read(path: &Path) -> Result<Experiment, String> {
    let text = std::fs::read_to_string(path).map_err(|e| format!("{}: {e}", path.display()))?;
    Experiment::read(&text).map_err(|e| {
        let lines: Vec<String> = e.lines().map(|l| format!("{}: {l}", path.display())).collect();
        lines.join("\n")
    })
}

fn run(path: &Path, folder: &Path) -> Result<ExitCode, String> {
    let experiment = read(path)?;
    std::fs::create_dir_all(folder).map_err(|e| format!("{}: {e}", folder.display()))?;
    let mut session = Session::default();
    let all = experiment.repetitions * experiment.variants.len();
    let start = Instant::now();
    for repetition in 0..experiment.repetitions {
        for variant in &experiment.variants {
            let done = session.plays.len();
            let so_far = start.elapsed().as_secs_f64();
            let left = so_far / done.max(1) as f64 * (all - done) as f64;
            let left = if done == 0 { String::new() } else { format!(", about {left:.0} s to go") };
            eprintln!("play {} of {all}: {}, repetition {}{left}", done + 1, variant.name, repetition + 1);
            match play::play(&experiment, (variant, repetition), folder) {
                Ok(played) => session.add(played),
                // What there is, is kept, and says so.
                Err(why) => {
                    session.write(folder)?;
                    let kept = format!("{done} plays are kept in {}", folder.display());
                    return Err(format!("{}: {why}; {kept}", variant.name));
                }
            }
            session.whole = session.plays.len() == all;
            session.write(folder)?;
        }
    }
    let _ = writeln!(std::io::stdout(), "{}", results::summary(&session));
    let bad = session.plays.iter().any(|p| p.twice > 0 || p.died > 0);
    Ok(if bad { ExitCode::FAILURE } else { ExitCode::SUCCESS })
}

fn compare(first: &Path, second: &Path) -> Result<ExitCode, String> {
    let text = results::between(&Session::read(first)?, &Session::read(second)?)?;
    let _ = writeln!(std::io::stdout(), "{text}");
    Ok(ExitCode::SUCCESS)
}

fn main() -> ExitCode {
    let done = match Cli::parse().what {
        What::Run { experiment, out } => run(&experiment, &out),
        What::Compare { first, second } => compare(&first, &second),
        What::Scale { what } => command::run(&what).map(|text| {
            let _ = write!(std::io::stdout(), "{text}");
            ExitCode::SUCCESS
        }),
        What::Check { experiments } => {
            let wrong: Vec<String> = experiments.iter().filter_map(|p| read(p).err()).collect();
            if wrong.is_empty() {
                Ok(ExitCode::SUCCESS)
            } else {
                Err(wrong.join("\n"))
            }
        }
    };
    done.unwrap_or_else(|why| {
        why.lines().for_each(|line| eprintln!("quillramp-load: {line}"));
        ExitCode::from(2)
    })
}
