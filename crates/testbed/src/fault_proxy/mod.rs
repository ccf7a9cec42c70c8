//! A TCP relay between two sockets on loopback that injects faults into the traffic on a schedule
//! (docs/fault-proxy.md).
//!
//! `script` is the format of a fault script, `plan` draws the faults of each connection from the script and its
//! seed, `frame` finds messages in a byte stream, `pipe` applies faults to one direction of a connection, and
//! `run` does so on sockets. `links` injects faults into datagrams. `cost` measures the latency and memory of a
//! relay without faults.

pub mod cost;
pub mod frame;
pub mod links;
pub mod pipe;
pub mod plan;
pub mod run;
pub mod script;

use crate::driver::wire::listen;
use crate::session::{print, SessionError};
use run::Relay;
use script::Script;
use std::net::SocketAddr;
use std::path::PathBuf;

/// Connections of each route that are included in the hash of a plan.
const HASHED_CONNECTIONS: u64 = 1000;

/// Options of the relay.
#[derive(Clone, Debug, clap::Args)]
pub struct Args {
    /// The script, TOML.
    script: PathBuf,
    /// Seed to use in place of the script's.
    #[arg(long)]
    seed: Option<u64>,
    /// Only print the faults of this number of connections of each route.
    #[arg(long, value_name = "CONNECTIONS")]
    plan: Option<u64>,
    /// Loopback address of the control socket, where callers give words and ask which faults have happened.
    #[arg(long)]
    control: Option<SocketAddr>,
}

/// Relays until its standard input ends, and then prints the number and the hash of the faults that happened.
///
/// # Errors
/// Fails if the script is invalid, or if an address cannot be listened on.
pub fn main(args: &Args) -> Result<(), SessionError> {
    let mut script = Script::load(&args.script)?;
    script.seed = args.seed.unwrap_or(script.seed);
    if let Some(connections) = args.plan {
        for (number, route) in script.route.iter().enumerate() {
            for connection in 0..connections {
                for due in plan::draw(&script, number, connection) {
                    let (index, way, when, what) = (due.index, due.way, due.when, due.what);
                    print(&format!(
                        "{} {connection}: fault[{index}] {way:?} {when:?}: {what:?}\n",
                        route.name
                    ));
                }
            }
        }
    }
    print(&format!("seed {}, plan {:016x}\n", script.seed, plan::hash(&script, HASHED_CONNECTIONS)));
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
        print(&format!("listens {address} {name}\n"));
    }
    let control = control.map(|at| listen(Some(at))).transpose()?;
    if let Some(listener) = &control {
        print(&format!("control {}\n", listener.local_addr()?));
    }
    let calls = async {
        match control {
            Some(listener) => relay.control(listener).await,
            None => std::future::pending().await,
        }
    };
    // The end of standard input stops the relay when the process that started it ends in any way.
    let (stdin_closed, stopped) = tokio::sync::oneshot::channel();
    std::thread::spawn(move || {
        let _ = std::io::copy(&mut std::io::stdin().lock(), &mut std::io::sink());
        let _ = stdin_closed.send(());
    });
    tokio::select! {
        failed = calls => failed?,
        _ = stopped => {}
    }
    let done = relay.done();
    print(&format!("{} faults happened, done {:016x}\n", done.len(), run::hash(&done)));
    Ok(())
}
