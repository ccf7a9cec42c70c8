//! An HTTP client for configuration sources: GET requests, one after another on a connection of its own.

use crate::exchange::drive_until_done;
use crate::stream::Stream;
use bytes::Bytes;
use http_body_util::{BodyExt, Empty, Limited};
use hyper::client::conn::http1;
use hyper::Request;
use std::net::SocketAddr;
use std::time::Duration;
use thiserror::Error;
use tokio::net::TcpStream;

/// Time limit for establishing a connection. A lost segment is retransmitted only after 1 s, so a longer wait would
/// hardly help.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Why a request failed.
#[derive(Debug, Error)]
pub enum RequestError {
    /// The connection could not be established.
    #[error("no connection: {0}")]
    Connect(#[source] std::io::Error),
    /// The connection broke, or the answer is invalid or too long.
    #[error("call broken: {0}")]
    Http(#[source] Box<dyn std::error::Error + Send + Sync>),
    /// The status is not 200.
    #[error("answered {0}")]
    Status(u16),
    /// The connection ended before the answer did.
    #[error("connection ended")]
    Ended,
    /// The time limit of the request has passed.
    #[error("silent")]
    Silent,
}

/// A connection that is kept between requests.
pub struct IdleConnection {
    sender: http1::SendRequest<Empty<Bytes>>,
    driver: http1::Connection<Stream, Empty<Bytes>>,
}

/// Sends a GET request for `uri` to `address` and returns the body, of at most `max_bytes`. Uses the connection that
/// the previous request left in `idle`, or a new one. A connection whose request failed is not reused.
///
/// # Errors
/// Returns why there is no complete answer within `timeout`.
pub async fn get(
    idle: &mut Option<IdleConnection>, address: SocketAddr, uri: &str, max_bytes: usize, timeout: Duration,
) -> Result<Bytes, RequestError> {
    let exchange = exchange(idle, address, uri, max_bytes);
    tokio::time::timeout(timeout, exchange).await.unwrap_or(Err(RequestError::Silent))
}

async fn exchange(
    idle: &mut Option<IdleConnection>, address: SocketAddr, uri: &str, max_bytes: usize,
) -> Result<Bytes, RequestError> {
    let mut connection = match idle.take() {
        Some(connection) if !connection.sender.is_closed() => connection,
        _ => connect(address).await?,
    };
    let request =
        Request::get(uri).header("host", address.to_string()).body(Empty::new()).map_err(http_error)?;
    let IdleConnection { sender, driver } = &mut connection;
    let answer = async {
        sender.ready().await.map_err(http_error)?;
        let answer = sender.send_request(request).await.map_err(http_error)?;
        let status = answer.status().as_u16();
        let body = Limited::new(answer.into_body(), max_bytes).collect().await.map_err(RequestError::Http)?;
        Ok((status, body.to_bytes()))
    };
    let (status, body) = drive_until_done(driver, answer).await.unwrap_or(Err(RequestError::Ended))?;
    if status != 200 {
        return Err(RequestError::Status(status));
    }
    *idle = Some(connection);
    Ok(body)
}

async fn connect(address: SocketAddr) -> Result<IdleConnection, RequestError> {
    let connected = tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await;
    let tcp = connected.unwrap_or_else(|_| Err(std::io::ErrorKind::TimedOut.into()));
    let tcp = tcp.map_err(RequestError::Connect)?;
    let (sender, driver) = http1::handshake(Stream::new(tcp)).await.map_err(http_error)?;
    Ok(IdleConnection { sender, driver })
}

fn http_error(error: impl Into<Box<dyn std::error::Error + Send + Sync>>) -> RequestError {
    RequestError::Http(error.into())
}
