//! The instances of one run: processes that are started, killed, stopped, suspended and started again, and what they used.
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

/// A process that was asked to terminate is killed after so long.
const TERM_TIMEOUT: Duration = Duration::from_millis(3700);
/// Longest for an instance to accept connections after its start.
const START_TIMEOUT: Duration = Duration::from_secs(20);
/// How often a starting instance is dialled.
const START_POLL_INTERVAL: Duration = Duration::from_millis(10);
/// Time for all instances to settle once the last one accepts.
const SETTLE_TIME: Duration = Duration::from_millis(200);
/// How often an ending process is looked at.
const EXIT_POLL_INTERVAL: Duration = Duration::from_millis(2);
/// How often a restart looks whether the old process is gone.
const RESTART_POLL_INTERVAL: Duration = Duration::from_millis(5);

struct InstanceProcess {
    process: Option<Child>,
    configuration: PathBuf,
    /// A fault or the end of the run ends it.
    exit_expected: bool,
}

/// The instances of one run.
pub struct Fleet {
    instances: Arc<Vec<Mutex<InstanceProcess>>>,
    launcher: Launcher,
    /// Where the instances are, and which take requests.
    pub routes: Arc<Routes>,
    /// Seconds of processor time of processes that have ended on purpose.
    ended_processor_seconds: Arc<Mutex<f64>>,
}

/// What all instances of a run have used.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct FleetUsage {
    /// Seconds of processor time.
    pub processor_seconds: f64,
    /// Resident memory now, MiB.
    pub memory_mib: f64,
}

impl Fleet {
    /// Writes the configuration files into the folder, starts the instances, and waits until all of them accept connections.
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

    /// Carries out a step that concerns an instance.
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
            let _ = kill(Pid::from_raw(pid as i32), signal); // it may have ended
        }
    }

    /// Starts an instance again, once the old process is gone: the new one has its address.
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

    /// Waits for the end of a process, and kills it when the time is over.
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
                    let _ = process.kill(); // it may have ended
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

    /// How many have ended by themselves.
    pub fn crashed_instances(&self) -> usize {
        let has_crashed = |instance: &Mutex<InstanceProcess>| {
            let mut instance = lock(instance);
            let expected = instance.exit_expected;
            !expected && instance.process.as_mut().is_none_or(|p| matches!(p.try_wait(), Ok(Some(_))))
        };
        self.instances.iter().filter(|instance| has_crashed(instance)).count()
    }

    /// What all of them have used, those that ended on purpose included.
    pub fn usage(&self) -> FleetUsage {
        let of = |instance: &Mutex<InstanceProcess>| {
            lock(instance).process.as_ref().map_or(FleetUsage::default(), |p| process::usage(p.id()))
        };
        let all: Vec<FleetUsage> = self.instances.iter().map(of).collect();
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
                let _ = process.kill(); // it may have ended
                let _ = process.wait();
            }
        }
    }
}
