//! `[fleet]` and `[[limit]]` of the operator file: limits that hold for the whole fleet, over datagrams between its
//! proxies (docs/fleet-limits.md). What is decided is `lotusdeck_fleet`'s; here are sockets, clocks and names.

use crate::operator::Fault;
use lotusdeck_core::{to_duration, Admission, FleetLimitStatus, FleetLimiter, Host};
use lotusdeck_fleet::wire::MAX_DATAGRAM_BYTES;
use lotusdeck_fleet::{Identity, Limit, Node, NodeConfig, Seed};
use lotusdeck_policy::settings::{Names, Settings};
use lotusdeck_policy::{ClassId, Micros, TenantId};
use serde::Deserialize;
use std::cell::{Cell, RefCell};
use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::num::NonZeroU32;
use std::rc::Rc;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};
use thiserror::Error;
use tokio::net::UdpSocket;
use tracing::{debug, info, warn};

/// Limits at most: each is a share to keep and a row to show, and all are gone through ten times in a term. At this many
/// that takes 0.4 ms of the event loop.
const MOST_LIMITS: usize = 4_096;
/// An address that another process of this proxy still holds, as during an upgrade, is tried again so often.
const BIND_AGAIN: Duration = Duration::from_millis(200);
/// Datagrams that are read before anything else has its turn.
const AT_ONCE: usize = 64;
/// How often the module is told what the others hold: as often as they tell it.
const TELL_MODULE: Duration = Duration::from_millis(100);
/// Pairs of a class and a tenant whose limits are remembered: requests name the pairs.
const MOST_PASSES: usize = 4_096;
/// A request may outlast its deadline by the time that its answer takes to be given up.
const MARGIN: Duration = Duration::from_millis(500);

/// `[fleet]`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct FleetSettings {
    /// Where this proxy takes datagrams; `None` where it talks to nobody.
    pub listen: Option<SocketAddr>,
    /// Where the others reach it, if that is another address.
    pub advertise: Option<SocketAddr>,
    /// Positions and addresses of some of the others.
    pub members: Vec<(u32, SocketAddr)>,
    /// The site's name; another site's datagrams are not read.
    pub site: String,
    /// How long a share is lent.
    pub term: Duration,
}

impl Default for FleetSettings {
    fn default() -> FleetSettings {
        let (listen, advertise, members) = (None, None, Vec::new());
        FleetSettings { listen, advertise, members, site: String::new(), term: Duration::from_secs(1) }
    }
}

/// `[[limit]]`.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct LimitSpec {
    /// What it is called in the log and the status.
    pub name: String,
    /// The class that it is of; all where absent.
    #[serde(default)]
    pub class: Option<String>,
    /// The tenant that it is of; all, and requests of none, where absent.
    #[serde(default)]
    pub tenant: Option<String>,
    /// Requests a second, over the whole fleet.
    #[serde(default)]
    pub rate_per_s: Option<f64>,
    /// Requests at once, over the whole fleet.
    #[serde(default)]
    pub in_flight: Option<u32>,
    /// What a share may gather while it is not used, ms of its rate.
    #[serde(default = "burst")]
    pub burst_ms: u64,
}

fn burst() -> u64 {
    200
}

impl LimitSpec {
    fn fault(&self) -> Option<&'static str> {
        let rate = self.rate_per_s.is_none_or(|r| r > 0.0 && r <= 1e9);
        let tests = [
            (!self.name.is_empty(), "name: expected some text"),
            (self.rate_per_s.is_some() || self.in_flight.is_some(), "expected rate_per_s, in_flight or both"),
            (rate, "rate_per_s: expected a number above 0, 1e9 at most"),
            (self.in_flight != Some(0), "in_flight: expected 1 at least"),
            (self.burst_ms <= 60_000, "burst_ms: expected 0 to 60000"),
        ];
        tests.into_iter().find(|t| !t.0).map(|t| t.1)
    }

    fn limit(&self) -> Limit {
        let (name, burst) = (self.name.clone(), Duration::from_millis(self.burst_ms));
        Limit { name, rate: self.rate_per_s, slots: self.in_flight, burst }
    }
}

