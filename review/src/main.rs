//! Stand-ins, clients and checks of the cases in `review/`. Only the standard library is used.

mod case_ledger;
mod case_transaction;
mod case_unnamed;
mod crypto;
mod http;
mod lab;
mod pg_client;
mod pg_server;

/// Whether the rule held in a run.
pub enum Verdict {
    Held,
    Broken(String),
}

fn main() {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let words: Vec<&str> = arguments.iter().map(String::as_str).collect();
    match words.as_slice() {
        ["pg-server", name, port, statement_ms] => pg_server::run(name, port, statement_ms),
        ["backend", name, port] => http::run_backend(name, port),
        ["discovery", port, list] => http::run_discovery(port, list),
        ["unnamed"] => lab::run_case(case_unnamed::run),
        ["transaction"] => lab::run_case(case_transaction::run),
        ["ledger"] => lab::run_case(case_ledger::run),
        _ => {
            eprintln!("expected the name of a case or a stand-in");
            std::process::exit(2);
        }
    }
}
