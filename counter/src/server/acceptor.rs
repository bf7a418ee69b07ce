//! Accepts connections and spawns a thread for each.
use super::ShutdownFlag;
use std::net::{TcpListener, TcpStream};
use std::sync::atomic::Ordering;
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// Pause after a failed accept, for example when file descriptors run out.
const ACCEPT_RETRY: Duration = Duration::from_millis(5);

/// Open connections of a server, which are closed on shutdown.
#[derive(Clone, Default)]
pub(super) struct OpenConnections(Arc<Mutex<Vec<TcpStream>>>);

impl OpenConnections {
    /// Removes and returns all connections.
    pub(super) fn take_all(&self) -> Vec<TcpStream> {
        std::mem::take(&mut *self.0.lock().unwrap_or_else(|poisoned| poisoned.into_inner()))
    }

    /// Adds a connection and drops those that have ended.
    fn add(&self, stream: &TcpStream) {
        let mut open = self.0.lock().unwrap_or_else(|poisoned| poisoned.into_inner());
        open.retain(|earlier| earlier.peer_addr().is_ok());
        open.extend(stream.try_clone());
    }
}

/// Accepts connections until shutdown and serves each in a separate thread.
pub(super) fn spawn(
    listener: TcpListener,
    connections: OpenConnections,
    shutdown: ShutdownFlag,
    serve: impl Fn(TcpStream) + Clone + Send + 'static,
) {
    std::thread::spawn(move || {
        for stream in listener.incoming() {
            if shutdown.load(Ordering::Relaxed) {
                return;
            }
            let Ok(stream) = stream else {
                std::thread::sleep(ACCEPT_RETRY);
                continue;
            };
            let _ = stream.set_nodelay(true); // without it, responses are delayed by Nagle's algorithm
            connections.add(&stream);
            let serve = serve.clone();
            std::thread::spawn(move || serve(stream));
        }
    });
}
