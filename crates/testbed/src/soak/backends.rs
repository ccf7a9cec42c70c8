//! Backends in a soak run: they answer after a short time, turn requests away while they are not listed as ready, and
//! some hang.

use super::bodies;
use super::pace::Pace;
use super::plan::{ListedState, SoakPlan};
use super::records::Recorder;
use crate::driver::wire::{listen, Connection};
use crate::record::{body, TryId};
use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::watch;

/// Length of an answer's body, in bytes.
pub const ANSWER_BYTES: usize = 200;
/// The shortest service time; it is longer by up to `SERVICE_TIME_SPREAD_MS`.
const MIN_SERVICE_TIME_MS: u64 = 2;
const SERVICE_TIME_SPREAD_MS: u64 = 30;

/// The backends of a run.
pub struct Backends {
    plan: Rc<SoakPlan>,
    recorder: Rc<Recorder>,
    states: RefCell<Vec<ListedState>>,
    /// Number of restarts of each backend, each of which resets its connections.
    restarts: Vec<watch::Sender<u32>>,
}

impl Backends {
    /// Starts all backends and returns them with their addresses.
    ///
    /// # Errors
    /// A port cannot be listened on.
    pub fn start(
        plan: Rc<SoakPlan>, recorder: Rc<Recorder>,
    ) -> std::io::Result<(Rc<Backends>, Vec<SocketAddr>)> {
        let count = plan.backends;
        let backends = Rc::new(Backends {
            plan,
            recorder,
            states: RefCell::new(vec![ListedState::Ready; count]),
            restarts: (0..count).map(|_| watch::channel(0).0).collect(),
        });
        let mut addresses = Vec::new();
        for backend in 0..count {
            let listener = listen(None)?;
            addresses.push(listener.local_addr()?);
            tokio::task::spawn_local(backends.clone().accept(backend, listener));
        }
        Ok((backends, addresses))
    }

    async fn accept(self: Rc<Self>, backend: usize, listener: TcpListener) {
        while let Ok((tcp, _)) = listener.accept().await {
            let backends = self.clone();
            tokio::task::spawn_local(async move {
                let mut restarts = backends.restarts[backend].subscribe();
                let before = *restarts.borrow();
                let mut connection = Connection::new(tcp);
                tokio::select! {
                    () = backends.serve(backend, &mut connection) => {}
                    _ = restarts.wait_for(|restarts| *restarts != before) => {}
                }
            });
        }
    }

    /// Changes the state of a backend at the same time as its entry in the list.
    pub fn set_state(&self, backend: usize, state: ListedState) {
        self.states.borrow_mut()[backend] = state;
        if state == ListedState::Ready {
            self.restarts[backend].send_modify(|restarts| *restarts += 1);
        }
    }

    fn hangs(&self, backend: usize) -> bool {
        let now = self.recorder.now();
        self.plan.hangs.iter().any(|hang| hang.backend == backend && (hang.at..hang.until).contains(&now))
    }

    async fn serve(&self, backend: usize, connection: &mut Connection) {
        loop {
            let Some((target, id)) = connection.next_target().await else { return };
            if let (Some(pace), Some(id)) = (Pace::parse(&target), id) {
                return self.serve_body(backend, connection, pace, id).await;
            }
            let Ok(Some(request)) = connection.request().await else { return };
            let Some(id) = request.id else { return };
            let turned_away = self.states.borrow()[backend] != ListedState::Ready;
            self.recorder.add_attempt(id, backend, turned_away);
            if turned_away {
                let answer = "HTTP/1.1 503 X\r\nX-Unprocessed: 1\r\nContent-Length: 0\r\n\r\n";
                if connection.write(answer.as_bytes()).await.is_err() {
                    return;
                }
                continue;
            }
            if self.hangs(backend) {
                std::future::pending::<()>().await;
            }
            tokio::time::sleep(service_time(id)).await;
            let text = body(id, ANSWER_BYTES);
            let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", text.len());
            if connection.write(&[head.as_bytes(), &text].concat()).await.is_err() {
                return;
            }
        }
    }
}

impl Backends {
    /// Serves a request with a large body or answer; its connection ends with it.
    async fn serve_body(&self, backend: usize, connection: &mut Connection, pace: Pace, id: TryId) {
        let turned_away = self.states.borrow()[backend] != ListedState::Ready;
        self.recorder.add_attempt(id, backend, turned_away);
        if turned_away {
            let answer =
                "HTTP/1.1 503 X\r\nX-Unprocessed: 1\r\nContent-Length: 0\r\nConnection: close\r\n\r\n";
            let _ = connection.write(answer.as_bytes()).await;
            return;
        }
        if self.hangs(backend) {
            std::future::pending::<()>().await;
        }
        bodies::serve(pace, &mut connection.tcp, &self.recorder, id, backend).await;
    }
}

fn service_time(id: TryId) -> Duration {
    Duration::from_millis(MIN_SERVICE_TIME_MS + u64::from(id.arrival) * 7 % SERVICE_TIME_SPREAD_MS)
}
