//! The commands of the command line.
use crate::arguments::{
    Arguments, Command, FleetArguments, GrowthArguments, QuotaArguments, ShrinkArguments, SweepArguments,
};
use crate::output::{print, print_fault_kinds, print_report};
use quillramp_emulator::growth_study::{self, GrowthResult};
use quillramp_emulator::quota_study::{self, QuotaResult};
use quillramp_emulator::results::ResultsError;
use quillramp_emulator::scenario::{Scenario, ScenarioError};
use quillramp_emulator::simulation::simulate;
use quillramp_emulator::{fleet_study, results, shrinker, sweep};
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::time::Instant;

/// Permitted durations of a run of the quota study, in seconds.
const QUOTA_STUDY_SECONDS: std::ops::RangeInclusive<f64> = 10.0..=600.0;
/// Number of progress messages that a sweep prints.
const PROGRESS_MESSAGES: u64 = 10;

/// Error of a command. Each line of its text is a complete message.
#[derive(Debug, thiserror::Error)]
pub enum CommandError {
    /// A file that can't be read or written.
    #[error("{}: {source}", path.display())]
    File {
        /// Path of the file.
        path: PathBuf,
        /// The cause.
        source: std::io::Error,
    },
    /// A file that is not a valid scenario.
    #[error("{}", prefix_lines(path, source))]
    Scenario {
        /// Path of the file.
        path: PathBuf,
        /// The cause.
        source: ScenarioError,
    },
    /// Several files that can't be read or are not valid scenarios.
    #[error("{}", join_lines(.0))]
    Scenarios(Vec<CommandError>),
    /// A duration of the quota study's runs outside of `QUOTA_STUDY_SECONDS`.
    #[error("--seconds: expected 10 to 600, found {0}")]
    Seconds(f64),
    /// The results of a sweep can't be written.
    #[error(transparent)]
    Results(#[from] ResultsError),
}

/// Returns the text of an error with the path at the start of each line.
fn prefix_lines(path: &Path, error: &ScenarioError) -> String {
    let lines: Vec<String> =
        error.to_string().lines().map(|line| format!("{}: {line}", path.display())).collect();
    lines.join("\n")
}

fn join_lines(errors: &[CommandError]) -> String {
    let lines: Vec<String> = errors.iter().map(|error| error.to_string()).collect();
    lines.join("\n")
}

type CommandResult = Result<ExitCode, CommandError>;

/// Runs the command that the arguments select.
pub fn run(arguments: Arguments) -> CommandResult {
    match arguments.command {
        Command::Run { scenario, seed, options } => {
            let scenario = read_scenario(&scenario)?;
            let scenario = Scenario { seed: seed.unwrap_or(scenario.seed), ..scenario };
            Ok(print_report(&simulate(&scenario, options.defect), options.trace))
        }
        Command::Replay { seed, options } => {
            let report = simulate(&Scenario::generate(seed), options.defect);
            Ok(print_report(&report, options.trace))
        }
        Command::Draw { seed } => {
            print(&Scenario::generate(seed).to_toml());
            Ok(ExitCode::SUCCESS)
        }
        Command::Sweep(arguments) => run_sweep(arguments),
        Command::Shrink(arguments) => run_shrink(arguments),
        Command::Grow(arguments) => run_growth_study(arguments),
        Command::Quotas(arguments) => run_quota_study(arguments),
        Command::Fleets(arguments) => run_fleet_study(arguments),
        Command::Check { scenarios } => check_scenarios(&scenarios),
        Command::Kinds => {
            print_fault_kinds();
            Ok(ExitCode::SUCCESS)
        }
    }
}

fn read_scenario(path: &Path) -> Result<Scenario, CommandError> {
    let file_error = |source| CommandError::File { path: path.to_owned(), source };
    let text = std::fs::read_to_string(path).map_err(file_error)?;
    Scenario::parse(&text).map_err(|source| CommandError::Scenario { path: path.to_owned(), source })
}

fn write_file(path: &Path, text: &str) -> Result<(), CommandError> {
    std::fs::write(path, text).map_err(|source| CommandError::File { path: path.to_owned(), source })
}

fn run_sweep(arguments: SweepArguments) -> CommandResult {
    let SweepArguments { from, runs, threads, max_violations, out, defect } = arguments;
    let start = Instant::now();
    let progress_interval = (runs / PROGRESS_MESSAGES).max(1);
    let progress = |done: u64| {
        if done.is_multiple_of(progress_interval) {
            eprintln!("{done} of {runs} runs, {:.0} s", start.elapsed().as_secs_f64());
        }
    };
    let options = sweep::SweepOptions {
        seeds: from..from.saturating_add(runs),
        threads,
        max_violations: max_violations.max(1),
        defect,
    };
    let reports = sweep::sweep(&options, &progress);
    let seconds = start.elapsed().as_secs_f64();
    print(&results::summary(&reports, seconds));
    if let Some(directory) = out {
        results::write(&directory, &reports, seconds)?;
        print(&format!("results written to {}", directory.display()));
    }
    let violated = reports.iter().any(|report| report.violation.is_some());
    Ok(if violated { ExitCode::FAILURE } else { ExitCode::SUCCESS })
}

fn run_shrink(arguments: ShrinkArguments) -> CommandResult {
    let scenario = match &arguments.scenario {
        Some(path) => read_scenario(path)?,
        None => Scenario::generate(arguments.seed.unwrap_or(0)),
    };
    let Some(shrunk) = shrinker::shrink(&scenario, arguments.defect, arguments.max_runs) else {
        print("the scenario violates no invariant: nothing to shrink");
        return Ok(ExitCode::SUCCESS);
    };
    let text = shrunk.scenario.to_toml();
    match &arguments.out {
        Some(path) => write_file(path, &text)?,
        None => print(&text),
    }
    let faults_before = scenario.faults.len();
    let faults_after = shrunk.scenario.faults.len();
    print(&format!("{faults_after} of {faults_before} faults remain after {} runs", shrunk.runs));
    Ok(print_report(&shrunk.report, 0))
}

fn run_growth_study(arguments: GrowthArguments) -> CommandResult {
    let GrowthArguments { instances, seed, threads, out } = arguments;
    let sizes: Vec<usize> = instances.into_iter().map(usize::from).collect();
    let progress = |result: &GrowthResult| {
        eprintln!("{} instances, {}: {:.1} s", result.instances, result.scenario_name(), result.elapsed);
    };
    let results = growth_study::run(&sizes, seed, threads, &progress);
    let table = growth_study::table(&results);
    if let Some(path) = out {
        write_file(&path, &table)?;
    }
    print(&table);
    let violated = results.iter().find(|result| result.report.violation.is_some());
    Ok(violated.map_or(ExitCode::SUCCESS, |result| print_report(&result.report, 0)))
}

fn run_quota_study(arguments: QuotaArguments) -> CommandResult {
    let QuotaArguments { counter_faults, seconds, seeds, out } = arguments;
    if !QUOTA_STUDY_SECONDS.contains(&seconds) {
        return Err(CommandError::Seconds(seconds));
    }
    let results = quota_study::sweep(&counter_faults, seconds, seeds.range(), seeds.threads);
    let table = quota_study::table(&results);
    if let Some(path) = out {
        write_file(&path, &table)?;
    }
    print(&table);
    let exceeds_bound =
        |result: &QuotaResult| result.membership_interval > 0.0 && result.overshoot > result.bound;
    let violated = results.iter().find(|result| result.report.violation.is_some() || exceeds_bound(result));
    Ok(violated.map_or(ExitCode::SUCCESS, |result| print_report(&result.report, 0)))
}

fn run_fleet_study(arguments: FleetArguments) -> CommandResult {
    let FleetArguments { fleet_scenarios, seeds, draw } = arguments;
    if draw {
        print(&fleet_study::scenario(fleet_scenarios[0], seeds.from).to_toml());
        return Ok(ExitCode::SUCCESS);
    }
    let results = fleet_study::sweep(&fleet_scenarios, seeds.range(), seeds.threads);
    print(&fleet_study::table(&results));
    let violated: Vec<_> = results.iter().filter(|result| result.report.violation.is_some()).collect();
    for result in &violated {
        print(&format!("violation: scenario {}, seed {}", result.fleet_scenario.name(), result.report.seed));
    }
    Ok(violated.first().map_or(ExitCode::SUCCESS, |result| print_report(&result.report, 0)))
}

fn check_scenarios(paths: &[PathBuf]) -> CommandResult {
    let errors: Vec<CommandError> = paths.iter().filter_map(|path| read_scenario(path).err()).collect();
    if !errors.is_empty() {
        return Err(CommandError::Scenarios(errors));
    }
    print(&format!("{} scenarios are valid", paths.len()));
    Ok(ExitCode::SUCCESS)
}
