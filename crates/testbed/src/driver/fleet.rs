//! The fleet on sockets: every backend listens, reads requests and answers when its station is through with them.

use super::wire::{listen, Link, ReadEvent, Request, Reserved};
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

/// A machine that is silent, or a process that ends: its connections go with it.
type Life = (u64, bool);

struct Slot {
    model: Backend,
    address: SocketAddr,
    /// Requests that it holds, and who waits for their end.
    open: HashMap<Ticket, (TryId, oneshot::Sender<()>)>,
    life: watch::Sender<Life>,
    sooner: Rc<Notify>,
    accepting: Option<AbortHandle>,
    /// Its port: nobody gets it while it is dead.
    _held: Reserved,
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
    /// Binds a port for each.
    pub fn start(plan: Arc<Plan>, clock: Clock, log: Log) -> std::io::Result<Rc<Fleet>> {
        let mut slots = Vec::new();
        let mut listeners = Vec::new();
        for spec in &plan.fleet {
            let held = Reserved::take(None)?;
            let listener = listen(Some(held.address()))?;
            slots.push(Slot {
                _held: held,
                model: Backend::new(spec.clone(), plan.fall_rule(), Time(0)),
                address: listener.local_addr()?,
                open: HashMap::new(),
                life: watch::channel((0, false)).0,
                sooner: Rc::default(),
                accepting: None,
            });
            listeners.push(listener);
        }
        let fleet = Rc::new(Fleet { plan, clock, log, slots: RefCell::new(slots), tickets: Cell::new(0) });
        for (b, listener) in listeners.into_iter().enumerate() {
            fleet.accept(b, listener);
            tokio::task::spawn_local(fleet.clone().work(b));
        }
        Ok(fleet)
    }

    /// Where they listen.
    pub fn addresses(&self) -> Vec<SocketAddr> {
        self.slots.borrow().iter().map(|s| s.address).collect()
    }

    /// When a backend last started.
    pub fn booted(&self, b: usize) -> Option<Time> {
        self.slots.borrow()[b].model.booted
    }

    /// Changes the model of some backends.
    pub fn change(&self, which: &[usize], change: impl Fn(&mut Backend, Time)) {
        let now = self.clock.now();
        for &b in which {
            self.settle(b, now);
            let mut slots = self.slots.borrow_mut();
            change(&mut slots[b].model, now);
            slots[b].sooner.notify_one();
        }
    }

    /// The process ends: its connections are reset, new ones refused.
    pub fn kill(&self, b: usize) {
        self.change(&[b], |model, now| model.turn(now, Health::Down));
        let mut slots = self.slots.borrow_mut();
        slots[b].accepting.take().into_iter().for_each(|a| a.abort());
        self.cut(&mut slots[b], b, false);
    }

    /// A process starts where one had ended.
    pub fn revive(self: &Rc<Self>, b: usize) -> std::io::Result<()> {
        let address = self.slots.borrow()[b].address;
        let listener = listen(Some(address))?;
        self.change(&[b], |model, now| model.turn(now, Health::Up));
        self.accept(b, listener);
        Ok(())
    }

    /// The machine goes silent, or is back: then the connections that it had are reset.
    pub fn hang(&self, b: usize, silent: bool) {
        let health = if silent { Health::Hung } else { Health::Up };
        self.change(&[b], |model, now| model.turn(now, health));
        let mut slots = self.slots.borrow_mut();
        if silent {
            slots[b].life.send_modify(|life| life.1 = true);
        } else {
            self.cut(&mut slots[b], b, false);
        }
    }

    /// Writes down the worst that each was sent while cold.
    pub fn report(&self) {
        for (backend, slot) in self.slots.borrow().iter().enumerate() {
            let p = slot.model.pressure;
            if p.sent > 0.0 {
                self.log.add(Observation::Pressure { backend, sent: p.sent, bears: p.bears });
            }
        }
    }

