//! Accepts connections and gives each a thread.
use super::ShutdownFlag;
use std::net::{TcpListener, TcpStream};
use std::sync::atomic::Ordering;
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// Pause after a connection could not be accepted, for example because descriptors ran out.
const ACCEPT_RETRY: Duration = Duration::from_millis(5);

/// The open connections of a server, so that it can end them.
#[derive(Clone, Default)]
pub(super) struct OpenConnections(Arc<Mutex<Vec<TcpStream>>>);

impl OpenConnections {
    /// Takes all connections out.
    pub(super) fn take_all(&self) -> Vec<TcpStream> {
        std::mem::take(&mut *self.0.lock().unwrap_or_else(|e| e.into_inner()))
    }

    /// Adds a connection; those that have ended are dropped.
    fn add(&self, stream: &TcpStream) {
        let mut open = self.0.lock().unwrap_or_else(|e| e.into_inner());
        open.retain(|earlier| earlier.peer_addr().is_ok());
        open.extend(stream.try_clone());
    }
}

/// Accepts connections until the server ends; each is served by a thread of its own.
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
            let _ = stream.set_nodelay(true); // without it responses wait for each other
            connections.add(&stream);
            let serve = serve.clone();
            std::thread::spawn(move || serve(stream));
        }
    });
}
