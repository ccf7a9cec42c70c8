//! Discovery in a soak run: one list, which moves from address to address, with faults at the current one.

use super::plan::{DiscoveryFault, ListChange, ListMode, ListedState, SoakPlan, OLD_ADDRESS_LINGER};
use super::records::{ProcessEvent, ProcessId, Recorder};
use crate::driver::wire::{listen, Connection, ReadEvent, Request};
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::{watch, Mutex};
use tokio::task::AbortHandle;

/// The version of the list before the first change.
const FIRST_VERSION: u64 = 40;
/// Longest wait that a call may ask for.
const MAX_WAIT: Duration = Duration::from_secs(60);

/// What the calls at one address have to know of it.
#[derive(Clone, Copy, Default, PartialEq, Eq)]
struct AddressState {
    /// Raised to reset all connections.
    resets: u32,
    /// Raised to leave all open calls without an answer.
    silences: u32,
}

/// An address of discovery, with a port for each proxy.
struct Address {
    ports: Vec<SocketAddr>,
    state: watch::Sender<AddressState>,
    accepting: RefCell<Vec<AbortHandle>>,
    call_time: Duration,
    /// Calls are handled one at a time.
    call_lock: Mutex<()>,
    /// Until when every call is refused.
    refuses_until: Cell<Duration>,
}

/// The discovery service.
pub struct Discovery {
    plan: Rc<SoakPlan>,
    recorder: Rc<Recorder>,
    backends: Vec<SocketAddr>,
    version: watch::Sender<u64>,
    addresses: RefCell<Vec<Rc<Address>>>,
    /// The number of the current process of each proxy.
    pub starts: RefCell<Vec<u32>>,
    /// The Unix time at the start of the run, ms.
    unix_start_ms: u64,
}

/// Returns the version that a change makes.
pub fn version_of(change: usize) -> u64 {
    FIRST_VERSION + 1 + change as u64
}

fn query(request: &Request, name: &str) -> Option<u64> {
    let (_, query) = request.target.split_once('?')?;
    query.split('&').find_map(|pair| pair.strip_prefix(name)?.strip_prefix('=')?.parse().ok())
}

/// Records the end of a silent call when dropped.
struct SilentCall<'a> {
    recorder: &'a Recorder,
    process: ProcessId,
    wait_ends_at: Duration,
}

impl Drop for SilentCall<'_> {
    fn drop(&mut self) {
        let wait_ends_at = self.wait_ends_at;
        self.recorder.add_event(self.process, ProcessEvent::SilenceEnded { wait_ends_at });
    }
}

/// Waits until the state fulfils a condition. Holds no lock on the state afterwards, unlike the result of `wait_for`.
async fn condition(state: &mut watch::Receiver<AddressState>, is_met: impl Fn(&AddressState) -> bool) {
    let _ = state.wait_for(|state| is_met(state)).await; // fails if the address is dropped at the end of the run
}

