//! The kinds of faults, and what a fault of each kind needs.
use clap::ValueEnum;
use serde::{Deserialize, Serialize};

/// What a fault does. The order is that of summaries and of random draws.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize, ValueEnum)]
pub enum FaultKind {
    // ---- backends
    /// Its process crashes, and a new one starts, which has to warm up.
    #[serde(rename = "crash")]
    #[value(name = "crash")]
    Crash,
    /// Its machine does not react; a new process starts then, and what was open is reset.
    #[serde(rename = "vanish")]
    #[value(name = "vanish")]
    Unresponsive,
    /// It is so many times slower.
    #[serde(rename = "slow")]
    #[value(name = "slow")]
    Slow,
    /// That fraction of requests is executed and never replied to.
    #[serde(rename = "swallow")]
    #[value(name = "swallow")]
    LostResponses,
    /// That fraction of replies can't be parsed.
    #[serde(rename = "spoil")]
    #[value(name = "spoil")]
    MalformedResponses,
    /// That fraction of replies is followed by one that belongs to nothing.
    #[serde(rename = "surplus")]
    #[value(name = "surplus")]
    SurplusResponses,
    /// That fraction of requests fails.
    #[serde(rename = "err")]
    #[value(name = "err")]
    Errors,
    /// That fraction of requests is rejected.
    #[serde(rename = "turn-away")]
    #[value(name = "turn-away")]
    Rejections,
    /// That fraction of replies is followed by the end of the connection.
    #[serde(rename = "close-behind")]
    #[value(name = "close-behind")]
    CloseAfterResponse,
    /// That fraction of long values is truncated.
    #[serde(rename = "break-off")]
    #[value(name = "break-off")]
    TruncatedValues,
    /// It drains, then it is replaced.
    #[serde(rename = "drain")]
    #[value(name = "drain")]
    Drain,
    /// It is removed from the endpoint list at once and ends; a new one under a new name takes its address.
    #[serde(rename = "replace")]
    #[value(name = "replace")]
    Replace,
    // ---- zones
    /// All backends of a zone crash.
    #[serde(rename = "zone-loss")]
    #[value(name = "zone-loss")]
    ZoneLoss,
    /// That zone's backends can't be reached: what is sent to them arrives afterwards.
    #[serde(rename = "zone-cut")]
    #[value(name = "zone-cut")]
    ZonePartition,
    // ---- gateway instances
    /// Its processes are killed, and one starts after the duration.
    #[serde(rename = "kill")]
    #[value(name = "kill")]
    Kill,
    /// It is asked to shut down, killed when its time is over, and starts again.
    #[serde(rename = "term")]
    #[value(name = "term")]
    Terminate,
    /// The next version takes over its listening socket.
    #[serde(rename = "upgrade")]
    #[value(name = "upgrade")]
    Upgrade,
    /// Its process stands still.
    #[serde(rename = "stall")]
    #[value(name = "stall")]
    Stall,
    /// An operator ejects a backend, and readmits it when the time is over.
    #[serde(rename = "ban")]
    #[value(name = "ban")]
    EjectBackend,
    /// An operator drains it, and ends that.
    #[serde(rename = "drain-door")]
    #[value(name = "drain-door")]
    DrainInstance,
    /// Its configuration names other addresses of the discovery service and the counter.
    #[serde(rename = "reload")]
    #[value(name = "reload")]
    ReloadConfiguration,
    /// Its operator's file is read again, and declares other limits.
    #[serde(rename = "redeclare")]
    #[value(name = "redeclare")]
    ReloadOperatorFile,
    /// The network takes little of what it writes to backends.
    #[serde(rename = "choke")]
    #[value(name = "choke")]
    WriteBackpressure,
    // ---- the counter
    /// Connections are refused.
    #[serde(rename = "counter-down")]
    #[value(name = "counter-down")]
    CounterDown,
    /// It does not react.
    #[serde(rename = "counter-silent")]
    #[value(name = "counter-silent")]
    CounterUnresponsive,
    /// It is so many times slower.
    #[serde(rename = "counter-slow")]
    #[value(name = "counter-slow")]
    CounterSlow,
    /// All totals are lost.
    #[serde(rename = "counter-lost")]
    #[value(name = "counter-lost")]
    CounterReset,
    /// Every other gateway instance meets another counter, which starts as a copy; afterwards the first one's totals hold.
    #[serde(rename = "counter-split")]
    #[value(name = "counter-split")]
    CounterSplit,
    /// That fraction of responses can't be parsed.
    #[serde(rename = "counter-spoilt")]
    #[value(name = "counter-spoilt")]
    CounterMalformedResponses,
    /// That fraction of calls is added, and the connection ends before the response.
    #[serde(rename = "counter-deaf")]
    #[value(name = "counter-deaf")]
    CounterLostResponses,
    /// That fraction of calls is rejected.
    #[serde(rename = "counter-turns-away")]
    #[value(name = "counter-turns-away")]
    CounterRejections,
    // ---- the discovery service
    /// Changes are late by the fault's duration.
    #[serde(rename = "list-late")]
    #[value(name = "list-late")]
    DiscoveryDelayed,
    /// It does not respond.
    #[serde(rename = "list-down")]
    #[value(name = "list-down")]
    DiscoveryDown,
    /// Its responses can't be parsed.
    #[serde(rename = "list-garbled")]
    #[value(name = "list-garbled")]
    DiscoveryMalformed,
    /// It presents what it knew when this began as if it were new.
    #[serde(rename = "list-stale")]
    #[value(name = "list-stale")]
    DiscoveryStale,
    /// It leaves out that fraction of the backends, as if they had been removed.
    #[serde(rename = "list-shrunk")]
    #[value(name = "list-shrunk")]
    DiscoveryTruncated,
    // ---- the network
    /// So many connections a second are reset, whatever is on them.
    #[serde(rename = "resets")]
    #[value(name = "resets")]
    RandomResets,
    /// That fraction of the datagrams between gateway instances is lost.
    #[serde(rename = "peers-lost")]
    #[value(name = "peers-lost")]
    DatagramLoss,
    /// Everything takes so many times longer.
    #[serde(rename = "delay")]
    #[value(name = "delay")]
    NetworkDelay,
    // ---- clients
    /// Requests come at so many times the usual rate.
    #[serde(rename = "burst")]
    #[value(name = "burst")]
    TrafficBurst,
    /// That fraction of clients disconnects before the response.
    #[serde(rename = "leave")]
    #[value(name = "leave")]
    EarlyDisconnects,
    /// So many clients a second send what can't be parsed.
    #[serde(rename = "rude")]
    #[value(name = "rude")]
    MalformedClients,
    /// So many new connections at once, on which nothing is sent.
    #[serde(rename = "herd")]
    #[value(name = "herd")]
    IdleConnections,
}

