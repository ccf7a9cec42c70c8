//! `lotusdeck admin`: operators' calls to a running proxy.

use crate::say;
use clap::{Subcommand, ValueEnum};
use serde_json::Value;
use std::fmt::Write as _;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::process::ExitCode;
use std::time::Duration;
use thiserror::Error;

/// A call is over after this time.
const PATIENCE: Duration = Duration::from_secs(3);
/// The longest answer that is read.
const MOST: u64 = 16 * 1024 * 1024;

/// Where and what.
#[derive(clap::Args)]
pub(crate) struct Args {
    /// Where the proxy listens for operators.
    #[arg(long, env = "NODE_ADMIN_ADDR")]
    addr: SocketAddr,
    #[command(subcommand)]
    call: Call,
}

#[derive(Subcommand)]
enum Call {
    /// Whether this process takes clients.
    Health,
    /// Take a backend out.
    Cordon {
        /// Its id in the list.
        id: String,
    },
    /// Use it again.
    Uncordon {
        /// Its id in the list.
        id: String,
    },
    /// All that the proxy knows and does at this moment.
    Status {
        /// A table for people, or the document as it is.
        #[arg(long, value_enum, default_value_t = Format::Table)]
        format: Format,
    },
}

#[derive(Clone, Copy, PartialEq, Eq, ValueEnum)]
enum Format {
    Table,
    Json,
}

#[derive(Debug, Error)]
enum CallError {
    #[error("no call to {0}: {1}")]
    Io(SocketAddr, std::io::Error),
    #[error("{0} did not answer as a proxy would")]
    Strange(SocketAddr),
    #[error("no: {0} {1}")]
    No(u16, String),
}

/// Exit code 0 is the proxy's yes, 1 its no.
pub(crate) fn main(args: &Args) -> ExitCode {
    let (method, path, body) = match &args.call {
        Call::Health => ("GET", "/admin/health", ""),
        Call::Cordon { id } => ("PUT", "/admin/cordon", id.as_str()),
        Call::Uncordon { id } => ("PUT", "/admin/uncordon", id.as_str()),
        Call::Status { .. } => ("GET", "/admin/status", ""),
    };
    match call(args.addr, method, path, body) {
        Ok(answer) => {
            let table = matches!(args.call, Call::Status { format: Format::Table });
            let document = table.then(|| serde_json::from_str(&answer).ok()).flatten();
            say(&document.map_or(answer, |d| self::table(&d)));
            ExitCode::SUCCESS
        }
        Err(e) => {
            eprintln!("lotusdeck: {e}");
            ExitCode::FAILURE
        }
    }
}

fn call(to: SocketAddr, method: &str, path: &str, body: &str) -> Result<String, CallError> {
    let io = |e| CallError::Io(to, e);
    let mut tcp = TcpStream::connect_timeout(&to, PATIENCE).map_err(io)?;
    tcp.set_read_timeout(Some(PATIENCE)).map_err(io)?;
    tcp.set_write_timeout(Some(PATIENCE)).map_err(io)?;
    let length = body.len();
    let request = format!(
        "{method} {path} HTTP/1.1\r\nHost: {to}\r\nConnection: close\r\nContent-Length: {length}\r\n\r\n{body}"
    );
    tcp.write_all(request.as_bytes()).map_err(io)?;
    let mut answer = String::new();
    tcp.take(MOST).read_to_string(&mut answer).map_err(io)?;
    let (head, body) = answer.split_once("\r\n\r\n").ok_or(CallError::Strange(to))?;
    let status: Option<u16> = head.split(' ').nth(1).and_then(|s| s.parse().ok());
    match status.ok_or(CallError::Strange(to))? {
        200..=299 => Ok(body.into()),
        no => Err(CallError::No(no, body.trim().into())),
    }
}

/// The document as a table.
fn table(document: &Value) -> String {
    let text = |v: &Value| match v {
        Value::String(s) => s.clone(),
        Value::Number(n) if n.is_f64() => format!("{:.3}", n.as_f64().unwrap_or_default()),
        other => other.to_string(),
    };
    let mut out = String::new();
    let rows = |list: &str, columns: &[&str], out: &mut String| {
        let Some(rows) = document[list].as_array() else { return };
        let mut cells: Vec<Vec<String>> = vec![columns.iter().map(|c| (*c).to_string()).collect()];
        cells.extend(rows.iter().map(|row| columns.iter().map(|c| text(&row[*c])).collect()));
        let widths: Vec<usize> = (0..columns.len())
            .map(|c| cells.iter().map(|r| r[c].chars().count()).max().unwrap_or(0))
            .collect();
        for row in &cells {
            let line: Vec<String> =
                row.iter().zip(&widths).map(|(cell, width)| format!("{cell:<width$}")).collect();
            let _ = writeln!(out, "{}", line.join("  ").trim_end());
        }
        out.push('\n');
    };
    let columns = [
        "name", "address", "state", "cordoned", "kind", "ready", "share", "held", "room", "errors", "ejected",
    ];
    rows("backends", &columns, &mut out);
    rows("kinds", &["name", "ready", "speed_rps", "share"], &mut out);
    if let Some(counts) = document["counts"].as_object() {
        let words: Vec<String> = counts.iter().map(|(name, n)| format!("{name} {n}")).collect();
        let _ = writeln!(out, "since the start: {}", words.join(", "));
    }
    for key in
        ["accepting", "clients", "open_requests", "open_attempts", "timer_lag_us", "settings_generation"]
    {
        let _ = writeln!(out, "{key}: {}", text(&document[key]));
    }
    out
}
