//! The tables and keys of an experiment, as read by serde.

use super::defaults;
use crate::fault_proxy::script::Fault;
use serde::{Deserialize, Serialize};

/// A fleet of backends, its load, the troubles it meets, and the limits of the proxies in front of it.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Experiment {
    /// Name of the experiment and of the folder of its results.
    pub name: String,
    /// One-line description of what the experiment shows.
    #[serde(default)]
    pub about: String,
    /// Seed of all random draws.
    #[serde(default = "defaults::seed")]
    pub seed: u64,
    /// Time during which requests arrive, s.
    pub duration_s: f64,
    /// Proxies that share the traffic.
    #[serde(default = "defaults::proxies")]
    pub proxies: usize,
    /// Number of proxies in each proxy's configuration, to simulate a stale value.
    #[serde(default)]
    pub told_proxies: Option<usize>,
    /// The zones, to which backends and proxies are assigned in turn.
    #[serde(default = "defaults::zones")]
    pub zones: Vec<String>,
    /// First of the proxies' ports, two for each proxy; if absent, the kernel picks them.
    #[serde(default)]
    pub base_port: Option<u16>,
    /// Operator file of the proxies, TOML; `{folder}` in it stands for a separate folder of each proxy.
    #[serde(default)]
    pub operator: Option<String>,
    /// The load over time.
    pub load: Load,
    /// The classes of requests.
    pub class: Vec<Class>,
    /// The kinds of machines.
    pub kind: Vec<Kind>,
    /// The service that sends the list of backends.
    #[serde(default)]
    pub discovery: DiscoverySpec,
    /// The behaviour of clients.
    #[serde(default)]
    pub clients: Clients,
    /// The exchange of load reports between proxies.
    #[serde(default)]
    pub talk: Talk,
    /// The parameters of the rules.
    #[serde(default)]
    pub rules: Rules,
    /// The limits of a proxy.
    #[serde(default)]
    pub limits: Limits,
    /// Events that disturb the run.
    #[serde(default)]
    pub trouble: Vec<Trouble>,
    /// Faults between proxies and backends, injected by a relay in front of each backend (docs/fault-proxy.md).
    /// On sockets only.
    #[serde(default)]
    pub injury: Vec<Fault>,
}

/// The load over time.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Load {
    /// Load as a part of the whole fleet's capacity; either this or `rps`.
    #[serde(default)]
    pub part: Option<f64>,
    /// First tries a second over all proxies.
    #[serde(default)]
    pub rps: Option<f64>,
    /// Changes of the load over time.
    #[serde(default)]
    pub phase: Vec<Phase>,
}

/// A phase of the load.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Phase {
    /// Start of the phase, s.
    pub at_s: f64,
    /// Multiple of the base load.
    pub factor: f64,
    /// Time over which the load changes linearly to the multiple, s.
    #[serde(default)]
    pub over_s: f64,
}

/// A class of requests.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Class {
    /// Name of the class, the first part of the path.
    pub name: String,
    /// Whether a request may run more than once.
    pub effect: Effect,
    /// Weight of the class among all arrivals.
    pub share: f64,
    /// Time within which an answer earns its full worth, ms.
    pub aim_ms: f64,
    /// Time that clients wait for an answer, ms.
    pub deadline_ms: f64,
    /// Worth of an answer within the aim.
    #[serde(default = "defaults::one")]
    pub worth: f64,
    /// Part of the worth that an answer after the aim earns.
    #[serde(default)]
    pub late_worth: f64,
    /// Mean of the exponentially distributed work, core-ms on a standard core.
    pub work_ms: f64,
    /// Size of an answer, bytes.
    #[serde(default = "defaults::answer_bytes")]
    pub answer_bytes: usize,
    /// Size of a request's body, bytes, for a class whose effect is not `free`.
    #[serde(default = "defaults::body_bytes")]
    pub body_bytes: usize,
}

/// Whether a request may run more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Effect {
    /// A request may run any number of times.
    Free,
    /// A request must never run twice.
    SingleShot,
}

/// A kind of machine.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Kind {
    /// Name of the kind in the list of backends.
    pub name: String,
    /// Number of machines.
    pub count: usize,
    /// Cores of a machine.
    #[serde(default = "defaults::one")]
    pub cores: f64,
    /// Speed of a core relative to a standard one.
    #[serde(default = "defaults::one")]
    pub speed: f64,
    /// Requests that run at the same time.
    #[serde(default = "defaults::slots")]
    pub slots: usize,
    /// Requests that may wait for a slot.
    #[serde(default = "defaults::slots")]
    pub room: usize,
    /// Part of its speed that a machine loses when `room` is full.
    #[serde(default)]
    pub drag: f64,
    /// Largest number of connections of a machine.
    #[serde(default = "defaults::connections")]
    pub connections: u32,
    /// Work of a new connection, core-ms.
    #[serde(default = "defaults::handshake_ms")]
    pub handshake_ms: f64,
    /// Number of keys in a machine's cache.
    #[serde(default = "defaults::keys")]
    pub keys: usize,
    /// Multiple of the work for a key that is not in the cache.
    #[serde(default = "defaults::one")]
    pub miss: f64,
}