/// Whom a fault strikes.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum FaultTarget {
    /// A backend.
    Backend,
    /// A gateway instance.
    Instance,
    /// A zone.
    Zone,
    /// A gateway instance, in its dealings with a backend.
    InstanceAndBackend,
    /// No one in particular.
    Global,
}

impl FaultTarget {
    /// Whether a fault names a backend.
    pub fn has_backend(self) -> bool {
        matches!(self, FaultTarget::Backend | FaultTarget::InstanceAndBackend)
    }

    /// Whether a fault names a gateway instance.
    pub fn has_instance(self) -> bool {
        matches!(self, FaultTarget::Instance | FaultTarget::InstanceAndBackend)
    }

    /// Whether a fault names a zone.
    pub fn has_zone(self) -> bool {
        self == FaultTarget::Zone
    }
}

/// What a fault's severity may be.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SeverityRange {
    /// At least.
    pub min: f64,
    /// At most.
    pub max: f64,
}

impl SeverityRange {
    const fn new(min: f64, max: f64) -> Option<SeverityRange> {
        Some(SeverityRange { min, max })
    }
}

impl FaultKind {
    /// All kinds, in their order.
    pub fn all() -> impl Iterator<Item = FaultKind> {
        FaultKind::value_variants().iter().copied()
    }

    /// The name in scenario files.
    pub fn name(self) -> String {
        self.to_possible_value().map_or(String::new(), |value| value.get_name().to_owned())
    }

    /// Whom a fault of this kind strikes.
    pub fn target(self) -> FaultTarget {
        use FaultKind::*;
        match self {
            Crash | Unresponsive | Slow | LostResponses | MalformedResponses | SurplusResponses | Errors
            | Rejections | CloseAfterResponse | TruncatedValues | Drain | Replace => FaultTarget::Backend,
            ZoneLoss | ZonePartition => FaultTarget::Zone,
            Kill | Terminate | Upgrade | Stall | DrainInstance | ReloadConfiguration | ReloadOperatorFile
            | WriteBackpressure => FaultTarget::Instance,
            EjectBackend => FaultTarget::InstanceAndBackend,
            _ => FaultTarget::Global,
        }
    }

    /// What the severity may be; none where the kind has no use for one.
    pub fn severity_range(self) -> Option<SeverityRange> {
        use FaultKind::*;
        match self {
            LostResponses
            | MalformedResponses
            | SurplusResponses
            | Errors
            | Rejections
            | CloseAfterResponse
            | TruncatedValues
            | CounterMalformedResponses
            | CounterLostResponses
            | CounterRejections
            | DiscoveryTruncated
            | DatagramLoss
            | EarlyDisconnects => SeverityRange::new(0.0, 1.0),
            Slow | CounterSlow | NetworkDelay => SeverityRange::new(1.0, 100.0),
            TrafficBurst => SeverityRange::new(1.0, 10.0),
            RandomResets | MalformedClients => SeverityRange::new(0.1, 200.0),
            IdleConnections => SeverityRange::new(1.0, 500.0),
            _ => None,
        }
    }

    /// Whether it is over at once.
    pub fn is_instant(self) -> bool {
        use FaultKind::*;
        matches!(
            self,
            Replace | Upgrade | ReloadConfiguration | ReloadOperatorFile | CounterReset | IdleConnections
        )
    }
}
