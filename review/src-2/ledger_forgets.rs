//! The ledger of non-repeatable requests after a planned restart: what it says of an order that was sent and answered
//! before the restart must not be wrong.

use crate::common::{
    free_port, has_trouble, record_log, sleep_ms, CaseResult, Launch, Proxy, TempFolder, Verdict, SIGTERM,
};
use crate::http::{self, Action, Answer, Backend, Discovery, HttpClient, Settings};
use crate::note;
use std::path::Path;
use std::process::Command;
use std::sync::atomic::{AtomicU64, Ordering::SeqCst};
use std::sync::Arc;
use std::time::{Duration, Instant};

pub fn run() -> CaseResult {
    let work: http::Behaviour = Arc::new(|_| Action::Serve(Duration::from_millis(2)));
    let start = |name| Backend::start(name, true, work.clone()).map_err(|error| error.to_string());
    let backends = [start("s-1")?, start("s-2")?, start("s-3")?];
    let backends: Vec<&Backend> = backends.iter().collect();
    let discovery = Discovery::start(&backends).map_err(|error| error.to_string())?;
    let tmp = TempFolder::create("ledger-forgets")?;
    let folder = tmp.folder("ledger")?;
    let (listen, admin) = (free_port()?, free_port()?);
    let settings = Settings { profiles: http::site_profiles(), parallel_tries: true, cancel: true, dial_timeout_us: 120_000 };
    let config = http::node_config(listen, admin, discovery.address, &backends, &settings, 0x8c1f30d27a5be964);
    let config = tmp.file("config.json", &config)?;
    let operator = format!("[ledger]\nfolder = \"{}\"\nsegment_mb = 1\nkeep_mb = 1\n", folder.display());
    let operator = tmp.file("operator.toml", &operator)?;
    let log = tmp.0.join("proxy.log");
    let private = tmp.folder("tmp")?;
    let launch = Launch { name: "n0", config: &config, operator: Some(&operator), tmp: &private, log: &log };
    let address = http::loopback(listen);
    let mut proxy = Proxy::start(&launch)?;
    http::wait_ready(address).inspect_err(|_| record_log(&log, 10))?;

    let order = http::next_id();
    let mut client = HttpClient::new(address);
    let answer = client.ask(&order, "POST", "/print-order/k1", 4.0, "", Duration::from_secs(5));
    let Answer::Whole { status: 200, .. } = answer else { return Err("the order was not served".into()) };
    sleep_ms(100);
    let before = query(&folder, &order)?;
    let first_segment = folder.join(segments(&folder).first().ok_or("the ledger has no segment")?);
    if has_trouble() {
        proxy.signal(SIGTERM);
        if !proxy.wait_for_end(Duration::from_secs(8)) {
            return Err("the proxy did not end".into());
        }
        proxy = Proxy::start(&launch)?;
        http::wait_ready(address).inspect_err(|_| record_log(&log, 10))?;
    }
    http::set_quiet(true); // thousands of orders
    // The orders of the time after it, until the first segments of the ledger are over.
    let served = Arc::new(AtomicU64::new(0));
    let until = Instant::now() + Duration::from_secs(45);
    let clients: Vec<_> = (0..8)
        .map(|_| {
            let (served, first_segment) = (served.clone(), first_segment.clone());
            std::thread::spawn(move || {
                let mut client = HttpClient::new(address);
                client.is_recorded = false;
                while Instant::now() < until && first_segment.exists() {
                    for _ in 0..20 {
                        let id = http::next_id();
                        let answer = client.ask(&id, "POST", "/print-order/k1", 4.0, "", Duration::from_secs(5));
                        served.fetch_add(u64::from(matches!(answer, Answer::Whole { status: 200, .. })), SeqCst);
                    }
                }
            })
        })
        .collect();
    for client in clients {
        let _ = client.join();
    }
    let _ = &proxy;
    note!("{} further orders served", served.load(SeqCst));
    for name in segments(&folder) {
        note!("in the folder: {name}");
    }
    let after = query(&folder, &order)?;
    record_log(&log, 6);
    let was_sent = backends.iter().any(|backend| backend.begun.lock().unwrap().iter().any(|begun| begun.id == order));
    if !was_sent || !before.contains("sent, answered 200") {
        return Err("the order is not in the ledger from the start".into());
    }
    Ok(if after.contains("it was never sent") {
        Verdict::Broken(format!("the ledger says of order {order}, which a backend ran and answered: {after:?}"))
    } else {
        Verdict::Held
    })
}

/// Returns the names of the segments in the folder, in order.
fn segments(folder: &Path) -> Vec<String> {
    let entries = std::fs::read_dir(folder).into_iter().flatten().flatten();
    let names = entries.map(|entry| entry.file_name().to_string_lossy().into_owned());
    let mut names: Vec<String> = names.filter(|name| name.ends_with(".seg")).collect();
    names.sort();
    names
}

/// Asks the ledger for an order, as the finance officer does.
fn query(folder: &Path, id: &str) -> Result<String, String> {
    let program = "target/release/lotusdeck";
    let output = Command::new(program).args(["ledger", "query", "--id", id]).arg(folder).output();
    let output = output.map_err(|error| format!("{program}: {error}"))?;
    let text = String::from_utf8_lossy(&output.stdout).trim().to_string();
    note!("operator: lotusdeck ledger query --id {id}: {text}");
    Ok(text)
}
