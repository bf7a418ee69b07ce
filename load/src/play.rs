//! One play of one variant: stand-ins and front doors start, clients ask at their times, and what came of each invocation is a row.
use crate::experiment::{Arrival, Experiment, Variant};
use crate::standins::{self, Ran};
use crate::toy;
use quillramp_emulator::play::settings;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use serde::Serialize;
use serde_json::json;
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::Path;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{mpsc, Arc, Mutex};
use std::thread::{sleep, spawn};
use std::time::{Duration, Instant};

/// What came of one invocation. Times are seconds; `took` counts from when it was to start, so that nothing that stands still is
/// hidden.
#[derive(Clone, Debug, Serialize)]
pub struct Row {
    pub variant: String,
    pub repetition: usize,
    pub at: f64,
    /// By how much the generator itself was late.
    pub late: f64,
    pub took: f64,
    pub door: usize,
    pub order: bool,
    pub outcome: &'static str,
}

/// What one play came to.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Play {
    pub variant: String,
    pub repetition: usize,
    pub sent: u64,
    pub counter_calls: u64,
    /// Effects that were there twice, of invocations that may not be repeated.
    pub twice: u64,
    /// Seconds of processor time of all front doors, and their memory at the end.
    pub processor: f64,
    pub memory_mb: f64,
    /// Front doors that ended by themselves.
    pub died: usize,
    pub by_backend: String,
}

const PLANS: [&str; 2] = ["small", "large"];
/// Longest that a client waits, seconds.
const WAIT: f64 = 1.4;

/// Front doors that end with the play.
struct Doors(Vec<Child>);

impl Drop for Doors {
    fn drop(&mut self) {
        for door in &mut self.0 {
            let _ = door.kill(); // it may have ended
            let _ = door.wait();
        }
    }
}

static IDS: AtomicU64 = AtomicU64::new(1);

fn invocation(a: &Arrival, doors: usize) -> String {
    let (verb, n, name, body) =
        if a.order { ("CALL.POST", 5, "order", "$1\r\nx\r\n") } else { ("CALL.GET", 4, "look", "") };
    let plan = PLANS[a.customer as usize % PLANS.len()];
    let wait = (WAIT * 1e3) as u64;
    let list = format!("c={name},t={plan},d={wait},units={},spread={doors},first=0", a.units);
    let id = IDS.fetch_add(1, Ordering::Relaxed).wrapping_mul(0x9e37_79b9_7f4a_7c15);
    format!(
        "*{n}\r\n${}\r\n{verb}\r\n$16\r\n{:016x}\r\n$16\r\n{id:016x}\r\n${}\r\n{list}\r\n{body}",
        verb.len(),
        a.customer,
        list.len()
    )
}

/// Plays one variant once.
pub fn play(
    experiment: &Experiment,
    (variant, repetition): (&Variant, usize),
    folder: &Path,
) -> Result<(Play, Vec<Row>), String> {
    let world = &experiment.world;
    let ran = Arc::new(Mutex::new(Ran { by_backend: vec![0; world.backends], ..Ran::default() }));
    let calls = Arc::new(Mutex::new(0));
    let (counter, counter_at) = standins::free()?;
    let (list, list_at) = standins::free()?;
    let mut entries = vec![];
    for b in 0..world.backends {
        let (listener, at) = standins::free()?;
        standins::backend(listener, b, (world.slots, world.service * variant.slowed), ran.clone());
        entries.push(json!({"name": format!("s{b}"), "address": at, "zone": "z0", "type": "m", "group": b % world.cells,
                            "status": "SERVING", "weight": 1.0, "since_ms": 0}));
    }
    let listing = json!({"index": 1, "snapshot": true, "endpoints": entries});
    standins::counter(counter, calls.clone());
    toy::list(list, listing.to_string());
    let (mut doors, at) = start(experiment, variant, folder, (counter_at, list_at), &listing)?;
    let rows = drive(experiment, (variant, repetition), &at)?;
    let died = doors.0.iter_mut().filter_map(|d| d.try_wait().ok().flatten()).count();
    let usage: Vec<(f64, f64)> = doors.0.iter().map(|d| usage(d.id())).collect();
    let ran = ran.lock().unwrap_or_else(|e| e.into_inner());
    let by_backend: Vec<String> = ran.by_backend.iter().map(u64::to_string).collect();
    let play = Play {
        variant: variant.name.clone(),
        repetition,
        sent: rows.len() as u64,
        counter_calls: *calls.lock().unwrap_or_else(|e| e.into_inner()),
        twice: ran.twice,
        processor: usage.iter().map(|u| u.0).sum(),
        memory_mb: usage.iter().map(|u| u.1).sum(),
        died,
        by_backend: by_backend.join(" "),
    };
    Ok((play, rows))
}

