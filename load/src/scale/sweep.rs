//! Measures embedded instances while one factor at a time is varied. Each operating point runs in a separate process,
//! so that its memory can be measured; a few points run in parallel.
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

/// Maximum memory of all running points together in MiB: half of the machine's memory.
const MAX_MEMORY_MIB: f64 = 12.0 * 1024.0;
/// Interval at which the running points are checked.
const POLL_INTERVAL: Duration = Duration::from_millis(100);

/// Limits on the processes and the time of a sweep.
#[derive(Clone, Debug, clap::Args)]
pub struct SweepLimits {
    /// Number of points that are measured in parallel, each in a separate process.
    #[arg(long = "at-once", value_name = "AT_ONCE", default_value_t = 4)]
    pub parallelism: usize,
    /// Maximum seconds of the sweep; unfinished points are then stopped and reported as missing.
    #[arg(long = "longest", value_name = "SECONDS", default_value_t = 80.0)]
    pub max_seconds: f64,
}

/// Factors and operating points that a sweep measures.
pub struct SweepSpec<'a> {
    /// Operating point of the factors that are not varied.
    pub base: &'a OperatingPoint,
    /// Factors to vary; empty for all factors.
    pub factors: &'a [Factor],
    /// Duration of the warm-up and of the measurement at each point.
    pub timing: &'a Timing,
    /// Number of embedded instances at each point.
    pub instances: usize,
    /// Limits on processes and time.
    pub limits: &'a SweepLimits,
}

impl SweepSpec<'_> {
    /// Returns the arguments of `scale hollow` for one size of a factor.
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

    /// Returns the base operating point with one factor set to a size.
    fn point(&self, factor: Factor, size: f64) -> OperatingPoint {
        let mut point = self.base.clone();
        let count = size as usize;
        match factor {
            // The rate of each instance stays the same, so the fleet's traffic and the quotas grow with
            // the number of instances.
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

/// An operating point whose measurement has not started.
struct PendingPoint {
    factor: Factor,
    size: f64,
}

impl PendingPoint {
    fn name(&self) -> String {
        format!("{} {}", self.factor.name(), self.size)
    }
}

/// An operating point that is being measured.
struct RunningPoint {
    process: Child,
    name: String,
    rows: PathBuf,
}

/// State of a running sweep.
struct Sweep<'a> {
    spec: &'a SweepSpec<'a>,
    out: &'a Path,
    program: PathBuf,
    deadline: Instant,
    /// Points to start, in reverse order: the next one is the last element.
    pending: Vec<PendingPoint>,
    running: Vec<RunningPoint>,
    /// One line for each point that did not complete, with the reason.
    missing: Vec<String>,
}

/// Measures all sizes of the factors and appends the rows of each point to `out`. Returns one line for each point
/// that did not complete, with the reason.
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
        sleep(POLL_INTERVAL);
        if let Some(reason) = sweep.exceeded_limit() {
            sweep.stop(&reason);
        }
        sweep.collect()?;
    }
    Ok(sweep.missing)
}

impl Sweep<'_> {
    /// Starts points until the limit of parallel points is reached.
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

    /// Returns a description of the limit that is exceeded, if any.
    fn exceeded_limit(&self) -> Option<String> {
        let memory: f64 =
            self.running.iter().map(|point| process_usage(point.process.id()).resident_mib).sum();
        if memory > MAX_MEMORY_MIB {
            return Some(format!(
                "all points together use {memory:.0} MiB of at most {MAX_MEMORY_MIB:.0} MiB"
            ));
        }
        (Instant::now() > self.deadline)
            .then(|| format!("the sweep did not finish in {} s", self.spec.limits.max_seconds))
    }

    fn stop(&mut self, reason: &str) {
        for pending in self.pending.drain(..) {
            self.missing.push(format!("{}: not started, {reason}", pending.name()));
        }
        for running in &mut self.running {
            let _ = running.process.kill(); // fails if the process has exited
            self.missing.push(format!("{}: stopped, {reason}", running.name));
        }
    }

    /// Collects the rows of the points whose processes have exited.
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

    /// Moves the rows of one point from its part file to the output file.
    fn append(&self, part: &Path) -> Result<(), ScaleError> {
        let measured = rows::read(part)?;
        rows::append(self.out, &measured)?;
        std::fs::remove_file(part).map_err(ScaleError::file(part))
    }
}
