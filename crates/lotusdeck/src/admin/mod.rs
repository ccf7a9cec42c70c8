//! `lotusdeck admin`: calls the operators' interface of a running proxy.

mod table;

use crate::print;
use clap::{Subcommand, ValueEnum};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::process::ExitCode;
use std::time::Duration;
use thiserror::Error;

/// Timeout of connecting, and of each read and write.
const IO_TIMEOUT: Duration = Duration::from_secs(3);
/// The maximum length of a response; the rest is not read.
const MAX_RESPONSE_BYTES: u64 = 16 * 1024 * 1024;

/// The arguments of `lotusdeck admin`.
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

/// Why a call failed.
#[derive(Debug, Error)]
enum CallError {
    /// The proxy cannot be reached.
    #[error("no call to {address}: {source}")]
    Io {
        /// The address that was called.
        address: SocketAddr,
        /// The error of the operating system.
        source: std::io::Error,
    },
    /// The response is not HTTP.
    #[error("{0} did not answer as a proxy would")]
    NotHttp(SocketAddr),
    /// The proxy rejected the call.
    #[error("no: {status} {reason}")]
    Rejected {
        /// The HTTP status.
        status: u16,
        /// The body.
        reason: String,
    },
}

/// A request to the proxy.
struct Request<'a> {
    method: &'static str,
    path: &'static str,
    body: &'a str,
}

impl Call {
    fn request(&self) -> Request<'_> {
        match self {
            Call::Health => Request { method: "GET", path: "/admin/health", body: "" },
            Call::Cordon { id } => Request { method: "PUT", path: "/admin/cordon", body: id },
            Call::Uncordon { id } => Request { method: "PUT", path: "/admin/uncordon", body: id },
            Call::Status { .. } => Request { method: "GET", path: "/admin/status", body: "" },
        }
    }

    /// Formats the response's body for printing.
    fn render(&self, body: String) -> String {
        let is_table = matches!(self, Call::Status { format: Format::Table });
        let document = if is_table { serde_json::from_str(&body).ok() } else { None };
        match document {
            Some(document) => table::render(&document),
            None => body,
        }
    }
}

/// Makes the call and prints the response. The exit code is 0 if the proxy accepts the call, and 1 if it rejects the
/// call or cannot be reached.
pub(crate) fn main(args: &Args) -> ExitCode {
    match send(args.addr, &args.call.request()) {
        Ok(body) => {
            print(&args.call.render(body));
            ExitCode::SUCCESS
        }
        Err(error) => {
            eprintln!("lotusdeck: {error}");
            ExitCode::FAILURE
        }
    }
}

/// Sends the request and returns the body of the response.
fn send(address: SocketAddr, request: &Request) -> Result<String, CallError> {
    let response = exchange(address, request).map_err(|source| CallError::Io { address, source })?;
    let Some((head, body)) = response.split_once("\r\n\r\n") else {
        return Err(CallError::NotHttp(address));
    };
    let status: Option<u16> = head.split(' ').nth(1).and_then(|status| status.parse().ok());
    match status.ok_or(CallError::NotHttp(address))? {
        200..=299 => Ok(body.into()),
        status => Err(CallError::Rejected { status, reason: body.trim().into() }),
    }
}

fn exchange(address: SocketAddr, request: &Request) -> std::io::Result<String> {
    let Request { method, path, body } = request;
    let mut connection = TcpStream::connect_timeout(&address, IO_TIMEOUT)?;
    connection.set_read_timeout(Some(IO_TIMEOUT))?;
    connection.set_write_timeout(Some(IO_TIMEOUT))?;
    let length = body.len();
    let text = format!(
        "{method} {path} HTTP/1.1\r\nHost: {address}\r\nConnection: close\r\n\
         Content-Length: {length}\r\n\r\n{body}"
    );
    connection.write_all(text.as_bytes())?;
    let mut response = String::new();
    connection.take(MAX_RESPONSE_BYTES).read_to_string(&mut response)?;
    Ok(response)
}
