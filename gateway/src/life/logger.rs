//! The log: lines go to a thread of their own, so that a slow reader of standard error stops nothing.
use log::{Level, LevelFilter, Log, Metadata, Record};
use std::io::Write;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{sync_channel, Receiver, SyncSender, TrySendError};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

const WAITING: usize = 4096;

enum Note {
    Line(String),
    Flush(SyncSender<()>),
}

struct Logger {
    to: SyncSender<Note>,
    lost: AtomicU64,
}

impl Log for Logger {
    fn enabled(&self, about: &Metadata) -> bool {
        about.target().starts_with("quillramp") || about.level() <= Level::Warn
    }
    fn log(&self, record: &Record) {
        if !self.enabled(record.metadata()) {
            return;
        }
        let at = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_secs_f64();
        let lost = self.lost.swap(0, Ordering::Relaxed);
        let gap = if lost > 0 { format!("({lost} lines lost) ") } else { String::new() };
        let line = format!("{at:.3} {} {gap}{}\n", record.level(), record.args());
        if let Err(TrySendError::Full(_)) = self.to.try_send(Note::Line(line)) {
            self.lost.fetch_add(lost + 1, Ordering::Relaxed);
        }
    }
    fn flush(&self) {
        let (done, wait) = sync_channel(1);
        if self.to.try_send(Note::Flush(done)).is_ok() {
            let _ = wait.recv_timeout(Duration::from_millis(100));
        }
    }
}

fn write(lines: Receiver<Note>) {
    let mut out = std::io::stderr();
    for note in lines {
        // Where nobody reads any more, lines are lost and the service goes on.
        match note {
            Note::Line(line) => drop(out.write_all(line.as_bytes())),
            Note::Flush(done) => drop(done.try_send(())),
        }
    }
}

pub fn start() -> Result<(), String> {
    let (to, lines) = sync_channel(WAITING);
    std::thread::Builder::new().name("log".into()).spawn(|| write(lines)).map_err(|e| e.to_string())?;
    log::set_boxed_logger(Box::new(Logger { to, lost: AtomicU64::new(0) })).map_err(|e| e.to_string())?;
    log::set_max_level(LevelFilter::Info);
    Ok(())
}
