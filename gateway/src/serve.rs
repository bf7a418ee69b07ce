//! Starts the gateway. The main thread then waits for signals.
use quillramp::settings::Loaded;
use quillramp::settings::SettingsError;
use quillramp_gateway::process::allocator;
use quillramp_gateway::process::configuration::{self, Configuration, ConfigurationError};
use quillramp_gateway::process::descriptors;
use quillramp_gateway::process::handover::{Handover, SharedStateStore, StoreThreadError};
use quillramp_gateway::process::inherited_listener::{self, InheritedListenerError};
use quillramp_gateway::process::logger::{self, LoggerError};
use quillramp_gateway::process::operator::{self, OperatorFileError};
use quillramp_gateway::process::signals::{self, SignalError, SignalLoop};
use quillramp_gateway::sockets::acceptor::{self, Acceptor, AcceptorContext, ListenError, ListenerKind};
use quillramp_gateway::sockets::clock::Clock;
use quillramp_gateway::sockets::connection::ConnectionContext;
use quillramp_gateway::sockets::driver::{Connections, Driver};
use quillramp_gateway::sockets::event_queue::{EventQueue, TimerError};
use quillramp_gateway::sockets::gossip_socket::{BindError, GossipSocket};
use quillramp_gateway::state::customers::max_customers;
use quillramp_gateway::state::descriptors::max_clients;
use quillramp_gateway::state::reducer::{Reducer, ReducerConfig};
use quillramp_operator::routes::Platform;
use quillramp_operator::OperatorSettings;
use std::convert::Infallible;
use std::net::{SocketAddr, TcpListener};
use std::sync::atomic::AtomicBool;
use std::sync::Arc;

/// Stack size of a connection's coroutine, in words of 8 bytes.
const CONNECTION_STACK_WORDS: usize = 0x2000;
/// Stack size of the driver's coroutine, which runs the reducer, in words of 8 bytes.
const DRIVER_STACK_WORDS: usize = 0x20000;
/// Number of coroutine stacks that are allocated at the start and kept for later connections. Each is mapped,
/// protected and touched before the gateway serves, which delays the start; the runtime's default is 1,000.
const STACK_POOL_CAPACITY: usize = 64;
/// The memory of the process divided by this is the limit for values that wait for earlier replies to their clients.
const WAITING_VALUES_DIVISOR: usize = 8;
/// Left shift that converts MiB to bytes, in bits.
const MEBIBYTE_SHIFT: usize = 20;

