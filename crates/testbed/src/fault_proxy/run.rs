//! The relay on sockets: connections, words, and the record of the faults that happened.

use super::pipe::{Out, Pipe};
use super::plan::{draw, Due};
use super::script::{Direction, Route, Script};
use crate::driver::wire::listen;
use serde::Serialize;
use std::cell::{Cell, RefCell};
use std::collections::BTreeSet;
use std::hash::Hasher;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncBufReadExt, AsyncWriteExt, BufReader};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::time::Instant;
use xxhash_rust::xxh3::Xxh3;

/// Size of the read buffer, which all connections share: a buffer for each of 20,000 would take hundreds of megabytes.
const READ_SIZE: usize = 64 * 1024;
/// Longest line of a caller, bytes.
const MAX_LINE: u64 = 1024;
/// Pause before accepting again after an error, usually a lack of descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// A fault that happened on a connection.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
pub struct Done {
    /// The route's name.
    pub route: String,
    /// The number of the connection on the route, from 0.
    pub connection: u64,
    /// The index of the fault in the route's list.
    pub fault: usize,
    /// Bytes of its direction before the fault; `None` for faults that a time or a word triggers.
    pub at: Option<u64>,
}

/// State shared by all connections of a relay.
struct Shared {
    words: RefCell<BTreeSet<String>>,
    /// Notified of every given word.
    given: watch::Sender<()>,
    done: RefCell<Vec<Done>>,
    open: Cell<usize>,
    buffer: RefCell<Vec<u8>>,
}

/// A relay that runs as local tasks of the current thread.
pub struct Relay {
    /// The addresses of its routes, in the script's order.
    pub addresses: Vec<SocketAddr>,
    shared: Rc<Shared>,
    tasks: Vec<tokio::task::JoinHandle<()>>,
}

impl Relay {
    /// Listens on every route and relays until the value is dropped; connections open at that time continue
    /// until they end.
    ///
    /// # Errors
    /// Fails if the address of a route cannot be listened on.
    pub fn start(script: Script) -> std::io::Result<Relay> {
        let shared = Rc::new(Shared {
            words: RefCell::default(),
            given: watch::channel(()).0,
            done: RefCell::default(),
            open: Cell::default(),
            buffer: RefCell::new(vec![0; READ_SIZE]),
        });
        let script = Rc::new(script);
        let (mut addresses, mut tasks) = (Vec::new(), Vec::new());
        for (number, route) in script.route.iter().enumerate() {
            let listener = listen(Some(route.listen))?;
            addresses.push(listener.local_addr()?);
            tasks.push(tokio::task::spawn_local(serve(listener, script.clone(), number, shared.clone())));
        }
        Ok(Relay { addresses, shared, tasks })
    }

    /// Gives a word, which triggers the faults that wait for it on current and future connections.
    pub fn give_word(&self, word: &str) {
        self.shared.give_word(word);
    }

    /// Takes a word back, so that it no longer triggers faults.
    pub fn withdraw_word(&self, word: &str) {
        self.shared.words.borrow_mut().remove(word);
    }

    /// Returns the faults that happened so far, sorted, so that they do not depend on the order of concurrent
    /// connections.
    pub fn done(&self) -> Vec<Done> {
        let mut done = self.shared.done.borrow().clone();
        done.sort();
        done
    }

    /// Returns the number of open connections.
    pub fn open(&self) -> usize {
        self.shared.open.get()
    }

