//! The form of an experiment: its tables and keys, as serde reads them.

use super::defaults;
use crate::fault_proxy::script::Fault;
use serde::{Deserialize, Serialize};

/// A fleet, its load, what happens to it, and the limits of the proxies before it.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Experiment {
    /// Its name; it also names the folder of its results.
    pub name: String,
    /// One line on what it shows.
    #[serde(default)]
    pub about: String,
    /// Seed of all draws.
    #[serde(default = "defaults::seed")]
    pub seed: u64,
    /// How long requests arrive, s.
    pub duration_s: f64,
    /// Proxies that share the traffic.
    #[serde(default = "defaults::proxies")]
    pub proxies: usize,
    /// How many each proxy is told there are, where that figure is stale.
    #[serde(default)]
    pub told_proxies: Option<usize>,
    /// The zones: backends and proxies are dealt out over them in turn.
    #[serde(default = "defaults::zones")]
    pub zones: Vec<String>,
    /// The first of the proxies' ports, two for each; the kernel picks them where it is absent.
    #[serde(default)]
    pub base_port: Option<u16>,
    /// The proxies' operator file, TOML; `{folder}` in it stands for a folder of each proxy's own.
    #[serde(default)]
    pub operator: Option<String>,
    /// How much comes, and when.
    pub load: Load,
    /// The sorts of requests.
    pub class: Vec<Class>,
    /// The machines.
    pub kind: Vec<Kind>,
    /// Where the list of them comes from.
    #[serde(default)]
    pub discovery: DiscoverySpec,
    /// How clients behave.
    #[serde(default)]
    pub clients: Clients,
    /// Whether proxies tell each other what they hold.
    #[serde(default)]
    pub talk: Talk,
    /// The figures that the rules go by.
    #[serde(default)]
    pub rules: Rules,
    /// What a proxy may use.
    #[serde(default)]
    pub limits: Limits,
    /// What happens.
    #[serde(default)]
    pub trouble: Vec<Trouble>,
    /// Faults between proxies and backends: a relay stands before each backend (docs/fault-proxy.md). On sockets only.
    #[serde(default)]
    pub injury: Vec<Fault>,
}

/// How much comes.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Load {
    /// Part of the whole fleet's capacity that is asked for; or else `rps`.
    #[serde(default)]
    pub part: Option<f64>,
    /// First tries a second, over all proxies.
    #[serde(default)]
    pub rps: Option<f64>,
    /// Times from which the load is multiplied.
    #[serde(default)]
    pub phase: Vec<Phase>,
}

/// A stretch of the load.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Phase {
    /// Its beginning, s.
    pub at_s: f64,
    /// Multiple of the load.
    pub factor: f64,
    /// The multiple is reached in a straight line over this time, s.
    #[serde(default)]
    pub over_s: f64,
}

/// A sort of requests.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Class {
    /// The first part of the path.
    pub name: String,
    /// Whether a repeat does harm.
    pub effect: Effect,
    /// Its part of all arrivals, against the others'.
    pub share: f64,
    /// Answers earn full worth until then, ms.
    pub aim_ms: f64,
    /// Clients wait so long, ms.
    pub deadline_ms: f64,
    /// Worth of an answer in time.
    #[serde(default = "defaults::one")]
    pub worth: f64,
    /// Part of the worth of an answer after the aim.
    #[serde(default)]
    pub late_worth: f64,
    /// Mean work, core-ms on a standard core; exponential around it.
    pub work_ms: f64,
    /// Bytes of an answer.
    #[serde(default = "defaults::answer_bytes")]
    pub answer_bytes: usize,
    /// Bytes of a request's body, for a class that is not free.
    #[serde(default = "defaults::body_bytes")]
    pub body_bytes: usize,
}

/// Whether a repeat does harm.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Effect {
    /// It may run any number of times.
    Free,
    /// It must never run twice.
    SingleShot,
}

/// A sort of machines.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Kind {
    /// Its name in the list.
    pub name: String,
    /// How many there are.
    pub count: usize,
    /// Cores of one.
    #[serde(default = "defaults::one")]
    pub cores: f64,
    /// Speed of a core against a standard one.
    #[serde(default = "defaults::one")]
    pub speed: f64,
    /// Requests that run at once.
    #[serde(default = "defaults::slots")]
    pub slots: usize,
    /// Requests that wait for a slot.
    #[serde(default = "defaults::slots")]
    pub room: usize,
    /// Part of its speed that it loses when the room is full.
    #[serde(default)]
    pub drag: f64,
    /// Connections that one holds.
    #[serde(default = "defaults::connections")]
    pub connections: u32,
    /// Work of a new connection, core-ms.
    #[serde(default = "defaults::handshake_ms")]
    pub handshake_ms: f64,
    /// Keys that one remembers.
    #[serde(default = "defaults::keys")]
    pub keys: usize,
    /// A new key multiplies the work.
    #[serde(default = "defaults::one")]
    pub miss: f64,
}

