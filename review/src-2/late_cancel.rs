//! A client cancels its statement; the connection that carries the CancelRequest comes up late, when another client's
//! transaction runs on the same server connection.

use crate::common::{has_trouble, record_log, sleep_ms, CaseResult, Verdict};
use crate::pg::{PgClient, PgRig, PgServer};
use std::sync::atomic::Ordering::SeqCst;
use std::time::Duration;

pub fn run() -> CaseResult {
    let server = PgServer::start("pg-1").map_err(|error| error.to_string())?;
    let rig = PgRig::start("late-cancel", &[&server], 40, "")?;
    let mut first = PgClient::connect("a", rig.front)?;
    let mut second = PgClient::connect("b", rig.front)?;
    if has_trouble() {
        server.state.cancel_delay_ms.store(800, SeqCst);
    }
    first.send_query("select pg_sleep(0.5)")?;
    sleep_ms(150);
    let canceller = first.canceller();
    let cancelling = std::thread::spawn(move || canceller.send());
    let cancelled = first.reply(Duration::from_secs(5));
    let order = second.query("insert into orders select pg_sleep(1.5)")?;
    let _ = cancelling.join();
    record_log(&rig.log, 4);
    if !cancelled.is_ready {
        return Err("the first statement got no answer".into());
    }
    Ok(match &order.error {
        Some(error) if error.contains("57014") => {
            Verdict::Broken(format!("client b, whose statement nobody cancelled, is told {error:?}"))
        }
        _ if order.is_ready => Verdict::Held,
        _ => Verdict::Broken("client b got no answer".into()),
    })
}
