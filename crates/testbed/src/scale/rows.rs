//! The rows of the capacity page: the costs of each role at the target, extrapolated from measured laws.

use super::experiment::AxisKind::{self, Backends, Members, Proxies, Routes, Tenants};
use super::record::{Metric, Record};
use super::target::{Target, DAY_S};

/// The part of the system to which a cost belongs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    /// Each proxy.
    Proxy,
    /// The service that sends the list of backends to all proxies.
    Discovery,
    /// The service that sends the settings to all proxies.
    Configuration,
    /// Each proxy that takes part in the gossip between proxies.
    Member,
}

impl Role {
    /// Returns the name of the role on the page.
    pub fn name(self) -> &'static str {
        match self {
            Role::Proxy => "proxy",
            Role::Discovery => "discovery",
            Role::Configuration => "configuration source",
            Role::Member => "member of the talk",
        }
    }
}

/// The unit of a value.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Unit {
    /// Bytes.
    Bytes,
    /// Bytes a second.
    BytesPerSecond,
    /// Calls a second.
    CallsPerSecond,
    /// Seconds.
    Seconds,
    /// A share of one core, or of a day.
    Share,
}

impl Unit {
    /// Formats a value with its unit.
    pub fn format(self, value: f64) -> String {
        match self {
            Unit::Bytes => scaled(value, &[(1e9, "GB"), (1e6, "MB"), (1e3, "KB"), (1.0, "B")]),
            Unit::BytesPerSecond => scaled(value, &[(1e6, "MB/s"), (1e3, "KB/s"), (1.0, "B/s")]),
            Unit::CallsPerSecond => format!("{value:.0}/s"),
            Unit::Seconds => scaled(value, &[(1.0, "s"), (1e-3, "ms"), (1e-6, "us")]),
            Unit::Share => format!("{:.2} %", value * 100.0),
        }
    }
}

fn scaled(value: f64, units: &[(f64, &str)]) -> String {
    let fits = units.iter().find(|(size, _)| value.abs() >= *size).or(units.last());
    fits.map_or_else(String::new, |(size, name)| {
        let digits = if value / size >= 100.0 { 0 } else { 2 };
        format!("{:.digits$} {name}", value / size)
    })
}

/// One cost at the target.
#[derive(Clone, Debug)]
pub struct Row {
    /// The role that has the cost.
    pub role: Role,
    /// Name of the cost.
    pub what: &'static str,
    /// Value at the target.
    pub value: f64,
    /// Unit of the value.
    pub unit: Unit,
    /// The budget, if the target has one for this cost.
    pub budget: Option<f64>,
    /// Ratio of the target to the largest measured size: the largest ratio of all laws used.
    pub extrapolated: f64,
    /// The mechanism that keeps the cost within its budget, or the missing one.
    pub carried_by: &'static str,
}

impl Row {
    /// Returns the value divided by the budget.
    pub fn ratio(&self) -> Option<f64> {
        Some(self.value / self.budget?)
    }
}

/// A value computed from laws, and the largest ratio of extrapolation among them.
#[derive(Clone, Copy, Debug)]
struct Estimate {
    value: f64,
    extrapolated: f64,
}

impl Estimate {
    fn scale(self, by: f64) -> Estimate {
        Estimate { value: self.value * by, ..self }
    }

    fn plus(self, other: Estimate) -> Estimate {
        let extrapolated = self.extrapolated.max(other.extrapolated);
        Estimate { value: self.value + other.value, extrapolated }
    }
}

/// The records to compute costs from; if several measured the same quantity, the latest one is used.
pub struct Laws<'a> {
    records: &'a [Record],
    target: &'a Target,
}