/// Error of starting the gateway.
#[derive(Debug, thiserror::Error)]
pub enum StartError {
    /// The inherited listening socket can't be used.
    #[error(transparent)]
    InheritedListener(#[from] InheritedListenerError),
    /// The log can't be started.
    #[error(transparent)]
    Logger(#[from] LoggerError),
    /// The configuration can't be read.
    #[error(transparent)]
    Configuration(#[from] ConfigurationError),
    /// The configuration's settings are invalid.
    #[error(transparent)]
    Settings(#[from] SettingsError),
    /// The operator's file can't be used.
    #[error(transparent)]
    OperatorFile(#[from] OperatorFileError),
    /// Signals can't be handled.
    #[error(transparent)]
    Signals(#[from] SignalError),
    /// The timer can't be created.
    #[error(transparent)]
    Timer(#[from] TimerError),
    /// The socket for clients can't be opened.
    #[error(transparent)]
    Listen(#[from] ListenError),
    /// The socket for operators' calls can't be opened.
    #[error("mgmt: {0}")]
    ListenForOperators(ListenError),
    /// The socket for gossip can't be opened.
    #[error(transparent)]
    Gossip(#[from] BindError),
    /// The thread for the shared file can't be started.
    #[error(transparent)]
    SharedStateStore(#[from] StoreThreadError),
    /// The driver's coroutine can't be started.
    #[error("can't start the driver's coroutine: {0}")]
    Driver(std::io::Error),
}

/// The contents of the configuration file and the operator's file.
struct StartupFiles {
    configuration: Configuration,
    /// Address for operators' calls; `None` if they are not served.
    admin: Option<SocketAddr>,
    loaded: Loaded,
    platform: Platform,
    operator: OperatorSettings,
}

impl StartupFiles {
    fn read() -> Result<StartupFiles, StartError> {
        let configuration = configuration::read()?;
        let admin = configuration::admin_address(&configuration)?;
        let settings = configuration.settings.get().as_bytes();
        let loaded = quillramp::settings::load(configuration.seed, settings)?;
        let platform = operator::platform(&loaded.instance, configuration.limits.sockets);
        let operator = operator::read(&platform)?;
        Ok(StartupFiles { configuration, admin, loaded, platform, operator })
    }
}

/// The sockets that wait for clients, operators and peers.
struct Listeners {
    clients: TcpListener,
    operators: Option<TcpListener>,
    gossip: Option<Arc<GossipSocket>>,
}

impl Listeners {
    fn open(inherited: Option<TcpListener>, files: &StartupFiles) -> Result<Listeners, StartError> {
        let shared = inherited.is_some();
        let clients = match inherited {
            Some(listener) => listener,
            None => acceptor::listen(files.configuration.listen)?,
        };
        let operators =
            files.admin.map(acceptor::listen).transpose().map_err(StartError::ListenForOperators)?;
        let gossip = files.configuration.peer_listen.map(|address| GossipSocket::bind(address, shared));
        Ok(Listeners { clients, operators, gossip: gossip.transpose()? })
    }
}

/// The acceptors, whose coroutines are not started yet.
struct Acceptors {
    clients: Acceptor,
    operators: Option<Acceptor>,
}

/// Starts the gateway and handles signals until the process exits.
pub fn serve() -> Result<Infallible, StartError> {
    let inherited = inherited_listener::take()?; // before another descriptor can get the same number
    allocator::return_freed_memory();
    logger::start()?;
    abort_on_panic();
    let files = StartupFiles::read()?;
    logger::configure(files.operator.log.as_ref());
    let signals = signals::install()?;
    configure_runtime();
    let events = Arc::new(EventQueue::new()?);
    let startup = Startup::prepare(inherited, &files, events.clone())?;
    let shared = startup.handover.store.as_ref().map(|store| store.file.clone());
    let signal_loop =
        SignalLoop { signals, events: events.clone(), shared, platform: files.platform.clone() };
    let name = files.configuration.name.clone();
    let listen = files.configuration.listen;
    let admin = files.admin;
    startup.run(files, events)?;
    tracing::info!("{name} is listening for clients on {listen}");
    if let Some(admin) = admin {
        tracing::info!("listening for operators' calls on {admin}");
    }
    signal_loop.run()
}

fn configure_runtime() {
    may::config()
        .set_workers(1)
        .set_stack_size(CONNECTION_STACK_WORDS)
        .set_pool_capacity(STACK_POOL_CAPACITY)
        .set_worker_pin(false);
}

/// The parts of the gateway that are prepared before it serves.
struct Startup {
    /// Maximum number of file descriptors of the process.
    max_descriptors: usize,
    /// Maximum number of customers with an account.
    max_customers: usize,
    /// Maximum number of bytes of the values that wait for earlier replies to their clients.
    max_waiting_value_bytes: usize,
    /// Whether the socket for clients was inherited, so that another process may listen on it too.
    inherited_listener: bool,
    listeners: Listeners,
    handover: Handover,
    shared: AcceptorContext,
}

impl Startup {
    fn prepare(
        inherited: Option<TcpListener>,
        files: &StartupFiles,
        events: Arc<EventQueue>,
    ) -> Result<Startup, StartError> {
        let configuration = &files.configuration;
        let max_descriptors = descriptors::effective_limit(configuration.limits.sockets);
        let memory_bytes = configuration.limits.memory_mb << MEBIBYTE_SHIFT;
        let max_clients = max_clients(max_descriptors);
        let shared = AcceptorContext {
            context: ConnectionContext::new(events.clone(), memory_bytes, max_clients),
            connections: Arc::new(Connections::default()),
            stop_accepting: Arc::new(AtomicBool::new(false)),
        };
        let inherited_listener = inherited.is_some();
        let listeners = Listeners::open(inherited, files)?;
        // Without an inherited listener and operators' calls there is no state to share: operators can't
        // change anything, and no other process takes over.
        let handover = if inherited_listener || files.admin.is_some() {
            SharedStateStore::start(&configuration.name, events)?
        } else {
            Handover::default()
        };
        let max_customers = max_customers(memory_bytes);
        let max_waiting_value_bytes = memory_bytes / WAITING_VALUES_DIVISOR;
        Ok(Startup {
            max_descriptors,
            max_customers,
            max_waiting_value_bytes,
            inherited_listener,
            listeners,
            handover,
            shared,
        })
    }

    /// Starts to serve clients, operators and peers.
    fn run(self, files: StartupFiles, events: Arc<EventQueue>) -> Result<(), StartError> {
        let clock = Clock::start();
        let reducer = self.new_reducer(files, &clock);
        let listeners = self.listeners;
        let acceptors =
            Acceptors::new(listeners.clients, listeners.operators, self.inherited_listener, &self.shared)?;
        let driver = Driver {
            clock,
            context: self.shared.context,
            connections: self.shared.connections,
            gossip: listeners.gossip,
            stop_accepting: self.shared.stop_accepting,
            store: self.handover.store,
        };
        start_driver(driver, acceptors, reducer, events)
    }

    fn new_reducer(&self, files: StartupFiles, clock: &Clock) -> Reducer {
        let configuration = files.configuration;
        let config = ReducerConfig {
            peers: configuration.peers,
            peer_broadcast: configuration.peer_broadcast,
            counter: configuration.counter,
            discovery: configuration.discovery,
            max_descriptors: self.max_descriptors,
            max_customers: self.max_customers,
            max_waiting_value_bytes: self.max_waiting_value_bytes,
            inherited_listener: self.inherited_listener,
            admin_enabled: files.admin.is_some(),
            saves_changes: self.handover.store.is_some(),
        };
        let mut reducer = Reducer::new(clock.now(), files.loaded, config, &configuration.initial_endpoints);
        reducer.update_shared_state(clock.now(), self.handover.shared.clone());
        reducer
            .apply_operator_update(clock.now(), operator::operator_update(files.operator, &files.platform));
        reducer
    }
}

/// Makes a panic abort the process. The runtime would only end the coroutine that panicked, and leave a
/// gateway that does nothing.
fn abort_on_panic() {
    std::panic::set_hook(Box::new(|panic| {
        eprintln!("quillramp: {panic}");
        std::process::abort();
    }));
}

impl Acceptors {
    fn new(
        clients: TcpListener,
        operators: Option<TcpListener>,
        inherited: bool,
        shared: &AcceptorContext,
    ) -> Result<Acceptors, ListenError> {
        let clients = Acceptor::new(clients, ListenerKind::Clients { inherited }, shared.clone())?;
        let operators =
            operators.map(|listener| Acceptor::new(listener, ListenerKind::Operators, shared.clone()));
        Ok(Acceptors { clients, operators: operators.transpose()? })
    }
}

/// Starts the driver's coroutine, which starts all others.
///
/// It is the only coroutine that a thread other than the worker starts. If another thread were suspended
/// while it adds a coroutine to the worker's queue, the worker would spin until the coroutine is added
/// instead of blocking (`may_queue::mpsc`, `BlockNode::get`).
fn start_driver(
    driver: Driver,
    acceptors: Acceptors,
    reducer: Reducer,
    events: Arc<EventQueue>,
) -> Result<(), StartError> {
    let builder = may::coroutine::Builder::new().stack_size(DRIVER_STACK_WORDS);
    may::go!(builder, move || {
        driver.gossip.iter().for_each(|gossip| gossip.start(events.clone()));
        acceptors.clients.start();
        acceptors.operators.into_iter().for_each(Acceptor::start);
        driver.run(reducer)
    })
    .map_err(StartError::Driver)?;
    Ok(())
}
