//! A client changes a setting of its session. Another client, whose transaction runs on the same server connection, must
//! not meet that setting.

use crate::common::{has_trouble, record_log, CaseResult, Verdict};
use crate::pg::{PgClient, PgRig, PgServer};

pub fn run() -> CaseResult {
    let server = PgServer::start("pg-1").map_err(|error| error.to_string())?;
    let rig = PgRig::start("comment-set", &[&server], 40, "")?;
    let mut first = PgClient::connect("a", rig.front)?;
    let mut second = PgClient::connect("b", rig.front)?;
    let text = "select name from prices";
    let before = second.query(text)?;
    // The disruption is the comment in front of the statement.
    let setting = if has_trouble() { "/* nightly */ set search_path = archive" } else { "set search_path = archive" };
    let set = first.query(setting)?;
    let after = second.query(text)?;
    record_log(&rig.log, 4);
    if !before.is_ready || !set.is_ready || !after.is_ready {
        return Err("a statement got no answer".into());
    }
    let is_foreign = after.rows.iter().any(|row| row.contains("search_path archive"));
    Ok(if is_foreign {
        Verdict::Broken(format!("client b, which set nothing, is answered from another schema: {:?}", after.rows))
    } else {
        Verdict::Held
    })
}
