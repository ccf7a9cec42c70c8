//! A server runs slower than usual, and a statement of a client exceeds the time of its class. The client's further
//! statements have to get their own answers.

use crate::common::{has_trouble, record_log, sleep_ms, CaseResult, Verdict};
use crate::copy_desync::foreign;
use crate::note;
use crate::pg::{PgClient, PgRig, PgServer};
use std::sync::atomic::Ordering::SeqCst;

pub fn run() -> CaseResult {
    let servers = [PgServer::start("pg-1"), PgServer::start("pg-2")];
    let servers: Vec<PgServer> = servers.into_iter().collect::<Result<_, _>>().map_err(|error| error.to_string())?;
    let rig = PgRig::start_with("late-answer", &[&servers[0], &servers[1]], 40, "deadline_ms = 1000\n", false)?;
    let mut client = PgClient::connect("a", rig.front)?;
    if has_trouble() {
        note!("the servers run 2.5 times slower");
        servers.iter().for_each(|server| server.state.slow_tenths.store(25, SeqCst));
    }
    let first = client.query("select title from works where pg_sleep(0.8)")?;
    if !first.is_ready {
        return Err("the first statement got no answer".into());
    }
    let mut wrong = Vec::new();
    for number in 1..=12 {
        // The client goes on, as after any other error.
        let text = if number % 2 == 1 {
            format!("select price from prices where id = {number}")
        } else {
            format!("insert into orders values ({number})")
        };
        let reply = client.query(&text)?;
        if let Some(what) = foreign(&text, &reply, &servers) {
            note!("{what}");
            wrong.push(what);
        }
        if reply.has_ended || wrong.len() >= 3 {
            break;
        }
        sleep_ms(100);
    }
    record_log(&rig.log, 6);
    Ok(if wrong.is_empty() { Verdict::Held } else { Verdict::Broken(wrong.join("; ")) })
}
