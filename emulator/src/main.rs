//! quillramp-emulator: plays runs, replays and shrinks those that break a rule, and sweeps over seeds.
use clap::{Parser, Subcommand};
use quillramp_emulator::door::Sabotage;
use quillramp_emulator::fleets::{self, Day};
use quillramp_emulator::growth::{self, Grown};
use quillramp_emulator::play::{play, Report};
use quillramp_emulator::quotas::{self, Found, Ill};
use quillramp_emulator::script::{Kind, Script, Whom};
use quillramp_emulator::{results, shrink, sweep};
use std::io::Write;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::time::Instant;

/// The front door's own code on a virtual clock, with faults from a seed and every rule checked after each step.
///
/// Exit codes: 0 no rule broken, 1 a rule broken, 2 a script or a call that can't be understood.
#[derive(Parser)]
#[command(version)]
struct Cli {
    #[command(subcommand)]
    what: What,
}

#[derive(Subcommand)]
enum What {
    /// Play a script.
    Run {
        script: PathBuf,
        /// In place of the script's own.
        #[arg(long)]
        seed: Option<u64>,
        #[command(flatten)]
        how: How,
    },
    /// Play the run that a seed draws, as `sweep` does.
    Replay {
        seed: u64,
        #[command(flatten)]
        how: How,
    },
    /// Print the script that a seed draws.
    Draw { seed: u64 },
    /// Play the runs of many seeds.
    Sweep {
        /// The first seed.
        #[arg(long, default_value_t = 0)]
        from: u64,
        /// How many.
        #[arg(long, default_value_t = 1000)]
        runs: u64,
        /// At once.
        #[arg(long, default_value_t = threads())]
        threads: usize,
        /// So many broken rules are enough.
        #[arg(long, default_value_t = 10)]
        enough: usize,
        /// A folder for rows, summary and charts.
        #[arg(long)]
        out: Option<PathBuf>,
        /// Front doors broken on purpose.
        #[arg(long = "break", value_enum)]
        sabotage: Option<Sabotage>,
    },
    /// Make a script that breaks a rule smaller, as long as it breaks the same one.
    Shrink {
        /// A script; or a seed, with --seed.
        #[arg(required_unless_present = "seed")]
        script: Option<PathBuf>,
        #[arg(long, conflicts_with = "script")]
        seed: Option<u64>,
        /// So many runs at the most.
        #[arg(long, default_value_t = 200)]
        runs: usize,
        /// Where to write it; else it is printed.
        #[arg(long)]
        out: Option<PathBuf>,
        #[arg(long = "break", value_enum)]
        sabotage: Option<Sabotage>,
    },
    /// Play one traffic behind more and more front doors, calm and with half of them killed at once.
    Grow {
        /// How many front doors, one size after another.
        #[arg(long, value_delimiter = ',', default_values_t = [8, 48, 300, 2000], value_parser = clap::value_parser!(u16).range(2..=4096))]
        doors: Vec<u16>,
        #[arg(long, default_value_t = 1)]
        seed: u64,
        #[arg(long, default_value_t = threads())]
        threads: usize,
        /// A file for the table.
        #[arg(long)]
        out: Option<PathBuf>,
    },
    /// Play a counter that is ill for minutes, with the roster and without, and set overshoot against its bound.
    Quotas {
        #[arg(long, value_enum, value_delimiter = ',', default_values_t = [Ill::None, Ill::Split, Ill::Down, Ill::Silent, Ill::Lost, Ill::Deaf, Ill::Mixed])]
        ill: Vec<Ill>,
        /// Seconds of each run.
        #[arg(long, default_value_t = 60.0)]
        seconds: f64,
        #[command(flatten)]
        seeds: Seeds,
        /// A file for the table.
        #[arg(long)]
        out: Option<PathBuf>,
    },
    /// Play days of about a hundred front doors: a herd, a zone lost, most backends replaced.
    Fleets {
        #[arg(long, value_enum, value_delimiter = ',', default_values_t = [Day::Herd, Day::Zone, Day::Join])]
        day: Vec<Day>,
        #[command(flatten)]
        seeds: Seeds,
        /// Print the script of the first seed of the first day in place of playing it.
        #[arg(long)]
        draw: bool,
    },
    /// Check scripts without playing them.
    Check { scripts: Vec<PathBuf> },
    /// The kinds of faults that a script may name.
    Kinds,
}

