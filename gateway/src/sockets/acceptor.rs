//! Takes connections of clients and operators in. Out of descriptors, it waits until one is free again.
use super::drive::Links;
use super::link::{Common, Link};
use crate::state::event::{ConnectionId, Event};
use may::io::{CoIo, WaitIo};
use std::io::ErrorKind;
use std::net::{SocketAddr, TcpListener};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;

const BACKLOG: i32 = 1024;

/// A listening socket, still in blocking mode.
pub fn listen(at: SocketAddr) -> std::io::Result<TcpListener> {
    let socket = socket2::Socket::new(socket2::Domain::for_address(at), socket2::Type::STREAM, None)?;
    socket.set_reuse_address(true)?;
    socket.bind(&at.into())?;
    socket.listen(BACKLOG)?;
    Ok(socket.into())
}

/// Who connects, and whether another process listens on the same socket.
#[derive(Clone, Copy, PartialEq)]
pub enum Who {
    Clients { passed: bool },
    Operators,
}

/// A listening socket whose coroutine is still to be started.
pub struct Acceptor {
    listener: CoIo<TcpListener>,
    who: Who,
    links: Arc<Links>,
    common: Arc<Common>,
    stop: Arc<AtomicBool>,
}

impl Acceptor {
    pub fn new(
        (listener, who): (TcpListener, Who),
        links: Arc<Links>,
        common: Arc<Common>,
        stop: Arc<AtomicBool>,
    ) -> Result<Acceptor, String> {
        let listener = CoIo::new(listener).map_err(|e| format!("listen: {e:?}"))?;
        common.acceptors.borrow_mut().push(listener.waker());
        Ok(Acceptor { listener, who, links, common, stop })
    }

    /// Accepts from now on.
    pub fn start(self) {
        may::go!(move || serve((&self.listener, self.who), &self.links, &self.common, &self.stop));
    }
}

fn serve((listener, who): (&CoIo<TcpListener>, Who), links: &Links, common: &Arc<Common>, stop: &AtomicBool) {
    let mut next = 0;
    loop {
        // One look more after the word to stop: what the machine has taken in is ours, unless another process
        // listens too.
        let last = who != Who::Operators && stop.load(Ordering::Relaxed);
        if last && who == (Who::Clients { passed: true }) {
            return;
        }
        loop {
            // Clients that come in a flood are taken in before the reducer has seen the first of them: what the list, the
            // counter and backends need is kept from them here. At the stop all are taken in that the machine has.
            if who != Who::Operators && !last && common.clients_full() {
                crowded(common);
                break;
            }
            match listener.inner().accept() {
                Ok((stream, from)) => {
                    next += 1;
                    let (conn, event) = match who {
                        Who::Clients { .. } => {
                            (ConnectionId::Client(next), Event::ClientAccepted(next, from.ip()))
                        }
                        Who::Operators => (ConnectionId::Admin(next), Event::AdminConnected(next)),
                    };
                    match Link::start((conn, from), stream, true, common) {
                        Ok(link) => {
                            links.insert(conn, link);
                            common.inbox.push(event);
                        }
                        Err(e) => tracing::warn!("connection {conn:?} ended: {e}"),
                    }
                }
                Err(e) if e.kind() == ErrorKind::WouldBlock => break,
                Err(e) if matches!(e.kind(), ErrorKind::Interrupted | ErrorKind::ConnectionAborted) => {}
                Err(e) => {
                    tracing::warn!("accept: {e}");
                    crowded(common);
                    break;
                }
            }
        }
        if last {
            return;
        }
        listener.wait_io();
    }
}

/// Somebody may have to go; accepting goes on once a descriptor is free.
fn crowded(common: &Common) {
    common.short.store(true, Ordering::Relaxed);
    common.inbox.push(Event::DescriptorsExhausted);
}
