//! Discovery: sends proxies the endpoint list and its changes.

use super::event::Event;
use super::proxies::module_time;
use super::{Simulation, ONE_WAY};
use crate::record::Observation;
use crate::world::discovery::{Line, Status};
use lotusdeck_policy::settings::EndpointRecord;
use lotusdeck_policy::{Backend, BackendId, BackendState, CellId, ListUpdate, Micros};

/// A line of the list in the form that a proxy reads.
struct ListedBackend {
    row: EndpointRecord,
    id: BackendId,
    status: Status,
}

impl Simulation<'_> {
    /// Sends a proxy the whole list, or what has changed since its version.
    pub(super) fn send_list(&mut self, proxy: usize, update: ListUpdate) {
        let known = self.proxies[proxy].version();
        let version = self.discovery.version();
        let listed: Vec<ListedBackend> = match update {
            ListUpdate::Changes => {
                self.discovery.since(known).map(|line| self.listed_backend(line)).collect()
            }
            _ => self.discovery.full_list().map(|line| self.listed_backend(line)).collect(),
        };
        for ListedBackend { id, status, .. } in &listed {
            self.record(Observation::Told { proxy, backend: id.0 as usize, status: *status });
        }
        let rows = listed.into_iter().map(|listed| (listed.row, listed.id));
        self.proxies[proxy].update_endpoints(update, rows, version);
        self.pump(proxy);
    }

    fn listed_backend(&self, line: &Line) -> ListedBackend {
        let spec = &self.plan.fleet[line.backend];
        let state = match line.status {
            Status::Serving => BackendState::Ready,
            Status::Draining => BackendState::Draining,
            Status::Deleted => BackendState::Removed,
        };
        let booted = line.since.map(module_time);
        let entry = Backend { cell: CellId(spec.cell), state, started_at: booted, ..Backend::default() };
        ListedBackend {
            row: EndpointRecord::new(&spec.name, "127.0.0.1:1", &spec.zone, &spec.kind, entry),
            id: BackendId(line.backend as u32),
            status: line.status,
        }
    }

    /// Applies changes that have reached discovery, and answers all proxies if there are any.
    pub(super) fn apply_list_changes(&mut self) {
        if self.discovery.due(self.now) {
            self.answer_all_proxies();
        }
        self.schedule_list_change();
    }

    /// Answers the call of every proxy, in turn.
    pub(super) fn answer_all_proxies(&mut self) {
        for proxy in 0..self.proxies.len() {
            let lines = self.discovery.since(self.proxies[proxy].version()).count();
            self.schedule_answer(proxy, lines);
        }
    }

    /// Schedules an answer of `lines` lines to a proxy, after the calls that are queued before it.
    pub(super) fn schedule_answer(&mut self, proxy: usize, lines: usize) {
        let spec = &self.plan.experiment.discovery;
        let duration = Micros::from_secs(spec.call_ms / 1e3 + spec.line_us / 1e6 * lines as f64);
        self.calls_end = self.calls_end.max(self.now) + duration;
        let generation = self.proxies[proxy].generation();
        self.at(self.calls_end + ONE_WAY, Event::ListAnswer { proxy, generation });
    }

    /// Schedules the next change of the list.
    pub(super) fn schedule_list_change(&mut self) {
        if let Some(at) = self.discovery.next() {
            self.at(at, Event::ListChange);
        }
    }
}
