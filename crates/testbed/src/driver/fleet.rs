//! The fleet on sockets: every backend listens, reads requests, and answers each when its station has finished the
//! work.

use super::wire::{listen, Connection, ReadEvent, Request, Reserved};
use super::{Clock, Log};
use crate::experiment::Effect;
use crate::record::{body, Observation, RequestEnd, TryId};
use crate::world::backend::{Backend, Health};
use crate::world::plan::Plan;
use crate::world::station::Ticket;
use lotusdeck_policy::Time;
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use tokio::sync::{oneshot, watch, Notify};
use tokio::task::AbortHandle;

/// How often a backend's connections have been reset, and whether its machine hangs.
type Liveness = (u64, bool);

struct Slot {
    model: Backend,
    address: SocketAddr,
    /// Requests that it holds, with the channel that signals their end.
    open: HashMap<Ticket, (TryId, oneshot::Sender<()>)>,
    liveness: watch::Sender<Liveness>,
    rescheduled: Rc<Notify>,
    accepting: Option<AbortHandle>,
    /// Keeps its port reserved while the process is down.
    _port: Reserved,
}

/// All backends of a run.
pub struct Fleet {
    plan: Arc<Plan>,
    clock: Clock,
    log: Log,
    slots: RefCell<Vec<Slot>>,
    tickets: Cell<Ticket>,
}

impl Fleet {
    /// Starts all backends, each on a port of its own.
    pub fn start(plan: Arc<Plan>, clock: Clock, log: Log) -> std::io::Result<Rc<Fleet>> {
        let mut slots = Vec::new();
        let mut listeners = Vec::new();
        for spec in &plan.fleet {
            let port = Reserved::bind(None)?;
            let listener = listen(Some(port.address()))?;
            slots.push(Slot {
                _port: port,
                model: Backend::new(spec.clone(), plan.fall_rule(), Time(0)),
                address: listener.local_addr()?,
                open: HashMap::new(),
                liveness: watch::channel((0, false)).0,
                rescheduled: Rc::default(),
                accepting: None,
            });
            listeners.push(listener);
        }
        let fleet = Rc::new(Fleet { plan, clock, log, slots: RefCell::new(slots), tickets: Cell::new(0) });
        for (b, listener) in listeners.into_iter().enumerate() {
            fleet.accept(b, listener);
            tokio::task::spawn_local(fleet.clone().end_finished(b));
        }
        Ok(fleet)
    }

    /// Returns the backends' addresses.
    pub fn addresses(&self) -> Vec<SocketAddr> {
        self.slots.borrow().iter().map(|s| s.address).collect()
    }

    /// Returns when a backend last started; `None` means before the run.
    pub fn booted(&self, b: usize) -> Option<Time> {
        self.slots.borrow()[b].model.booted
    }

    /// Changes the model of some backends, after ending the work that they have finished.
    pub fn change(&self, which: &[usize], change: impl Fn(&mut Backend, Time)) {
        let now = self.clock.now();
        for &b in which {
            self.end_finished_attempts(b, now);
            let mut slots = self.slots.borrow_mut();
            change(&mut slots[b].model, now);
            slots[b].rescheduled.notify_one();
        }
    }

    /// Ends the process: its connections are reset, and new ones refused.
    pub fn kill(&self, b: usize) {
        self.change(&[b], |model, now| model.set_health(now, Health::Down));
        let mut slots = self.slots.borrow_mut();
        slots[b].accepting.take().into_iter().for_each(|a| a.abort());
        self.reset_connections(&mut slots[b], b, false);
    }

    /// Starts the process again, on the same address.
    pub fn restart(self: &Rc<Self>, b: usize) -> std::io::Result<()> {
        let address = self.slots.borrow()[b].address;
        let listener = listen(Some(address))?;
        self.change(&[b], |model, now| model.set_health(now, Health::Up));
        self.accept(b, listener);
        Ok(())
    }

