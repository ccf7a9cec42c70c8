//! One call after another on a connection of its own, to a source of configuration.

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
const CONNECT: Duration = Duration::from_secs(1);

/// Why a call has no answer.
#[derive(Debug, Error)]
pub enum RequestError {
    /// Nobody listens, or the way there is broken.
    #[error("no connection: {0}")]
    Connect(std::io::Error),
    /// What came is no answer, or is too long.
    #[error("call broken: {0}")]
    Http(Box<dyn std::error::Error + Send + Sync>),
    /// Another status than 200.
    #[error("answered {0}")]
    Status(u16),
    /// It ended before the answer.
    #[error("connection ended")]
    Ended,
    /// The time for the call is over.
    #[error("silent")]
    Silent,
}

/// A connection between calls.
pub struct IdleConnection {
    sender: http1::SendRequest<Empty<Bytes>>,
    conn: http1::Connection<Stream, Empty<Bytes>>,
}

/// Gets `uri` from `at`, over the connection left in `link` by the call before or over a new one; the body, of at most
/// `most` bytes. A connection whose call failed is not used again.
///
/// # Errors
/// Why there is no whole answer within `patience`.
pub async fn get(
    link: &mut Option<IdleConnection>, at: SocketAddr, uri: &str, most: usize, patience: Duration,
) -> Result<Bytes, RequestError> {
    let call = ask(link, at, uri, most);
    tokio::time::timeout(patience, call).await.unwrap_or(Err(RequestError::Silent))
}

async fn ask(
    link: &mut Option<IdleConnection>, at: SocketAddr, uri: &str, most: usize,
) -> Result<Bytes, RequestError> {
    let mut live = match link.take() {
        Some(live) if !live.sender.is_closed() => live,
        _ => {
            let dial = tokio::time::timeout(CONNECT, TcpStream::connect(at)).await;
            let tcp = dial.unwrap_or_else(|_| Err(std::io::ErrorKind::TimedOut.into()));
            let tcp = tcp.map_err(RequestError::Connect)?;
            let (sender, conn) = http1::handshake(Stream::new(tcp)).await.map_err(boxed)?;
            IdleConnection { sender, conn }
        }
    };
    let request = Request::get(uri).header("host", at.to_string()).body(Empty::new()).map_err(boxed)?;
    let IdleConnection { sender, conn } = &mut live;
    let answer = async {
        sender.ready().await.map_err(boxed)?;
        let answer = sender.send_request(request).await.map_err(boxed)?;
        let status = answer.status().as_u16();
        let body = Limited::new(answer.into_body(), most).collect().await.map_err(RequestError::Http)?;
        Ok((status, body.to_bytes()))
    };
    let (status, body) = drive_until_done(conn, answer).await.unwrap_or(Err(RequestError::Ended))?;
    if status != 200 {
        return Err(RequestError::Status(status));
    }
    *link = Some(live);
    Ok(body)
}

fn boxed(e: impl Into<Box<dyn std::error::Error + Send + Sync>>) -> RequestError {
    RequestError::Http(e.into())
}