fn start(
    experiment: &Experiment,
    variant: &Variant,
    folder: &Path,
    (counter, list): (SocketAddr, SocketAddr),
    listing: &serde_json::Value,
) -> Result<(Doors, Vec<SocketAddr>), String> {
    let program = variant.program.clone().unwrap_or_else(|| "target/release/quillramp".into());
    let mut told = settings(&experiment.world, None);
    told["zones"] = json!(["z0"]);
    let (mut doors, mut all) = (Doors(vec![]), vec![]);
    for d in 0..experiment.world.doors {
        let (listener, at) = standins::free()?;
        drop(listener); // free again for the front door
        told["slot_no"] = json!(d);
        told["caps"]["peers"] = json!(false);
        let file = folder.join(format!("door-{d}.json"));
        let text = json!({"name": format!("n{d}"), "listen": at, "discovery": list, "seed": format!("{:016x}", experiment.seed + d as u64),
                          "limits": {"cores": 1.0, "memory_mb": 192, "sockets": experiment.world.sockets.max(1024)},
                          "counter": counter, "known": listing, "settings": told});
        std::fs::write(&file, text.to_string()).map_err(|e| format!("{}: {e}", file.display()))?;
        let mut command = Command::new(&program);
        command
            .envs(&variant.environment)
            .env("EDGE_CONFIG", &file)
            .stderr(Stdio::null())
            .stdout(Stdio::null());
        if let Some(operator) = &variant.operator {
            command.env("EDGE_OPERATOR", operator);
        }
        doors.0.push(command.spawn().map_err(|e| format!("{program}: {e}"))?);
        all.push(at);
    }
    for (at, door) in all.iter().zip(&mut doors.0) {
        let from = Instant::now();
        while TcpStream::connect(at).is_err() {
            if let Ok(Some(status)) = door.try_wait() {
                return Err(format!("a front door of {program} ended at its start: {status}"));
            }
            if from.elapsed() > Duration::from_secs(10) {
                return Err(format!("a front door of {program} does not accept at {at}"));
            }
            sleep(Duration::from_millis(10));
        }
    }
    sleep(Duration::from_millis(200));
    Ok((doors, all))
}

/// Sends it, and says what came back.
fn ask(stream: &mut Option<(TcpStream, BufReader<TcpStream>)>, at: SocketAddr, text: &str) -> &'static str {
    if stream.is_none() {
        let Ok(to) = TcpStream::connect(at) else { return "not connected" };
        let _ = to.set_nodelay(true);
        let _ = to.set_read_timeout(Some(Duration::from_secs_f64(WAIT + 1.0)));
        let Ok(from) = to.try_clone() else { return "not connected" };
        *stream = Some((to, BufReader::new(from)));
    }
    let Some((to, from)) = stream else { return "not connected" };
    if to.write_all(text.as_bytes()).is_err() {
        *stream = None;
        return "broken";
    }
    match standins::reply(from) {
        Ok((b'$', _)) => "succeeded",
        Ok((b'-', line)) if line.starts_with(b"-BUSY") => "throttled",
        Ok(_) => "errored",
        Err(_) => {
            *stream = None;
            "no answer"
        }
    }
}

fn drive(
    experiment: &Experiment,
    (variant, repetition): (&Variant, usize),
    doors: &[SocketAddr],
) -> Result<Vec<Row>, String> {
    let traffic = &experiment.traffic;
    let open = traffic.rate > 0.0;
    let (rows, back) = mpsc::channel();
    let start = Instant::now();
    let (give, take) = mpsc::channel::<Arrival>();
    let take = Arc::new(Mutex::new(take));
    let workers: Vec<_> = (0..traffic.connections * doors.len())
        .map(|n| {
            let (doors, take, rows, experiment) =
                (doors.to_vec(), take.clone(), rows.clone(), experiment.clone());
            let name = variant.name.clone();
            spawn(move || {
                let mut streams: Vec<_> = doors.iter().map(|_| None).collect();
                let seed =
                    experiment.seed.wrapping_add(104_729 * (repetition as u64 + 1)).wrapping_add(n as u64);
                let mut rng = ChaCha8Rng::seed_from_u64(seed);
                loop {
                    let a = if open {
                        let next = take.lock().unwrap_or_else(|e| e.into_inner()).recv();
                        let Ok(a) = next else { return };
                        a
                    } else {
                        let now = start.elapsed().as_secs_f64();
                        if now >= experiment.traffic.seconds {
                            return;
                        }
                        Arrival { door: n % doors.len(), ..experiment.arrival(&mut rng, now) }
                    };
                    let late = start.elapsed().as_secs_f64() - a.at;
                    let text = invocation(&a, doors.len());
                    let outcome = ask(&mut streams[a.door], doors[a.door], &text);
                    let took = start.elapsed().as_secs_f64() - a.at;
                    let (variant, Arrival { at, door, order, .. }) = (name.clone(), a);
                    if rows.send(Row { variant, repetition, at, late, took, door, order, outcome }).is_err() {
                        return;
                    }
                }
            })
        })
        .collect();
    drop(rows);
    if open {
        for a in experiment.arrivals(repetition) {
            let wait = a.at - start.elapsed().as_secs_f64();
            if wait > 0.0 {
                sleep(Duration::from_secs_f64(wait));
            }
            give.send(a).map_err(|_| "the generator's threads have ended")?;
        }
    }
    drop(give);
    let mut all: Vec<Row> = back.into_iter().collect();
    for worker in workers {
        worker.join().map_err(|_| "a thread of the generator has ended badly")?;
    }
    all.sort_by(|a, b| a.at.total_cmp(&b.at));
    Ok(all)
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
