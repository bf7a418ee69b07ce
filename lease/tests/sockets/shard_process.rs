//! A shard as a process.
use nix::sys::signal::{kill, Signal};
use nix::unistd::Pid;
use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::path::Path;
use std::process::{Child, ChildStderr, Command, ExitStatus, Stdio};

pub const PROGRAM: &str = env!("CARGO_BIN_EXE_quillramp-lease-shard");

/// A process that is ended with the test.
pub struct ShardProcess {
    child: Child,
    log: BufReader<ChildStderr>,
}

impl Drop for ShardProcess {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

impl ShardProcess {
    pub fn start(address: SocketAddr, map: &Path) -> ShardProcess {
        let mut child = Command::new(PROGRAM)
            .args(["--listen", &address.to_string(), "--region", "north", "--id", "1", "--map"])
            .arg(map)
            .stderr(Stdio::piped())
            .spawn()
            .expect("the program starts");
        let log = BufReader::new(child.stderr.take().expect("piped"));
        let mut shard = ShardProcess { child, log };
        shard.wait_for_log("serves at");
        shard
    }

    pub fn wait_for_log(&mut self, text: &str) -> String {
        let mut seen = String::new();
        while self.log.read_line(&mut seen).expect("a log") > 0 {
            if seen.contains(text) {
                return seen;
            }
        }
        panic!("no '{text}' in: {seen}");
    }

    pub fn signal(&self, signal: Signal) {
        kill(Pid::from_raw(self.child.id() as i32), signal).expect("it runs");
    }

    /// Waits for its end.
    pub fn wait(&mut self) -> ExitStatus {
        self.child.wait().expect("it ends")
    }
}