#[derive(clap::Args)]
struct Seeds {
    /// The first seed.
    #[arg(long, default_value_t = 0)]
    from: u64,
    /// How many seeds of each.
    #[arg(long, default_value_t = 20)]
    runs: u64,
    /// At once.
    #[arg(long, default_value_t = threads())]
    threads: usize,
}

impl Seeds {
    fn range(&self) -> std::ops::Range<u64> {
        self.from..self.from.saturating_add(self.runs)
    }
}

#[derive(clap::Args)]
struct How {
    /// How many of the last lines to print; all steps that broke a rule print theirs.
    #[arg(long, default_value_t = 0)]
    trace: usize,
    /// Front doors broken on purpose.
    #[arg(long = "break", value_enum)]
    sabotage: Option<Sabotage>,
}

fn threads() -> usize {
    std::thread::available_parallelism().map_or(1, usize::from)
}

fn read(path: &Path) -> Result<Script, String> {
    let text = std::fs::read_to_string(path).map_err(|e| format!("{}: {e}", path.display()))?;
    Script::read(&text).map_err(|e| {
        let lines: Vec<String> = e.lines().map(|l| format!("{}: {l}", path.display())).collect();
        lines.join("\n")
    })
}

/// Prints it; somebody who has stopped reading stops nothing.
fn say(text: &str) {
    let _ = writeln!(std::io::stdout(), "{text}");
}

fn told(report: &Report, lines: usize) -> ExitCode {
    let Report { seed, steps, digest, met, counter_calls, breach, trace, .. } = report;
    let lines = if breach.is_some() { lines.max(20) } else { lines };
    for line in trace.iter().skip(trace.len().saturating_sub(lines)) {
        say(line);
    }
    say(&format!(
        "seed {seed}: {steps} steps, digest {digest:016x}; {} invocations: {} succeeded, {} throttled, {} errored; {} \
         deliveries, {counter_calls} calls of the counter",
        met.invocations, met.succeeded, met.throttled, met.errored, met.deliveries
    ));
    let Some(breach) = breach else { return ExitCode::SUCCESS };
    say(&format!(
        "broken: {}, {:.4} s after the start, step {steps}: {}",
        breach.rule.name(),
        breach.at,
        breach.says
    ));
    for line in &breach.story {
        say(&format!("  {line}"));
    }
    ExitCode::FAILURE
}

fn swept(
    from: u64,
    runs: u64,
    threads: usize,
    enough: usize,
    out: Option<&Path>,
    sabotage: Option<Sabotage>,
) -> Result<ExitCode, String> {
    let start = Instant::now();
    let every = (runs / 10).max(1);
    let done = |n: u64| {
        if n.is_multiple_of(every) {
            eprintln!("{n} of {runs} runs, {:.0} s", start.elapsed().as_secs_f64());
        }
    };
    let reports = sweep::sweep(from..from.saturating_add(runs), threads, enough.max(1), sabotage, &done);
    let seconds = start.elapsed().as_secs_f64();
    say(&results::summary(&reports, seconds));
    if let Some(folder) = out {
        results::write(folder, &reports, seconds)?;
        say(&format!("written to {}", folder.display()));
    }
    Ok(if reports.iter().any(|r| r.breach.is_some()) { ExitCode::FAILURE } else { ExitCode::SUCCESS })
}

fn shrunk(
    script: &Script,
    runs: usize,
    out: Option<&Path>,
    sabotage: Option<Sabotage>,
) -> Result<ExitCode, String> {
    let Some(small) = shrink::shrink(script, sabotage, runs) else {
        say("no rule is broken: nothing to shrink");
        return Ok(ExitCode::SUCCESS);
    };
    let text = small.script.write();
    match out {
        Some(path) => std::fs::write(path, &text).map_err(|e| format!("{}: {e}", path.display()))?,
        None => say(&text),
    }
    let (before, after) = (script.faults.len(), small.script.faults.len());
    say(&format!("{before} faults before, {after} after, in {} runs", small.runs));
    Ok(told(&small.report, 0))
}

