//! Stand-ins for a scale run: one counter, one list service and thousands of backends, served by one event loop on a thread of its own.
//! Each counts its connections, calls and bytes. The experiments have servers of another kind, with a thread for each connection and
//! with faults (`test_bed`).
mod connection;
mod event_loop;

use super::counts::Counts;
use super::embedded::Services;
use super::endpoint_rotation::EndpointRotation;
use super::error::ScaleError;
use super::operating_point::OperatingPoint;
use super::server_load::{Role, ServerLoads};
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

/// The port of the first backend that is only listed.
const FIRST_LISTED_PORT: u16 = 1_024;
/// Listeners before those of the backends: the counter's and the list service's.
const SERVICE_LISTENERS: usize = 2;

/// Whether the backends of the list are there.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Backends {
    /// They listen and answer.
    Served,
    /// They are on the list only; whoever runs the instances answers for them.
    Listed,
}

/// Changes of the list that were requested, and when each was written.
#[derive(Default)]
struct Changes {
    requested: AtomicUsize,
    /// Unix time in seconds, from version 2 on.
    written: Mutex<Vec<f64>>,
}

/// Stand-ins that serve until this is dropped.
pub struct StandIns {
    /// Where the counter is.
    pub counter: SocketAddr,
    /// Where the list service is.
    pub discovery: SocketAddr,
    /// Bytes of a snapshot of the list, as the list service writes it.
    pub list_bytes: usize,
    /// What crossed the connections.
    pub loads: Arc<ServerLoads>,
    changes: Arc<Changes>,
    stop: Arc<AtomicBool>,
    thread: Option<JoinHandle<()>>,
}

impl StandIns {
    /// Starts them on free ports of loopback. `instances` are there; the rest of the fleet is estimated by the counter.
    pub fn start(
        point: &OperatingPoint,
        instances: usize,
        backends: Backends,
    ) -> Result<StandIns, ScaleError> {
        let poll = Poll::new().map_err(ScaleError::Poll)?;
        let listening = if backends == Backends::Served { point.backends } else { 0 };
        let listeners = listen_all(poll.registry(), listening)?;
        let listening = listening_addresses(&listeners)?;
        let endpoints = match backends {
            Backends::Served => EndpointRotation::new(&listening[SERVICE_LISTENERS..]),
            Backends::Listed => EndpointRotation::new(&unserved_addresses(point.backends)),
        };
        let list_bytes = endpoints.answer(0).to_string().len();
        let loads = Arc::new(ServerLoads::default());
        let changes = Arc::new(Changes::default());
        let event_loop = EventLoop::new(Setup {
            poll,
            listeners,
            counts: Counts::new(point.tenants(), point.absent_fraction(instances)),
            endpoints,
            loads: loads.clone(),
            changes: changes.clone(),
            change_interval: (point.changes > 0.0).then(|| Duration::from_secs_f64(1.0 / point.changes)),
        });
        let stop = Arc::new(AtomicBool::new(false));
        let thread = std::thread::spawn({
            let stop = stop.clone();
            move || event_loop.run(&stop)
        });
        Ok(StandIns {
            counter: listening[0],
            discovery: listening[1],
            list_bytes,
            loads,
            changes,
            stop,
            thread: Some(thread),
        })
    }

    /// Where the services are.
    pub fn services(&self) -> Services {
        Services { counter: self.counter, discovery: self.discovery }
    }

    /// Changes the list once more, within a moment.
    pub fn change(&self) {
        self.changes.requested.fetch_add(1, Ordering::Relaxed);
    }

    /// When each version of the list was written, from version 2 on; Unix time in seconds.
    pub fn written(&self) -> Vec<f64> {
        lock(&self.changes.written).clone()
    }
}

impl Drop for StandIns {
    fn drop(&mut self) {
        self.stop.store(true, Ordering::Relaxed);
        if let Some(thread) = self.thread.take() {
            let _ = thread.join(); // its panic was printed
        }
    }
}

/// The listeners of the counter, the list service and the backends, in this order; their tokens are their indices.
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

/// Addresses of backends at which nothing listens.
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
