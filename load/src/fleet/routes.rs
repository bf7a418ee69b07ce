//! Where the instances are, and which of them take requests: what a load balancer before them would know.
use crate::test_bed::loopback::read_reply;
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::thread::{sleep, spawn};
use std::time::Duration;

/// How often an instance that was found down is checked again; also the longest to connect to it.
const HEALTH_CHECK_INTERVAL: Duration = Duration::from_millis(50);
/// The longest for the answer to a health check.
const HEALTH_CHECK_TIMEOUT: Duration = Duration::from_millis(200);

/// The addresses of the instances, and which are up.
pub struct Routes {
    /// The address of each instance.
    pub addresses: Vec<SocketAddr>,
    up: Vec<AtomicBool>,
    stopped: AtomicBool,
}

impl Routes {
    /// All are up.
    pub(super) fn new(addresses: Vec<SocketAddr>) -> Routes {
        let up = addresses.iter().map(|_| AtomicBool::new(true)).collect();
        Routes { addresses, up, stopped: AtomicBool::new(false) }
    }

    /// The preferred instance, or the next one that is up of the `spread` ones from `first` on.
    pub fn pick(&self, preferred: usize, first: usize, spread: usize) -> usize {
        let all = self.addresses.len();
        let position = (preferred + all - first) % all;
        let mut candidates = (0..spread).map(|i| (first + (position + i) % spread) % all);
        candidates.find(|index| self.up[*index].load(Ordering::Relaxed)).unwrap_or(preferred)
    }

    /// An instance did not connect: nothing is sent there until it answers a health check.
    pub fn mark_down(&self, index: usize) {
        self.up[index].store(false, Ordering::Relaxed);
    }

    /// Checks the instances that were found down until the checks are stopped.
    pub(super) fn spawn_health_checks(routes: &Arc<Routes>) {
        let routes = routes.clone();
        spawn(move || {
            while !routes.stopped.load(Ordering::Relaxed) {
                for (address, up) in routes.addresses.iter().zip(&routes.up) {
                    if !up.load(Ordering::Relaxed) && is_healthy(*address) {
                        up.store(true, Ordering::Relaxed);
                    }
                }
                sleep(HEALTH_CHECK_INTERVAL);
            }
        });
    }

    pub(super) fn stop_health_checks(&self) {
        self.stopped.store(true, Ordering::Relaxed);
    }
}

/// Whether an instance answers PING with PONG, so it takes requests.
fn is_healthy(address: SocketAddr) -> bool {
    let ping = || -> std::io::Result<bool> {
        let mut to = TcpStream::connect_timeout(&address, HEALTH_CHECK_INTERVAL)?;
        to.set_read_timeout(Some(HEALTH_CHECK_TIMEOUT))?;
        to.write_all(b"*1\r\n$4\r\nPING\r\n")?;
        Ok(read_reply(&mut BufReader::new(to))?.bytes.starts_with(b"+PONG"))
    };
    ping().unwrap_or(false)
}
