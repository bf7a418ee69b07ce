//! The kinds of faults, and the fields that a fault of each kind requires.
use clap::ValueEnum;
use serde::{Deserialize, Serialize};

/// What a fault does. Fractions, factors, rates and numbers in the descriptions are the fault's severity.
///
/// Summaries and random draws depend on the order of the variants.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize, ValueEnum)]
pub enum FaultKind {
    // ---- backends
    /// The backend's process crashes. A new process starts after the duration and has to warm up.
    #[serde(rename = "crash")]
    #[value(name = "crash")]
    Crash,
    /// The backend's machine stops responding. After the duration a new process starts, and connections that were open are reset.
    #[serde(rename = "vanish")]
    #[value(name = "vanish")]
    Unresponsive,
    /// The backend takes longer to execute requests, by this factor.
    #[serde(rename = "slow")]
    #[value(name = "slow")]
    Slow,
    /// The backend executes this fraction of requests without replying to them.
    #[serde(rename = "swallow")]
    #[value(name = "swallow")]
    LostResponses,
    /// This fraction of the backend's replies cannot be parsed.
    #[serde(rename = "spoil")]
    #[value(name = "spoil")]
    MalformedResponses,
    /// The backend sends an extra reply, which belongs to no request, after this fraction of replies.
    #[serde(rename = "surplus")]
    #[value(name = "surplus")]
    SurplusResponses,
    /// The backend replies with an error to this fraction of requests.
    #[serde(rename = "err")]
    #[value(name = "err")]
    Errors,
    /// The backend rejects this fraction of requests.
    #[serde(rename = "turn-away")]
    #[value(name = "turn-away")]
    Rejections,
    /// The backend closes the connection after this fraction of replies.
    #[serde(rename = "close-behind")]
    #[value(name = "close-behind")]
    CloseAfterResponse,
    /// The backend truncates this fraction of long values.
    #[serde(rename = "break-off")]
    #[value(name = "break-off")]
    TruncatedValues,
    /// The backend drains for the duration and is then replaced.
    #[serde(rename = "drain")]
    #[value(name = "drain")]
    Drain,
    /// The backend is removed from the endpoint list and stops at once. A new backend with a new name takes over its address.
    #[serde(rename = "replace")]
    #[value(name = "replace")]
    Replace,
    // ---- zones
    /// All backends of the zone crash.
    #[serde(rename = "zone-loss")]
    #[value(name = "zone-loss")]
    ZoneLoss,
    /// The zone's backends are partitioned from the gateway. Bytes sent in either direction arrive after the partition ends.
    #[serde(rename = "zone-cut")]
    #[value(name = "zone-cut")]
    ZonePartition,
    // ---- gateway instances
    /// The instance's processes are killed. A new process starts after the duration.
    #[serde(rename = "kill")]
    #[value(name = "kill")]
    Kill,
    /// The instance is asked to shut down, killed when the shutdown timeout expires, and restarted after the duration.
    #[serde(rename = "term")]
    #[value(name = "term")]
    Terminate,
    /// A process of the next version takes over the instance's listening socket.
    #[serde(rename = "upgrade")]
    #[value(name = "upgrade")]
    Upgrade,
    /// The instance's newest process is suspended.
    #[serde(rename = "stall")]
    #[value(name = "stall")]
    Stall,
    /// An operator ejects the backend at the instance, and readmits it after the duration.
    #[serde(rename = "ban")]
    #[value(name = "ban")]
    EjectBackend,
    /// An operator drains the instance, and puts it back into service after the duration.
    #[serde(rename = "drain-door")]
    #[value(name = "drain-door")]
    DrainInstance,
    /// The instance reloads its configuration, with other addresses of the list service and the counter.
    #[serde(rename = "reload")]
    #[value(name = "reload")]
    ReloadConfiguration,
    /// The instance reloads its operator's file, which declares other limits.
    #[serde(rename = "redeclare")]
    #[value(name = "redeclare")]
    ReloadOperatorFile,
    /// The instance's writes to backends are only partly accepted by the network.
    #[serde(rename = "choke")]
    #[value(name = "choke")]
    WriteBackpressure,
    // ---- the counter
    /// The counter refuses connections.
    #[serde(rename = "counter-down")]
    #[value(name = "counter-down")]
    CounterDown,
    /// The counter does not respond.
    #[serde(rename = "counter-silent")]
    #[value(name = "counter-silent")]
    CounterUnresponsive,
    /// The counter takes longer to handle calls, by this factor.
    #[serde(rename = "counter-slow")]
    #[value(name = "counter-slow")]
    CounterSlow,
    /// The counter loses all totals.
    #[serde(rename = "counter-lost")]
    #[value(name = "counter-lost")]
    CounterReset,
    /// Every other gateway instance reaches a second counter, which starts as a copy of the first. The first counter's totals are
    /// kept at the end, those of the second are lost.
    #[serde(rename = "counter-split")]
    #[value(name = "counter-split")]
    CounterSplit,
    /// This fraction of the counter's responses cannot be parsed.
    #[serde(rename = "counter-spoilt")]
    #[value(name = "counter-spoilt")]
    CounterMalformedResponses,
    /// The counter adds the units of this fraction of calls, but closes the connection instead of responding.
    #[serde(rename = "counter-deaf")]
    #[value(name = "counter-deaf")]
    CounterLostResponses,
    /// The counter rejects this fraction of calls.
    #[serde(rename = "counter-turns-away")]
    #[value(name = "counter-turns-away")]
    CounterRejections,
    // ---- the list service
    /// Changes to the endpoint list arrive later, by the fault's duration.
    #[serde(rename = "list-late")]
    #[value(name = "list-late")]
    DiscoveryDelayed,
    /// The list service does not respond.
    #[serde(rename = "list-down")]
    #[value(name = "list-down")]
    DiscoveryDown,
    /// The list service's responses cannot be parsed.
    #[serde(rename = "list-garbled")]
    #[value(name = "list-garbled")]
    DiscoveryMalformed,
    /// Snapshots have the entries of the time at which the fault started, with the current version number.
    #[serde(rename = "list-stale")]
    #[value(name = "list-stale")]
    DiscoveryStale,
    /// The list service omits this fraction of the backends, as if they had been removed.
    #[serde(rename = "list-shrunk")]
    #[value(name = "list-shrunk")]
    DiscoveryTruncated,
    // ---- the network
    /// Connections are reset at random, at this rate per second.
    #[serde(rename = "resets")]
    #[value(name = "resets")]
    RandomResets,
    /// This fraction of the datagrams between gateway instances is lost.
    #[serde(rename = "peers-lost")]
    #[value(name = "peers-lost")]
    DatagramLoss,
    /// Network delays are longer, by this factor.
    #[serde(rename = "delay")]
    #[value(name = "delay")]
    NetworkDelay,
    // ---- clients
    /// Clients send requests at a higher rate, by this factor.
    #[serde(rename = "burst")]
    #[value(name = "burst")]
    TrafficBurst,
    /// Clients disconnect shortly after sending this fraction of requests, often before the response.
    #[serde(rename = "leave")]
    #[value(name = "leave")]
    EarlyDisconnects,
    /// Clients that send malformed commands connect at this rate per second.
    #[serde(rename = "rude")]
    #[value(name = "rude")]
    MalformedClients,
    /// Clients open this number of connections at once and send nothing on them.
    #[serde(rename = "herd")]
    #[value(name = "herd")]
    IdleConnections,
}