/// Where the list comes from.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct DiscoverySpec {
    /// How late it hears of changes, ms.
    pub lag_ms: f64,
    /// It notices a dead backend after this time, ms.
    pub detect_ms: f64,
    /// What a call takes it; calls are handled in turn, ms.
    pub call_ms: f64,
    /// ... and for each line that it tells, us.
    pub line_us: f64,
    /// The platform hands each proxy the whole list at its start; where not, as after a loss of power of the
    /// platform itself, a proxy knows only what it kept.
    pub handed: bool,
}

impl Default for DiscoverySpec {
    fn default() -> DiscoverySpec {
        DiscoverySpec { lag_ms: 200.0, detect_ms: 2000.0, call_ms: 0.2, line_us: 0.0, handed: true }
    }
}

/// Whether proxies tell each other what they hold; in virtual time only.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct Talk {
    /// How often, ms; 0 where they do not talk.
    pub every_ms: f64,
    /// How old what is told is, ms.
    pub lag_ms: f64,
}

/// How clients behave.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct Clients {
    /// Tries that a client makes for one thing it wants, the first included.
    pub tries: u32,
    /// Pause before a further try, where no time was advised, ms.
    pub pause_ms: f64,
    /// Part of the clients that leave early.
    pub impatient: f64,
    /// Different keys.
    pub keys: usize,
    /// Exponent of Zipf's law over them.
    pub zipf: f64,
    /// A dead proxy gets no new connections for so long, ms.
    pub shun_ms: f64,
    /// Proxies get unequal parts: a proxy's falls with its number, from 1, to this power.
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

/// The figures that the rules go by.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct Rules {
    /// Part of its capacity with which a backend starts.
    pub cold_from: f64,
    /// It is warm after this time, ms.
    pub ramp_ms: f64,
    /// More than this multiple of what a cold backend can do ...
    pub fall_multiple: f64,
    /// ... over this time is too much, ms.
    pub fall_window_ms: f64,
    /// A backend that drains gets nothing new after this time, ms.
    pub drain_grace_ms: f64,
    /// An answer after its deadline still counts for so long, ms.
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

/// What a proxy may use.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct Limits {
    /// Attempts for a request.
    pub attempts: u32,
    /// Descriptors that it is told of and held to.
    pub sockets: usize,
    /// Memory that it is told of, MB.
    pub memory_mb: usize,
}

impl Default for Limits {
    fn default() -> Limits {
        Limits { attempts: 3, sockets: 1024, memory_mb: 192 }
    }
}

/// Something that happens.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Trouble {
    /// When, s.
    pub at_s: f64,
    /// What.
    pub what: What,
    /// To which part of the fleet, drawn at random; or one `kind`, one `zone`, or one `proxy`.
    #[serde(default)]
    pub part: Option<f64>,
    /// To the machines of that kind.
    #[serde(default)]
    pub kind: Option<String>,
    /// To the machines of that zone.
    #[serde(default)]
    pub zone: Option<String>,
    /// Troubles of the same name meet the same machines, where part, kind and zone are the same too.
    #[serde(default)]
    pub who: Option<String>,
    /// To that proxy, from 0.
    #[serde(default)]
    pub proxy: Option<usize>,
    /// It lasts so long, s; for ever where absent.
    #[serde(default)]
    pub for_s: Option<f64>,
    /// The part of its speed that a slowed backend keeps; or the discovery's lag as a multiple.
    #[serde(default)]
    pub factor: Option<f64>,
}

/// What may happen.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum What {
    /// Backends die; they come back cold.
    Kill,
    /// Backends drain and go; they come back cold.
    Drain,
    /// Backends keep a part of their speed.
    Slow,
    /// What all share keeps a part of its speed.
    SharedSlow,
    /// Machines go silent.
    Hang,
    /// Operators take backends out.
    Cordon,
    /// Discovery answers no call.
    DiscoveryDown,
    /// Discovery hears later, by a multiple.
    DiscoveryLag,
    /// A proxy is killed, and started again.
    KillProxy,
    /// A proxy is told to stop, and started again.
    RestartProxy,
    /// A proxy reads its configuration anew.
    Reload,
}
