//! quillramp: starts the front door; the main thread then waits for signals.
use quillramp_gateway::life::{configuration, handover, handover::Keeper, logger, operator, signals};
use quillramp_gateway::memory::reducer::{Parties, Reducer};
use quillramp_gateway::sockets::{
    accept, accept::Who, clock::Clock, drive::Driver, drive::Links, inbox::Inbox,
};
use quillramp_gateway::sockets::{link::Common, peers::Peers};
use std::process::ExitCode;
use std::sync::atomic::AtomicBool;
use std::sync::Arc;

/// Stacks, in words: of a connection's coroutine, and of the one that decides.
const STACK: usize = 0x2000;
const DRIVER_STACK: usize = 0x20000;

fn run() -> Result<std::convert::Infallible, String> {
    let passed = handover::passed()?; // first: its descriptor is not to be taken for something of ours
    logger::start()?;
    std::panic::set_hook(Box::new(|panic| {
        // The runtime would end one coroutine and leave a front door that does nothing.
        eprintln!("quillramp: {panic}");
        std::process::abort();
    }));
    let told = configuration::read()?;
    let mgmt = configuration::mgmt(&told)?;
    let by_operator = operator::read(told.limits.sockets)?;
    let start = quillramp::facts::start(told.seed, told.settings.get().as_bytes())?;
    let waiting = signals::signals()?;
    may::config().set_workers(1).set_stack_size(STACK).set_worker_pin(false);

    let inbox = Arc::new(Inbox::new()?);
    let common = Common::new(inbox.clone(), told.limits.memory_mb << 20);
    let links = Arc::new(Links::default());
    let stop_accepting = Arc::new(AtomicBool::new(false));
    let shares = passed.is_some();
    let listen = |at| accept::listen(at).map_err(|e| format!("{at}: {e}"));
    let listener = passed.map_or_else(|| listen(told.listen), Ok)?;
    let operators = mgmt.map(|at| listen(at).map_err(|e| format!("mgmt: {e}"))).transpose()?;
    let peers = told.peer_listen.map(|at| Peers::start(at, shares, inbox.clone())).transpose()?;
    // Where neither is there, nothing can be changed by hand and no other process takes over.
    let (shared, keeper) =
        if shares || mgmt.is_some() { Keeper::start(&told.name, inbox.clone())? } else { Default::default() };

    let clock = Clock::start();
    let parties = Parties {
        peers: told.peers,
        peers_all: told.peers_all,
        counter: told.counter,
        list: told.discovery,
        sockets: told.limits.sockets,
        passed: shares,
        called: mgmt.is_some(),
        keeps: keeper.is_some(),
    };
    let mut reducer = Reducer::new(clock.now(), start, parties, &told.known);
    reducer.share_is(clock.now(), shared);
    reducer.admits(clock.now(), by_operator.admission);
    let shared = || (links.clone(), common.clone(), stop_accepting.clone());
    let (for_clients, for_operators) = (shared(), shared());
    let place = keeper.as_ref().map(|k| k.place.clone());
    let driver = Driver { clock, common, links, peers, stop_accepting, keeper };
    let builder = may::coroutine::Builder::new().stack_size(DRIVER_STACK);
    may::go!(builder, move || driver.run(reducer)).map_err(|e| e.to_string())?;
    let (links, common, stop) = for_clients;
    accept::start((listener, Who::Clients { passed: shares }), links, common, stop)?;
    if let Some(listener) = operators {
        let (links, common, stop) = for_operators;
        accept::start((listener, Who::Operators), links, common, stop)?;
    }
    log::info!("{} serves at {}", told.name, told.listen);
    signals::wait(waiting, inbox, place)
}

fn main() -> ExitCode {
    let Err(why) = run();
    eprintln!("quillramp: {why}");
    ExitCode::FAILURE
}
