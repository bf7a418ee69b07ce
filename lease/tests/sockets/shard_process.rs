//! A shard process.
use nix::sys::signal::{kill, Signal};
use nix::unistd::Pid;
use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::path::Path;
use std::process::{Child, ChildStderr, Command, ExitStatus, Stdio};

pub const PROGRAM: &str = env!("CARGO_BIN_EXE_quillramp-lease-shard");

/// A shard process that is killed at the end of its test, also if the test panics.
pub struct ShardProcess {
    child: Child,
    log: BufReader<ChildStderr>,
}

impl Drop for ShardProcess {
    fn drop(&mut self) {
        let _ = self.child.kill(); // it may have exited
        let _ = self.child.wait();
    }
}

impl ShardProcess {
    /// Starts shard 1 of region `north` and waits until it serves.
    pub fn start(address: SocketAddr, map: &Path) -> ShardProcess {
        let mut child = Command::new(PROGRAM)
            .args(["--listen", &address.to_string(), "--region", "north", "--id", "1", "--map"])
            .arg(map)
            .stderr(Stdio::piped())
            .spawn()
            .expect("the program starts");
        let log = BufReader::new(child.stderr.take().expect("a pipe"));
        let mut shard = ShardProcess { child, log };
        shard.wait_for_log("serves at");
        shard
    }

    /// Waits for a log line that contains this text; returns the log since the last call, up to this line.
    pub fn wait_for_log(&mut self, text: &str) -> String {
        let mut log = String::new();
        while self.log.read_line(&mut log).expect("a readable log") > 0 {
            if log.contains(text) {
                return log;
            }
        }
        panic!("no '{text}' in: {log}");
    }

    pub fn signal(&self, signal: Signal) {
        kill(Pid::from_raw(self.child.id() as i32), signal).expect("the process exists");
    }

    /// Waits until the process exits.
    pub fn wait(&mut self) -> ExitStatus {
        self.child.wait().expect("the process exits")
    }
}
