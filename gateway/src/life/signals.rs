//! Signals, told to the front door from the main thread: SIGTERM (or SIGINT, from a terminal) to end, SIGHUP to
//! read the configuration again.
use super::configuration::{self, Told};
use super::handover::Place;
use super::operator;
use crate::memory::event::Event;
use crate::sockets::inbox::Inbox;
use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};
use signal_hook::iterator::Signals;
use std::sync::Arc;

pub fn signals() -> Result<Signals, String> {
    Signals::new([SIGTERM, SIGINT, SIGHUP]).map_err(|e| format!("signals: {e}"))
}

/// Waits on the main thread, which may read files; the service's own thread ends the process.
pub fn wait(mut signals: Signals, inbox: Arc<Inbox>, place: Option<Place>) -> ! {
    for signal in signals.forever() {
        if signal != SIGHUP {
            // Whether another process has come to take over may be news of this very moment.
            if let Some(Ok(shared)) = place.as_ref().map(Place::look) {
                inbox.tell(Event::Kept { call: None, shared: Ok(shared) });
            }
            inbox.tell(Event::Stop);
            continue;
        }
        match configuration::read() {
            Ok(Told { discovery, counter, limits, .. }) => {
                inbox.tell(Event::Moved { list: discovery, counter });
                match operator::read(limits.sockets) {
                    Ok(operator) => inbox.tell(Event::Admits(operator.admission)),
                    Err(why) => inbox.tell(Event::NotMoved(why)),
                }
            }
            Err(why) => inbox.tell(Event::NotMoved(why)),
        }
    }
    unreachable!("signals never end");
}
