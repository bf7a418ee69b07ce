//! The addresses of the instances and which of them take requests: the routing state of a load balancer in front of them.
use crate::test_bed::loopback::read_reply;
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::thread::{sleep, spawn};
use std::time::Duration;

/// Interval of the health checks of an instance that is down; also the timeout for connecting to it.
const HEALTH_CHECK_INTERVAL: Duration = Duration::from_millis(50);
/// Timeout for the reply to a health check.
const HEALTH_CHECK_TIMEOUT: Duration = Duration::from_millis(200);

/// The addresses of the instances, and which of them are up.
pub struct Routes {
    /// The address of each instance.
    pub addresses: Vec<SocketAddr>,
    up: Vec<AtomicBool>,
    stopped: AtomicBool,
}

impl Routes {
    /// Creates routes on which all instances are up.
    pub(super) fn new(addresses: Vec<SocketAddr>) -> Routes {
        let up = addresses.iter().map(|_| AtomicBool::new(true)).collect();
        Routes { addresses, up, stopped: AtomicBool::new(false) }
    }

    /// Returns the preferred instance if it is up, else the next one that is up among the `spread` consecutive instances from `first` on.
    /// Returns the preferred one if none of them is up.
    pub fn pick(&self, preferred: usize, first: usize, spread: usize) -> usize {
        let all = self.addresses.len();
        let position = (preferred + all - first) % all;
        let mut candidates = (0..spread).map(|i| (first + (position + i) % spread) % all);
        candidates.find(|index| self.up[*index].load(Ordering::Relaxed)).unwrap_or(preferred)
    }

    /// Marks an instance as down: it gets no requests until it passes a health check.
    pub fn mark_down(&self, index: usize) {
        self.up[index].store(false, Ordering::Relaxed);
    }

    /// Checks the instances that are down on a new thread, until `stop_health_checks` is called.
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

/// Whether an instance replies PONG to PING, and so takes requests.
fn is_healthy(address: SocketAddr) -> bool {
    let ping = || -> std::io::Result<bool> {
        let mut to = TcpStream::connect_timeout(&address, HEALTH_CHECK_INTERVAL)?;
        to.set_read_timeout(Some(HEALTH_CHECK_TIMEOUT))?;
        to.write_all(b"*1\r\n$4\r\nPING\r\n")?;
        Ok(read_reply(&mut BufReader::new(to))?.bytes.starts_with(b"+PONG"))
    };
    ping().unwrap_or(false)
}
