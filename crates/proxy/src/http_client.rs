//! One GET request after another on a connection of its own, to a source of configuration.

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

/// A connection that is not up by then will hardly come: a lost segment is sent again after 1 s.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Why a request has no answer.
#[derive(Debug, Error)]
pub enum RequestError {
    /// Nobody listens, or the way there is broken.
    #[error("no connection: {0}")]
    Connect(#[source] std::io::Error),
    /// What came is no answer, or is too long.
    #[error("call broken: {0}")]
    Http(#[source] Box<dyn std::error::Error + Send + Sync>),
    /// Another status than 200.
    #[error("answered {0}")]
    Status(u16),
    /// It ended before the answer.
    #[error("connection ended")]
    Ended,
    /// The time for the request is over.
    #[error("silent")]
    Silent,
}

/// A connection between requests.
pub struct IdleConnection {
    sender: http1::SendRequest<Empty<Bytes>>,
    driver: http1::Connection<Stream, Empty<Bytes>>,
}

/// Gets `uri` from `address`, over the connection left in `idle` by the request before or over a new one; the body, of
/// at most `max_bytes`. A connection whose request failed is not used again.
///
/// # Errors
/// Why there is no complete answer within `timeout`.
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
    let request = Request::get(uri).header("host", address.to_string()).body(Empty::new()).map_err(boxed)?;
    let IdleConnection { sender, driver } = &mut connection;
    let answer = async {
        sender.ready().await.map_err(boxed)?;
        let answer = sender.send_request(request).await.map_err(boxed)?;
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
    let (sender, driver) = http1::handshake(Stream::new(tcp)).await.map_err(boxed)?;
    Ok(IdleConnection { sender, driver })
}

fn boxed(error: impl Into<Box<dyn std::error::Error + Send + Sync>>) -> RequestError {
    RequestError::Http(error.into())
}
