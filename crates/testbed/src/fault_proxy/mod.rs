//! A relay that stands between any two sockets on loopback and injures what passes on a schedule (docs/fault-proxy.md).
//!
//! `script` is what an operator of the lab writes, `plan` what a seed makes of it for each connection, `frame` finds
//! messages in the bytes, `links` injures datagrams, `pipe` decides what becomes of each byte, and `run` does it on sockets. `cost` measures what
//! a relay that does nothing adds.

pub mod cost;
pub mod frame;
pub mod links;
pub mod pipe;
pub mod plan;
pub mod run;
pub mod script;

use crate::driver::wire::listen;
use crate::session::{say, SessionError};
use run::Relay;
use script::Script;
use std::net::SocketAddr;
use std::path::PathBuf;

/// Connections of each route whose faults go into a plan's hash.
const HASHED: u64 = 1000;

/// What to relay.
#[derive(Clone, Debug, clap::Args)]
pub struct Args {
    /// The script, TOML.
    script: PathBuf,
    /// Another seed than the script's.
    #[arg(long)]
    seed: Option<u64>,
    /// Only tell what the first so many connections of each route would meet.
    #[arg(long, value_name = "CONNECTIONS")]
    plan: Option<u64>,
    /// Where callers give words and ask what was done; on loopback.
    #[arg(long)]
    control: Option<SocketAddr>,
}

/// Relays until its standard input ends; then tells what was done.
///
/// # Errors
/// The script is at fault, or an address cannot be listened on.
pub fn main(args: &Args) -> Result<(), SessionError> {
    let mut script = Script::load(&args.script)?;
    script.seed = args.seed.unwrap_or(script.seed);
    if let Some(connections) = args.plan {
        for (number, route) in script.route.iter().enumerate() {
            for connection in 0..connections {
                for due in plan::draw(&script, number, connection) {
                    let (index, way, when, what) = (due.index, due.way, due.when, due.what);
                    say(&format!("{} {connection}: fault[{index}] {way:?} {when:?}: {what:?}\n", route.name));
                }
            }
        }
    }
    say(&format!("seed {}, plan {:016x}\n", script.seed, plan::hash(&script, HASHED)));
    if args.plan.is_some() {
        return Ok(());
    }
    let fault = |e| SessionError::File(args.script.display().to_string(), e);
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().map_err(fault)?;
    tokio::task::LocalSet::new().block_on(&runtime, relay(script, args.control)).map_err(fault)
}

async fn relay(script: Script, control: Option<SocketAddr>) -> std::io::Result<()> {
    let names: Vec<String> = script.route.iter().map(|r| format!("{} to {}", r.name, r.to)).collect();
    let relay = Relay::start(script)?;
    for (name, address) in names.iter().zip(&relay.addresses) {
        say(&format!("listens {address} {name}\n"));
    }
    let control = control.map(|at| listen(Some(at))).transpose()?;
    if let Some(listener) = &control {
        say(&format!("control {}\n", listener.local_addr()?));
    }
    let calls = async {
        match control {
            Some(listener) => relay.control(listener).await,
            None => std::future::pending().await,
        }
    };
    // It ends with whoever started it, however that ended.
    let (over, ended) = tokio::sync::oneshot::channel();
    std::thread::spawn(move || {
        let _ = std::io::copy(&mut std::io::stdin().lock(), &mut std::io::sink());
        let _ = over.send(());
    });
    tokio::select! {
        failed = calls => failed?,
        _ = ended => {}
    }
    let done = relay.done();
    say(&format!("{} faults happened, done {:016x}\n", done.len(), run::hash(&done)));
    Ok(())
}
