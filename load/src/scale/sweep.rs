//! Runs hollow front doors over the factors, one factor at a time. Each point has a process of its own, so that memory
//! is told apart; so many of them run at once.
use super::fit::{Factor, FACTORS};
use super::point::Point;
use super::process::usage;
use super::real::Span;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::thread::sleep;
use std::time::{Duration, Instant};

/// Memory that all points together may take, MiB: half of the machine's.
const MOST_MEMORY: f64 = 12.0 * 1024.0;
const LOOK: Duration = Duration::from_millis(100);

/// What a sweep is bounded by.
#[derive(Clone, Debug, clap::Args)]
pub struct Bounds {
    /// Points that run at once.
    #[arg(long, default_value_t = 4)]
    pub at_once: usize,
    /// Seconds after which what still runs is stopped, and says so.
    #[arg(long, default_value_t = 80.0)]
    pub longest: f64,
}

/// The arguments of `scale hollow` for one size of a factor.
fn arguments(base: &Point, factor: Factor, size: f64, span: &Span, hollow: usize, out: &Path) -> Vec<String> {
    let mut point = base.clone();
    let whole = size as usize;
    match factor {
        // Each front door gets what it got, so the fleet's traffic and the quotas grow with it.
        Factor::FrontDoors => {
            point.fleet_requests = base.fleet_requests * size / base.front_doors as f64;
            point.front_doors = whole;
        }
        Factor::Backends => point.backends = whole,
        Factor::Tenants => point.tenants = whole,
        Factor::Routes => point.routes = whole,
        Factor::Changes => point.changes = size,
        Factor::Requests => point.requests = size,
    }
    let out = out.display().to_string();
    let (run, hollow) = (factor.run(), hollow.to_string());
    let mut words = vec!["scale".to_owned(), "hollow".to_owned()];
    words.extend(["--run".to_owned(), run, "--hollow".to_owned(), hollow, "--out".to_owned(), out]);
    words.extend(span.arguments());
    words.extend(point.arguments());
    words
}

struct Running {
    process: Child,
    name: String,
    rows: PathBuf,
}

/// Plays all sizes of these factors (all, where none is named); each point's rows are put at the end of `out`. Says which points did not come to
/// their end, and why.
pub fn sweep(
    base: &Point,
    factors: &[Factor],
    (span, hollow, bounds): (&Span, usize, &Bounds),
    out: &Path,
) -> Result<Vec<String>, String> {
    let factors = if factors.is_empty() { &FACTORS } else { factors };
    let program = std::env::current_exe().map_err(|e| format!("this program: {e}"))?;
    let mut waiting: Vec<(Factor, f64)> =
        factors.iter().flat_map(|f| f.sizes().map(|size| (*f, size))).rev().collect();
    let (mut running, mut missing): (Vec<Running>, Vec<String>) = (vec![], vec![]);
    let until = Instant::now() + Duration::from_secs_f64(bounds.longest);
    while !(waiting.is_empty() && running.is_empty()) {
        while running.len() < bounds.at_once.max(1) {
            let Some((factor, size)) = waiting.pop() else { break };
            let rows = out.with_extension(format!("{}-{size}.part", factor.name().replace(' ', "-")));
            let mut command = Command::new(&program);
            command.args(arguments(base, factor, size, span, hollow, &rows)).stdout(Stdio::null());
            let process = command.spawn().map_err(|e| format!("{}: {e}", program.display()))?;
            running.push(Running { process, name: format!("{} {size}", factor.name()), rows });
        }
        sleep(LOOK);
        let memory: f64 = running.iter().map(|r| usage(r.process.id()).resident).sum();
        let stop = if memory > MOST_MEMORY {
            Some(format!("{memory:.0} MiB in all"))
        } else {
            (Instant::now() > until).then(|| format!("not done in {} s", bounds.longest))
        };
        if let Some(why) = stop {
            missing
                .extend(waiting.drain(..).map(|(f, size)| format!("{} {size}: not begun, {why}", f.name())));
            for r in &mut running {
                let _ = r.process.kill(); // it may have ended
                missing.push(format!("{}: stopped, {why}", r.name));
            }
        }
        let mut still = vec![];
        for mut r in running.drain(..) {
            match r.process.try_wait().map_err(|e| format!("{}: {e}", r.name))? {
                None => still.push(r),
                Some(status) if status.success() => gather(&r.rows, out)?,
                Some(status) => missing.push(format!("{}: {status}", r.name)),
            }
        }
        running = still;
    }
    Ok(missing)
}

/// Puts the rows of one point at the end of all.
fn gather(part: &Path, out: &Path) -> Result<(), String> {
    let rows = super::rows::read(part)?;
    super::rows::append(out, &rows)?;
    std::fs::remove_file(part).map_err(|e| format!("{}: {e}", part.display()))
}
