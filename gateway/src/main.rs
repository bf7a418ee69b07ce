//! quillramp: starts the front door; the main thread then waits for signals.
use quillramp_gateway::life::{configuration, logger, signals};
use quillramp_gateway::memory::reducer::{Parties, Reducer};
use quillramp_gateway::sockets::{accept, clock::Clock, drive::Driver, drive::Links, inbox::Inbox};
use quillramp_gateway::sockets::{link::Common, peers::Peers};
use std::process::ExitCode;
use std::sync::atomic::AtomicBool;
use std::sync::Arc;

/// Stacks, in words: of a connection's coroutine, and of the one that decides.
const STACK: usize = 0x2000;
const DRIVER_STACK: usize = 0x20000;

fn run() -> Result<std::convert::Infallible, String> {
    logger::start()?;
    std::panic::set_hook(Box::new(|panic| {
        // The runtime would end one coroutine and leave a front door that does nothing.
        eprintln!("quillramp: {panic}");
        std::process::abort();
    }));
    let told = configuration::read()?;
    let start = quillramp::facts::start(told.seed, told.settings.get().as_bytes())?;
    let waiting = signals::signals()?;
    may::config().set_workers(1).set_stack_size(STACK).set_worker_pin(false);

    let inbox = Arc::new(Inbox::new()?);
    let common = Common::new(inbox.clone(), told.limits.memory_mb << 20);
    let links = Arc::new(Links::default());
    let stop_accepting = Arc::new(AtomicBool::new(false));
    let listener = accept::listen(told.listen).map_err(|e| format!("{}: {e}", told.listen))?;
    let peers = told.peer_listen.map(|at| Peers::start(at, inbox.clone())).transpose()?;

    let clock = Clock::start();
    let parties = Parties {
        peers: told.peers,
        peers_all: told.peers_all,
        counter: told.counter,
        list: told.discovery,
        sockets: told.limits.sockets,
    };
    let reducer = Reducer::new(clock.now(), start, parties, &told.known);
    let (common_too, links_too, stop_too) = (common.clone(), links.clone(), stop_accepting.clone());
    let driver = Driver { clock, common, links, peers, stop_accepting };
    let builder = may::coroutine::Builder::new().stack_size(DRIVER_STACK);
    may::go!(builder, move || driver.run(reducer)).map_err(|e| e.to_string())?;
    accept::start(listener, links_too, common_too, stop_too)?;
    log::info!("{} serves at {}", told.name, told.listen);
    signals::wait(waiting, inbox)
}

fn main() -> ExitCode {
    let Err(why) = run();
    eprintln!("quillramp: {why}");
    ExitCode::FAILURE
}
