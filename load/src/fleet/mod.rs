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
const START_POLL: Duration = Duration::from_millis(10);
/// Time for all instances to settle once the last one accepts.
const SETTLE: Duration = Duration::from_millis(200);
/// How often an ending process is looked at.
const EXIT_POLL: Duration = Duration::from_millis(2);
/// How often a restart looks whether the old process is gone.
const RESTART_POLL: Duration = Duration::from_millis(5);

struct Member {
    process: Option<Child>,
    configuration: PathBuf,
    /// A fault or the end of the run ends it.
    end_expected: bool,
}

/// The instances of one run.
pub struct Fleet {
    members: Arc<Vec<Mutex<Member>>>,
    launcher: Launcher,
    /// Where the instances are, and which take requests.
    pub routes: Arc<Routes>,
    /// Seconds of processor time of processes that have ended on purpose.
    ended_processor: Arc<Mutex<f64>>,
}

/// What all instances of a run have used.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct FleetUsage {
    /// Seconds of processor time.
    pub processor: f64,
    /// Resident memory now, MiB.
    pub memory_mb: f64,
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
        let written = configuration::write(experiment, folder, services)?;
        let mut members = vec![];
        for configuration in written.files {
            let member = Member { process: None, configuration, end_expected: false };
            members.push(Mutex::new(member));
        }
        let fleet = Fleet {
            members: Arc::new(members),
            launcher,
            routes: Arc::new(Routes::new(written.addresses)),
            ended_processor: Arc::default(),
        };
        for member in fleet.members.iter() {
            let mut member = lock(member);
            member.process = Some(fleet.launcher.launch(&member.configuration)?);
        }
        fleet.wait_until_accepting()?;
        sleep(SETTLE);
        Routes::spawn_health_checks(&fleet.routes);
        Ok(fleet)
    }

    fn wait_until_accepting(&self) -> Result<(), RunError> {
        let program = &self.launcher.program;
        let until = Instant::now() + START_TIMEOUT;
        for (address, member) in self.routes.addresses.iter().zip(self.members.iter()) {
            while TcpStream::connect(address).is_err() {
                let mut member = lock(member);
                let ended = member.process.as_mut().and_then(|p| p.try_wait().ok().flatten());
                if let Some(status) = ended {
                    let last_line = process::last_log_line(&member.configuration);
                    return Err(RunError::EndedAtStart { program: program.clone(), status, last_line });
                }
                drop(member);
                if Instant::now() > until {
                    return Err(RunError::NotAccepting { program: program.clone(), address: *address });
                }
                sleep(START_POLL);
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
            (FaultKind::Kill, true) => self.end(step.target, Duration::ZERO),
            (FaultKind::Terminate, true) => {
                self.signal(step.target, Signal::SIGTERM);
                self.end(step.target, TERM_TIMEOUT);
            }
            (FaultKind::Kill | FaultKind::Terminate, false) => self.restart(step.target),
            _ => {}
        }
    }

    fn signal(&self, index: usize, signal: Signal) {
        let pid = lock(&self.members[index]).process.as_ref().map(Child::id);
        if let Some(pid) = pid {
            let _ = kill(Pid::from_raw(pid as i32), signal); // it may have ended
        }
    }

    /// Starts an instance again, once the old process is gone: the new one has its address.
    fn restart(&self, index: usize) {
        let members = self.members.clone();
        let launcher = self.launcher.clone();
        spawn(move || {
            while lock(&members[index]).process.is_some() {
                sleep(RESTART_POLL);
            }
            let mut member = lock(&members[index]);
            member.process = launcher.launch(&member.configuration).ok();
            member.end_expected = false;
        });
    }

    /// Waits for the end of a process, and kills it when the time is over.
    fn end(&self, index: usize, patience: Duration) {
        lock(&self.members[index]).end_expected = true;
        let members = self.members.clone();
        let ended_processor = self.ended_processor.clone();
        spawn(move || {
            let until = Instant::now() + patience;
            loop {
                let mut member = lock(&members[index]);
                let Some(process) = &mut member.process else { return };
                let so_far = process::usage(process.id()).processor;
                if Instant::now() >= until {
                    let _ = process.kill(); // it may have ended
                }
                if matches!(process.try_wait(), Ok(Some(_))) {
                    *lock(&ended_processor) += so_far;
                    member.process = None;
                    return;
                }
                drop(member);
                sleep(EXIT_POLL);
            }
        });
    }

    /// How many have ended by themselves.
    pub fn died(&self) -> usize {
        let died = |member: &Mutex<Member>| {
            let mut member = lock(member);
            let expected = member.end_expected;
            !expected && member.process.as_mut().is_none_or(|p| matches!(p.try_wait(), Ok(Some(_))))
        };
        self.members.iter().filter(|member| died(member)).count()
    }

    /// What all of them have used, those that ended on purpose included.
    pub fn usage(&self) -> FleetUsage {
        let of = |member: &Mutex<Member>| {
            lock(member).process.as_ref().map_or(FleetUsage::default(), |p| process::usage(p.id()))
        };
        let all: Vec<FleetUsage> = self.members.iter().map(of).collect();
        let processor = *lock(&self.ended_processor) + all.iter().map(|u| u.processor).sum::<f64>();
        FleetUsage { processor, memory_mb: all.iter().map(|u| u.memory_mb).sum() }
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        self.routes.stop_health_checks();
        for member in self.members.iter() {
            let mut member = lock(member);
            member.end_expected = true;
            if let Some(mut process) = member.process.take() {
                let _ = process.kill(); // it may have ended
                let _ = process.wait();
            }
        }
    }
}