    /// Answers the commands `give WORD`, `take WORD`, `done` and `status`, one per line, on a control socket.
    ///
    /// # Errors
    /// Fails if the listener does.
    pub async fn control(&self, listener: TcpListener) -> std::io::Result<()> {
        loop {
            let (mut tcp, _) = listener.accept().await?;
            let (read, mut write) = tcp.split();
            let mut lines = BufReader::new(tokio::io::AsyncReadExt::take(read, MAX_LINE)).lines();
            while let Ok(Some(line)) = lines.next_line().await {
                let answer = match line.split_whitespace().collect::<Vec<_>>()[..] {
                    ["give", word] => {
                        self.give_word(word);
                        "given\n".to_string()
                    }
                    ["take", word] => {
                        self.withdraw_word(word);
                        "taken\n".to_string()
                    }
                    ["done"] => json(&self.done()),
                    ["status"] => json(&serde_json::json!({
                        "open": self.open(), "done": self.shared.done.borrow().len(),
                        "done_hash": format!("{:016x}", hash(&self.done())),
                        "words": self.shared.words.borrow().clone(),
                    })),
                    _ => "expected: give WORD, take WORD, done or status\n".to_string(),
                };
                lines.get_mut().get_mut().set_limit(MAX_LINE); // the limit is per line
                if write.write_all(answer.as_bytes()).await.is_err() {
                    break;
                }
            }
        }
    }
}

impl Drop for Relay {
    fn drop(&mut self) {
        self.tasks.iter().for_each(|task| task.abort());
    }
}

fn json(value: &impl Serialize) -> String {
    serde_json::to_string(value).unwrap_or_default() + "\n"
}

/// Hashes the faults that happened, given in sorted order.
pub fn hash(done: &[Done]) -> u64 {
    let mut hash = Xxh3::new();
    for d in done {
        hash.write(format!("{} {} {} {:?}\n", d.route, d.connection, d.fault, d.at).as_bytes());
    }
    hash.finish()
}

impl Shared {
    fn give_word(&self, word: &str) {
        self.words.borrow_mut().insert(word.into());
        self.given.send_replace(());
    }
}

async fn serve(listener: TcpListener, script: Rc<Script>, number: usize, shared: Rc<Shared>) {
    let mut count = 0;
    loop {
        let Ok((client, _)) = listener.accept().await else {
            tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            continue;
        };
        let Some(route) = script.route.get(number) else { return };
        let (planned, to, connection) = (draw(&script, number, count), route.to, count);
        count += 1;
        let pipes =
            [Direction::Up, Direction::Down].map(|direction| Pipe::new(route.frame, direction, &planned));
        let (shared, script) = (shared.clone(), script.clone());
        tokio::task::spawn_local(async move {
            shared.open.set(shared.open.get() + 1);
            if let Some(route) = script.route.get(number) {
                relay_connection(
                    client,
                    to,
                    pipes,
                    &planned,
                    FaultLog { shared: &shared, route, connection },
                )
                .await;
            }
            shared.open.set(shared.open.get() - 1);
        });
    }
}

/// The record to which a connection adds its faults.
#[derive(Clone, Copy)]
struct FaultLog<'a> {
    shared: &'a Shared,
    route: &'a Route,
    connection: u64,
}

/// The state of a connection, common to both directions.
#[derive(Clone, Copy, Debug, PartialEq)]
enum State {
    Open,
    /// Drops everything in both directions.
    Blackholed,
    Closed,
}

async fn relay_connection(
    client: TcpStream, to: SocketAddr, pipes: [Pipe; 2], planned: &[Due], log: FaultLog<'_>,
) {
    let Ok(server) = TcpStream::connect(to).await else {
        // The destination refused the connection, so that the client gets a reset.
        reset(&client);
        return;
    };
    let _ = (client.set_nodelay(true), server.set_nodelay(true));
    let (state, woken) = (Cell::new(State::Open), tokio::sync::Notify::new());
    let [up, down] = pipes;
    let directions =
        Directions { state: &state, woken: &woken, ends: [&client, &server], no_faults: planned.is_empty() };
    tokio::join!(
        relay_direction(&client, &server, up, directions, log),
        relay_direction(&server, &client, down, directions, log)
    );
}

/// State shared by the two directions of a connection.
#[derive(Clone, Copy)]
struct Directions<'a> {
    state: &'a Cell<State>,
    woken: &'a tokio::sync::Notify,
    ends: [&'a TcpStream; 2],
    /// The connection has no faults.
    no_faults: bool,
}

impl Directions<'_> {
    fn set_state(&self, state: State) {
        self.state.set(state);
        self.woken.notify_waiters();
    }

    fn is_closed(&self) -> bool {
        self.state.get() == State::Closed
    }
}

