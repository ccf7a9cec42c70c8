//! Limits for the whole fleet (docs/fleet-limits.md): several processes of the program on loopback, connected by the
//! testbed's links, which lose, delay and duplicate datagrams and can be cut.
#![allow(
    clippy::unwrap_used,
    clippy::expect_used,
    clippy::too_many_lines,
    reason = "tests panic on unexpected results"
)]

mod rig;

use lotusdeck_testbed::fault_proxy::links::{Link, Links, CUT};
use rig::*;
use std::collections::HashSet;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

const SIZE: usize = 4;
const TERM: Duration = Duration::from_millis(500);

/// Proxies of one fleet behind links, with the limit that they share.
struct Fleet {
    links: Links,
    proxies: Vec<Proxy>,
    operators: Vec<PathBuf>,
    backend: BackendServer,
}

impl Fleet {
    fn start(name: &str, limit: &str, backend: BackendServer) -> Fleet {
        let links = Links::start(SIZE, 7).unwrap();
        let folder = std::env::temp_dir().join(format!("lotusdeck-fleet-{}-{name}", std::process::id()));
        std::fs::create_dir_all(&folder).unwrap();
        let members: Vec<String> =
            links.addresses.iter().enumerate().map(|(n, at)| format!("{n}@{at}")).collect();
        let operators = (0..SIZE).map(|n| {
            let path = folder.join(format!("{n}.toml"));
            let text = format!(
                "[fleet]\nlisten = \"127.0.0.1:0\"\nadvertise = \"{}\"\nmembers = \"{}\"\nsite = \"{name}\"\n\
                 term_ms = {}\n[[limit]]\nname = \"all\"\n{limit}\n",
                links.addresses[n],
                members[..2].join(" "), // the others are discovered through these
                TERM.as_millis()
            );
            std::fs::write(&path, text).unwrap();
            path
        });
        let mut fleet = Fleet { operators: operators.collect(), proxies: Vec::new(), links, backend };
        for n in 0..SIZE {
            let proxy = fleet.launch(n);
            fleet.proxies.push(proxy);
        }
        fleet
    }

    fn launch(&self, n: usize) -> Proxy {
        let settings = SETTINGS
            .replace("\"position\":0", &format!("\"position\":{n}"))
            .replace("\"group_size\":1", &format!("\"group_size\":{SIZE}"));
        // Sixteen names for one backend, as the decision module keeps no more than four attempts in flight on each.
        let known: Vec<String> =
            (0..16).map(|b| entry(&format!("b{b}"), self.backend.address, "SERVING")).collect();
        let proxy = Proxy::with_operator_file_and_settings(&known, &self.operators[n], &settings);
        let line = proxy.wait_for_log("fleet listening");
        let at = line.split("address=").nth(1).unwrap().split_whitespace().next().unwrap();
        self.links.set_member_address(n, at.parse().unwrap());
        proxy
    }

    /// Kills a proxy and starts it again.
    fn restart(&mut self, n: usize) {
        let _ = self.proxies[n].child.kill();
        let _ = self.proxies[n].child.wait();
        self.proxies[n] = self.launch(n);
    }

    fn status(&self, n: usize) -> serde_json::Value {
        let call = "GET /admin/status HTTP/1.1\r\nHost: o\r\n\r\n";
        let answer = Client::connect(self.proxies[n].admin).ask(call);
        serde_json::from_slice::<serde_json::Value>(&answer.body).unwrap()["fleet"].clone()
    }

    /// Waits until a proxy sees `members` other proxies.
    fn wait_for_members(&self, n: usize, members: u64) {
        wait_until(&format!("proxy {n} sees {members} others"), || self.status(n)["members"] == members);
    }

    /// Sets the links between a proxy and all others, in both directions.
    fn set_links(&self, n: usize, link: Link) {
        for other in (0..SIZE).filter(|o| *o != n) {
            self.links.set(n, other, link);
            self.links.set(other, n, link);
        }
    }
}