    /// Hangs the machine, or brings it back, which resets the connections that it had.
    pub fn hang(&self, b: usize, silent: bool) {
        let health = if silent { Health::Hung } else { Health::Up };
        self.change(&[b], |model, now| model.set_health(now, health));
        let mut slots = self.slots.borrow_mut();
        if silent {
            slots[b].liveness.send_modify(|liveness| liveness.1 = true);
        } else {
            self.reset_connections(&mut slots[b], b, false);
        }
    }

    /// Records for each backend the worst window of work sent while it was cold.
    pub fn record_pressure(&self) {
        for (backend, slot) in self.slots.borrow().iter().enumerate() {
            let pressure = slot.model.pressure;
            if pressure.sent > 0.0 {
                self.log.add(Observation::Pressure { backend, sent: pressure.sent, bears: pressure.limit });
            }
        }
    }

    fn reset_connections(&self, slot: &mut Slot, backend: usize, silent: bool) {
        for (_, (id, _)) in slot.open.drain() {
            self.log.add(Observation::Ended { id, backend, how: RequestEnd::Died });
        }
        slot.liveness.send_modify(|liveness| *liveness = (liveness.0 + 1, silent));
    }

    fn accept(self: &Rc<Self>, b: usize, listener: tokio::net::TcpListener) {
        let fleet = self.clone();
        let task = tokio::task::spawn_local(async move {
            loop {
                match listener.accept().await {
                    Ok((tcp, _)) => drop(tokio::task::spawn_local(fleet.clone().connection(b, tcp))),
                    Err(_) => tokio::time::sleep(std::time::Duration::from_millis(5)).await,
                }
            }
        });
        self.slots.borrow_mut()[b].accepting = Some(task.abort_handle());
    }

    /// Ends finished requests, for as long as the run lasts.
    async fn end_finished(self: Rc<Self>, b: usize) {
        let rescheduled = self.slots.borrow()[b].rescheduled.clone();
        loop {
            let next = self.slots.borrow()[b].model.next();
            match next {
                None => rescheduled.notified().await,
                Some(at) => tokio::select! {
                    _ = tokio::time::sleep_until(self.clock.instant(at)) => {}
                    _ = rescheduled.notified() => {}
                },
            }
            self.end_finished_attempts(b, self.clock.now());
        }
    }

    fn end_finished_attempts(&self, b: usize, now: Time) {
        let mut ended = Vec::new();
        let mut slots = self.slots.borrow_mut();
        slots[b].model.due(now, &mut ended);
        for (_, ticket) in ended {
            if let Some((id, done)) = slots[b].open.remove(&ticket) {
                self.log.add(Observation::Ended { id, backend: b, how: RequestEnd::Served });
                let _ = done.send(());
            }
        }
    }

    fn ticket(&self) -> Ticket {
        self.tickets.set(self.tickets.get() + 1);
        self.tickets.get()
    }

    async fn connection(self: Rc<Self>, b: usize, tcp: tokio::net::TcpStream) {
        let mut liveness = self.slots.borrow()[b].liveness.subscribe();
        let resets = liveness.borrow().0;
        let mut connection = Connection::new(tcp);
        let opened = self.ticket();
        self.end_finished_attempts(b, self.clock.now());
        {
            let mut slots = self.slots.borrow_mut();
            slots[b].model.opened(self.clock.now(), opened);
            slots[b].rescheduled.notify_one();
        }
        let reset = liveness.wait_for(|liveness| liveness.0 != resets);
        tokio::select! {
            _ = self.serve_connection(b, &mut connection) => {}
            _ = reset => {
                // A process that ends resets its connections.
                let _ = socket2::SockRef::from(&connection.tcp).set_linger(Some(std::time::Duration::ZERO));
                return;
            }
        }
        let mut slots = self.slots.borrow_mut();
        if slots[b].liveness.borrow().0 == resets {
            slots[b].model.closed();
        }
    }

