//! A guarded class, whose repeats backends discard within a window. A backend hangs, and connections to the others come
//! up late. No order may be sent again after its window, as it would run twice.

use crate::common::{
    free_port, has_trouble, now, record_log, sleep_ms, CaseResult, Launch, Proxy, TempFolder, Verdict,
};
use crate::http::{self, Action, Answer, Backend, Begun, Discovery, HttpClient, Settings};
use crate::note;
use std::collections::BTreeMap;
use std::sync::atomic::{AtomicBool, Ordering::SeqCst};
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// The window of the class, and the slack that the protocol page adds to every limit.
const WINDOW: Duration = Duration::from_millis(1200);
const SLACK: Duration = Duration::from_millis(50);
const PLAYS: u64 = 4;
const SEED: u64 = 0x8c1f_30d2_7a5b_e964;

/// Plays the same course with other seeds of the proxy until the rule is broken.
pub fn run() -> CaseResult {
    for play in 0..PLAYS {
        note!("play {} of {PLAYS}", play + 1);
        if let Verdict::Broken(what) = play_once(SEED + play)? {
            return Ok(Verdict::Broken(what));
        }
    }
    Ok(Verdict::Held)
}

fn play_once(seed: u64) -> CaseResult {
    let is_hanging = Arc::new(AtomicBool::new(false));
    let hangs = is_hanging.clone();
    let work = |request: &http::Message| {
        Action::Serve(Duration::from_millis(if request.path().starts_with("/print-order/") { 25 } else { 10 }))
    };
    let first: http::Behaviour =
        Arc::new(move |request| if hangs.load(SeqCst) { Action::Hang } else { work(request) });
    let start = |name, behaviour| Backend::start(name, false, behaviour).map_err(|error| error.to_string());
    let backends = [start("s-1", first)?, start("s-2", Arc::new(work))?, start("s-3", Arc::new(work))?];
    let backends: Vec<&Backend> = backends.iter().collect();
    let discovery = Discovery::start(&backends).map_err(|error| error.to_string())?;
    let tmp = TempFolder::create("retry-window")?;
    let (listen, admin) = (free_port()?, free_port()?);
    let guarded = format!(r#""effect":"guarded","key_scope":"all","window_us":{}"#, WINDOW.as_micros());
    let settings = Settings {
        profiles: vec![
            http::profile("page-preview", 250_000, 500_000, http::FREE, 1.0),
            http::profile("print-order", 3_000_000, 4_000_000, &guarded, 8.0),
        ],
        parallel_tries: false,
        cancel: true,
        dial_timeout_us: 1_500_000,
    };
    let config = http::node_config(listen, admin, discovery.address, &backends, &settings, seed);
    let config = tmp.file("config.json", &config)?;
    let log = tmp.0.join("proxy.log");
    let launch =
        Launch { name: "n0", config: &config, operator: None, tmp: &tmp.folder("tmp")?, log: &log };
    let _proxy = Proxy::start(&launch)?;
    let address = http::loopback(listen);
    http::wait_ready(address).inspect_err(|_| record_log(&log, 10))?;

    // Clients: orders and previews, each client with one request at a time.
    let answers: Arc<Mutex<BTreeMap<String, Answer>>> = Arc::default();
    let is_stopped = Arc::new(AtomicBool::new(false));
    let clients: Vec<_> = (0..16)
        .map(|number| {
            let (answers, is_stopped) = (answers.clone(), is_stopped.clone());
            std::thread::spawn(move || {
                let mut client = HttpClient::new(address);
                sleep_ms(13 * number);
                while !is_stopped.load(SeqCst) {
                    let id = http::next_id();
                    let answer = if number % 4 == 0 {
                        client.ask(&id, "GET", "/page-preview/k1", 0.5, "", Duration::from_secs(2))
                    } else {
                        let key = format!("Idempotency-Key: key-{id}\r\n");
                        client.ask(&id, "POST", "/print-order/k2", 4.0, &key, Duration::from_secs(5))
                    };
                    answers.lock().unwrap().insert(id, answer);
                    sleep_ms(150);
                }
            })
        })
        .collect();
    sleep_ms(3000);
    let trouble_at = now();
    if has_trouble() {
        note!("s-1 hangs from now on");
        is_hanging.store(true, SeqCst);
        sleep_ms(200);
        is_stopped.store(true, SeqCst);
        sleep_ms(100);
        backends[1..].iter().for_each(|backend| backend.hold_connections());
        sleep_ms(650);
        backends[1..].iter().for_each(|backend| backend.release_connections());
    } else {
        sleep_ms(950);
        is_stopped.store(true, SeqCst);
    }
    for client in clients {
        let _ = client.join();
    }
    sleep_ms(300);
    note!("s-1 began to hang at {:.3}", trouble_at.as_secs_f64());
    record_log(&log, 12);
    let connections: u64 = backends.iter().map(|backend| backend.accepted.load(SeqCst)).sum();
    note!("{connections} connections to backends in all");
    judge(&backends)
}

/// Compares the sends of each order: none may begin later than the window after the first.
fn judge(backends: &[&Backend]) -> CaseResult {
    let mut orders: BTreeMap<String, Vec<Begun>> = BTreeMap::new();
    for backend in backends {
        for begun in backend.begun.lock().unwrap().iter().filter(|begun| begun.path.starts_with("/print-order/")) {
            orders.entry(begun.id.clone()).or_default().push(begun.clone());
        }
    }
    let (mut repeats, mut late) = (0, Vec::new());
    for (id, mut sends) in orders {
        sends.sort_by_key(|begun| begun.at);
        let first = sends[0].clone();
        for again in &sends[1..] {
            repeats += 1;
            let after = again.at - first.at;
            note!("{id}: ran at {}, sent again to {} {:.3} s later", first.backend, again.backend, after.as_secs_f64());
            if after > WINDOW + SLACK {
                late.push(format!("{id} ran at {} and {:.3} s later at {}", first.backend, after.as_secs_f64(), again.backend));
            }
        }
    }
    note!("{repeats} orders were sent again, {} of them after the window of {} ms", late.len(), WINDOW.as_millis());
    Ok(if late.is_empty() {
        Verdict::Held
    } else {
        Verdict::Broken(format!("{} orders were sent again after their window: {}", late.len(), late[0]))
    })
}
