//! The front doors of one play: processes that are started, killed, stopped, held still and started again, and what they took.
use crate::experiment::{Experiment, Variant};
use crate::faults::Step;
use crate::stage::held;
use crate::standins;
use nix::sys::signal::{kill, Signal};
use nix::unistd::Pid;
use quillramp_emulator::deployment::gateway_settings;
use quillramp_emulator::scenario::FaultKind;
use serde_json::{json, Value};
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpStream, UdpSocket};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{sleep, spawn};
use std::time::{Duration, Instant};

/// A process that was told to stop is killed after so long.
const KILL: Duration = Duration::from_millis(3700);
/// How often a front door that was found down is looked at again.
const LOOK: Duration = Duration::from_millis(50);
/// Longest for a front door to accept after its start.
const START: Duration = Duration::from_secs(20);

struct Member {
    process: Option<Child>,
    file: PathBuf,
    /// It is down on purpose.
    meant: bool,
}

/// Where the front doors are, and which take invocations.
pub struct Front {
    pub at: Vec<SocketAddr>,
    up: Vec<AtomicBool>,
}

impl Front {
    /// The front door meant, or the next one of those `spread` from `first` that is up.
    pub fn pick(&self, door: usize, first: usize, spread: usize) -> usize {
        let all = self.at.len();
        let place = (door + all - first) % all;
        let others = (0..spread).map(|i| (first + (place + i) % spread) % all);
        others.into_iter().find(|d| self.up[*d].load(Ordering::Relaxed)).unwrap_or(door)
    }

    /// It did not connect: nothing goes there until it answers again.
    pub fn found_down(&self, door: usize) {
        self.up[door].store(false, Ordering::Relaxed);
    }
}

pub struct Fleet {
    members: Arc<Vec<Mutex<Member>>>,
    program: String,
    variant: Variant,
    pub front: Arc<Front>,
    over: Arc<AtomicBool>,
    /// Seconds of processor time and kilobytes of processes that have ended on purpose.
    spent: Arc<Mutex<f64>>,
}

/// Where the others are.
pub struct Parties {
    pub counters: [SocketAddr; 2],
    pub list: SocketAddr,
    pub listing: Value,
}

impl Fleet {
    pub fn start(e: &Experiment, variant: &Variant, folder: &Path, to: &Parties) -> Result<Fleet, String> {
        let program = variant.program.clone().unwrap_or_else(|| "target/release/quillramp".into());
        let world = &e.world;
        let mut told = gateway_settings(world, None);
        let (mut at, mut words, mut members) = (vec![], vec![], vec![]);
        let udp = || {
            let socket = UdpSocket::bind("127.0.0.1:0").map_err(|e| format!("a port: {e}"))?;
            let at = socket.local_addr().map_err(|e| format!("a port: {e}"))?;
            Ok::<_, String>((socket, at))
        };
        let mut kept = vec![];
        for _ in 0..world.instances {
            let (listener, here) = standins::free()?;
            let (socket, word) = udp()?;
            at.push(here);
            words.push(word);
            kept.push((listener, socket));
        }
        drop(kept); // all chosen while all were taken; free again for the front doors
        let (relay, relay_at) = udp()?;
        if world.gossip {
            standins::relay(relay, words.clone());
        }
        let peers: Vec<SocketAddr> = words.iter().copied().chain([relay_at]).collect();
        for d in 0..world.instances {
            told["slot_no"] = json!(d);
            let seed = format!("{:016x}", e.seed + d as u64);
            let mut text = json!({"name": format!("n{d}"), "listen": at[d], "discovery": to.list, "seed": seed,
                "limits": {"cores": 1.0, "memory_mb": 192, "sockets": world.max_descriptors.max(1024)},
                "counter": to.counters[d % 2], "known": to.listing, "settings": told});
            if world.gossip {
                text["peer_listen"] = json!(words[d]);
                text["peers"] = json!(peers);
                text["peers_all"] = json!(relay_at);
            }
            let file = folder.join(format!("door-{d}.json"));
            std::fs::write(&file, text.to_string()).map_err(|e| format!("{}: {e}", file.display()))?;
            members.push(Mutex::new(Member { process: None, file, meant: false }));
        }
        let up = at.iter().map(|_| AtomicBool::new(true)).collect();
        let fleet = Fleet {
            members: Arc::new(members),
            program,
            variant: variant.clone(),
            front: Arc::new(Front { at, up }),
            over: Arc::default(),
            spent: Arc::default(),
        };
        for member in fleet.members.iter() {
            let mut member = held(member);
            member.process = Some(launch(&fleet.program, &fleet.variant, &member.file)?);
        }
        let until = Instant::now() + START;
        for (at, member) in fleet.front.at.iter().zip(fleet.members.iter()) {
            while TcpStream::connect(at).is_err() {
                let ended = held(member).process.as_mut().and_then(|p| p.try_wait().ok().flatten());
                if let Some(status) = ended {
                    return Err(format!("a front door of {} ended at its start: {status}", fleet.program));
                }
                if Instant::now() > until {
                    return Err(format!("a front door of {} does not accept at {at}", fleet.program));
                }
                sleep(Duration::from_millis(10));
            }
        }
        sleep(Duration::from_millis(200));
        fleet.look();
        Ok(fleet)
    }