/// The service that sends the list of backends.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct DiscoverySpec {
    /// Delay until it learns of a change, ms.
    pub lag_ms: f64,
    /// Delay until it detects a dead backend, ms.
    pub detect_ms: f64,
    /// Time to handle a call, ms; calls are handled one at a time.
    pub call_ms: f64,
    /// Additional time for each line of an answer, us.
    pub line_us: f64,
    /// Whether the platform gives each proxy the whole list at its start. If not, as after a power loss of the
    /// platform itself, a proxy knows only what it has stored.
    pub handed: bool,
}

impl Default for DiscoverySpec {
    fn default() -> DiscoverySpec {
        DiscoverySpec { lag_ms: 200.0, detect_ms: 2000.0, call_ms: 0.2, line_us: 0.0, handed: true }
    }
}

/// The exchange of load reports between proxies; in virtual time only.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct Talk {
    /// Interval of the reports, ms; 0 for none.
    pub every_ms: f64,
    /// Age of a report on arrival, ms.
    pub lag_ms: f64,
}

/// The behaviour of clients.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct Clients {
    /// Largest number of tries for one request of a client, including the first.
    pub tries: u32,
    /// Pause before another try if the answer advised none, ms.
    pub pause_ms: f64,
    /// Part of the clients that give up early.
    pub impatient: f64,
    /// Number of different keys.
    pub keys: usize,
    /// Exponent of the Zipf distribution of the keys.
    pub zipf: f64,
    /// Time for which a dead proxy gets no new connections, ms.
    pub shun_ms: f64,
    /// Exponent of unequal traffic: the part of a proxy falls with its number, from 1, to this power.
    pub skew: f64,
}

impl Default for Clients {
    fn default() -> Clients {
        Clients {
            tries: 3,
            pause_ms: 100.0,
            impatient: 0.0,
            keys: 5000,
            zipf: 0.9,
            shun_ms: 1000.0,
            skew: 0.0,
        }
    }
}

/// The parameters of the rules.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct Rules {
    /// Part of its capacity that a backend has at its start.
    pub cold_from: f64,
    /// Time until a backend is warm, ms.
    pub ramp_ms: f64,
    /// Largest allowed multiple of a cold backend's capacity ...
    pub fall_multiple: f64,
    /// ... over a window of this length, ms.
    pub fall_window_ms: f64,
    /// Time after which a draining backend must get no new requests, ms.
    pub drain_grace_ms: f64,
    /// Time after its deadline for which an answer still counts, ms.
    pub answer_slack_ms: f64,
}

impl Default for Rules {
    fn default() -> Rules {
        Rules {
            cold_from: 0.3,
            ramp_ms: 6000.0,
            fall_multiple: 2.5,
            fall_window_ms: 2000.0,
            drain_grace_ms: 500.0,
            answer_slack_ms: 70.0,
        }
    }
}

/// The limits of a proxy.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct Limits {
    /// Largest number of attempts for a request.
    pub attempts: u32,
    /// Limit of descriptors, both configured and enforced.
    pub sockets: usize,
    /// Configured limit of memory, MB; not enforced.
    pub memory_mb: usize,
}

impl Default for Limits {
    fn default() -> Limits {
        Limits { attempts: 3, sockets: 1024, memory_mb: 192 }
    }
}

/// An event that disturbs the run.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Trouble {
    /// Time of the event, s.
    pub at_s: f64,
    /// The kind of event.
    pub what: TroubleKind,
    /// Part of the fleet that it affects, drawn at random; or one `kind`, one `zone`, or one `proxy`.
    #[serde(default)]
    pub part: Option<f64>,
    /// The kind of machines that it affects.
    #[serde(default)]
    pub kind: Option<String>,
    /// The zone whose machines it affects.
    #[serde(default)]
    pub zone: Option<String>,
    /// Name of the choice of machines: troubles with equal name, part, kind and zone affect the same machines.
    #[serde(default)]
    pub who: Option<String>,
    /// Number of the proxy that it affects, from 0.
    #[serde(default)]
    pub proxy: Option<usize>,
    /// Duration, s; permanent if absent.
    #[serde(default)]
    pub for_s: Option<f64>,
    /// The part of its speed that a slowed backend keeps, or the multiple of the discovery's lag.
    #[serde(default)]
    pub factor: Option<f64>,
}

/// A kind of event.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum TroubleKind {
    /// Backends die, and return cold.
    Kill,
    /// Backends drain and leave, and return cold.
    Drain,
    /// Backends slow down to a part of their speed.
    Slow,
    /// A resource shared by all backends slows down to a part of its speed.
    SharedSlow,
    /// Machines stop responding.
    Hang,
    /// Operators cordon backends.
    Cordon,
    /// Discovery answers no call.
    DiscoveryDown,
    /// Discovery learns of changes later, by a multiple.
    DiscoveryLag,
    /// A proxy is killed and started again.
    KillProxy,
    /// A proxy is asked to stop and started again.
    RestartProxy,
    /// A proxy reloads its configuration.
    Reload,
}