impl<'a> Laws<'a> {
    /// Creates the laws of the records at the target.
    pub fn new(records: &'a [Record], target: &'a Target) -> Laws<'a> {
        Laws { records, target }
    }

    fn count(&self, axis: AxisKind) -> f64 {
        match axis {
            Tenants => self.target.tenants,
            Routes => self.target.routes,
            Backends => self.target.backends,
            Proxies | Members => self.target.proxies,
        }
    }

    /// Returns the cost of the axis at the target above its floor.
    fn above_floor(&self, axis: AxisKind, metric: Metric) -> Option<Estimate> {
        let series = self.records.iter().rev().find_map(|record| record.series(axis, metric))?;
        let x = self.count(axis);
        Some(Estimate { value: series.above_floor(x)?, extrapolated: series.extrapolated(x) })
    }

    fn floor(&self, axis: AxisKind, metric: Metric) -> Option<Estimate> {
        let series = self.records.iter().rev().find_map(|record| record.series(axis, metric))?;
        Some(Estimate { value: series.floor, extrapolated: 1.0 })
    }

    /// Returns the sum of the costs of tenants and routes.
    fn settings(&self, metric: Metric) -> Option<Estimate> {
        Some(self.above_floor(Tenants, metric)?.plus(self.above_floor(Routes, metric)?))
    }

    /// Returns all rows whose laws were measured, ordered by role.
    pub fn rows(&self) -> Vec<Row> {
        let proxy = [
            self.proxy_memory(),
            self.proxy_reloads(),
            self.proxy_settings(),
            self.proxy_list(),
            self.proxy_sums(),
        ];
        let others = [self.discovery(), self.configuration(), self.members()];
        let all = proxy.into_iter().chain(others);
        all.flatten().flatten().collect()
    }

    fn core_budget(&self) -> Option<f64> {
        Some(self.target.control_core_share)
    }

    fn latency_budget(&self) -> Option<f64> {
        Some(self.target.added_p99_ms / 1e3)
    }

    fn memory_budget(&self) -> Option<f64> {
        Some(self.target.control_memory_mb * 1e6)
    }

    fn bytes_budget(&self) -> Option<f64> {
        Some(self.target.control_bytes_per_s)
    }

    fn reload_share(&self) -> Option<Estimate> {
        let reload = self.settings(Metric::ReloadProcessorSeconds)?;
        Some(reload.scale(self.target.settings_changes_per_day / DAY_S))
    }

    fn line_share(&self) -> Option<Estimate> {
        let lines_per_day = self.target.churn_per_day() * LINES_PER_RESTART;
        let line = self.above_floor(Backends, Metric::LineProcessorSeconds)?;
        Some(line.scale(lines_per_day / DAY_S))
    }

    /// Returns the bytes a second for the list of one proxy on a normal day.
    fn list_bytes(&self) -> Option<Estimate> {
        let rest = self.above_floor(Proxies, Metric::RestBytesPerSecond)?;
        let restart = self.above_floor(Proxies, Metric::RestartBytes)?;
        let churn = restart.scale(self.target.churn_per_day() / DAY_S);
        Some(rest.plus(churn).scale(1.0 / self.target.proxies))
    }

    fn settings_bytes(&self) -> Option<Estimate> {
        let document = self.settings(Metric::DocumentBytes)?;
        Some(document.scale(self.target.settings_changes_per_day / DAY_S))
    }

    /// Returns the rows of a proxy's memory.
    fn proxy_memory(&self) -> Vec<Option<Row>> {
        let row = RowBuilder(Role::Proxy);
        vec![
            row.build(
                "memory of settings, after the start",
                Unit::Bytes,
                self.settings(Metric::MemoryBytes),
                self.memory_budget(),
                "missing: one copy, without the parsed document; interned names",
            ),
            row.build(
                "memory of settings, after a reload",
                Unit::Bytes,
                self.settings(Metric::ReloadedMemoryBytes),
                self.memory_budget(),
                "missing: deltas of settings; interned names",
            ),
            row.build(
                "memory of the list",
                Unit::Bytes,
                self.above_floor(Backends, Metric::MemoryBytes),
                self.memory_budget(),
                "missing: subsetting, where 320 services share one list",
            ),
        ]
    }

    /// Returns the rows of a proxy's costs for changes of the settings.
    fn proxy_reloads(&self) -> Vec<Option<Row>> {
        let row = RowBuilder(Role::Proxy);
        vec![
            row.build(
                "processor time of reloads",
                Unit::Share,
                self.reload_share(),
                self.core_budget(),
                "missing: an index of names, then deltas of settings",
            ),
            row.build(
                "pause of all requests at a reload, with a core to itself",
                Unit::Seconds,
                self.settings(Metric::ReloadProcessorSeconds),
                self.latency_budget(),
                "missing: an index of names; reading off the event loop",
            ),
            row.build(
                "pause of all requests at a reload, as measured on a busy machine",
                Unit::Seconds,
                self.settings(Metric::ReloadLongestSeconds),
                self.latency_budget(),
                "missing: an index of names; reading off the event loop",
            ),
            row.build(
                "part of the day in such pauses (over 1 % the day's p99 is a pause)",
                Unit::Share,
                self.reload_share(),
                Some(P99_TAIL),
                "missing: an index of names; reading off the event loop",
            ),
            row.build(
                "settings in force after SIGHUP",
                Unit::Seconds,
                self.settings(Metric::ReloadSeconds),
                Some(self.target.in_force_s),
                "reload, without the way to the proxy",
            ),
            row.build(
                "bytes of settings, each change whole",
                Unit::BytesPerSecond,
                self.settings_bytes(),
                self.bytes_budget(),
                "missing: deltas of settings",
            ),
        ]
    }

    /// Returns the rows of a proxy's other costs for the size of the settings.
    fn proxy_settings(&self) -> Vec<Option<Row>> {
        let row = RowBuilder(Role::Proxy);
        vec![
            row.build(
                "look-up of tenant and route, a request",
                Unit::Seconds,
                self.settings(Metric::LookupSeconds),
                self.latency_budget(),
                "missing: an index of names",
            ),
            row.build(
                "ready after a start, by settings",
                Unit::Seconds,
                self.settings(Metric::ReadySeconds),
                None,
                "missing: an index of names",
            ),
        ]
    }

    /// Returns the rows of a proxy's costs for the list of backends.
    fn proxy_list(&self) -> Vec<Option<Row>> {
        let row = RowBuilder(Role::Proxy);
        vec![
            row.build(
                "bytes of the list, ordinary day",
                Unit::BytesPerSecond,
                self.list_bytes(),
                self.bytes_budget(),
                "deltas (watch by version)",
            ),
            row.build(
                "processor time of changed lines, ordinary day",
                Unit::Share,
                self.line_share(),
                self.core_budget(),
                "deltas (watch by version)",
            ),
            row.build(
                "processor time at rest",
                Unit::Share,
                self.above_floor(Backends, Metric::RestProcessorShare),
                self.core_budget(),
                "timers",
            ),
            row.build(
                "processor time of a whole list, once",
                Unit::Seconds,
                self.above_floor(Backends, Metric::WholeListProcessorSeconds),
                None,
                "at a start, and once after discovery moves: a pause then",
            ),
            row.build(
                "processor time of one changed line",
                Unit::Seconds,
                self.above_floor(Backends, Metric::LineProcessorSeconds),
                None,
                "a solution in parts; missing: subsetting, as it grows with the list",
            ),
            row.build(
                "bytes of a whole list, once",
                Unit::Bytes,
                self.above_floor(Backends, Metric::WholeListBytes),
                None,
                "only at a start; kept lists; missing: subsetting",
            ),
            row.build(
                "a change of the list in force at a real proxy, p99",
                Unit::Seconds,
                self.above_floor(Backends, Metric::RealInForceP99Seconds),
                Some(self.target.in_force_s),
                "long polls",
            ),
            row.build(
                "ready after a start, by the list",
                Unit::Seconds,
                self.above_floor(Backends, Metric::ReadySeconds),
                None,
                "the list is taken beside",
            ),
        ]
    }

    fn proxy_sums(&self) -> Vec<Option<Row>> {
        let row = RowBuilder(Role::Proxy);
        let memory = || {
            let lists = self.above_floor(Backends, Metric::MemoryBytes)?;
            let floor = self.floor(Tenants, Metric::MemoryBytes)?;
            Some(self.settings(Metric::ReloadedMemoryBytes)?.plus(lists).plus(floor))
        };
        let processor = || {
            let rest = self.above_floor(Backends, Metric::RestProcessorShare)?;
            let talk = self.above_floor(Members, Metric::TalkProcessorShare)?;
            Some(self.reload_share()?.plus(self.line_share()?).plus(rest).plus(talk))
        };
        let bytes = || {
            let talk = self.above_floor(Members, Metric::TalkBytesPerSecond)?;
            Some(self.settings_bytes()?.plus(self.list_bytes()?).plus(talk))
        };
        vec![
            row.build(
                "all memory together, program included",
                Unit::Bytes,
                memory(),
                self.memory_budget(),
                "the rows above",
            ),
            row.build(
                "all processor time together, talk included",
                Unit::Share,
                processor(),
                self.core_budget(),
                "the rows above",
            ),
            row.build(
                "all bytes together, talk included",
                Unit::BytesPerSecond,
                bytes(),
                self.bytes_budget(),
                "the rows above",
            ),
        ]
    }

    fn discovery(&self) -> Vec<Option<Row>> {
        let row = RowBuilder(Role::Discovery);
        let all_bytes = Some(self.target.control_bytes_per_s * self.target.proxies);
        let day = self.list_bytes().map(|bytes| bytes.scale(self.target.proxies));
        let calls = || {
            let rest = self.above_floor(Proxies, Metric::RestCallsPerSecond)?;
            let restart = self.above_floor(Proxies, Metric::RestartCalls)?;
            Some(rest.plus(restart.scale(self.target.churn_per_day() / DAY_S)))
        };
        let full_list_bytes = || {
            let list = self.above_floor(Backends, Metric::WholeListBytes)?;
            Some(list.scale(self.target.proxies))
        };
        vec![
            row.build(
                "bytes told, ordinary day",
                Unit::BytesPerSecond,
                day,
                all_bytes,
                "deltas (watch by version); answers shared by all of a version",
            ),
            row.build(
                "calls answered, ordinary day",
                Unit::CallsPerSecond,
                calls(),
                None,
                "long polls; missing: a relay tree beyond one machine",
            ),
            row.build(
                "bytes where a rack goes and comes back",
                Unit::Bytes,
                self.above_floor(Proxies, Metric::GroupBytes),
                None,
                "deltas",
            ),
            row.build(
                "bytes where the largest zone goes and comes back",
                Unit::Bytes,
                self.above_floor(Proxies, Metric::LargestGroupBytes),
                None,
                "deltas; missing: subsetting",
            ),
            row.build(
                "all proxies know that the zone is gone",
                Unit::Seconds,
                self.above_floor(Proxies, Metric::GroupInForceSeconds),
                Some(self.target.in_force_s),
                "deltas",
            ),
            row.build(
                "bytes where all proxies ask for the whole list",
                Unit::Bytes,
                full_list_bytes(),
                None,
                "missing: a relay tree, subsetting",
            ),
            row.build(
                "all proxies have the whole list",
                Unit::Seconds,
                self.above_floor(Proxies, Metric::AllHaveListSeconds),
                Some(self.target.in_force_s),
                "one machine here; missing: a relay tree",
            ),
        ]
    }

    fn configuration(&self) -> Vec<Option<Row>> {
        let row = RowBuilder(Role::Configuration);
        let all_bytes = Some(self.target.control_bytes_per_s * self.target.proxies);
        let shipped = self.settings_bytes().map(|bytes| bytes.scale(self.target.proxies));
        vec![
            row.build(
                "state: one whole document",
                Unit::Bytes,
                self.settings(Metric::DocumentBytes),
                None,
                "a file beside each proxy",
            ),
            row.build(
                "bytes told, each change whole to all",
                Unit::BytesPerSecond,
                shipped,
                all_bytes,
                "missing: a source at all; deltas and a relay tree",
            ),
        ]
    }

    fn members(&self) -> Vec<Option<Row>> {
        let row = RowBuilder(Role::Member);
        let membership = self.above_floor(Members, Metric::MembershipBytesPerSecond);
        let talk = self.above_floor(Members, Metric::TalkBytesPerSecond);
        let processor = self.above_floor(Members, Metric::TalkProcessorShare);
        vec![
            row.build(
                "bytes of membership",
                Unit::BytesPerSecond,
                membership,
                self.bytes_budget(),
                "gossip of bounded datagrams",
            ),
            row.build(
                "bytes of membership and of what each holds",
                Unit::BytesPerSecond,
                talk,
                self.bytes_budget(),
                "missing: sums by zone in place of a number for each member",
            ),
            row.build(
                "processor time of the talk",
                Unit::Share,
                processor,
                self.core_budget(),
                "gossip of bounded datagrams",
            ),
        ]
    }
}

/// The share of requests above the 99th percentile: if pauses take a larger part of the day, the 99th
/// percentile is a pause.
const P99_TAIL: f64 = 0.01;
/// Lines that discovery sends for one restart: the backend drains, leaves and serves again.
const LINES_PER_RESTART: f64 = 3.0;

/// Creates the rows of one role.
struct RowBuilder(Role);

impl RowBuilder {
    fn build(
        &self, what: &'static str, unit: Unit, estimate: Option<Estimate>, budget: Option<f64>,
        carried_by: &'static str,
    ) -> Option<Row> {
        let Estimate { value, extrapolated } = estimate?;
        Some(Row { role: self.0, what, value, unit, budget, extrapolated, carried_by })
    }
}