/// All limits, from the text of an operator file.
///
/// # Errors
/// The first thing that is wrong, and where.
pub(crate) fn read(text: &str) -> Result<Vec<LimitSpec>, Fault> {
    #[derive(Deserialize)]
    struct File {
        #[serde(default)]
        limit: Vec<toml::Spanned<LimitSpec>>,
    }
    let file: File = toml::from_str(text).map_err(|e| Fault {
        at: e.span().map_or(0, |s| s.start),
        text: format!("limit: {}", e.message()),
    })?;
    let (mut out, mut names) = (Vec::new(), HashSet::new());
    for spec in file.limit {
        let at = spec.span().start;
        let spec = spec.into_inner();
        let fault = |wrong: &str| Fault { at, text: format!("limit: {wrong}") };
        if let Some(wrong) = spec.fault() {
            return Err(fault(wrong));
        }
        if !names.insert(spec.name.clone()) {
            return Err(fault("name: each may be there once"));
        }
        if names.len() > MOST_LIMITS {
            return Err(fault(&format!("expected {MOST_LIMITS} limits at most")));
        }
        out.push(spec);
    }
    Ok(out)
}

/// Positions and addresses from `0@10.0.0.1:7400 1@10.0.0.2:7400`; `None` where it is no such text.
pub(crate) fn members(text: &str) -> Option<Vec<(u32, SocketAddr)>> {
    let member = |word: &str| {
        let (position, address) = word.split_once('@')?;
        Some((position.parse().ok()?, address.parse().ok()?))
    };
    text.split_whitespace().map(member).collect()
}

/// Why there is no talk with the fleet.
#[derive(Debug, Error, PartialEq, Eq)]
pub(crate) enum FleetError {
    /// A limit that would hold for nothing.
    #[error("limit {0:?}: the settings have no {1} {2:?}")]
    Unknown(String, &'static str, String),
    /// A member that the fleet does not have.
    #[error("fleet.members: position {0} in a fleet of {1}")]
    Member(u32, u32),
}

/// The gate of one proxy, and its part in the fleet.
pub(crate) struct Fleet {
    node: RefCell<Node>,
    limits: Vec<LimitSpec>,
    /// Proxies of the fleet but this one.
    others: u32,
    passes: RefCell<HashMap<(ClassId, Option<TenantId>), Admission>>,
    /// The generation of names that these are of.
    passes_of: Cell<u64>,
    begun: Instant,
    unread: Cell<u64>,
}

impl Fleet {
    /// `None` where the operator file asks for no limit and no talk.
    ///
    /// # Errors
    /// A limit of a class or tenant that there is not, or a member past the fleet's size.
    pub(crate) fn new(
        settings: &FleetSettings, limits: &[LimitSpec], node: &Settings, seed: u64,
    ) -> Result<Option<Rc<Fleet>>, FleetError> {
        if limits.is_empty() && settings.listen.is_none() {
            return Ok(None);
        }
        for limit in limits {
            let unknown = |what, name: &str| FleetError::Unknown(limit.name.clone(), what, name.into());
            if let Some(class) = limit.class.as_ref().filter(|c| node.names.class(c).is_none()) {
                return Err(unknown("class", class));
            }
            if let Some(tenant) = limit.tenant.as_ref().filter(|t| node.names.tenant(t).is_none()) {
                return Err(unknown("tenant", tenant));
            }
        }
        let size = NonZeroU32::new(node.config.proxy_count).unwrap_or(NonZeroU32::MIN);
        if let Some((position, _)) = settings.members.iter().find(|m| m.0 >= size.get()) {
            return Err(FleetError::Member(*position, size.get()));
        }
        let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or(Duration::ZERO);
        let nowhere = SocketAddr::from(([127, 0, 0, 1], 0));
        let own = Identity {
            proxy_index: node.config.proxy_index,
            // Later than that of the process before: it lived for more than a microsecond.
            generation: u64::try_from(since.as_micros()).unwrap_or(u64::MAX),
            address: settings.advertise.or(settings.listen).unwrap_or(nowhere),
        };
        let longest = node.network.deadlines.iter().max().copied().unwrap_or_default();
        let config = NodeConfig {
            site: settings.site.clone(),
            identity: own,
            fleet_size: size,
            seeds: settings
                .members
                .iter()
                .map(|&(proxy_index, address)| Seed { proxy_index, address })
                .collect(),
            limits: limits.iter().map(LimitSpec::limit).collect(),
            lease_duration: settings.term,
            max_request_duration: to_duration(longest) + MARGIN,
            rng_seed: seed,
        };
        Ok(Some(Rc::new(Fleet {
            node: RefCell::new(Node::new(config, Duration::ZERO)),
            limits: limits.to_vec(),
            others: size.get() - 1,
            passes: RefCell::new(HashMap::new()),
            passes_of: Cell::new(0),
            begun: Instant::now(),
            unread: Cell::new(0),
        })))
    }