fn wait_until(what: &str, mut done: impl FnMut() -> bool) {
    let end = Instant::now() + TEST_TIMEOUT;
    while !done() {
        assert!(Instant::now() < end, "timed out waiting until {what}");
        std::thread::sleep(Duration::from_millis(20));
    }
}

/// The answers that clients received, each with its time, proxy and status.
type Answers = Arc<Mutex<Vec<(Instant, usize, u16)>>>;

/// One client for each proxy, which makes requests at its own rate until the load ends and records the answers.
struct Load {
    stop: Arc<AtomicBool>,
    threads: Vec<std::thread::JoinHandle<()>>,
    answers: Answers,
    /// Requests without an answer, as when the proxy is killed.
    unanswered: Arc<AtomicU64>,
    addresses: Vec<Arc<Mutex<SocketAddr>>>,
}

impl Load {
    fn start(fleet: &Fleet, per_s: [f64; SIZE], request: fn() -> String) -> Load {
        let (stop, answers, unanswered) =
            (Arc::<AtomicBool>::default(), Answers::default(), Arc::<AtomicU64>::default());
        let addresses: Vec<_> = fleet.proxies.iter().map(|p| Arc::new(Mutex::new(p.address))).collect();
        let thread = |(n, address): (usize, &Arc<Mutex<SocketAddr>>)| {
            let (stop, answers, unanswered, address) =
                (stop.clone(), answers.clone(), unanswered.clone(), address.clone());
            let gap = Duration::from_secs_f64(1.0 / per_s[n]);
            std::thread::spawn(move || {
                let mut due = Instant::now();
                while !stop.load(Ordering::SeqCst) {
                    due = (due + gap).max(Instant::now() - gap);
                    std::thread::sleep(due.saturating_duration_since(Instant::now()));
                    let at = *address.lock().unwrap();
                    let answer = std::net::TcpStream::connect(at).ok().and_then(|tcp| {
                        tcp.set_read_timeout(Some(TEST_TIMEOUT)).ok()?;
                        let mut client = Client(std::io::BufReader::new(tcp));
                        std::io::Write::write_all(client.0.get_mut(), request().as_bytes()).ok()?;
                        client.answer()
                    });
                    match answer {
                        Some(m) => {
                            assert!(m.status() != 503 || m.header("retry-after").is_some(), "{m:?}");
                            answers.lock().unwrap().push((Instant::now(), n, m.status()));
                        }
                        None => drop(unanswered.fetch_add(1, Ordering::SeqCst)),
                    }
                }
            })
        };
        let threads = addresses.iter().enumerate().map(thread).collect();
        Load { threads, stop, answers, unanswered, addresses }
    }

    /// Returns how many requests a second one proxy served in the last `span`.
    fn served(&self, n: usize, span: Duration) -> f64 {
        let from = Instant::now() - span;
        let answers = self.answers.lock().unwrap();
        answers.iter().filter(|s| s.0 >= from && s.1 == n && s.2 == 200).count() as f64 / span.as_secs_f64()
    }

    fn set_address(&self, n: usize, to: SocketAddr) {
        *self.addresses[n].lock().unwrap() = to;
    }

    /// Ends the load and returns the answers; panics if one is neither 200 nor 503.
    fn end(self) -> Vec<(Instant, usize, u16)> {
        self.stop.store(true, Ordering::SeqCst);
        self.threads.into_iter().for_each(|t| t.join().unwrap());
        let answers = self.answers.lock().unwrap().clone();
        assert!(answers.iter().all(|s| matches!(s.2, 200 | 503)), "served or refused, nothing else");
        answers
    }
}

