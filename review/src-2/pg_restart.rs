//! A planned restart while a transaction runs: it has to get its answer.

use crate::common::{has_trouble, record_log, sleep_ms, CaseResult, Verdict, SIGTERM};
use crate::note;
use crate::pg::{PgClient, PgRig, PgServer};
use std::time::Duration;

pub fn run() -> CaseResult {
    let server = PgServer::start("pg-1").map_err(|error| error.to_string())?;
    let mut rig = PgRig::start("pg-restart", &[&server], 40, "")?;
    let mut client = PgClient::connect("a", rig.front)?;
    let mut idle = PgClient::connect("b", rig.front)?;
    // Both are well within the deadline of 30 s and within the time that the platform leaves after SIGTERM.
    client.send_query("insert into orders select pg_sleep(1.5)")?;
    sleep_ms(200);
    if has_trouble() {
        rig.proxy.signal(SIGTERM);
        let told = idle.reply(Duration::from_secs(2));
        note!("client b, which was idle, was told {:?}", told.error);
    }
    let reply = client.reply(Duration::from_secs(6));
    sleep_ms(1800); // until the server has ended the statement in either case
    let has_run = !server.state.texts().is_empty();
    let ended = rig.proxy.has_ended();
    note!("the server ran the statement to its end: {has_run}; the proxy has ended: {ended}");
    record_log(&rig.log, 6);
    Ok(if reply.is_ready || reply.error.is_some() {
        Verdict::Held
    } else {
        Verdict::Broken(format!("the transaction got no answer ({reply}); the server ran it: {has_run}"))
    })
}