    fn cut(&self, slot: &mut Slot, backend: usize, silent: bool) {
        for (_, (id, _)) in slot.open.drain() {
            self.log.add(Observation::Ended { id, backend, how: RequestEnd::Died });
        }
        slot.life.send_modify(|life| *life = (life.0 + 1, silent));
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

    /// Ends what is through, for as long as the run lasts.
    async fn work(self: Rc<Self>, b: usize) {
        let sooner = self.slots.borrow()[b].sooner.clone();
        loop {
            let next = self.slots.borrow()[b].model.next();
            match next {
                None => sooner.notified().await,
                Some(at) => tokio::select! {
                    _ = tokio::time::sleep_until(self.clock.instant(at)) => {}
                    _ = sooner.notified() => {}
                },
            }
            self.settle(b, self.clock.now());
        }
    }

    fn settle(&self, b: usize, now: Time) {
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
        let mut life = self.slots.borrow()[b].life.subscribe();
        let born = life.borrow().0;
        let mut link = Link::new(tcp);
        let opened = self.ticket();
        self.settle(b, self.clock.now());
        {
            let mut slots = self.slots.borrow_mut();
            slots[b].model.opened(self.clock.now(), opened);
            slots[b].sooner.notify_one();
        }
        let died = life.wait_for(|life| life.0 != born);
        tokio::select! {
            _ = self.talk(b, &mut link) => {}
            _ = died => {
                // A process that ends resets what it had open.
                let _ = socket2::SockRef::from(&link.tcp).set_linger(Some(std::time::Duration::ZERO));
                return;
            }
        }
        let mut slots = self.slots.borrow_mut();
        if slots[b].life.borrow().0 == born {
            slots[b].model.closed();
        }
    }

    async fn talk(&self, b: usize, link: &mut Link) {
        let mut life = self.slots.borrow()[b].life.subscribe();
        loop {
            let request = match link.request().await {
                Ok(Some(request)) => request,
                Ok(None) => return,
                Err(e) => {
                    if let super::wire::Fault::Unreadable(what) = e {
                        self.log.add(Observation::Foreign { backend: b, text: what.into() });
                    }
                    return;
                }
            };
            if life.wait_for(|life| !life.1).await.is_err() {
                return;
            }
            let Some((id, bytes, key, work)) = self.known(&request) else {
                let text = format!("{} {}", request.method, request.target);
                self.log.add(Observation::Foreign { backend: b, text });
                let _ = link.write(b"HTTP/1.1 400 Bad Request\r\nContent-Length: 0\r\n\r\n").await;
                continue;
            };
            let (ticket, now) = (self.ticket(), self.clock.now());
            self.log.add(Observation::Began { id, backend: b });
            self.settle(b, now);
            let (done, mut wait) = oneshot::channel();
            let taken = {
                let mut slots = self.slots.borrow_mut();
                let taken = slots[b].model.arrive(now, ticket, key, work);
                if taken.is_ok() {
                    slots[b].open.insert(ticket, (id, done));
                    slots[b].sooner.notify_one();
                }
                taken
            };
            if taken.is_err() {
                self.log.add(Observation::Ended { id, backend: b, how: RequestEnd::TurnedAway });
                let away =
                    "HTTP/1.1 503 Service Unavailable\r\nX-Unprocessed: 1\r\nContent-Length: 0\r\n\r\n";
                if link.write(away.as_bytes()).await.is_err() {
                    return;
                }
                continue;
            }
            let held = Held { fleet: self, b, ticket };
            tokio::select! {
                served = &mut wait => if served.is_err() { return },
                _ = closed(link) => return, // `held` takes the work back
            }
            drop(held);
            let text = body(id, bytes);
            let mut answer =
                format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", text.len()).into_bytes();
            answer.extend_from_slice(&text);
            if link.write(&answer).await.is_err() {
                return;
            }
        }
    }

    /// The request that a client of this run sent, unchanged: its id, the bytes of its answer, key and work.
    fn known(&self, request: &Request) -> Option<(TryId, usize, u64, f64)> {
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

async fn closed(link: &mut Link) {
    if link.wait_read().await == ReadEvent::Bytes {
        std::future::pending().await // the next request, sent ahead: it waits its turn
    }
}

/// Takes a request back from its backend when its connection ends before its answer.
struct Held<'a> {
    fleet: &'a Fleet,
    b: usize,
    ticket: Ticket,
}

impl Drop for Held<'_> {
    fn drop(&mut self) {
        let now = self.fleet.clock.now();
        let mut slots = self.fleet.slots.borrow_mut();
        if let Some((id, _)) = slots[self.b].open.remove(&self.ticket) {
            slots[self.b].model.withdraw(now, self.ticket);
            slots[self.b].sooner.notify_one();
            self.fleet.log.add(Observation::Ended { id, backend: self.b, how: RequestEnd::Withdrawn });
        }
    }
}