fn reset(tcp: &TcpStream) {
    let _ = socket2::SockRef::from(tcp).set_linger(Some(Duration::ZERO)); // makes the close that follows a reset
}

fn half_close(tcp: &TcpStream) {
    let _ = socket2::SockRef::from(tcp).shutdown(std::net::Shutdown::Write);
}

/// Relays one direction until it or the connection ends.
async fn relay_direction(
    from: &TcpStream, to: &TcpStream, mut pipe: Pipe, directions: Directions<'_>, log: FaultLog<'_>,
) {
    let started = Instant::now();
    let now = || started.elapsed().as_micros() as u64;
    let mut word_given = log.shared.given.subscribe();
    process_words(&mut pipe, now(), log);
    loop {
        while let Some(out) = pipe.pop(now()) {
            match out {
                Out::Bytes(bytes) => {
                    let written = write(to, &bytes, directions).await;
                    if written.is_err() {
                        // The receiver is gone; resets the sender's connection as if there were no relay.
                        reset(from);
                        return directions.set_state(State::Closed);
                    }
                }
                Out::HalfClose => half_close(to),
                Out::Cut => return directions.set_state(State::Closed),
                Out::Reset => {
                    directions.ends.into_iter().for_each(reset);
                    return directions.set_state(State::Closed);
                }
                Out::Blackhole => directions.set_state(State::Blackholed),
            }
            if directions.is_closed() {
                return;
            }
        }
        let woken = directions.woken.notified();
        match directions.state.get() {
            State::Closed => return,
            State::Blackholed => pipe.hang(),
            State::Open => {}
        }
        if pipe.is_finished() {
            return;
        }
        let (at, next) = (now(), pipe.next_due(now()));
        let due = async {
            match next {
                Some(at) => tokio::time::sleep_until(started + Duration::from_micros(at)).await,
                None => std::future::pending().await,
            }
        };
        let waits_for_word = pipe.awaited_words().next().is_some();
        tokio::select! {
            _ = woken => {}
            _ = due => pipe.tick(now()),
            _ = word_given.changed(), if waits_for_word => {}
            ready = from.readable(), if pipe.can_read(at) => {
                let outcome = ready.and_then(|()| {
                    let mut buffer = log.shared.buffer.borrow_mut();
                    let count = from.try_read(&mut buffer)?;
                    match count {
                        0 => pipe.end(now()),
                        _ => pipe.receive(now(), &buffer[..count]),
                    }
                    Ok(())
                });
                match outcome {
                    Err(e) if e.kind() != std::io::ErrorKind::WouldBlock => {
                        reset(to);
                        return directions.set_state(State::Closed);
                    }
                    _ => {}
                }
            }
        }
        if !directions.no_faults {
            process_words(&mut pipe, now(), log);
        }
    }
}

/// Triggers the faults that wait for given words, and records all faults that have happened.
fn process_words(pipe: &mut Pipe, now: u64, log: FaultLog) {
    let awaited: Vec<String> = {
        let given = log.shared.words.borrow();
        pipe.awaited_words().filter(|word| given.contains(*word)).map(String::from).collect()
    };
    awaited.iter().for_each(|word| pipe.give_word(now, word));
    for fault in pipe.happened.drain(..) {
        let (route, connection) = (log.route.name.clone(), log.connection);
        log.shared.done.borrow_mut().push(Done { route, connection, fault: fault.index, at: fault.at });
        if let Some(word) = fault.gives {
            log.shared.give_word(&word);
        }
    }
}

/// Writes all bytes unless the connection ends first.
async fn write(to: &TcpStream, mut bytes: &[u8], directions: Directions<'_>) -> std::io::Result<()> {
    while !bytes.is_empty() {
        match to.try_write(bytes) {
            Ok(count) => bytes = &bytes[count..],
            Err(e) if e.kind() == std::io::ErrorKind::WouldBlock => {
                let woken = directions.woken.notified();
                if directions.is_closed() {
                    return Ok(());
                }
                tokio::select! {
                    ready = to.writable() => ready?,
                    _ = woken => {}
                }
            }
            Err(e) => return Err(e),
        }
    }
    Ok(())
}
