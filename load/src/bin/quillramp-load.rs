//! quillramp-load: plays experiments and keeps what came of them.
use clap::{Parser, Subcommand};
use quillramp_load::experiment::Experiment;
use quillramp_load::{play, results};
use std::io::Write;
use std::path::{Path, PathBuf};
use std::process::ExitCode;

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
    /// Check experiments without playing them.
    Check { experiments: Vec<PathBuf> },
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
    let (mut plays, mut rows) = (vec![], vec![]);
    let all = experiment.repetitions * experiment.variants.len();
    for repetition in 0..experiment.repetitions {
        for variant in &experiment.variants {
            eprintln!("play {} of {all}: {}, repetition {}", plays.len() + 1, variant.name, repetition + 1);
            match play::play(&experiment, (variant, repetition), folder) {
                Ok((play, new)) => {
                    plays.push(play);
                    rows.extend(new);
                }
                // What there is, is kept, and says so.
                Err(why) => {
                    results::write(folder, &plays, &rows, false)?;
                    return Err(format!(
                        "{}: {why}; {} plays are kept in {}",
                        variant.name,
                        plays.len(),
                        folder.display()
                    ));
                }
            }
            results::write(folder, &plays, &rows, plays.len() == all)?;
        }
    }
    let _ = writeln!(std::io::stdout(), "{}", results::summary(&plays, &rows, true));
    let bad = plays.iter().any(|p| p.twice > 0 || p.died > 0);
    Ok(if bad { ExitCode::FAILURE } else { ExitCode::SUCCESS })
}

fn main() -> ExitCode {
    let done = match Cli::parse().what {
        What::Run { experiment, out } => run(&experiment, &out),
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