    async fn serve_connection(&self, b: usize, connection: &mut Connection) {
        let mut liveness = self.slots.borrow()[b].liveness.subscribe();
        loop {
            let request = match connection.request().await {
                Ok(Some(request)) => request,
                Ok(None) => return,
                Err(e) => {
                    if let super::wire::Fault::Unreadable(what) = e {
                        self.log.add(Observation::Foreign { backend: b, text: what.into() });
                    }
                    return;
                }
            };
            if liveness.wait_for(|liveness| !liveness.1).await.is_err() {
                return;
            }
            let Some((id, bytes, key, work)) = self.identify(&request) else {
                let text = format!("{} {}", request.method, request.target);
                self.log.add(Observation::Foreign { backend: b, text });
                let _ = connection.write(b"HTTP/1.1 400 Bad Request\r\nContent-Length: 0\r\n\r\n").await;
                continue;
            };
            let (ticket, now) = (self.ticket(), self.clock.now());
            self.log.add(Observation::Began { id, backend: b });
            self.end_finished_attempts(b, now);
            let (done, mut wait) = oneshot::channel();
            let taken = {
                let mut slots = self.slots.borrow_mut();
                let taken = slots[b].model.arrive(now, ticket, key, work);
                if taken.is_ok() {
                    slots[b].open.insert(ticket, (id, done));
                    slots[b].rescheduled.notify_one();
                }
                taken
            };
            if taken.is_err() {
                self.log.add(Observation::Ended { id, backend: b, how: RequestEnd::TurnedAway });
                let rejection =
                    "HTTP/1.1 503 Service Unavailable\r\nX-Unprocessed: 1\r\nContent-Length: 0\r\n\r\n";
                if connection.write(rejection.as_bytes()).await.is_err() {
                    return;
                }
                continue;
            }
            let guard = WithdrawOnDrop { fleet: self, b, ticket };
            tokio::select! {
                served = &mut wait => if served.is_err() { return },
                _ = closed(connection) => return, // dropping `guard` withdraws the request
            }
            drop(guard);
            let text = body(id, bytes);
            let mut answer =
                format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", text.len()).into_bytes();
            answer.extend_from_slice(&text);
            if connection.write(&answer).await.is_err() {
                return;
            }
        }
    }

    /// Returns the id, answer size, key and work of a request, if a client of this run sent it in exactly this
    /// form.
    fn identify(&self, request: &Request) -> Option<(TryId, usize, u64, f64)> {
        let id = request.id?;
        let arrival = self.plan.arrivals.get(id.arrival as usize)?;
        let class = &self.plan.experiment.class[arrival.class];
        let (method, sent) = match class.effect {
            Effect::Free => ("GET", Vec::new()),
            Effect::SingleShot => ("POST", body(id, class.body_bytes)),
        };
        let same = request.method == method
            && request.target == format!("/{}/k{}", class.name, arrival.key)
            && request.body == sent;
        same.then_some((id, class.answer_bytes, arrival.key, arrival.work))
    }
}

async fn closed(connection: &mut Connection) {
    if connection.wait_read().await == ReadEvent::Bytes {
        std::future::pending().await // a pipelined request, which is read later
    }
}

/// Withdraws a request from its backend when dropped before the request has ended, as when its connection closes.
struct WithdrawOnDrop<'a> {
    fleet: &'a Fleet,
    b: usize,
    ticket: Ticket,
}

impl Drop for WithdrawOnDrop<'_> {
    fn drop(&mut self) {
        let now = self.fleet.clock.now();
        let mut slots = self.fleet.slots.borrow_mut();
        if let Some((id, _)) = slots[self.b].open.remove(&self.ticket) {
            slots[self.b].model.withdraw(now, self.ticket);
            slots[self.b].rescheduled.notify_one();
            self.fleet.log.add(Observation::Ended { id, backend: self.b, how: RequestEnd::Withdrawn });
        }
    }
}