/// What a fault affects.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum FaultTarget {
    /// A backend.
    Backend,
    /// A gateway instance.
    Instance,
    /// A zone.
    Zone,
    /// A gateway instance's use of a backend.
    InstanceAndBackend,
    /// The whole deployment; the fault names no target.
    Global,
}

impl FaultTarget {
    /// Returns whether a fault with this target names a backend.
    pub fn has_backend(self) -> bool {
        matches!(self, FaultTarget::Backend | FaultTarget::InstanceAndBackend)
    }

    /// Returns whether a fault with this target names a gateway instance.
    pub fn has_instance(self) -> bool {
        matches!(self, FaultTarget::Instance | FaultTarget::InstanceAndBackend)
    }

    /// Returns whether a fault with this target names a zone.
    pub fn has_zone(self) -> bool {
        self == FaultTarget::Zone
    }
}

/// The range of values that a fault's severity may have, both bounds included.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SeverityRange {
    /// Minimum severity.
    pub min: f64,
    /// Maximum severity.
    pub max: f64,
}

impl SeverityRange {
    const fn new(min: f64, max: f64) -> Option<SeverityRange> {
        Some(SeverityRange { min, max })
    }
}

impl FaultKind {
    /// Returns all kinds, in the order of their declaration.
    pub fn all() -> impl Iterator<Item = FaultKind> {
        FaultKind::value_variants().iter().copied()
    }

    /// Returns the name of the kind in scenario files.
    pub fn name(self) -> String {
        self.to_possible_value().map_or(String::new(), |value| value.get_name().to_owned())
    }

    /// Returns what a fault of this kind affects.
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

    /// Returns the range of the severity, or `None` if faults of this kind have no severity.
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

    /// Returns whether a fault of this kind takes effect instantly and has no duration.
    pub fn is_instant(self) -> bool {
        use FaultKind::*;
        matches!(
            self,
            Replace | Upgrade | ReloadConfiguration | ReloadOperatorFile | CounterReset | IdleConnections
        )
    }
}