impl Discovery {
    /// Starts the service at its first address.
    ///
    /// # Errors
    /// A port cannot be listened on.
    pub fn start(
        plan: Rc<SoakPlan>, recorder: Rc<Recorder>, backends: Vec<SocketAddr>,
    ) -> std::io::Result<Rc<Discovery>> {
        let unix = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH).unwrap_or_default();
        let proxies = plan.proxies;
        let discovery = Rc::new(Discovery {
            plan,
            recorder,
            backends,
            version: watch::channel(FIRST_VERSION).0,
            addresses: RefCell::default(),
            starts: RefCell::new(vec![0; proxies]),
            unix_start_ms: unix.as_millis() as u64,
        });
        discovery.open_address(Duration::ZERO, Duration::ZERO)?;
        Ok(discovery)
    }

    fn open_address(self: &Rc<Self>, refuses_until: Duration, call_time: Duration) -> std::io::Result<()> {
        let listeners: Vec<TcpListener> =
            (0..self.plan.proxies).map(|_| listen(None)).collect::<std::io::Result<_>>()?;
        let address = Rc::new(Address {
            ports: listeners.iter().map(TcpListener::local_addr).collect::<std::io::Result<_>>()?,
            state: watch::channel(AddressState::default()).0,
            accepting: RefCell::default(),
            call_time,
            call_lock: Mutex::new(()),
            refuses_until: Cell::new(refuses_until),
        });
        for (proxy, listener) in listeners.into_iter().enumerate() {
            let discovery = self.clone();
            let of = address.clone();
            let task = tokio::task::spawn_local(async move {
                while let Ok((tcp, _)) = listener.accept().await {
                    let connection = Connection::new(tcp);
                    tokio::task::spawn_local(discovery.clone().serve(of.clone(), proxy, connection));
                }
            });
            address.accepting.borrow_mut().push(task.abort_handle());
        }
        self.addresses.borrow_mut().push(address);
        Ok(())
    }

    fn current(&self) -> Option<Rc<Address>> {
        self.addresses.borrow().last().cloned()
    }

    /// Returns the current address for a proxy.
    pub fn address(&self, proxy: usize) -> Option<SocketAddr> {
        self.current().map(|address| address.ports[proxy])
    }

    /// Moves to a new address. The previous one accepts no further connection, and its open connections end after
    /// [`OLD_ADDRESS_LINGER`].
    ///
    /// # Errors
    /// A port cannot be listened on.
    pub fn move_on(self: &Rc<Self>, refuses_for: Duration, call_time: Duration) -> std::io::Result<()> {
        let Some(previous) = self.current() else { return Ok(()) };
        self.open_address(self.recorder.now() + refuses_for, call_time)?;
        previous.accepting.borrow_mut().drain(..).for_each(|task| task.abort());
        tokio::task::spawn_local(async move {
            tokio::time::sleep(OLD_ADDRESS_LINGER).await;
            previous.state.send_modify(|state| state.resets += 1);
        });
        Ok(())
    }

    /// Injects a fault at the current address.
    pub fn inject(&self, fault: DiscoveryFault) {
        let Some(address) = self.current() else { return };
        match fault {
            DiscoveryFault::Reset => address.state.send_modify(|state| state.resets += 1),
            DiscoveryFault::Silence => address.state.send_modify(|state| state.silences += 1),
            DiscoveryFault::Down(time) => {
                let until = self.recorder.now() + time;
                address.refuses_until.set(until.max(address.refuses_until.get()));
                address.state.send_modify(|state| state.resets += 1);
            }
        }
    }

    /// Publishes the change at this index of the plan.
    pub fn publish(&self, change: usize) {
        self.version.send_replace(version_of(change));
    }

    /// Returns the current version.
    pub fn version(&self) -> u64 {
        *self.version.borrow()
    }

    /// Returns the changes up to the current version.
    fn changes(&self) -> &[ListChange] {
        &self.plan.changes[..(self.version() - FIRST_VERSION) as usize]
    }

    fn entry(&self, backend: usize, last_change: Option<&ListChange>) -> serde_json::Value {
        let status = match last_change.map_or(ListedState::Ready, |change| change.state) {
            ListedState::Ready => "SERVING",
            ListedState::Draining => "DRAINING",
            ListedState::Removed => "DELETED",
        };
        let restarted = last_change.filter(|change| change.state == ListedState::Ready);
        serde_json::json!({
            "name": format!("s-{backend}"), "address": self.backends[backend].to_string(), "zone": "a",
            "type": "m", "group": backend % 3, "weight": 1.0, "status": status,
            "since_ms": restarted.map_or(0, |change| self.unix_start_ms + change.at.as_millis() as u64),
        })
    }

    /// Returns the full list, or the entries that changed after a version, and the version that it brings the
    /// receiver to.
    pub fn list(&self, after: Option<u64>) -> (u64, serde_json::Value) {
        let version = self.version();
        let after = after.filter(|after| (FIRST_VERSION..=version).contains(after));
        let changes = self.changes();
        let last = |backend: usize| changes.iter().rev().find(|change| change.backend == backend);
        let changed = |backend: &usize| match after {
            None => last(*backend).is_none_or(|change| change.state != ListedState::Removed),
            Some(after) => changes[(after - FIRST_VERSION) as usize..].iter().any(|c| c.backend == *backend),
        };
        let entries: Vec<_> = (0..self.backends.len())
            .filter(changed)
            .map(|backend| self.entry(backend, last(backend)))
            .collect();
        let list = serde_json::json!({"index": version, "snapshot": after.is_none(), "endpoints": entries});
        (version, list)
    }

    async fn serve(self: Rc<Self>, address: Rc<Address>, proxy: usize, mut connection: Connection) {
        let mut state = address.state.subscribe();
        let resets = state.borrow().resets;
        // The process that opened the connection; another one of the same proxy opens connections of its own.
        let process = ProcessId { proxy, start: self.starts.borrow()[proxy] };
        tokio::select! {
            _ = self.serve_calls(&address, process, &mut connection) => {}
            () = condition(&mut state, |state| state.resets != resets) => {}
        }
        let _ = socket2::SockRef::from(&connection.tcp).set_linger(Some(Duration::ZERO));
    }

    async fn serve_calls(&self, address: &Address, process: ProcessId, connection: &mut Connection) {
        while let Ok(Some(request)) = connection.request().await {
            let answered = tokio::select! {
                answered = self.answer(address, process, &request) => answered,
                event = connection.wait_read() => match event {
                    ReadEvent::End => return,
                    ReadEvent::Bytes => None, // proxies do not pipeline calls
                },
            };
            let (version, status, body) = match answered {
                Some((version, list)) => (Some(version), 200, list.to_string()),
                None => (None, 503, String::new()),
            };
            let head = format!("HTTP/1.1 {status} X\r\nContent-Length: {}\r\n\r\n", body.len());
            if connection.write((head + &body).as_bytes()).await.is_err() {
                return;
            }
            if let Some(version) = version {
                self.recorder.add_event(process, ProcessEvent::Notified { version });
            }
        }
    }

    /// Answers a call; `None` if it is refused. Never returns if the call falls silent.
    async fn answer(
        &self, address: &Address, process: ProcessId, request: &Request,
    ) -> Option<(u64, serde_json::Value)> {
        let after = query(request, "after");
        let wait = Duration::from_millis(query(request, "wait_ms").unwrap_or(0)).min(MAX_WAIT);
        let wait_ends_at = self.recorder.now() + wait;
        let mut state = address.state.subscribe();
        let silences = state.borrow().silences;
        let answered = async {
            self.handle_in_turn(address).await?;
            if let Some(after) = after {
                let mut version = self.version.subscribe();
                let _ = tokio::time::timeout(wait, version.wait_for(|version| *version > after)).await;
            }
            (self.recorder.now() >= address.refuses_until.get()).then(|| self.list(after))
        };
        tokio::select! {
            answered = answered => answered,
            () = condition(&mut state, |state| state.silences != silences) => {
                self.recorder.add_event(process, ProcessEvent::Silenced { wait_ends_at });
                let _silent = SilentCall { recorder: &self.recorder, process, wait_ends_at };
                std::future::pending().await
            }
        }
    }

    /// Takes the time of a call, behind the calls before it; `None` if the call is refused.
    async fn handle_in_turn(&self, address: &Address) -> Option<()> {
        if self.recorder.now() < address.refuses_until.get() {
            return None;
        }
        let _turn = address.call_lock.lock().await;
        if self.plan.mode == ListMode::Polled {
            tokio::time::sleep(address.call_time).await;
        }
        (self.recorder.now() >= address.refuses_until.get()).then_some(())
    }
}
