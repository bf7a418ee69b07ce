//! The signal to end: SIGTERM (or SIGINT, from a terminal), told to the front door from the main thread.
use crate::sockets::inbox::Inbox;
use signal_hook::consts::{SIGINT, SIGTERM};
use signal_hook::iterator::Signals;
use std::sync::Arc;

pub fn signals() -> Result<Signals, String> {
    Signals::new([SIGTERM, SIGINT]).map_err(|e| format!("signals: {e}"))
}

/// Waits on the main thread; the service's own thread ends the process.
pub fn wait(mut signals: Signals, inbox: Arc<Inbox>) -> ! {
    for _ in signals.forever() {
        inbox.stop();
    }
    unreachable!("signals never end");
}
