//! A client copies rows in by the extended protocol; its server dies at the end of the COPY. The client's further
//! statements have to get their own answers.

use crate::common::{has_trouble, record_log, sleep_ms, CaseResult, Verdict};
use crate::note;
use crate::pg::{PgClient, PgRig, PgServer, Reply};
use std::sync::atomic::Ordering::SeqCst;
use std::time::Duration;

pub fn run() -> CaseResult {
    let servers = ["pg-1", "pg-2", "pg-3", "pg-4", "pg-5"].map(PgServer::start);
    let servers: Vec<PgServer> = servers.into_iter().collect::<Result<_, _>>().map_err(|error| error.to_string())?;
    let rig = PgRig::start("copy-desync", &servers.iter().collect::<Vec<_>>(), 40, "")?;
    let mut client = PgClient::connect("a", rig.front)?;
    if has_trouble() {
        servers.iter().for_each(|server| server.state.dies_at_copy_done.store(true, SeqCst));
    }
    note!("client a: sends Parse, Bind, Describe, Execute, Sync of \"copy parts from stdin\"");
    client.send(&[
        (b'P', b"\0copy parts from stdin\0\0\0".to_vec()),
        (b'B', b"\0\0\0\0\0\0\0\0".to_vec()),
        (b'D', b"P\0".to_vec()),
        (b'E', b"\0\0\0\0\0".to_vec()),
        (b'S', Vec::new()),
    ])?;
    loop {
        let (message, _) = client.message(Duration::from_secs(5));
        match message {
            Some((b'G', _)) => break,
            Some((b'E', _)) | None => return Err("the COPY does not begin".into()),
            Some(_) => {}
        }
    }
    note!("client a: gets CopyInResponse, sends two rows, CopyDone and Sync");
    client.send(&[
        (b'd', b"violin\n".to_vec()),
        (b'd', b"viola\n".to_vec()),
        (b'c', Vec::new()),
        (b'S', Vec::new()),
    ])?;
    let copied = client.reply(Duration::from_secs(5));
    if !copied.is_ready {
        note!("the session ended with the COPY");
        record_log(&rig.log, 6);
        return Ok(if copied.has_ended { Verdict::Held } else { Verdict::Broken("the COPY got no answer".into()) });
    }
    servers.iter().for_each(|server| server.state.dies_at_copy_done.store(false, SeqCst));
    sleep_ms(300);
    let mut wrong = Vec::new();
    for text in ["insert into orders values (7)", "select count(*) from orders", "select name from parts"] {
        let reply = client.query(text)?;
        if let Some(what) = foreign(text, &reply, &servers) {
            note!("{what}");
            wrong.push(what);
        }
        if reply.has_ended {
            break;
        }
        sleep_ms(100);
    }
    record_log(&rig.log, 6);
    Ok(if wrong.is_empty() { Verdict::Held } else { Verdict::Broken(wrong.join("; ")) })
}

/// Returns what is wrong with the answer to a statement: it belongs to another one, or it is an error that says that
/// the server was lost although that server ran the statement to its end and is still there.
pub fn foreign(text: &str, reply: &Reply, servers: &[PgServer]) -> Option<String> {
    sleep_ms(50); // the statement may still be on its way to a server
    let has_run = servers.iter().any(|server| server.state.texts().iter().any(|run| run == text));
    if let Some(error) = &reply.error {
        return has_run.then(|| format!("{text:?} was answered {error:?}, and a server ran it"));
    }
    let is_insert = text.starts_with("insert");
    let own_tag = if is_insert { "INSERT 0 1" } else { "SELECT 1" };
    let is_own = reply.tags == [own_tag] && (is_insert || reply.rows.iter().all(|row| row.starts_with(text)));
    (reply.is_ready && !is_own).then(|| format!("{text:?} got the answer of another statement: {reply}"))
}
