//! Stand-in servers of a scale run: one counter, one list service and thousands of backends. One event loop on a
//! separate thread serves them all, and counts connections, calls and bytes by server role. The servers of the
//! experiments (`test_bed`) differ: they use one thread for each connection and can inject faults.
mod connection;
mod event_loop;

use super::counter_totals::CounterTotals;
use super::embedded::ServiceAddresses;
use super::endpoint_rotation::EndpointRotation;
use super::error::ScaleError;
use super::operating_point::OperatingPoint;
use super::server_traffic::{Role, ServerTraffic};
use crate::sync::lock;
use crate::test_bed::loopback::process_loopback;
use event_loop::{EventLoop, Listener, Setup};
use mio::net::TcpListener;
use mio::{Interest, Poll, Registry, Token};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::JoinHandle;
use std::time::Duration;

/// Port of the first backend that is listed but does not listen.
const FIRST_LISTED_PORT: u16 = 1_024;
/// Number of listeners before those of the backends: the counter and the list service.
const SERVICE_LISTENERS: usize = 2;

/// Whether the listed backends accept connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BackendMode {
    /// The backends listen and answer.
    Listening,
    /// The backends are only on the endpoint list; the runner of the instances simulates them.
    ListedOnly,
}

/// Requested changes of the endpoint list, and the times at which they were written.
#[derive(Default)]
struct Changes {
    requested_count: AtomicUsize,
    /// Unix time in seconds of each version from 2 on.
    write_times: Mutex<Vec<f64>>,
}

/// Running stand-in servers; dropping this stops them.
pub struct StandIns {
    /// Address of the counter.
    pub counter: SocketAddr,
    /// Address of the list service.
    pub discovery: SocketAddr,
    /// Size in bytes of a snapshot of the endpoint list, as encoded by the list service.
    pub snapshot_bytes: usize,
    /// Traffic between the instances and the servers.
    pub traffic: Arc<ServerTraffic>,
    changes: Arc<Changes>,
    stop: Arc<AtomicBool>,
    thread: Option<JoinHandle<()>>,
}

impl StandIns {
    /// Starts the servers on free loopback ports. `instances` instances run; the counter estimates the rest of the
    /// fleet.
    pub fn start(
        point: &OperatingPoint,
        instances: usize,
        backend_mode: BackendMode,
    ) -> Result<StandIns, ScaleError> {
        let poll = Poll::new().map_err(ScaleError::Poll)?;
        let listening_backends = if backend_mode == BackendMode::Listening { point.backends } else { 0 };
        let listeners = listen_all(poll.registry(), listening_backends)?;
        let addresses = listening_addresses(&listeners)?;
        let endpoints = match backend_mode {
            BackendMode::Listening => EndpointRotation::new(&addresses[SERVICE_LISTENERS..]),
            BackendMode::ListedOnly => EndpointRotation::new(&unserved_addresses(point.backends)),
        };
        let snapshot_bytes = endpoints.response(0).to_string().len();
        let traffic = Arc::new(ServerTraffic::default());
        let changes = Arc::new(Changes::default());
        let event_loop = EventLoop::new(Setup {
            poll,
            listeners,
            totals: CounterTotals::new(point.tenants(), point.absent_fraction(instances)),
            endpoints,
            traffic: traffic.clone(),
            changes: changes.clone(),
            change_interval: (point.changes > 0.0).then(|| Duration::from_secs_f64(1.0 / point.changes)),
        });
        let stop = Arc::new(AtomicBool::new(false));
        let thread = std::thread::spawn({
            let stop = stop.clone();
            move || event_loop.run(&stop)
        });
        Ok(StandIns {
            counter: addresses[0],
            discovery: addresses[1],
            snapshot_bytes,
            traffic,
            changes,
            stop,
            thread: Some(thread),
        })
    }

    /// Returns the addresses of the counter and the list service.
    pub fn services(&self) -> ServiceAddresses {
        ServiceAddresses { counter: self.counter, discovery: self.discovery }
    }

    /// Requests one change of the endpoint list; the event loop writes it in its next iteration, usually
    /// within 50 ms.
    pub fn request_change(&self) {
        self.changes.requested_count.fetch_add(1, Ordering::Relaxed);
    }

    /// Returns the time at which each version of the list from 2 on was written, Unix time in seconds.
    pub fn write_times(&self) -> Vec<f64> {
        lock(&self.changes.write_times).clone()
    }
}

impl Drop for StandIns {
    fn drop(&mut self) {
        self.stop.store(true, Ordering::Relaxed);
        if let Some(thread) = self.thread.take() {
            let _ = thread.join(); // the panic message is already printed
        }
    }
}

/// Opens the listeners of the counter, the list service and the backends, in this order. Each has its index as token.
fn listen_all(registry: &Registry, backends: usize) -> Result<Vec<Listener>, ScaleError> {
    let mut listeners = vec![];
    for index in 0..backends + SERVICE_LISTENERS {
        let role = [Role::Counter, Role::Discovery].get(index).copied().unwrap_or(Role::Backend);
        listeners.push(Listener { role, socket: listen(registry, index)? });
    }
    Ok(listeners)
}

fn listening_addresses(listeners: &[Listener]) -> Result<Vec<SocketAddr>, ScaleError> {
    listeners.iter().map(|listener| listener.socket.local_addr().map_err(ScaleError::Port)).collect()
}

/// Returns addresses of backends on which no server listens.
fn unserved_addresses(backends: usize) -> Vec<SocketAddr> {
    let address = |index: usize| SocketAddr::from((process_loopback(), FIRST_LISTED_PORT + index as u16));
    (0..backends).map(address).collect()
}

fn listen(registry: &Registry, token: usize) -> Result<TcpListener, ScaleError> {
    let address = SocketAddr::from((process_loopback(), 0));
    let mut listener = TcpListener::bind(address).map_err(ScaleError::Port)?;
    registry.register(&mut listener, Token(token), Interest::READABLE).map_err(ScaleError::Port)?;
    Ok(listener)
}
