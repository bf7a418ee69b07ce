//! From one process of a front door to the next: the listening socket that is passed on, and what both must know,
//! in a small file that is written whole and renamed. Files are touched on a thread of their own.
use crate::sockets::inbox::Inbox;
use crate::state::event::{AdminChange, Event, SharedState};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::fs::{File, TryLockError};
use std::net::TcpListener;
use std::os::fd::{BorrowedFd, FromRawFd};
use std::path::{Path, PathBuf};
use std::sync::mpsc::{channel, Receiver, RecvTimeoutError, Sender};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Names the descriptor of a listening socket that this process inherits.
pub const PASSED: &str = "EDGE_PASSED_SOCKET";
/// How often it is looked at for what the other process wrote.
const LOOK: Duration = Duration::from_millis(100);
/// How long the lock on the file is waited for, and how often it is tried. A start waits for it: one process that stands
/// still with the lock must not keep the next from serving.
const LOCK_WAIT: Duration = Duration::from_secs(1);
const LOCK_RETRY: Duration = Duration::from_millis(10);
/// A file that is longer is not ours.
const LONGEST: u64 = 1024 * 1024;

/// The listening socket that was passed on, if one was. To be called before any other descriptor is opened.
pub fn passed() -> Result<Option<TcpListener>, String> {
    let Ok(text) = std::env::var(PASSED) else { return Ok(None) };
    let fd = text.parse::<i32>().ok().filter(|fd| *fd > 2);
    let fd =
        fd.ok_or_else(|| format!("{PASSED}: '{text}' is no descriptor that a socket can be passed as"))?;
    nix::fcntl::fcntl(unsafe { BorrowedFd::borrow_raw(fd) }, nix::fcntl::FcntlArg::F_GETFD)
        .map_err(|e| format!("{PASSED}: descriptor {fd}: {e}"))?;
    // It is open, inherited, and nobody else in this process knows of it.
    let socket = unsafe { socket2::Socket::from_raw_fd(fd) };
    match socket.is_listener() {
        Ok(true) => Ok(Some(socket.into())),
        Ok(false) => Err(format!("{PASSED}: descriptor {fd} is a socket that does not listen")),
        Err(e) => Err(format!("{PASSED}: descriptor {fd}: {e}")),
    }
}

/// What stands in the file.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
struct Kept {
    /// Backends out by hand, and since when.
    out: BTreeMap<String, f64>,
    /// The front door is drained by hand.
    drained: bool,
    /// The newest process, and when it started, in the machine's ticks: a number alone may be another's by now.
    serves: u32,
    since: u64,
    /// The process that leaves, and the descriptors that it will not go beyond.
    leaves: u32,
    holds: usize,
}

/// What the thread is asked to write down.
enum Ask {
    Change(u64, AdminChange),
    Holds(usize),
}

/// Where the file is, and which process it named when this one started.
#[derive(Clone)]
pub struct Place {
    path: PathBuf,
    before: (u32, u64),
}

impl Place {
    /// What the file says now.
    pub fn look(&self) -> Result<SharedState, String> {
        read(&self.path).map(|file| shared(&file, self.before))
    }
}

/// The thread that keeps the file.
pub struct Keeper {
    to: Sender<Ask>,
    pub place: Place,
}

impl Keeper {
    /// What the file says so far; and the thread, if there is a folder for the file.
    /// The file is in the folder that `TMPDIR` names, under the front door's own name.
    pub fn start(name: &str, inbox: Arc<Inbox>) -> Result<(SharedState, Option<Keeper>), String> {
        let Some(folder) = std::env::var_os("TMPDIR").map(PathBuf::from).filter(|f| f.is_dir()) else {
            return Ok((SharedState::default(), None));
        };
        let plain = |c: char| if c.is_ascii_alphanumeric() { c } else { '-' };
        let path = folder.join(format!("quillramp-{}.json", name.chars().map(plain).collect::<String>()));
        let own = (std::process::id(), started(std::process::id()).unwrap_or(0));
        // Whoever serves beside us hears of us from the file.
        let ours = |file: &mut Kept| {
            (file.drained, file.serves, file.since, file.leaves) = (false, own.0, own.1, 0);
        };
        let (was, now) = update(&path, ours);
        let before = (was.serves, was.since);
        let file = now.unwrap_or_else(|why| {
            tracing::warn!("the next version will not know what this one does: {why}");
            Kept { drained: false, serves: own.0, since: own.1, ..was }
        });
        let (to, asked) = channel();
        let thread = std::thread::Builder::new().name("keep".into());
        let known = shared(&file, before);
        let told = known.clone();
        let place = Place { path, before };
        let here = place.clone();
        thread.spawn(move || keep(&here, &asked, &inbox, told)).map_err(|e| e.to_string())?;
        Ok((known, Some(Keeper { to, place })))
    }

    /// Writes a change down; what came of it is told as an event, with the call that asked for it.
    pub fn write(&self, call: u64, change: AdminChange) {
        let _ = self.to.send(Ask::Change(call, change)); // the thread lasts as long as the process
    }

    /// Tells the other process that this one will hold no more descriptors than these.
    pub fn holds(&self, most: usize) {
        let _ = self.to.send(Ask::Holds(most));
    }
}

