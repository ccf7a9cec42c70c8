//! The cases of the second review. `case NAME FOLDER` runs one, writes FOLDER/record.txt, and exits with 1 if the rule was
//! broken, 0 if it held, and 2 if the case could not run.

mod common;
mod crypto;
mod http;
mod pg;

mod copy_desync;
mod broken_answer;
mod comment_set;
mod late_cancel;
mod ledger_forgets;
mod late_answer;
mod pg_restart;
mod retry_window;
mod shorter_deadline;

use common::{CaseResult, Verdict};
use std::path::Path;
use std::process::exit;

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, name, folder] = arguments.as_slice() else {
        eprintln!("usage: case NAME FOLDER");
        exit(2);
    };
    let run: fn() -> CaseResult = match name.as_str() {
        "broken-answer" => broken_answer::run,
        "copy-desync" => copy_desync::run,
        "comment-set" => comment_set::run,
        "late-cancel" => late_cancel::run,
        "ledger-forgets" => ledger_forgets::run,
        "late-answer" => late_answer::run,
        "pg-restart" => pg_restart::run,
        "retry-window" => retry_window::run,
        "shorter-deadline" => shorter_deadline::run,
        other => {
            eprintln!("no such case: {other}");
            exit(2);
        }
    };
    if let Err(error) = common::open_record(Path::new(folder)) {
        eprintln!("record.txt: {error}");
        exit(2);
    }
    common::start_watchdog();
    note!("case {name}, {}", if common::has_trouble() { "with the disruption" } else { "without the disruption" });
    let code = match run() {
        Ok(Verdict::Held) => {
            note!("verdict: the rule held");
            println!("{name}: the rule held");
            0
        }
        Ok(Verdict::Broken(what)) => {
            note!("verdict: the rule was broken: {what}");
            println!("{name}: the rule was broken: {what}");
            1
        }
        Err(error) => {
            note!("the case could not run: {error}");
            eprintln!("{name}: the case could not run: {error}");
            2
        }
    };
    common::kill_children();
    exit(code);
}