fn grown(sizes: &[usize], seed: u64, threads: usize, out: Option<&Path>) -> Result<ExitCode, String> {
    let done = |g: &Grown| {
        let how = if g.herd { "half killed at once" } else { "calm" };
        eprintln!("{} front doors, {how}: {:.1} s", g.doors, g.took);
    };
    let all = growth::grow(sizes, seed, threads, &done);
    let table = growth::table(&all);
    if let Some(path) = out {
        std::fs::write(path, &table).map_err(|e| format!("{}: {e}", path.display()))?;
    }
    say(&table);
    let broken = all.iter().find(|g| g.report.breach.is_some());
    Ok(broken.map_or(ExitCode::SUCCESS, |g| told(&g.report, 0)))
}

fn kinds() {
    say("| kind | needs | by |\n| --- | --- | --- |");
    for kind in Kind::all() {
        let whom = match kind.whom() {
            Whom::Backend => "backend, ",
            Whom::Door => "door, ",
            Whom::Zone => "zone, ",
            Whom::Both => "door, backend, ",
            Whom::Nobody => "",
        };
        let lasts = if kind.at_once() { "" } else { ", lasts" };
        let by = kind.by().map_or(String::new(), |(least, most)| format!("{least} to {most}"));
        say(&format!("| {} | {whom}at{lasts} | {by} |", kind.name()));
    }
}

fn run(cli: Cli) -> Result<ExitCode, String> {
    match cli.what {
        What::Run { script, seed, how } => {
            let script = read(&script)?;
            let script = Script { seed: seed.unwrap_or(script.seed), ..script };
            Ok(told(&play(&script, how.sabotage), how.trace))
        }
        What::Replay { seed, how } => Ok(told(&play(&Script::draw(seed), how.sabotage), how.trace)),
        What::Draw { seed } => {
            say(&Script::draw(seed).write());
            Ok(ExitCode::SUCCESS)
        }
        What::Sweep { from, runs, threads, enough, out, sabotage } => {
            swept(from, runs, threads, enough, out.as_deref(), sabotage)
        }
        What::Shrink { script, seed, runs, out, sabotage } => {
            let script = match (script, seed) {
                (Some(path), _) => read(&path)?,
                (None, seed) => Script::draw(seed.unwrap_or(0)),
            };
            shrunk(&script, runs, out.as_deref(), sabotage)
        }
        What::Check { scripts } => {
            let wrong: Vec<String> = scripts.iter().filter_map(|path| read(path).err()).collect();
            if wrong.is_empty() {
                say(&format!("{} scripts are well", scripts.len()));
                return Ok(ExitCode::SUCCESS);
            }
            Err(wrong.join("\n"))
        }
        What::Grow { doors, seed, threads, out } => {
            let sizes: Vec<usize> = doors.into_iter().map(usize::from).collect();
            grown(&sizes, seed, threads, out.as_deref())
        }
        What::Quotas { ill, seconds, seeds, out } => {
            if !(10.0..=600.0).contains(&seconds) {
                return Err(format!("--seconds: expected 10 to 600, found {seconds}"));
            }
            let found = quotas::sweep(&ill, seconds, seeds.range(), seeds.threads);
            let table = quotas::table(&found);
            if let Some(path) = out {
                std::fs::write(&path, &table).map_err(|e| format!("{}: {e}", path.display()))?;
            }
            say(&table);
            let bad = |f: &&Found| f.report.breach.is_some() || f.presence > 0.0 && f.overshoot > f.bound;
            Ok(found.iter().find(bad).map_or(ExitCode::SUCCESS, |f| told(&f.report, 0)))
        }
        What::Fleets { day, seeds, draw: true } => {
            say(&fleets::script(day[0], seeds.from).write());
            Ok(ExitCode::SUCCESS)
        }
        What::Fleets { day, seeds, .. } => {
            let found = fleets::sweep(&day, seeds.range(), seeds.threads);
            say(&fleets::table(&found));
            let broken: Vec<_> = found.iter().filter(|f| f.1.breach.is_some()).collect();
            broken.iter().for_each(|(day, r)| say(&format!("rule broken: {}, seed {}", day.name(), r.seed)));
            Ok(broken.first().map_or(ExitCode::SUCCESS, |f| told(&f.1, 0)))
        }
        What::Kinds => {
            kinds();
            Ok(ExitCode::SUCCESS)
        }
    }
}

fn main() -> ExitCode {
    match run(Cli::parse()) {
        Ok(code) => code,
        Err(why) => {
            for line in why.lines() {
                eprintln!("quillramp-emulator: {line}");
            }
            ExitCode::from(2)
        }
    }
}
