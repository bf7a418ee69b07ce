//! Runs embedded instances over the factors, one factor at a time. Each point has a process of its own, so that its memory
//! is told apart; a few of them run at once.
use super::error::ScaleError;
use super::fit::{Factor, FACTORS};
use super::operating_point::OperatingPoint;
use super::process::usage;
use super::rows;
use super::span::Span;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::thread::sleep;
use std::time::{Duration, Instant};

/// Memory that all points together may take, MiB: half of the machine's.
const MAX_MEMORY: f64 = 12.0 * 1024.0;
/// How often the running points are looked at.
const POLL: Duration = Duration::from_millis(100);

/// What a sweep may use.
#[derive(Clone, Debug, clap::Args)]
pub struct Bounds {
    /// Number of points that are measured at once, each in a process of its own.
    #[arg(long, default_value_t = 4)]
    pub at_once: usize,
    /// Seconds after which points that still run are stopped, and reported as missing.
    #[arg(long, value_name = "SECONDS", default_value_t = 80.0)]
    pub longest: f64,
}

/// What a sweep measures.
pub struct Plan<'a> {
    /// The point that each factor is varied at.
    pub base: &'a OperatingPoint,
    /// What is varied; all factors, where none is named.
    pub factors: &'a [Factor],
    /// How long each point is measured.
    pub span: &'a Span,
    /// Embedded instances at each point.
    pub instances: usize,
    /// What the sweep may use.
    pub bounds: &'a Bounds,
}

impl Plan<'_> {
    /// The arguments of `scale hollow` for one size of a factor.
    fn arguments(&self, factor: Factor, size: f64, out: &Path) -> Vec<String> {
        let named = |name: &str, value: String| [name.to_owned(), value];
        let mut words = vec!["scale".to_owned(), "hollow".to_owned()];
        words.extend(named("--run", factor.run()));
        words.extend(named("--hollow", self.instances.to_string()));
        words.extend(named("--out", out.display().to_string()));
        words.extend(self.span.arguments());
        words.extend(self.point(factor, size).arguments());
        words
    }

    /// The base with one size of a factor.
    fn point(&self, factor: Factor, size: f64) -> OperatingPoint {
        let mut point = self.base.clone();
        let count = size as usize;
        match factor {
            // Each instance gets what it got, so the fleet's traffic and the quotas grow with it.
            Factor::Instances => {
                point.fleet_requests = self.base.fleet_requests * size / self.base.instances as f64;
                point.instances = count;
            }
            Factor::Backends => point.backends = count,
            Factor::Tenants => point.tenants = count,
            Factor::Routes => point.routes = count,
            Factor::Changes => point.changes = size,
            Factor::Requests => point.requests = size,
        }
        point
    }
}

/// A measurement that was not begun.
struct Waiting {
    factor: Factor,
    size: f64,
}

impl Waiting {
    fn name(&self) -> String {
        format!("{} {}", self.factor.name(), self.size)
    }
}

/// A measurement that runs.
struct Running {
    process: Child,
    name: String,
    rows: PathBuf,
}

struct Sweep<'a> {
    plan: &'a Plan<'a>,
    out: &'a Path,
    program: PathBuf,
    until: Instant,
    /// The next one is the last.
    waiting: Vec<Waiting>,
    running: Vec<Running>,
    missing: Vec<String>,
}

/// Measures all sizes of the factors; each point's rows are appended to `out`. Returns which points did not complete, and why.
pub fn sweep(plan: &Plan, out: &Path) -> Result<Vec<String>, ScaleError> {
    let factors = if plan.factors.is_empty() { &FACTORS } else { plan.factors };
    let points =
        factors.iter().flat_map(|factor| factor.sizes().map(|size| Waiting { factor: *factor, size }));
    let mut sweep = Sweep {
        plan,
        out,
        program: std::env::current_exe().map_err(ScaleError::CurrentProgram)?,
        waiting: points.rev().collect(),
        running: vec![],
        missing: vec![],
        until: Instant::now() + Duration::from_secs_f64(plan.bounds.longest),
    };
    while !(sweep.waiting.is_empty() && sweep.running.is_empty()) {
        sweep.launch()?;
        sleep(POLL);
        if let Some(reason) = sweep.exceeded() {
            sweep.stop(&reason);
        }
        sweep.collect()?;
    }
    Ok(sweep.missing)
}

impl Sweep<'_> {
    /// Starts as many points as may run at once.
    fn launch(&mut self) -> Result<(), ScaleError> {
        while self.running.len() < self.plan.bounds.at_once.max(1) {
            let Some(next) = self.waiting.pop() else { break };
            let Waiting { factor, size } = next;
            let rows = self.out.with_extension(format!("{}-{size}.part", factor.name().replace(' ', "-")));
            let mut command = Command::new(&self.program);
            command.args(self.plan.arguments(factor, size, &rows)).stdout(Stdio::null());
            let process = command.spawn().map_err(ScaleError::file(&self.program))?;
            self.running.push(Running { process, name: next.name(), rows });
        }
        Ok(())
    }

    /// Which bound is exceeded, if one is.
    fn exceeded(&self) -> Option<String> {
        let memory: f64 = self.running.iter().map(|point| usage(point.process.id()).resident).sum();
        if memory > MAX_MEMORY {
            return Some(format!("{memory:.0} MiB in all"));
        }
        (Instant::now() > self.until).then(|| format!("not done in {} s", self.plan.bounds.longest))
    }

    fn stop(&mut self, reason: &str) {
        for waiting in self.waiting.drain(..) {
            self.missing.push(format!("{}: not begun, {reason}", waiting.name()));
        }
        for running in &mut self.running {
            let _ = running.process.kill(); // it may have ended
            self.missing.push(format!("{}: stopped, {reason}", running.name));
        }
    }

    /// Takes the rows of the points that have ended.
    fn collect(&mut self) -> Result<(), ScaleError> {
        for mut point in std::mem::take(&mut self.running) {
            let status = point.process.try_wait();
            let status = status.map_err(|source| ScaleError::Wait { name: point.name.clone(), source })?;
            match status {
                None => self.running.push(point),
                Some(status) if status.success() => self.append(&point.rows)?,
                Some(status) => self.missing.push(format!("{}: {status}", point.name)),
            }
        }
        Ok(())
    }

    /// Appends the rows of one point to those of the sweep.
    fn append(&self, part: &Path) -> Result<(), ScaleError> {
        let measured = rows::read(part)?;
        rows::append(self.out, &measured)?;
        std::fs::remove_file(part).map_err(ScaleError::file(part))
    }
}