/// What the file says to this process, which found another one there at its start.
fn shared(file: &Kept, before: (u32, u64)) -> SharedState {
    let named = (file.serves, file.since);
    let other = if file.serves == std::process::id() { before } else { named };
    // One that has died is not there, nor is one that only has its number.
    let beside = other.0 != 0 && started(other.0).is_some_and(|since| other.1 == 0 || other.1 == since);
    let holds = (beside && file.leaves == other.0).then_some(file.holds);
    SharedState {
        ejected_backends: file.out.clone(),
        drained: file.drained,
        peer_process_running: beside,
        peer_process_newer: beside && other != before,
        peer_descriptor_limit: holds,
    }
}

fn keep(place: &Place, asked: &Receiver<Ask>, inbox: &Inbox, mut known: SharedState) {
    loop {
        let (call, now) = match asked.recv_timeout(LOOK) {
            Ok(Ask::Change(call, change)) => {
                (Some(call), changed(&place.path, change).map(|file| shared(&file, place.before)))
            }
            Ok(Ask::Holds(most)) => {
                let says = |file: &mut Kept| (file.leaves, file.holds) = (std::process::id(), most);
                if let Err(why) = update(&place.path, says).1 {
                    tracing::warn!("the other process is not told how many descriptors are free: {why}");
                }
                continue;
            }
            Err(RecvTimeoutError::Timeout) => (None, place.look()),
            Err(RecvTimeoutError::Disconnected) => return,
        };
        if call.is_none() && now.as_ref().map_or(true, |now| *now == known) {
            continue; // nothing new, or nothing that can be read
        }
        if let Ok(now) = &now {
            known.clone_from(now);
        }
        inbox.tell(Event::SharedStateSaved { call, shared: now });
    }
}

/// When a process started, if it still runs: one that has died stays on the machine's list until its parent has looked.
fn started(process: u32) -> Option<u64> {
    let stat = std::fs::read_to_string(format!("/proc/{process}/stat")).ok()?;
    let mut fields = stat.rsplit(')').next()?.split_whitespace();
    let state = fields.next()?;
    fields.nth(18)?.parse().ok().filter(|_| !matches!(state, "Z" | "X"))
}

/// Reads, changes and writes under a lock: the other process may be at it too, and what it wrote meanwhile, a ban or that
/// it has come to take over, must not be written over. What the file said, and what it says now.
fn update(path: &Path, change: impl FnOnce(&mut Kept)) -> (Kept, Result<Kept, String>) {
    let locked = lock(&path.with_extension("lock"));
    let before = lenient(read(path));
    let mut now = before.clone();
    change(&mut now);
    let done = locked.and_then(|_lock| write(path, &now)).map(|()| now);
    (before, done)
}

/// Takes the lock, which ends with the file that is given; an error where another process does not release it in time.
fn lock(path: &Path) -> Result<File, String> {
    let file = File::create(path).map_err(|e| format!("{}: {e}", path.display()))?;
    let until = Instant::now() + LOCK_WAIT;
    loop {
        match file.try_lock() {
            Ok(()) => return Ok(file),
            Err(TryLockError::WouldBlock) if Instant::now() < until => std::thread::sleep(LOCK_RETRY),
            Err(e) => return Err(format!("{}: {e}", path.display())),
        }
    }
}

fn changed(path: &Path, change: AdminChange) -> Result<Kept, String> {
    update(path, |now| change.apply(&mut now.out, &mut now.drained)).1
}

/// What the file says; nothing where there is none.
fn read(path: &Path) -> Result<Kept, String> {
    match std::fs::metadata(path) {
        Err(e) if e.kind() == std::io::ErrorKind::NotFound => return Ok(Kept::default()),
        Err(e) => return Err(format!("{}: {e}", path.display())),
        Ok(file) if !file.is_file() || file.len() > LONGEST => {
            return Err(format!("{}: no file of ours", path.display()))
        }
        Ok(_) => {}
    }
    let text = std::fs::read(path).map_err(|e| format!("{}: {e}", path.display()))?;
    serde_json::from_slice(&text).map_err(|e| format!("{}: {e}", path.display()))
}

/// One that can't be read stops nothing.
fn lenient(read: Result<Kept, String>) -> Kept {
    read.unwrap_or_else(|why| {
        tracing::warn!("what was kept for this version is passed over: {why}");
        Kept::default()
    })
}

fn write(path: &Path, file: &Kept) -> Result<(), String> {
    let new = path.with_extension(std::process::id().to_string());
    let text = serde_json::to_vec(file).map_err(|e| e.to_string())?;
    std::fs::write(&new, text)
        .and_then(|()| std::fs::rename(&new, path))
        .map_err(|e| format!("{}: {e}", path.display()))
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Guards: a call at the old version, met by the start of the new one, wrote the new one's name over, and SIGTERM was
    /// no handover; or the start wrote a ban over.
    #[test]
    fn nothing_that_is_written_meanwhile_is_lost() {
        let path = std::env::temp_dir().join(format!("quillramp-test-{}.json", std::process::id()));
        std::thread::scope(|all| {
            for of in 0..8 {
                let path = &path;
                all.spawn(move || {
                    for i in 0..20 {
                        changed(path, AdminChange::EjectBackend(format!("{of}-{i}"), 0.0)).expect("written");
                    }
                });
            }
        });
        let kept = read(&path).expect("readable").out.len();
        let _ = std::fs::remove_file(path.with_extension("lock"));
        std::fs::remove_file(path).expect("it is there");
        assert_eq!(kept, 160);
    }
}
