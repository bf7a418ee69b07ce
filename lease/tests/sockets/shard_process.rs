//! A shard running as a separate process.
use nix::sys::signal::{kill, Signal};
use nix::unistd::Pid;
use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::path::Path;
use std::process::{Child, ChildStderr, Command, ExitStatus, Stdio};

/// Path of the program `quillramp-lease-shard`.
pub const PROGRAM: &str = env!("CARGO_BIN_EXE_quillramp-lease-shard");

/// A shard process, which is killed when this value is dropped, even if the test panics.
pub struct ShardProcess {
    child: Child,
    log: BufReader<ChildStderr>,
}

impl Drop for ShardProcess {
    fn drop(&mut self) {
        let _ = self.child.kill(); // fails if the process has already exited
        let _ = self.child.wait();
    }
}

impl ShardProcess {
    /// Starts shard 1 of region `north` and waits until it accepts connections.
    pub fn start(address: SocketAddr, map: &Path) -> ShardProcess {
        let mut child = Command::new(PROGRAM)
            .args(["--listen", &address.to_string(), "--region", "north", "--id", "1", "--map"])
            .arg(map)
            .stderr(Stdio::piped())
            .spawn()
            .expect("the program starts");
        let log = BufReader::new(child.stderr.take().expect("standard error is piped"));
        let mut shard = ShardProcess { child, log };
        shard.wait_for_log("serves at");
        shard
    }

    /// Waits for a log line that contains `text`. Returns the log since the last call, up to and including
    /// this line.
    pub fn wait_for_log(&mut self, text: &str) -> String {
        let mut log = String::new();
        while self.log.read_line(&mut log).expect("a readable log") > 0 {
            if log.contains(text) {
                return log;
            }
        }
        panic!("expected a log line with '{text}', found: {log}");
    }

    pub fn signal(&self, signal: Signal) {
        kill(Pid::from_raw(self.child.id() as i32), signal).expect("the process exists");
    }

    /// Waits until the process exits.
    pub fn wait(&mut self) -> ExitStatus {
        self.child.wait().expect("the process exits")
    }
}
