//! quillramp: starts the front door, and the main thread then waits for signals; or checks an operator's file.
use clap::{CommandFactory, Parser, Subcommand};
use quillramp_gateway::process::{
    check, configuration, descriptors, handover, handover::Keeper, logger, operator, signals,
};
use quillramp_gateway::sockets::{
    accept, accept::Acceptor, accept::Who, clock::Clock, drive::Driver, drive::Links, inbox::Inbox,
};
use quillramp_gateway::sockets::{link::Common, peers::Peers};
use quillramp_gateway::state::reducer::{Reducer, ReducerConfig};
use quillramp_gateway::state::room;
use std::io::Write;
use std::process::ExitCode;
use std::sync::atomic::AtomicBool;
use std::sync::Arc;

/// Stacks, in words: of a connection's coroutine, and of the one that decides.
const STACK: usize = 0x2000;
const DRIVER_STACK: usize = 0x20000;
/// Stacks of coroutines that are made at the start and kept for connections to come. Each is mapped, protected and touched
/// before anything is served, so a start waits for them; the runtime's own figure is 1,000.
const POOL: usize = 64;

/// A gateway that holds customers to their quotas before a shared back end.
///
/// Without a command it serves. Exit codes: 0 done, 1 a file or the start has something wrong, which is said, 2 a call that can't be
/// understood.
#[derive(Parser)]
#[command(version)]
struct Cli {
    #[command(subcommand)]
    what: Option<What>,
}

#[derive(Subcommand)]
enum What {
    /// Serve, as EDGE_CONFIG and EDGE_OPERATOR say.
    Serve,
    /// Check an operator's file, and say all that is wrong with it.
    Check {
        file: String,
        /// The configuration to check it against; else what EDGE_CONFIG names.
        #[arg(long)]
        configuration: Option<String>,
    },
    /// Show what holds under an operator's file, and where each value comes from.
    Show {
        file: String,
        /// The configuration that it narrows; else what EDGE_CONFIG names.
        #[arg(long)]
        configuration: Option<String>,
    },
    /// Print completions for a shell.
    Completions { shell: clap_complete::Shell },
}

fn serve() -> Result<std::convert::Infallible, String> {
    let passed = handover::passed()?; // first: its descriptor is not to be taken for something of ours
    logger::start()?;
    std::panic::set_hook(Box::new(|panic| {
        // The runtime would end one coroutine and leave a front door that does nothing.
        eprintln!("quillramp: {panic}");
        std::process::abort();
    }));
    let told = configuration::read()?;
    let mgmt = configuration::admin_address(&told)?;
    let start =
        quillramp::settings::load(told.seed, told.settings.get().as_bytes()).map_err(|e| e.to_string())?;
    let platform = operator::platform(&start.instance, told.limits.sockets);
    let by_operator = operator::read(&platform)?;
    logger::told(by_operator.log.as_ref());
    let waiting = signals::signals()?;
    may::config().set_workers(1).set_stack_size(STACK).set_pool_capacity(POOL).set_worker_pin(false);

    let inbox = Arc::new(Inbox::new()?);
    let sockets = descriptors::allowed(told.limits.sockets);
    let common = Common::new(inbox.clone(), told.limits.memory_mb << 20, room::most_clients(sockets));
    let links = Arc::new(Links::default());
    let stop_accepting = Arc::new(AtomicBool::new(false));
    let shares = passed.is_some();
    let listen = |at| accept::listen(at).map_err(|e| format!("{at}: {e}"));
    let listener = passed.map_or_else(|| listen(told.listen), Ok)?;
    let operators = mgmt.map(|at| listen(at).map_err(|e| format!("mgmt: {e}"))).transpose()?;
    let peers = told.peer_listen.map(|at| Peers::bind(at, shares)).transpose()?;
    // Where neither is there, nothing can be changed by hand and no other process takes over.
    let (shared, keeper) =
        if shares || mgmt.is_some() { Keeper::start(&told.name, inbox.clone())? } else { Default::default() };

    let clock = Clock::start();
    let parties = ReducerConfig {
        peers: told.peers,
        peer_broadcast: told.peers_all,
        counter: told.counter,
        discovery: told.discovery,
        max_descriptors: sockets,
        inherited_listener: shares,
        admin_enabled: mgmt.is_some(),
        saves_changes: keeper.is_some(),
    };
    let mut reducer = Reducer::new(clock.now(), start, parties, &told.known);
    reducer.share_is(clock.now(), shared);
    reducer.declares(clock.now(), operator::operator_update(by_operator, &platform));
    let acceptor =
        |listener, who| Acceptor::new((listener, who), links.clone(), common.clone(), stop_accepting.clone());
    let clients = acceptor(listener, Who::Clients { passed: shares })?;
    let operators = operators.map(|listener| acceptor(listener, Who::Operators)).transpose()?;
    let place = keeper.as_ref().map(|k| k.place.clone());
    let hears = inbox.clone();
    let driver = Driver { clock, common, links, peers, stop_accepting, keeper };
    let builder = may::coroutine::Builder::new().stack_size(DRIVER_STACK);
    // The one coroutine that another thread than the worker makes; it makes the others. The worker waits for a second one
    // that is half in its queue by a spin (`may_queue::mpsc`, `BlockNode::get`), not by a wait.
    may::go!(builder, move || {
        driver.peers.iter().for_each(|peers| peers.start(hears.clone()));
        clients.start();
        operators.into_iter().for_each(Acceptor::start);
        driver.run(reducer)
    })
    .map_err(|e| e.to_string())?;
    tracing::info!("{} serves at {}", told.name, told.listen);
    if let Some(at) = mgmt {
        tracing::info!("operators call at {at}");
    }
    signals::wait(waiting, inbox, place, &platform)
}

/// Prints it; somebody who has stopped reading stops nothing.
fn say(text: &str) {
    let _ = writeln!(std::io::stdout(), "{}", text.trim_end());
}

fn main() -> ExitCode {
    // Without a word there is nothing to understand, and no memory to spend on it.
    let what = if std::env::args_os().len() > 1 { Cli::parse().what } else { None };
    let done = match what {
        None | Some(What::Serve) => serve().map(|never| match never {}).map_err(|why| vec![why]),
        Some(What::Check { file, configuration }) => check::check(&file, configuration.as_deref()),
        Some(What::Show { file, configuration }) => check::shown(&file, configuration.as_deref()),
        Some(What::Completions { shell }) => {
            let mut text = vec![];
            clap_complete::generate(shell, &mut Cli::command(), "quillramp", &mut text);
            Ok(String::from_utf8_lossy(&text).into_owned())
        }
    };
    match done {
        Ok(text) => {
            say(&text);
            ExitCode::SUCCESS
        }
        Err(wrong) => {
            logger::flush();
            wrong.iter().for_each(|why| eprintln!("quillramp: {why}"));
            ExitCode::FAILURE
        }
    }
}