/// Asserts the bound of docs/fleet-limits.md: in any span no more requests than the rate allows for it, a burst, and
/// one for each proxy.
fn assert_bound(answers: &[(Instant, usize, u16)], rate: f64, burst_s: f64) {
    let Some(first) = answers.first().map(|s| s.0) else { panic!("no answer was received") };
    let mut served: Vec<f64> =
        answers.iter().filter(|s| s.2 == 200).map(|s| (s.0 - first).as_secs_f64()).collect();
    served.sort_by(f64::total_cmp);
    let (mut least, mut worst) = (f64::INFINITY, 0.0f64);
    for (k, at) in served.iter().enumerate() {
        let excess = k as f64 - rate * at;
        least = least.min(excess);
        worst = worst.max(excess - least + 1.0);
    }
    // These are times at the clients: answers that were delayed come closer together than their requests were
    // admitted.
    let (allowed, late) = (rate * burst_s + SIZE as f64, rate * 0.25);
    println!("{} served; {worst:.1} over the rate at most, {allowed:.1} allowed", served.len());
    assert!(worst <= allowed + late, "{worst:.1} over, {allowed:.1} allowed and {late:.1} for late answers");
}

/// One proxy gets most of the traffic and borrows what the others do not use. Cut off, it falls back to its own share
/// within a term; reconnected, it borrows again. At no time does the fleet exceed its limit.
#[test]
fn a_hot_proxy_borrows_falls_back_when_cut_off_and_borrows_again() {
    let fleet = Fleet::start("hot", "rate_per_s = 80.0", BackendServer::start(|_| ok("b")));
    (0..SIZE).for_each(|n| fleet.wait_for_members(n, SIZE as u64 - 1));
    let load = Load::start(&fleet, [60.0, 4.0, 4.0, 4.0], || read(3.0));
    let second = Duration::from_secs(1);
    let own = 80.0 / SIZE as f64;
    wait_until("it serves twice its own share", || load.served(0, second) > 2.0 * own);
    fleet.set_links(0, CUT);
    let cut = Instant::now();
    wait_until("it falls back to its own share", || {
        cut.elapsed() > TERM + second && load.served(0, second) < 1.3 * own
    });
    assert!(load.served(0, second) > 0.5 * own, "it keeps its own share: {}", load.served(0, second));
    fleet.set_links(0, Link::default());
    let healed = Instant::now();
    wait_until("it borrows again", || load.served(0, second) > 2.0 * own);
    println!("borrows again {:.1} s after the heal", healed.elapsed().as_secs_f64());
    let shares = fleet.status(0)["shares"][0].clone();
    assert!(shares["borrowed_rate"].as_f64().unwrap() > 0.0, "{shares}");
    assert_eq!(load.unanswered.load(Ordering::SeqCst), 0, "every request is answered");
    assert_bound(&load.end(), 80.0, 0.2);
}

/// Links that lose a fifth, duplicate a tenth and delay by more than half a term, one-way cuts, and a busy proxy that
/// is killed and restarted about every second: the bound holds, and no non-repeatable request runs twice.
#[test]
fn the_bound_holds_through_bad_links_and_restarts() {
    let mut fleet = Fleet::start("bad", "rate_per_s = 60.0", BackendServer::start(|_| ok("b")));
    fleet.links.set_all(Link { loss: 0.2, doubled: 0.1, delay_ms: 5.0, jitter_ms: 300.0 });
    let load = Load::start(&fleet, [60.0, 25.0, 5.0, 5.0], || pay(3.0));
    for round in 0..5 {
        // A one-way cut: proxy 1 still receives from this proxy, but cannot send to it.
        fleet.links.set(1, round % SIZE, CUT);
        std::thread::sleep(Duration::from_millis(700));
        fleet.restart(0);
        load.set_address(0, fleet.proxies[0].address);
    }
    std::thread::sleep(Duration::from_millis(500));
    let answers = load.end();
    assert_bound(&answers, 60.0, 0.2);
    let mut ids = HashSet::new();
    while let Ok(event) = fleet.backend.events.try_recv() {
        if let rig::BackendEvent::Request(m) = event {
            let id = m.header("x-correlation-id").unwrap().to_string();
            assert!(ids.insert(id.clone()), "{id} ran twice");
        }
    }
    assert!(ids.len() > 50, "{} ran", ids.len());
}

