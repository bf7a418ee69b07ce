//! The instance processes of one run: starts, signals, kills and restarts them, and measures their processor time and memory.
mod configuration;
mod process;
mod routes;

pub use configuration::Services;
pub use routes::Routes;

use crate::error::RunError;
use crate::experiment::{Experiment, Variant};
use crate::fault_schedule::FaultStep;
use crate::sync::lock;
use nix::sys::signal::{kill, Signal};
use nix::unistd::Pid;
use process::Launcher;
use quillramp_emulator::scenario::FaultKind;
use std::net::TcpStream;
use std::path::{Path, PathBuf};
use std::process::Child;
use std::sync::{Arc, Mutex};
use std::thread::{sleep, spawn};
use std::time::{Duration, Instant};

/// Time after SIGTERM until a process that still runs is killed.
const TERM_TIMEOUT: Duration = Duration::from_millis(3700);
/// Maximum time until a started instance accepts connections.
const START_TIMEOUT: Duration = Duration::from_secs(20);
/// Interval of the connection attempts to a starting instance.
const START_POLL_INTERVAL: Duration = Duration::from_millis(10);
/// Pause between the last instance's first accepted connection and the start of the traffic, so that startup work is over.
const SETTLE_TIME: Duration = Duration::from_millis(200);
/// Interval of the checks whether a process has exited.
const EXIT_POLL_INTERVAL: Duration = Duration::from_millis(2);
/// Interval at which a restart checks whether the old process has exited.
const RESTART_POLL_INTERVAL: Duration = Duration::from_millis(5);

/// The process of one instance.
struct InstanceProcess {
    /// `None` before the start, and after a fault has ended the process.
    process: Option<Child>,
    configuration: PathBuf,
    /// Whether a fault or the end of the run is ending the process, so that its exit does not count as a crash.
    exit_expected: bool,
}

/// The instances of one run.
pub struct Fleet {
    instances: Arc<Vec<Mutex<InstanceProcess>>>,
    launcher: Launcher,
    /// Addresses of the instances, and which of them take requests.
    pub routes: Arc<Routes>,
    /// Processor time of the processes that faults have ended, seconds.
    ended_processor_seconds: Arc<Mutex<f64>>,
}

/// Processor time and memory of all instances of a run.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct FleetUsage {
    /// Processor time in user and kernel mode, seconds.
    pub processor_seconds: f64,
    /// Current resident memory, MiB.
    pub memory_mib: f64,
}

impl Fleet {
    /// Writes the configuration files into the folder, starts the instances, and waits until all of them accept connections. Fails if
    /// a file can't be written, or an instance can't be launched, exits, or doesn't accept connections in time.
    pub fn start(
        experiment: &Experiment,
        variant: &Variant,
        folder: &Path,
        services: &Services,
    ) -> Result<Fleet, RunError> {
        let launcher = Launcher::new(variant);
        let files = configuration::write(experiment, folder, services)?;
        let mut instances = vec![];
        for configuration in files.paths {
            let instance = InstanceProcess { process: None, configuration, exit_expected: false };
            instances.push(Mutex::new(instance));
        }
        let fleet = Fleet {
            instances: Arc::new(instances),
            launcher,
            routes: Arc::new(Routes::new(files.addresses)),
            ended_processor_seconds: Arc::default(),
        };
        for instance in fleet.instances.iter() {
            let mut instance = lock(instance);
            instance.process = Some(fleet.launcher.launch(&instance.configuration)?);
        }
        fleet.wait_until_accepting()?;
        sleep(SETTLE_TIME);
        Routes::spawn_health_checks(&fleet.routes);
        Ok(fleet)
    }

    fn wait_until_accepting(&self) -> Result<(), RunError> {
        let program = &self.launcher.program;
        let deadline = Instant::now() + START_TIMEOUT;
        for (address, instance) in self.routes.addresses.iter().zip(self.instances.iter()) {
            while TcpStream::connect(address).is_err() {
                let mut instance = lock(instance);
                let ended = instance.process.as_mut().and_then(|p| p.try_wait().ok().flatten());
                if let Some(status) = ended {
                    let last_line = process::last_log_line(&instance.configuration);
                    return Err(RunError::EndedAtStart { program: program.clone(), status, last_line });
                }
                drop(instance);
                if Instant::now() > deadline {
                    return Err(RunError::NotAccepting { program: program.clone(), address: *address });
                }
                sleep(START_POLL_INTERVAL);
            }
        }
        Ok(())
    }

