//! Orders through a proxy with a ledger, and planned restarts between them. Then the ledger is asked for the first order.

use crate::http::{endpoint, HttpClient};
use crate::lab::{free_address, node_config, Lab, Process, Result};
use crate::Verdict;
use std::path::Path;
use std::process::Command;
use std::time::Duration;

/// The number of runs of the proxy with the disruption: each but the first begins with a planned restart.
const RUNS: u64 = 4;
/// The orders sent in each run; without the disruption all are sent in one run.
const ORDERS: u64 = 5;

fn order(id: &str) -> String {
    format!(
        "POST /print-order/{id} HTTP/1.1\r\nHost: scores\r\nX-Correlation-Id: {id}\r\nX-Time-Left: 4.000\r\nContent-Length: 5\r\n\r\nprint"
    )
}

fn order_id(run: u64, number: u64) -> String {
    format!("{:016x}", (run + 1) << 32 | number)
}

/// Asks the ledger for an order; the answer goes to the record.
fn query(lab: &Lab, folder: &Path, id: &str) -> Result<String> {
    let root = std::env::var("REVIEW_ROOT").map_err(|error| error.to_string())?;
    let mut command = Command::new(Path::new(&root).join("target/release/lotusdeck"));
    let output = command.args(["ledger", "query", "--id", id]).arg(folder).output();
    let output = output.map_err(|error| error.to_string())?;
    let text = String::from_utf8_lossy(&output.stdout).trim().to_string();
    lab.note(&format!("`lotusdeck ledger query --id {id}` answers: {}", text.replace('\n', " / ")));
    Ok(text)
}

pub fn run(lab: &Lab) -> Result<Verdict> {
    let names = ["s-1", "s-2", "s-3"];
    let (listen, discovery) = (free_address()?, free_address()?);
    let mut list = Vec::new();
    let mut backends: Vec<Process> = Vec::new();
    for name in names {
        let address = free_address()?;
        backends.push(lab.start_stand_in(name, &["backend", name, &address.port().to_string()], address)?);
        list.push(endpoint(name, address));
    }
    let discovery_words = ["discovery", &discovery.port().to_string(), &list.join(",")];
    let _discovery = lab.start_stand_in("discovery", &discovery_words, discovery)?;
    let folder = lab.folder.join("ledger");
    let operator = format!("[ledger]\nfolder = \"{}\"\nsegment_mb = 1\nkeep_mb = 2\n", folder.display());
    let mut proxy = lab.start_proxy(&node_config(listen, discovery, 1), &operator, listen)?;
    for run in 0..RUNS {
        if run > 0 && lab.has_trouble {
            lab.note("the proxy gets SIGTERM");
            proxy.terminate()?;
            lab.note("the proxy has ended and is started again, under its name and addresses");
            proxy = lab.start_proxy(&node_config(listen, discovery, run + 1), &operator, listen)?;
        }
        std::thread::sleep(Duration::from_secs(1)); // the proxy has its list
        let mut client = HttpClient::connect(listen)?;
        for number in 0..ORDERS {
            let id = order_id(run, number);
            lab.note(&format!("the client sends order {id}"));
            let answer = client.ask(&order(&id)).ok_or("an order got no answer")?;
            let text = String::from_utf8_lossy(&answer.body).trim().to_string();
            lab.note(&format!("the client gets {}: {text}", answer.status()));
        }
        query(lab, &folder, &order_id(0, 0))?;
    }
    std::thread::sleep(Duration::from_millis(500));
    let ran: Vec<String> = backends.iter().flat_map(|backend| backend.lines.try_iter()).collect();
    let mut wrong = Vec::new();
    for run in 0..RUNS {
        for number in 0..ORDERS {
            let id = order_id(run, number);
            let has_run = ran.iter().any(|line| line.starts_with(&format!("ran {id} ")));
            let told = query(lab, &folder, &id)?;
            let is_denied = told.contains("it was never sent") || told.lines().any(|l| l.ends_with(": never sent"));
            if has_run && is_denied {
                wrong.push(format!("a backend ran order {id}, and the ledger says: {told}"));
            }
        }
    }
    proxy.terminate()?;
    Ok(match wrong.first() {
        Some(first) => Verdict::Broken(format!("{} orders, first: {first}", wrong.len())),
        None => Verdict::Held,
    })
}
