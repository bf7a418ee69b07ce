//! Signals, told to the front door from the main thread: SIGTERM (or SIGINT, from a terminal) to end, SIGHUP to
//! read the configuration and the operator's file again.
use super::configuration::{self, Configuration};
use super::handover::Place;
use super::{logger, operator};
use crate::sockets::inbox::Inbox;
use crate::state::event::Event;
use quillramp_operator::routes::Platform;
use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};
use signal_hook::iterator::Signals;
use std::sync::Arc;

pub fn signals() -> Result<Signals, String> {
    Signals::new([SIGTERM, SIGINT, SIGHUP]).map_err(|e| format!("signals: {e}"))
}

/// Waits on the main thread, which may read files; the service's own thread ends the process.
pub fn wait(mut signals: Signals, inbox: Arc<Inbox>, place: Option<Place>, platform: &Platform) -> ! {
    for signal in signals.forever() {
        if signal != SIGHUP {
            // Whether another process has come to take over may be news of this very moment.
            if let Some(Ok(shared)) = place.as_ref().map(Place::look) {
                inbox.tell(Event::SharedStateSaved { call: None, shared: Ok(shared) });
            }
            inbox.tell(Event::Shutdown);
            continue;
        }
        match again(platform) {
            Ok(events) => events.into_iter().for_each(|e| inbox.tell(e)),
            Err(why) => inbox.tell(Event::ReloadFailed(why)),
        }
    }
    unreachable!("signals never end");
}

/// Both files, each whole: where one can't be used neither is taken up.
fn again(platform: &Platform) -> Result<[Event; 2], String> {
    let Configuration { discovery, counter, .. } = configuration::read()?;
    let by_operator = operator::read(platform)?;
    logger::told(by_operator.log.as_ref());
    let declares = operator::operator_update(by_operator, platform);
    Ok([Event::ConfigurationReloaded { discovery, counter }, Event::OperatorFileReloaded(Box::new(declares))])
}