    /// Executes a fault step that targets an instance; ignores other steps.
    pub fn inject(&self, step: &FaultStep) {
        match (step.kind, step.begins) {
            (FaultKind::Stall, true) => self.signal(step.target, Signal::SIGSTOP),
            (FaultKind::Stall, false) => self.signal(step.target, Signal::SIGCONT),
            (FaultKind::ReloadConfiguration, true) => self.signal(step.target, Signal::SIGHUP),
            (FaultKind::Kill, true) => self.await_exit(step.target, Duration::ZERO),
            (FaultKind::Terminate, true) => {
                self.signal(step.target, Signal::SIGTERM);
                self.await_exit(step.target, TERM_TIMEOUT);
            }
            (FaultKind::Kill | FaultKind::Terminate, false) => self.restart(step.target),
            _ => {}
        }
    }

    fn signal(&self, index: usize, signal: Signal) {
        let pid = lock(&self.instances[index]).process.as_ref().map(Child::id);
        if let Some(pid) = pid {
            let _ = kill(Pid::from_raw(pid as i32), signal); // fails if the process has exited already
        }
    }

    /// Restarts an instance on a new thread once the old process has exited, because the new process binds the same address.
    fn restart(&self, index: usize) {
        let instances = self.instances.clone();
        let launcher = self.launcher.clone();
        spawn(move || {
            while lock(&instances[index]).process.is_some() {
                sleep(RESTART_POLL_INTERVAL);
            }
            let mut instance = lock(&instances[index]);
            instance.process = launcher.launch(&instance.configuration).ok();
            instance.exit_expected = false;
        });
    }

    /// Waits on a new thread until a process exits, and kills it after the timeout.
    fn await_exit(&self, index: usize, timeout: Duration) {
        lock(&self.instances[index]).exit_expected = true;
        let instances = self.instances.clone();
        let ended_processor_seconds = self.ended_processor_seconds.clone();
        spawn(move || {
            let deadline = Instant::now() + timeout;
            loop {
                let mut instance = lock(&instances[index]);
                let Some(process) = &mut instance.process else { return };
                let used_seconds = process::usage(process.id()).processor_seconds;
                if Instant::now() >= deadline {
                    let _ = process.kill(); // fails if the process has exited already
                }
                if matches!(process.try_wait(), Ok(Some(_))) {
                    *lock(&ended_processor_seconds) += used_seconds;
                    instance.process = None;
                    return;
                }
                drop(instance);
                sleep(EXIT_POLL_INTERVAL);
            }
        });
    }

    /// Returns the number of instances that exited although no fault ended them.
    pub fn crashed_instances(&self) -> usize {
        let has_crashed = |instance: &Mutex<InstanceProcess>| {
            let mut instance = lock(instance);
            let expected = instance.exit_expected;
            !expected && instance.process.as_mut().is_none_or(|p| matches!(p.try_wait(), Ok(Some(_))))
        };
        self.instances.iter().filter(|instance| has_crashed(instance)).count()
    }

    /// Returns the usage of all instances; processes that faults have ended are included in the processor time.
    pub fn usage(&self) -> FleetUsage {
        let instance_usage = |instance: &Mutex<InstanceProcess>| {
            lock(instance).process.as_ref().map_or(FleetUsage::default(), |p| process::usage(p.id()))
        };
        let all: Vec<FleetUsage> = self.instances.iter().map(instance_usage).collect();
        let processor_seconds =
            *lock(&self.ended_processor_seconds) + all.iter().map(|u| u.processor_seconds).sum::<f64>();
        FleetUsage { processor_seconds, memory_mib: all.iter().map(|u| u.memory_mib).sum() }
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        self.routes.stop_health_checks();
        for instance in self.instances.iter() {
            let mut instance = lock(instance);
            instance.exit_expected = true;
            if let Some(mut process) = instance.process.take() {
                let _ = process.kill(); // fails if the process has exited already
                let _ = process.wait();
            }
        }
    }
}
