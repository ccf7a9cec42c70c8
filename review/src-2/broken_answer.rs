//! Connections to backends are reset in the middle of long answers. Each request has to get an answer, whole or begun.

use crate::common::{free_port, has_trouble, record_log, sleep_ms, CaseResult, Launch, Proxy, TempFolder, Verdict};
use crate::http::{self, Action, Answer, Backend, Discovery, HttpClient, Settings};
use crate::note;
use std::sync::atomic::{AtomicU64, Ordering::SeqCst};
use std::sync::Arc;
use std::time::Duration;

/// The length of an answer, and what is sent of one that is cut.
const LENGTH: usize = 100_000;
const SENT: usize = 4_000;
const REQUESTS: u64 = 60;
/// One answer in so many is cut.
const CUT_EVERY: u64 = 5;

pub fn run() -> CaseResult {
    let count = Arc::new(AtomicU64::new(0));
    let behaviour: http::Behaviour = Arc::new(move |_| {
        let number = count.fetch_add(1, SeqCst);
        sleep_ms(10);
        if has_trouble() && number % CUT_EVERY == CUT_EVERY - 1 {
            Action::LargeThenReset { length: LENGTH, sent: SENT }
        } else {
            Action::Large(LENGTH)
        }
    });
    let start = |name| Backend::start(name, true, behaviour.clone()).map_err(|error| error.to_string());
    let backends = [start("s-1")?, start("s-2")?, start("s-3")?, start("s-4")?];
    let backends: Vec<&Backend> = backends.iter().collect();
    let discovery = Discovery::start(&backends).map_err(|error| error.to_string())?;
    let tmp = TempFolder::create("broken-answer")?;
    let (listen, admin) = (free_port()?, free_port()?);
    let settings =
        Settings { profiles: http::site_profiles(), parallel_tries: true, cancel: true, dial_timeout_us: 120_000 };
    let config = http::node_config(listen, admin, discovery.address, &backends, &settings, 0x8c1f30d27a5be964);
    let config = tmp.file("config.json", &config)?;
    let log = tmp.0.join("proxy.log");
    let launch = Launch { name: "n0", config: &config, operator: None, tmp: &tmp.folder("tmp")?, log: &log };
    let _proxy = Proxy::start(&launch)?;
    let address = http::loopback(listen);
    http::wait_ready(address).inspect_err(|_| record_log(&log, 10))?;

    let (mut whole, mut begun, mut failed, mut unanswered) = (0, 0, 0, Vec::new());
    for number in 0..REQUESTS {
        let id = http::next_id();
        let mut client = HttpClient::new(address); // a new connection for each request: nothing can cross
        let limit = Duration::from_secs(5);
        let answer = match number % 3 {
            0 => client.ask(&id, "POST", "/print-order/k1", 4.0, "", limit),
            _ => client.ask(&id, "GET", "/part-extract/k1", 2.0, "", limit),
        };
        match answer {
            Answer::Whole { status: 200, .. } => whole += 1,
            Answer::Whole { .. } => failed += 1,
            Answer::Ended(how) if how == http::NO_BYTE => unanswered.push(id),
            Answer::Ended(_) => begun += 1,
            Answer::Silence => unanswered.push(id),
        }
        sleep_ms(20);
    }
    note!("{whole} whole, {begun} begun and cut, {failed} failed or refused, {} with no byte", unanswered.len());
    record_log(&log, 4);
    Ok(match unanswered.first() {
        None => Verdict::Held,
        Some(id) => Verdict::Broken(format!(
            "{} of {REQUESTS} requests were read and sent on, and got no byte before the proxy closed: {id} and others",
            unanswered.len()
        )),
    })
}