    fn now(&self) -> Duration {
        self.begun.elapsed()
    }

    /// Talks to the others for as long as the program runs; with no address it keeps its own shares only.
    pub(crate) async fn run(self: Rc<Self>, listen: Option<SocketAddr>, host: Rc<Host>) {
        let socket = match listen {
            Some(at) => Some(self.bind(at).await),
            None => None,
        };
        let mut buffer = vec![0; MAX_DATAGRAM_BYTES + 1];
        let (mut seen, mut told_at) = (0, Duration::ZERO);
        loop {
            let now = self.now();
            if socket.is_some() && now >= told_at {
                told_at = now + TELL_MODULE;
                self.node
                    .borrow_mut()
                    .set_in_flight(u32::try_from(host.attempts_in_flight()).unwrap_or(u32::MAX));
                // Where nobody is heard of, all are taken to be alike, as without talk.
                let alike = host.attempts_in_flight() as f64 * f64::from(self.others);
                let others = self.node.borrow().others_in_flight(now).unwrap_or(alike);
                host.set_fleet_load(others);
            }
            self.node.borrow_mut().tick(now);
            self.post(socket.as_ref());
            let view = self.node.borrow().membership().generation();
            if std::mem::replace(&mut seen, view) != view {
                info!(
                    members = self.node.borrow().membership().live_members().len(),
                    "proxies of the fleet that are there"
                );
            }
            let due = tokio::time::Instant::from_std(self.begun + self.node.borrow().next_tick_at());
            let Some(socket) = &socket else {
                tokio::time::sleep_until(due).await;
                continue;
            };
            tokio::select! {
                _ = tokio::time::sleep_until(due) => {}
                read = socket.readable() => {
                    if let Err(e) = read {
                        warn!(error = %e, "fleet: cannot read");
                        tokio::time::sleep(BIND_AGAIN).await;
                    }
                    self.read(socket, &mut buffer);
                }
            }
        }
    }

    async fn bind(&self, at: SocketAddr) -> UdpSocket {
        let mut told = false;
        loop {
            match UdpSocket::bind(at).await {
                Ok(socket) => {
                    let at = socket.local_addr().unwrap_or(at);
                    info!(address = %at, "talks to the fleet");
                    return socket;
                }
                Err(e) if !std::mem::replace(&mut told, true) => {
                    warn!(address = %at, error = %e, "fleet: address not free; only this proxy's own shares until it is");
                }
                Err(_) => {}
            }
            // Shares are kept meanwhile; what would go out is not.
            self.node.borrow_mut().tick(self.now());
            self.post(None);
            tokio::time::sleep(BIND_AGAIN).await;
        }
    }

    fn read(&self, socket: &UdpSocket, buffer: &mut [u8]) {
        for _ in 0..AT_ONCE {
            let Ok((n, from)) = socket.try_recv_from(buffer) else { return };
            let told = self.node.borrow_mut().receive(self.now(), &buffer[..n]);
            if let Err(e) = told {
                // The first, and then each thousandth: a stranger must not fill the log.
                if self.unread.replace(self.unread.get() + 1).is_multiple_of(1_000) {
                    warn!(%from, error = %e, unread = self.unread.get(), "fleet: datagram not understood");
                }
            }
            self.post(Some(socket));
        }
    }

