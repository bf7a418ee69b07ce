//! What the tests of the real program share.
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::process::Child;
use std::thread::sleep;
use std::time::{Duration, Instant};

/// A front door that ends with the test, whatever comes of it.
pub struct Door(pub Child);

impl Drop for Door {
    fn drop(&mut self) {
        let _ = self.0.kill(); // it may have ended
        let _ = self.0.wait();
    }
}

pub fn free() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let at = listener.local_addr().expect("an address");
    (listener, at)
}

/// Waits until it accepts.
pub fn reach(at: SocketAddr) -> TcpStream {
    let from = Instant::now();
    loop {
        match TcpStream::connect(at) {
            Ok(to) => return to,
            Err(e) => assert!(from.elapsed() < Duration::from_secs(10), "{e}"),
        }
        sleep(Duration::from_millis(10));
    }
}
