//! Limits that apply to the whole fleet, coordinated by datagrams between its proxies (docs/fleet-limits.md).
//! `lotusdeck_fleet` makes the decisions; this module provides its sockets, clocks and names.

mod admissions;
mod error;
mod gossip;

pub(crate) use error::FleetError;

use crate::operator::{FleetMember, FleetSection, LimitSection};
use admissions::AdmissionCache;
use error::LimitScope;
use lotusdeck_core::{to_duration, Admission, FleetLimitStatus, FleetLimiter};
use lotusdeck_fleet::{Identity, Limit, Node, NodeConfig, QuotaExceeded, Seed};
use lotusdeck_policy::settings::{Names, Settings};
use lotusdeck_policy::{ClassId, Micros, TenantId};
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::num::NonZeroU32;
use std::rc::Rc;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// The maximum time after its deadline that a request is in flight until its answer is aborted.
const DEADLINE_MARGIN: Duration = Duration::from_millis(500);

/// The fleet-wide limits at one proxy, and its membership in the fleet.
pub(crate) struct Fleet {
    node: RefCell<Node>,
    /// The number of other proxies in the fleet.
    other_proxies: u32,
    admissions: RefCell<AdmissionCache>,
    started_at: Instant,
    undecodable_datagrams: Cell<u64>,
}

impl Fleet {
    /// Creates the limits and the membership; returns `None` if the operator file sets neither a limit nor an address
    /// for datagrams.
    ///
    /// # Errors
    /// A limit names an unknown class or tenant, or a member's position is not below the size of the fleet.
    pub(crate) fn new(
        section: &FleetSection, limits: &[LimitSection], settings: &Settings, seed: u64,
    ) -> Result<Option<Rc<Fleet>>, FleetError> {
        if limits.is_empty() && section.listen.is_none() {
            return Ok(None);
        }
        for limit in limits {
            check_names(limit, &settings.names)?;
        }
        let size = NonZeroU32::new(settings.config.proxy_count).unwrap_or(NonZeroU32::MIN);
        if let Some(member) = section.members.iter().find(|member| member.position >= size.get()) {
            return Err(FleetError::Member { position: member.position, size: size.get() });
        }
        let longest_deadline = settings.network.deadlines.iter().max().copied().unwrap_or_default();
        let config = NodeConfig {
            site: section.site.clone(),
            identity: identity(section, settings.config.proxy_index),
            fleet_size: size,
            seeds: section.members.iter().map(to_seed).collect(),
            limits: limits.iter().map(to_limit).collect(),
            lease_duration: section.lease_duration,
            max_request_duration: to_duration(longest_deadline) + DEADLINE_MARGIN,
            rng_seed: seed,
        };
        Ok(Some(Rc::new(Fleet {
            node: RefCell::new(Node::new(config, Duration::ZERO)),
            other_proxies: size.get() - 1,
            admissions: RefCell::new(AdmissionCache::new(limits.to_vec())),
            started_at: Instant::now(),
            undecodable_datagrams: Cell::new(0),
        })))
    }

    /// Returns the time since the start.
    fn now(&self) -> Duration {
        self.started_at.elapsed()
    }
}

/// Checks that the settings have the class and the tenant that the limit names.
fn check_names(limit: &LimitSection, names: &Names) -> Result<(), FleetError> {
    let unknown =
        |scope, name: &str| FleetError::Unknown { limit: limit.name.clone(), scope, name: name.into() };
    if let Some(class) = limit.class.as_ref().filter(|class| names.class(class).is_none()) {
        return Err(unknown(LimitScope::Class, class));
    }
    if let Some(tenant) = limit.tenant.as_ref().filter(|tenant| names.tenant(tenant).is_none()) {
        return Err(unknown(LimitScope::Tenant, tenant));
    }
    Ok(())
}

fn identity(section: &FleetSection, proxy_index: u32) -> Identity {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or(Duration::ZERO);
    let no_address = SocketAddr::from(([127, 0, 0, 1], 0));
    Identity {
        proxy_index,
        // Higher than that of the previous process, which ran for more than a microsecond.
        generation: u64::try_from(since_epoch.as_micros()).unwrap_or(u64::MAX),
        address: section.advertise.or(section.listen).unwrap_or(no_address),
    }
}

fn to_seed(member: &FleetMember) -> Seed {
    Seed { proxy_index: member.position, address: member.address }
}

fn to_limit(section: &LimitSection) -> Limit {
    Limit {
        name: section.name.clone(),
        rate: section.rate_per_s,
        slots: section.in_flight,
        burst: Duration::from_millis(section.burst_ms),
    }
}

impl FleetLimiter for Fleet {
    fn admit(&self, class: ClassId, tenant: Option<TenantId>, names: &Names) -> Result<Admission, Micros> {
        let mut admissions = self.admissions.borrow_mut();
        let admission = admissions.limits_of(class, tenant, names);
        if !admission.is_empty() {
            let rejected = |quota: QuotaExceeded| Micros::from_secs(quota.retry_after.as_secs_f64());
            self.node.borrow_mut().admit(self.now(), admission).map_err(rejected)?;
        }
        Ok(admission.clone())
    }

    fn release(&self, admission: &Admission) {
        self.node.borrow_mut().release(admission);
    }

    fn set_other_process(&self, has_other_process: bool) {
        self.node.borrow_mut().set_halved(self.now(), has_other_process);
    }

    fn status(&self) -> FleetLimitStatus {
        let node = self.node.borrow();
        FleetLimitStatus {
            members: node.membership().live_members().len(),
            others_in_flight: node.others_in_flight(self.now()),
            membership_generation: node.membership().generation(),
            undecodable_datagrams: self.undecodable_datagrams.get(),
            quotas: node.quotas(self.now()).collect(),
        }
    }
}