    fn post(&self, socket: Option<&UdpSocket>) {
        while let Some((to, bytes)) = { self.node.borrow_mut().next_datagram() } {
            if let Some(Err(e)) = socket.map(|s| s.try_send_to(&bytes, to)) {
                debug!(%to, error = %e, "fleet: datagram not sent"); // lost, as any may be
            }
        }
    }
}

impl FleetLimiter for Fleet {
    fn admit(&self, class: ClassId, tenant: Option<TenantId>, names: &Names) -> Result<Admission, Micros> {
        let mut passes = self.passes.borrow_mut();
        // A number may have been given to another name since, and pairs of names may be many.
        let outdated = self.passes_of.replace(names.generation()) != names.generation();
        if outdated || passes.len() >= MOST_PASSES {
            passes.clear();
        }
        let pass = passes.entry((class, tenant)).or_insert_with(|| {
            let of = |limit: &LimitSpec| {
                let class = limit.class.as_deref().is_none_or(|c| c == names.class_name(class));
                let named = tenant.map(|t| names.tenant_name(t));
                class && limit.tenant.as_deref().is_none_or(|t| Some(t) == named)
            };
            (0u16..).zip(&self.limits).filter(|(_, limit)| of(limit)).map(|(place, _)| place).collect()
        });
        if !pass.is_empty() {
            let refused = |r: lotusdeck_fleet::QuotaExceeded| Micros::from_secs(r.retry_after.as_secs_f64());
            self.node.borrow_mut().admit(self.now(), pass).map_err(refused)?;
        }
        Ok(pass.clone())
    }

    fn release(&self, pass: &Admission) {
        self.node.borrow_mut().release(pass);
    }

    fn set_other_process(&self, with_another: bool) {
        self.node.borrow_mut().set_halved(self.now(), with_another);
    }

    fn status(&self) -> FleetLimitStatus {
        let node = self.node.borrow();
        FleetLimitStatus {
            members: node.membership().live_members().len(),
            others_in_flight: node.others_in_flight(self.now()),
            membership_generation: node.membership().generation(),
            undecodable_datagrams: self.unread.get(),
            quotas: node.quotas(self.now()).collect(),
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn limits_are_read_and_faults_have_a_place() {
        let text = "[[limit]]\nname = \"all\"\nrate_per_s = 100\n\n[[limit]]\nname = \"b\"\nin_flight = 5\nclass = \"page\"\n";
        let limits = read(text).unwrap();
        assert!(limits.len() == 2 && limits[0].rate_per_s == Some(100.0) && limits[1].in_flight == Some(5));
        assert_eq!(read("[http]\n"), Ok(Vec::new()));
        for (from, to, told) in [
            ("rate_per_s = 100", "rate_per_s = 0", "above 0"),
            ("rate_per_s = 100", "rate_per_s = nan", "above 0"),
            ("rate_per_s = 100", "", "rate_per_s, in_flight or both"),
            ("in_flight = 5", "in_flight = 0", "1 at least"),
            ("\"b\"", "\"all\"", "once"),
            ("class", "klass", "klass"),
        ] {
            let fault = read(&text.replace(from, to)).unwrap_err();
            assert!(fault.text.contains(told), "{told}: {}", fault.text);
        }
        let many =
            |count| (0..count).map(|n| format!("[[limit]]\nname = \"{n}\"\nrate_per_s = 1\n")).collect();
        let (most, more): (String, String) = (many(MOST_LIMITS), many(MOST_LIMITS + 1));
        assert_eq!(read(&most).map(|limits| limits.len()), Ok(MOST_LIMITS));
        assert!(read(&more).unwrap_err().text.contains("4096 limits at most"));
        let at = read(&text.replace("\"b\"", "\"all\"")).unwrap_err().at;
        assert!(text[at..].starts_with("[[limit]]") && at > 0, "{at}");
    }

    #[test]
    fn members_are_positions_and_addresses() {
        let one = (3, "10.0.0.1:7400".parse().unwrap());
        assert_eq!(members(" 3@10.0.0.1:7400  "), Some(vec![one]));
        assert_eq!(members(""), Some(Vec::new()));
        for wrong in ["10.0.0.1:7400", "x@10.0.0.1:7400", "3@10.0.0.1", "3@10.0.0.1:7400,4@10.0.0.2:1"] {
            assert_eq!(members(wrong), None, "{wrong}");
        }
    }
}
