//! Experiments: what an operator of the lab writes down, as TOML. docs/lab.md lists every key.

use crate::relay::script::{Fault, Framing, Route, Script, ScriptError};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::path::Path;
use thiserror::Error;

/// Why an experiment cannot be played.
#[derive(Debug, Error)]
pub enum ExperimentError {
    /// The file cannot be read.
    #[error("{0}: {1}")]
    Unreadable(String, std::io::Error),
    /// It is no TOML, or not of this form; the text says where.
    #[error("{0}: {1}")]
    Malformed(String, toml::de::Error),
    /// An injury makes no sense.
    #[error(transparent)]
    Injury(#[from] ScriptError),
    /// A value makes no sense.
    #[error("{0}: {1}: expected {2}")]
    Value(String, String, &'static str),
}

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
    #[serde(default = "one")]
    pub seed: u64,
    /// How long requests arrive, s.
    pub duration_s: f64,
    /// Proxies that share the traffic.
    #[serde(default = "three")]
    pub proxies: usize,
    /// How many each proxy is told there are, where that figure is stale.
    #[serde(default)]
    pub told_proxies: Option<usize>,
    /// The zones: backends and proxies are dealt out over them in turn.
    #[serde(default = "east")]
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
    /// Faults between proxies and backends: a relay stands before each backend (docs/relay.md). On sockets only.
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
    #[serde(default = "unit")]
    pub worth: f64,
    /// Part of the worth of an answer after the aim.
    #[serde(default)]
    pub late_worth: f64,
    /// Mean work, core-ms on a standard core; exponential around it.
    pub work_ms: f64,
    /// Bytes of an answer.
    #[serde(default = "answer_bytes")]
    pub answer_bytes: usize,
    /// Bytes of a request's body, for a class that is not free.
    #[serde(default = "body_bytes")]
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
    #[serde(default = "unit")]
    pub cores: f64,
    /// Speed of a core against a standard one.
    #[serde(default = "unit")]
    pub speed: f64,
    /// Requests that run at once.
    #[serde(default = "slots")]
    pub slots: usize,
    /// Requests that wait for a slot.
    #[serde(default = "slots")]
    pub room: usize,
    /// Part of its speed that it loses when the room is full.
    #[serde(default)]
    pub drag: f64,
    /// Connections that one holds.
    #[serde(default = "connections")]
    pub connections: u32,
    /// Work of a new connection, core-ms.
    #[serde(default = "handshake")]
    pub handshake_ms: f64,
    /// Keys that one remembers.
    #[serde(default = "keys")]
    pub keys: usize,
    /// A new key multiplies the work.
    #[serde(default = "unit")]
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

fn one() -> u64 {
    1
}
fn three() -> usize {
    3
}
fn east() -> Vec<String> {
    vec!["east".into()]
}
fn unit() -> f64 {
    1.0
}
fn slots() -> usize {
    16
}
fn answer_bytes() -> usize {
    512
}
fn body_bytes() -> usize {
    200
}
fn connections() -> u32 {
    256
}
fn handshake() -> f64 {
    1.0
}
fn keys() -> usize {
    1000
}

/// The script of the relays before backends that listen there: `backend-0` and so on.
pub fn relayed(experiment: &Experiment, backends: impl IntoIterator<Item = SocketAddr>) -> Script {
    let route = |(number, to)| Route {
        name: format!("backend-{number}"),
        listen: ([127, 0, 0, 1], 0).into(),
        to,
        frame: Framing::Http,
        fault: experiment.injury.clone(),
    };
    Script { seed: experiment.seed, route: backends.into_iter().enumerate().map(route).collect() }
}

impl Experiment {
    /// Reads and checks a file. Where it names another as `extends`, beside it, what it does not say itself is as
    /// there, and so on down: a table or an array that it has replaces the other's.
    ///
    /// # Errors
    /// A file that cannot be read, a chain of more than eight files, or the first thing that is wrong.
    pub fn load(path: &Path) -> Result<Experiment, ExperimentError> {
        Experiment::of_table(&path.display().to_string(), Experiment::table(path, 8)?)
    }

    /// Reads and checks a table of keys; `name` is where it came from.
    ///
    /// # Errors
    /// The first thing that is wrong.
    pub fn of_table(name: &str, whole: toml::Table) -> Result<Experiment, ExperimentError> {
        let it = Experiment::deserialize(whole).map_err(|e| ExperimentError::Malformed(name.into(), e))?;
        it.checked(name)
    }

    /// A file with all that it extends; `depth` files more at most, so that a loop of them ends.
    fn table(path: &Path, depth: usize) -> Result<toml::Table, ExperimentError> {
        let name = path.display().to_string();
        let text = std::fs::read_to_string(path).map_err(|e| ExperimentError::Unreadable(name.clone(), e))?;
        let mut own: toml::Table = text.parse().map_err(|e| ExperimentError::Malformed(name.clone(), e))?;
        let Some(base) = own.remove("extends") else { return Ok(own) };
        let wrong = |what| ExperimentError::Value(name.clone(), "extends".into(), what);
        let base = base.as_str().ok_or_else(|| wrong("the name of a file beside this one"))?;
        let next = depth.checked_sub(1).ok_or_else(|| wrong("a chain of eight files at most"))?;
        let mut whole = Experiment::table(&path.with_file_name(base), next)?;
        whole.extend(own);
        Ok(whole)
    }

    /// Reads and checks a text; `name` is where it came from.
    pub fn parse(name: &str, text: &str) -> Result<Experiment, ExperimentError> {
        let it: Experiment = toml::from_str(text).map_err(|e| ExperimentError::Malformed(name.into(), e))?;
        it.checked(name)
    }

    fn checked(self, name: &str) -> Result<Experiment, ExperimentError> {
        let script = relayed(&self, [([127, 0, 0, 1], 1).into()]);
        script.check(name).map_err(|e| match e {
            ScriptError::Value(at, what) => ScriptError::Value(at.replace("route[0].fault", "injury"), what),
            other => other,
        })?;
        match self.fault() {
            None => Ok(self),
            Some((key, expected)) => Err(ExperimentError::Value(name.into(), key, expected)),
        }
    }

    /// The first value that makes no sense, and what was expected of it.
    fn fault(&self) -> Option<(String, &'static str)> {
        let above =
            |key: &str, n: f64| (!(n.is_finite() && n > 0.0)).then(|| (key.to_string(), "a number above 0"));
        let part = |key: String, n: f64| (!(0.0..=1.0).contains(&n)).then_some((key, "a number from 0 to 1"));
        let whole = |key: String, n: usize| (n == 0).then_some((key, "1 or more"));
        let first = above("duration_s", self.duration_s)
            .or_else(|| whole("proxies".into(), self.proxies))
            .or_else(|| whole("class".into(), self.class.len()))
            .or_else(|| whole("kind".into(), self.kind.len()))
            .or_else(|| whole("zones".into(), self.zones.len()))
            .or_else(|| self.told_proxies.and_then(|n| whole("told_proxies".into(), n)))
            .or_else(|| whole("clients.tries".into(), self.clients.tries as usize))
            .or_else(|| {
                (!(0.0..=8.0).contains(&self.clients.skew)).then(|| ("clients.skew".into(), "from 0 to 8"))
            })
            .or_else(|| {
                let sound = |ms: f64| (0.0..=60_000.0).contains(&ms);
                (!sound(self.talk.every_ms) || !sound(self.talk.lag_ms))
                    .then(|| ("talk".into(), "every_ms and lag_ms from 0 to 60000"))
            })
            .or_else(|| part("rules.cold_from".into(), self.rules.cold_from))
            .or_else(|| part("clients.impatient".into(), self.clients.impatient));
        let load = || match (self.load.part, self.load.rps) {
            (Some(n), None) | (None, Some(n)) => above("load", n),
            _ => Some(("load".into(), "either part or rps")),
        };
        let classes = || {
            self.class.iter().enumerate().find_map(|(i, c)| {
                let key = |name: &str| format!("class[{i}].{name}");
                let twice = self.class[..i].iter().any(|o| o.name == c.name);
                let bad =
                    c.name.is_empty() || !c.name.bytes().all(|b| b.is_ascii_alphanumeric() || b == b'-');
                above(&key("work_ms"), c.work_ms)
                    .or_else(|| above(&key("share"), c.share))
                    .or_else(|| above(&key("aim_ms"), c.aim_ms))
                    .or_else(|| {
                        (c.deadline_ms < c.aim_ms).then(|| (key("deadline_ms"), "no less than aim_ms"))
                    })
                    .or_else(|| twice.then(|| (key("name"), "a name of its own")))
                    .or_else(|| bad.then(|| (key("name"), "letters, digits and hyphens")))
                    .or_else(|| {
                        (c.answer_bytes.max(c.body_bytes) > 65536)
                            .then(|| (key("answer_bytes"), "65536 at most"))
                    })
            })
        };
        let kinds = || {
            self.kind.iter().enumerate().find_map(|(i, k)| {
                let key = |name: &str| format!("kind[{i}].{name}");
                above(&key("cores"), k.cores)
                    .or_else(|| above(&key("speed"), k.speed))
                    .or_else(|| whole(key("count"), k.count))
                    .or_else(|| whole(key("slots"), k.slots))
                    .or_else(|| part(key("drag"), k.drag))
            })
        };
        let troubles = || {
            self.trouble.iter().enumerate().find_map(|(i, t)| {
                let key = |name: &str| format!("trouble[{i}].{name}");
                let kind = t.kind.as_ref().filter(|k| !self.kind.iter().any(|own| own.name == **k));
                let proxied = matches!(t.what, What::KillProxy | What::RestartProxy | What::Reload);
                let proxy = proxied && t.proxy.is_none_or(|p| p >= self.proxies);
                let slowed = matches!(t.what, What::Slow | What::SharedSlow | What::DiscoveryLag);
                let zone = t.zone.as_ref().filter(|z| !self.zones.contains(z));
                kind.map(|_| (key("kind"), "the name of a kind"))
                    .or_else(|| zone.map(|_| (key("zone"), "one of zones")))
                    .or_else(|| proxy.then(|| (key("proxy"), "the number of a proxy, from 0")))
                    .or_else(|| (slowed && t.factor.is_none()).then(|| (key("factor"), "a number")))
                    .or_else(|| t.part.and_then(|n| part(key("part"), n)))
                    .or_else(|| (t.at_s < 0.0).then(|| (key("at_s"), "0 or more")))
            })
        };
        first.or_else(load).or_else(classes).or_else(kinds).or_else(troubles)
    }

    /// Core-seconds a second that the whole fleet can do, warm.
    pub fn capacity(&self) -> f64 {
        self.kind.iter().map(|k| k.count as f64 * k.cores * k.speed).sum()
    }

    /// Mean work of an arrival, core-seconds.
    pub fn mean_work(&self) -> f64 {
        let shares: f64 = self.class.iter().map(|c| c.share).sum();
        self.class.iter().map(|c| c.share * c.work_ms / 1e3).sum::<f64>() / shares
    }

    /// First tries a second at `at` seconds from the start.
    pub fn rate(&self, at: f64) -> f64 {
        let base = self
            .load
            .rps
            .unwrap_or_else(|| self.load.part.unwrap_or(0.0) * self.capacity() / self.mean_work());
        let mut factor = 1.0;
        for phase in self.load.phase.iter().filter(|p| p.at_s <= at) {
            let way = if phase.over_s > 0.0 { ((at - phase.at_s) / phase.over_s).min(1.0) } else { 1.0 };
            factor += (phase.factor - factor) * way;
        }
        base * factor
    }
}