/// The backend never has more requests in flight than the limit for all proxies together, although one of them gets
/// most of the traffic and its links are cut while its requests are in flight.
#[test]
fn requests_in_flight_stay_within_the_limit_of_the_fleet() {
    let (concurrent, max_concurrent) = (Arc::<AtomicU32>::default(), Arc::<AtomicU32>::default());
    let (held, peak) = (concurrent.clone(), max_concurrent.clone());
    let backend = BackendServer::start(move |_| {
        peak.fetch_max(held.fetch_add(1, Ordering::SeqCst) + 1, Ordering::SeqCst);
        std::thread::sleep(Duration::from_millis(150));
        held.fetch_sub(1, Ordering::SeqCst);
        ok("b")
    });
    let fleet = Fleet::start("slots", "in_flight = 16", backend);
    (0..SIZE).for_each(|n| fleet.wait_for_members(n, SIZE as u64 - 1));
    // Each client waits for its answer, so it takes several to keep many requests in flight.
    let loads: Vec<Load> = (0..8).map(|_| Load::start(&fleet, [20.0, 1.0, 1.0, 1.0], || read(3.0))).collect();
    let served = |span| loads.iter().map(|l| l.served(0, span)).sum::<f64>();
    // Its own four slots, at 150 ms a request, serve 27 requests a second.
    wait_until("it serves more than its own slots allow", || served(Duration::from_secs(1)) > 33.0);
    for _ in 0..4 {
        fleet.set_links(0, CUT);
        std::thread::sleep(Duration::from_millis(600));
        fleet.set_links(0, Link::default());
        std::thread::sleep(Duration::from_millis(300));
    }
    loads.into_iter().for_each(|load| drop(load.end()));
    println!("at most {} in flight at a time, of 16", max_concurrent.load(Ordering::SeqCst));
    assert!(
        (5..=16).contains(&max_concurrent.load(Ordering::SeqCst)),
        "{}",
        max_concurrent.load(Ordering::SeqCst)
    );
}

/// Datagrams of a proxy of another site, or with other limits, are rejected, and each proxy keeps to its own share.
#[test]
fn proxies_with_other_limits_do_not_share() {
    let fleet = Fleet::start("apart", "rate_per_s = 80.0", BackendServer::start(|_| ok("b")));
    fleet.wait_for_members(0, 3);
    let text = std::fs::read_to_string(&fleet.operators[3]).unwrap().replace("80.0", "90.0");
    let other = fleet.operators[3].with_extension("other.toml");
    std::fs::write(&other, text).unwrap();
    let settings =
        SETTINGS.replace("\"position\":0", "\"position\":3").replace("\"group_size\":1", "\"group_size\":4");
    let other_proxy = Proxy::with_operator_file_and_settings(&[], &other, &settings);
    let line = other_proxy.wait_for_log("fleet listening");
    let at: SocketAddr =
        line.split("address=").nth(1).unwrap().split_whitespace().next().unwrap().parse().unwrap();
    fleet.links.set_member_address(3, at);
    wait_until("its datagrams are rejected", || fleet.status(0)["unread"].as_u64() > Some(0));
    assert!(fleet.proxies[0]
        .wait_for_log("fleet datagram rejected")
        .contains("another site, fleet or set of limits"));
}

/// A limit for a class that the settings do not have is refused at the start, with its name.
#[test]
fn a_limit_for_an_unknown_class_is_refused_at_the_start() {
    let path = std::env::temp_dir().join(format!("lotusdeck-limit-{}.toml", std::process::id()));
    std::fs::write(&path, "[[limit]]\nname = \"x\"\nclass = \"raed\"\nrate_per_s = 5\n").unwrap();
    let config = format!(
        r#"{{"name":"n0","listen":"127.0.0.1:0","discovery":"127.0.0.1:9","seed":"1","limits":{{"sockets":1024}},"settings":{SETTINGS}}}"#
    );
    let out = serve_command(Some(&config)).env("NODE_OPERATOR", &path).output().unwrap();
    let printed = String::from_utf8_lossy(&out.stderr).into_owned();
    assert!(
        !out.status.success() && printed.contains("limit \"x\": the settings have no class \"raed\""),
        "{printed}"
    );
}
