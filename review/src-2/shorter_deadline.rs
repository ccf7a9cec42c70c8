//! A new configuration shortens the deadline of a class while an order of it is open; a planned restart follows. The order
//! has to get its answer under the rules that it came under.

use crate::common::{
    free_port, has_trouble, record_log, sleep_ms, wait_until, CaseResult, Launch, Proxy, TempFolder, Verdict, SIGHUP,
    SIGTERM,
};
use crate::http::{self, Action, Answer, Backend, Discovery, HttpClient, Settings};
use crate::note;
use std::sync::Arc;
use std::time::Duration;

/// How long the backend works on the order: within its deadline of 4 s.
const WORK: Duration = Duration::from_millis(3300);

pub fn run() -> CaseResult {
    let behaviour: http::Behaviour = Arc::new(|request| {
        Action::Serve(if request.path().starts_with("/print-order/") { WORK } else { Duration::from_millis(15) })
    });
    let start = |name| Backend::start(name, true, behaviour.clone()).map_err(|error| error.to_string());
    let backends = [start("s-1")?, start("s-2")?, start("s-3")?];
    let backends: Vec<&Backend> = backends.iter().collect();
    let discovery = Discovery::start(&backends).map_err(|error| error.to_string())?;
    let tmp = TempFolder::create("shorter-deadline")?;
    let (listen, admin) = (free_port()?, free_port()?);
    let mut settings = Settings { profiles: http::site_profiles(), parallel_tries: true, cancel: true, dial_timeout_us: 120_000 };
    let text = |settings: &Settings| {
        http::node_config(listen, admin, discovery.address, &backends, settings, 0x8c1f30d27a5be964)
    };
    let config = tmp.file("config.json", &text(&settings))?;
    let log = tmp.0.join("proxy.log");
    let launch =
        Launch { name: "n0", config: &config, operator: None, tmp: &tmp.folder("tmp")?, log: &log };
    let mut proxy = Proxy::start(&launch)?;
    let address = http::loopback(listen);
    http::wait_ready(address).inspect_err(|_| record_log(&log, 10))?;
    let mut client = HttpClient::new(address);
    for _ in 0..50 {
        client.ask(&http::next_id(), "GET", "/page-preview/k1", 0.5, "", Duration::from_secs(2));
        sleep_ms(25); // SIGHUP never comes in the first second
    }
    let order = std::thread::spawn(move || {
        let limit = Duration::from_millis(4500);
        HttpClient::new(address).ask(&http::next_id(), "POST", "/print-order/k2", 4.0, "", limit)
    });
    sleep_ms(150);
    let has_run = backends.iter().any(|backend| {
        backend.begun.lock().unwrap().iter().any(|begun| begun.path.starts_with("/print-order/"))
    });
    if !has_run {
        return Err("the order did not reach a backend".into());
    }
    if has_trouble() {
        settings.profiles.pop();
        settings.profiles.push(http::profile("print-order", 1_500_000, 2_000_000, http::SINGLE_SHOT, 8.0));
        tmp.file("config.json", &text(&settings))?;
        proxy.signal(SIGHUP);
        let is_applied =
            || std::fs::read_to_string(&log).is_ok_and(|text| text.contains("configuration applied"));
        if !wait_until(Duration::from_secs(2), is_applied) {
            record_log(&log, 10);
            return Err("the new configuration was not applied".into());
        }
        note!("the deadline of new orders is 2 s; the open one has 4 s");
        sleep_ms(150);
        proxy.signal(SIGTERM);
    }
    let answer = order.join().map_err(|_| "the client failed")?;
    note!("the proxy has ended: {}", proxy.has_ended());
    record_log(&log, 8);
    Ok(match answer {
        Answer::Whole { .. } => Verdict::Held,
        Answer::Ended(how) => Verdict::Broken(format!("the connection of the order ended with no answer: {how}")),
        Answer::Silence => Verdict::Broken("the order was never answered".into()),
    })
}
