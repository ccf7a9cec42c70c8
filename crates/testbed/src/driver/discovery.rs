//! Discovery on sockets: a listener for each proxy, which serves whole lists and watches; calls are handled one at
//! a time.

use super::wire::{listen, Connection, ReadEvent};
use super::{Clock, Log};
use crate::record::Observation;
use crate::world::discovery::{Discovery, Line, Status};
use crate::world::plan::Plan;
use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::{watch, Mutex, Notify};

/// Longest time that a watch may wait for a change.
const MAX_WAIT: Duration = Duration::from_secs(60);

/// The discovery service of a run.
pub struct Service {
    plan: Arc<Plan>,
    clock: Clock,
    log: Log,
    backends: Vec<SocketAddr>,
    model: RefCell<Discovery>,
    /// The list's version, and whether discovery is down.
    changes: watch::Sender<(u64, bool)>,
    rescheduled: Notify,
    call_lock: Mutex<()>,
    /// The status last sent, by proxy and backend.
    last_sent: RefCell<HashMap<(usize, usize), Status>>,
}

impl Service {
    /// Starts the service with a port for each proxy, and returns it with these addresses. `backends` are the
    /// fleet's addresses.
    pub fn start(
        plan: Arc<Plan>, clock: Clock, log: Log, backends: Vec<SocketAddr>,
    ) -> std::io::Result<(Rc<Service>, Vec<SocketAddr>)> {
        let lag = lotusdeck_policy::Micros::from_secs(plan.experiment.discovery.lag_ms / 1e3);
        let model = Discovery::new(backends.len(), lag);
        let changes = watch::channel((model.version(), false)).0;
        let proxies = plan.experiment.proxies;
        let service = Rc::new(Service {
            plan,
            clock,
            log,
            backends,
            model: RefCell::new(model),
            changes,
            rescheduled: Notify::new(),
            call_lock: Mutex::new(()),
            last_sent: RefCell::default(),
        });
        let mut addresses = Vec::new();
        for proxy in 0..proxies {
            let listener = listen(None)?;
            addresses.push(listener.local_addr()?);
            let service = service.clone();
            tokio::task::spawn_local(async move {
                while let Ok((tcp, _)) = listener.accept().await {
                    tokio::task::spawn_local(service.clone().serve_connection(proxy, Connection::new(tcp)));
                }
            });
        }
        tokio::task::spawn_local(service.clone().apply_changes_when_due());
        Ok((service, addresses))
    }

    /// Changes the model. Where it goes down, waiting calls fail at once.
    pub fn change(&self, change: impl FnOnce(&mut Discovery)) {
        let mut model = self.model.borrow_mut();
        change(&mut model);
        self.changes
            .send_if_modified(|old| std::mem::replace(old, (old.0, model.down)) != (old.0, model.down));
        self.rescheduled.notify_one();
    }

    /// Returns the whole list as JSON.
    pub fn full_list(&self) -> String {
        let model = self.model.borrow();
        self.json(model.version(), true, model.full_list())
    }

    async fn apply_changes_when_due(self: Rc<Self>) {
        loop {
            let next = self.model.borrow().next();
            match next {
                None => self.rescheduled.notified().await,
                Some(at) => tokio::select! {
                    _ = tokio::time::sleep_until(self.clock.instant(at)) => {}
                    _ = self.rescheduled.notified() => {}
                },
            }
            let mut model = self.model.borrow_mut();
            if model.due(self.clock.now()) {
                let now = (model.version(), model.down);
                self.changes.send_replace(now);
            }
        }
    }

    fn json<'a>(&self, index: u64, snapshot: bool, lines: impl Iterator<Item = &'a Line>) -> String {
        let entry = |line: &Line| {
            let spec = &self.plan.fleet[line.backend];
            serde_json::json!({
                "name": spec.name, "address": self.backends[line.backend].to_string(), "zone": spec.zone,
                "type": spec.kind, "group": spec.cell, "weight": 1.0,
                "status": match line.status {
                    Status::Serving => "SERVING",
                    Status::Draining => "DRAINING",
                    Status::Deleted => "DELETED",
                },
                "since_ms": line.since.map_or(0, |at| self.clock.unix_ms(at)),
            })
        };
        let endpoints: Vec<_> = lines.map(entry).collect();
        serde_json::json!({"index": index, "snapshot": snapshot, "endpoints": endpoints}).to_string()
    }

    async fn serve_connection(self: Rc<Self>, proxy: usize, mut connection: Connection) {
        while let Ok(Some(request)) = connection.request().await {
            let query = |name: &str| -> Option<u64> {
                let (_, query) = request.target.split_once('?')?;
                query.split('&').find_map(|pair| pair.strip_prefix(name)?.strip_prefix('=')?.parse().ok())
            };
            let after = query("after");
            let wait = Duration::from_millis(query("wait_ms").unwrap_or(0)).min(MAX_WAIT);
            let answered = tokio::select! {
                answered = self.answer(proxy, after, wait) => answered,
                event = connection.wait_read() => match event {
                    ReadEvent::End => return,
                    ReadEvent::Bytes => None, // proxies do not pipeline calls: answered 503
                },
            };
            let (status, body, reported) = answered.unwrap_or((503, String::new(), Vec::new()));
            let head = format!("HTTP/1.1 {status} X\r\nContent-Length: {}\r\n\r\n", body.len());
            if connection.write((head + &body).as_bytes()).await.is_err() {
                return;
            }
            for (backend, status) in reported {
                let before = self.last_sent.borrow_mut().insert((proxy, backend), status);
                if before != Some(status) {
                    self.log.add(Observation::Told { proxy, backend, status });
                }
            }
        }
    }

    /// Answers a call, for which it returns the HTTP status, the body and the backends' statuses in it; `None`
    /// when discovery is down. With `after`, waits up to `wait` for a newer version.
    async fn answer(
        &self, proxy: usize, after: Option<u64>, wait: Duration,
    ) -> Option<(u16, String, Vec<(usize, Status)>)> {
        let mut changes = self.changes.subscribe();
        if let Some(after) = after {
            let newer = changes.wait_for(|(version, down)| *version > after || *down);
            let _ = tokio::time::timeout(wait, newer).await;
        }
        {
            let _guard = self.call_lock.lock().await;
            let lines = {
                let model = self.model.borrow();
                let changes = after.filter(|after| *after <= model.version());
                changes.map_or_else(|| model.full_list().count(), |after| model.since(after).count())
            };
            let spec = &self.plan.experiment.discovery;
            let duration_s = spec.call_ms / 1e3 + spec.line_us / 1e6 * lines as f64;
            tokio::time::sleep(Duration::from_secs_f64(duration_s)).await;
        }
        let model = self.model.borrow();
        if model.down {
            return None;
        }
        // A caller with a higher version than the list's got it from another discovery, so it gets the whole list.
        if let Some(after) = after.filter(|after| *after <= model.version()) {
            let reported = model.since(after).map(|l| (l.backend, l.status)).collect();
            return Some((200, self.json(model.version(), false, model.since(after)), reported));
        }
        let mut reported: Vec<_> = model.full_list().map(|l| (l.backend, l.status)).collect();
        let known = self.last_sent.borrow();
        let gone = known.keys().filter(|k| k.0 == proxy && !reported.iter().any(|t| t.0 == k.1));
        let gone: Vec<_> = gone.map(|k| (k.1, Status::Deleted)).collect();
        reported.extend(gone);
        Some((200, self.json(model.version(), true, model.full_list()), reported))
    }
}
