//! Runs embedded instances over the factors, one factor at a time. Each point has a process of its own, so that its memory
//! is told apart; a few of them run at once.
use super::error::ScaleError;
use super::fit::{Factor, FACTORS};
use super::operating_point::OperatingPoint;
use super::process::process_usage;
use super::rows;
use super::timing::Timing;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::thread::sleep;
use std::time::{Duration, Instant};

/// Memory that all points together may take, MiB: half of the machine's.
const MAX_MEMORY_MIB: f64 = 12.0 * 1024.0;
/// How often the running points are looked at.
const POLL: Duration = Duration::from_millis(100);

/// What a sweep may use.
#[derive(Clone, Debug, clap::Args)]
pub struct SweepLimits {
    /// Number of points that are measured at once, each in a process of its own.
    #[arg(long = "at-once", value_name = "AT_ONCE", default_value_t = 4)]
    pub parallelism: usize,
    /// Seconds after which points that still run are stopped, and reported as missing.
    #[arg(long = "longest", value_name = "SECONDS", default_value_t = 80.0)]
    pub max_seconds: f64,
}

/// What a sweep measures.
pub struct SweepSpec<'a> {
    /// The point that each factor is varied at.
    pub base: &'a OperatingPoint,
    /// What is varied; all factors, where none is named.
    pub factors: &'a [Factor],
    /// How long each point is measured.
    pub timing: &'a Timing,
    /// Embedded instances at each point.
    pub instances: usize,
    /// What the sweep may use.
    pub limits: &'a SweepLimits,
}

impl SweepSpec<'_> {
    /// The arguments of `scale hollow` for one size of a factor.
    fn arguments(&self, factor: Factor, size: f64, out: &Path) -> Vec<String> {
        let option = |name: &str, value: String| [name.to_owned(), value];
        let mut arguments = vec!["scale".to_owned(), "hollow".to_owned()];
        arguments.extend(option("--run", factor.run_name()));
        arguments.extend(option("--hollow", self.instances.to_string()));
        arguments.extend(option("--out", out.display().to_string()));
        arguments.extend(self.timing.arguments());
        arguments.extend(self.point(factor, size).arguments());
        arguments
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
struct PendingPoint {
    factor: Factor,
    size: f64,
}

impl PendingPoint {
    fn name(&self) -> String {
        format!("{} {}", self.factor.name(), self.size)
    }
}

/// A measurement that runs.
struct RunningPoint {
    process: Child,
    name: String,
    rows: PathBuf,
}

struct Sweep<'a> {
    spec: &'a SweepSpec<'a>,
    out: &'a Path,
    program: PathBuf,
    deadline: Instant,
    /// The next one is the last.
    pending: Vec<PendingPoint>,
    running: Vec<RunningPoint>,
    missing: Vec<String>,
}

/// Measures all sizes of the factors; each point's rows are appended to `out`. Returns which points did not complete, and why.
pub fn sweep(spec: &SweepSpec, out: &Path) -> Result<Vec<String>, ScaleError> {
    let factors = if spec.factors.is_empty() { &FACTORS } else { spec.factors };
    let points =
        factors.iter().flat_map(|factor| factor.sizes().map(|size| PendingPoint { factor: *factor, size }));
    let mut sweep = Sweep {
        spec,
        out,
        program: std::env::current_exe().map_err(ScaleError::CurrentProgram)?,
        pending: points.rev().collect(),
        running: vec![],
        missing: vec![],
        deadline: Instant::now() + Duration::from_secs_f64(spec.limits.max_seconds),
    };
    while !(sweep.pending.is_empty() && sweep.running.is_empty()) {
        sweep.launch()?;
        sleep(POLL);
        if let Some(reason) = sweep.exceeded_limit() {
            sweep.stop(&reason);
        }
        sweep.collect()?;
    }
    Ok(sweep.missing)
}

impl Sweep<'_> {
    /// Starts as many points as may run at once.
    fn launch(&mut self) -> Result<(), ScaleError> {
        while self.running.len() < self.spec.limits.parallelism.max(1) {
            let Some(next) = self.pending.pop() else { break };
            let PendingPoint { factor, size } = next;
            let rows = self.out.with_extension(format!("{}-{size}.part", factor.name().replace(' ', "-")));
            let mut command = Command::new(&self.program);
            command.args(self.spec.arguments(factor, size, &rows)).stdout(Stdio::null());
            let process = command.spawn().map_err(ScaleError::file(&self.program))?;
            self.running.push(RunningPoint { process, name: next.name(), rows });
        }
        Ok(())
    }

    /// Which bound is exceeded, if one is.
    fn exceeded_limit(&self) -> Option<String> {
        let memory: f64 =
            self.running.iter().map(|point| process_usage(point.process.id()).resident_mib).sum();
        if memory > MAX_MEMORY_MIB {
            return Some(format!("{memory:.0} MiB in all"));
        }
        (Instant::now() > self.deadline).then(|| format!("not done in {} s", self.spec.limits.max_seconds))
    }

    fn stop(&mut self, reason: &str) {
        for pending in self.pending.drain(..) {
            self.missing.push(format!("{}: not begun, {reason}", pending.name()));
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
