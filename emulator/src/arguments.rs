//! The command line.
use clap::{Args, Parser, Subcommand};
use quillramp_emulator::fleet_study::FleetScenario;
use quillramp_emulator::gateway_process::Sabotage;
use quillramp_emulator::quota_study::CounterFault;
use std::path::PathBuf;

/// The front door's own code on a virtual clock, with faults from a seed and every rule checked after each step.
///
/// Exit codes: 0 no rule broken, 1 a rule broken, 2 a script or a call that can't be understood.
#[derive(Parser)]
#[command(version)]
pub struct Arguments {
    #[command(subcommand)]
    pub command: Command,
}

/// The commands.
#[derive(Subcommand)]
pub enum Command {
    /// Play a script.
    Run {
        script: PathBuf,
        /// In place of the script's own.
        #[arg(long)]
        seed: Option<u64>,
        #[command(flatten)]
        options: RunOptions,
    },
    /// Play the run that a seed draws, as `sweep` does.
    Replay {
        seed: u64,
        #[command(flatten)]
        options: RunOptions,
    },
    /// Print the script that a seed draws.
    Draw { seed: u64 },
    /// Play the runs of many seeds.
    Sweep(SweepArguments),
    /// Make a script that breaks a rule smaller, as long as it breaks the same one.
    Shrink(ShrinkArguments),
    /// Play one traffic behind more and more front doors, calm and with half of them killed at once.
    Grow(GrowthArguments),
    /// Play a counter that is ill for minutes, with the roster and without, and set overshoot against its bound.
    Quotas(QuotaArguments),
    /// Play days of about a hundred front doors: a herd, a zone lost, most backends replaced.
    Fleets(FleetArguments),
    /// Check scripts without playing them.
    Check { scripts: Vec<PathBuf> },
    /// The kinds of faults that a script may name.
    Kinds,
}

/// How one run is run and printed.
#[derive(Args)]
pub struct RunOptions {
    /// How many of the last lines to print; all steps that broke a rule print theirs.
    #[arg(long, default_value_t = 0)]
    pub trace: usize,
    /// Front doors broken on purpose.
    #[arg(long = "break", value_enum)]
    pub sabotage: Option<Sabotage>,
}

/// The arguments of `sweep`.
#[derive(Args)]
pub struct SweepArguments {
    /// The first seed.
    #[arg(long, default_value_t = 0)]
    pub from: u64,
    /// How many.
    #[arg(long, default_value_t = 1000)]
    pub runs: u64,
    /// At once.
    #[arg(long, default_value_t = default_threads())]
    pub threads: usize,
    /// So many broken rules are enough.
    #[arg(long, default_value_t = 10)]
    pub enough: usize,
    /// A folder for rows, summary and charts.
    #[arg(long)]
    pub out: Option<PathBuf>,
    /// Front doors broken on purpose.
    #[arg(long = "break", value_enum)]
    pub sabotage: Option<Sabotage>,
}

/// The arguments of `shrink`.
#[derive(Args)]
pub struct ShrinkArguments {
    /// A script; or a seed, with --seed.
    #[arg(required_unless_present = "seed")]
    pub script: Option<PathBuf>,
    #[arg(long, conflicts_with = "script")]
    pub seed: Option<u64>,
    /// So many runs at the most.
    #[arg(long, default_value_t = 200)]
    pub runs: usize,
    /// Where to write it; else it is printed.
    #[arg(long)]
    pub out: Option<PathBuf>,
    #[arg(long = "break", value_enum)]
    pub sabotage: Option<Sabotage>,
}

/// The arguments of `grow`.
#[derive(Args)]
pub struct GrowthArguments {
    /// How many front doors, one size after another.
    #[arg(long, value_delimiter = ',', default_values_t = [8, 48, 300, 2000], value_parser = clap::value_parser!(u16).range(2..=4096))]
    pub doors: Vec<u16>,
    #[arg(long, default_value_t = 1)]
    pub seed: u64,
    #[arg(long, default_value_t = default_threads())]
    pub threads: usize,
    /// A file for the table.
    #[arg(long)]
    pub out: Option<PathBuf>,
}

/// The arguments of `quotas`.
#[derive(Args)]
pub struct QuotaArguments {
    #[arg(long, value_enum, value_delimiter = ',', default_values_t = [CounterFault::None, CounterFault::Split, CounterFault::Down, CounterFault::Silent, CounterFault::Lost, CounterFault::Deaf, CounterFault::Mixed])]
    pub ill: Vec<CounterFault>,
    /// Seconds of each run.
    #[arg(long, default_value_t = 60.0)]
    pub seconds: f64,
    #[command(flatten)]
    pub seeds: SeedRange,
    /// A file for the table.
    #[arg(long)]
    pub out: Option<PathBuf>,
}

/// The arguments of `fleets`.
#[derive(Args)]
pub struct FleetArguments {
    #[arg(long, value_enum, value_delimiter = ',', default_values_t = [FleetScenario::MassRestart, FleetScenario::ZoneLoss, FleetScenario::MassReplacement])]
    pub day: Vec<FleetScenario>,
    #[command(flatten)]
    pub seeds: SeedRange,
    /// Print the script of the first seed of the first day in place of playing it.
    #[arg(long)]
    pub draw: bool,
}

/// Seeds, and how many runs at once.
#[derive(Args)]
pub struct SeedRange {
    /// The first seed.
    #[arg(long, default_value_t = 0)]
    pub from: u64,
    /// How many seeds of each.
    #[arg(long, default_value_t = 20)]
    pub runs: u64,
    /// At once.
    #[arg(long, default_value_t = default_threads())]
    pub threads: usize,
}

impl SeedRange {
    /// The seeds.
    pub fn range(&self) -> std::ops::Range<u64> {
        self.from..self.from.saturating_add(self.runs)
    }
}

fn default_threads() -> usize {
    std::thread::available_parallelism().map_or(1, usize::from)
}