    /// Looks after front doors that were found down: who answers takes invocations again, as a front before them would see it.
    fn look(&self) {
        let (front, over) = (self.front.clone(), self.over.clone());
        spawn(move || {
            while !over.load(Ordering::Relaxed) {
                for (at, up) in front.at.iter().zip(&front.up) {
                    if !up.load(Ordering::Relaxed) && answers(*at) {
                        up.store(true, Ordering::Relaxed);
                    }
                }
                sleep(LOOK);
            }
        });
    }

    /// Carries out a step that is about a front door.
    pub fn strike(&self, step: &Step) {
        let signal = |which: Signal| {
            let pid = held(&self.members[step.whom]).process.as_ref().map(Child::id);
            if let Some(pid) = pid {
                let _ = kill(Pid::from_raw(pid as i32), which); // it may have ended
            }
        };
        match (step.kind, step.begins) {
            (FaultKind::Stall, true) => signal(Signal::SIGSTOP),
            (FaultKind::Stall, false) => signal(Signal::SIGCONT),
            (FaultKind::ReloadConfiguration, true) => signal(Signal::SIGHUP),
            (FaultKind::Kill, true) => self.end(step.whom, Duration::ZERO),
            (FaultKind::Terminate, true) => {
                signal(Signal::SIGTERM);
                self.end(step.whom, KILL);
            }
            (FaultKind::Kill | FaultKind::Terminate, false) => {
                let (members, whom, program, variant) =
                    (self.members.clone(), step.whom, self.program.clone(), self.variant.clone());
                // The old one may still be about to end: the new one has its address then.
                spawn(move || {
                    while held(&members[whom]).process.is_some() {
                        sleep(Duration::from_millis(5));
                    }
                    let mut member = held(&members[whom]);
                    member.process = launch(&program, &variant, &member.file).ok();
                    member.meant = false;
                });
            }
            _ => {}
        }
    }

    /// Waits for its end, and sees to it when the time is over.
    fn end(&self, door: usize, patience: Duration) {
        held(&self.members[door]).meant = true;
        let (members, spent) = (self.members.clone(), self.spent.clone());
        spawn(move || {
            let until = Instant::now() + patience;
            loop {
                let mut member = held(&members[door]);
                let Some(process) = &mut member.process else { return };
                let so_far = usage(process.id()).0;
                if Instant::now() >= until {
                    let _ = process.kill(); // it may have ended
                }
                if matches!(process.try_wait(), Ok(Some(_))) {
                    *held(&spent) += so_far;
                    member.process = None;
                    return;
                }
                drop(member);
                sleep(Duration::from_millis(2));
            }
        });
    }

    /// How many have ended by themselves.
    pub fn died(&self) -> usize {
        let died = |m: &Mutex<Member>| {
            let mut m = held(m);
            let meant = m.meant;
            !meant && m.process.as_mut().is_none_or(|p| matches!(p.try_wait(), Ok(Some(_))))
        };
        self.members.iter().filter(|m| died(m)).count()
    }

    /// Seconds of processor time of all, and their memory in MB now.
    pub fn usage(&self) -> (f64, f64) {
        let of = |m: &Mutex<Member>| held(m).process.as_ref().map_or((0.0, 0.0), |p| usage(p.id()));
        let all: Vec<(f64, f64)> = self.members.iter().map(of).collect();
        let processor = *held(&self.spent) + all.iter().map(|u| u.0).sum::<f64>();
        (processor, all.iter().map(|u| u.1).sum())
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        self.over.store(true, Ordering::Relaxed);
        for member in self.members.iter() {
            let mut member = held(member);
            member.meant = true;
            if let Some(mut process) = member.process.take() {
                let _ = process.kill(); // it may have ended
                let _ = process.wait();
            }
        }
    }
}

fn launch(program: &str, variant: &Variant, file: &Path) -> Result<Child, String> {
    let mut command = Command::new(program);
    command.envs(&variant.environment).env("EDGE_CONFIG", file).stderr(Stdio::null()).stdout(Stdio::null());
    if let Some(operator) = &variant.operator {
        command.env("EDGE_OPERATOR", operator);
    }
    command.spawn().map_err(|e| format!("{program}: {e}"))
}

/// It takes invocations: it says so itself.
fn answers(at: SocketAddr) -> bool {
    let asked = || -> std::io::Result<bool> {
        let mut to = TcpStream::connect_timeout(&at, LOOK)?;
        to.set_read_timeout(Some(LOOK * 4))?;
        to.write_all(b"*1\r\n$4\r\nPING\r\n")?;
        Ok(standins::reply(&mut BufReader::new(to))?.1.starts_with(b"+PONG"))
    };
    asked().unwrap_or(false)
}

/// Processor time in seconds and memory in MB, as far as the system tells.
fn usage(process: u32) -> (f64, f64) {
    let read = |name: &str| std::fs::read_to_string(format!("/proc/{process}/{name}")).unwrap_or_default();
    let memory = read("status").lines().find_map(|l| l.strip_prefix("VmRSS:").map(str::to_owned));
    let kb = memory.and_then(|l| l.split_whitespace().next()?.parse::<f64>().ok()).unwrap_or(0.0);
    let stat = read("stat");
    let fields: Vec<&str> = stat.rsplit(')').next().unwrap_or("").split_whitespace().collect();
    let ticks = |i: usize| fields.get(i).and_then(|f| f.parse::<f64>().ok()).unwrap_or(0.0);
    ((ticks(11) + ticks(12)) / 100.0, kb / 1024.0)
}
