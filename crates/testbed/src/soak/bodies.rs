//! Large bodies in a soak run: long answers that a backend writes slowly or never ends, and large requests that it reads
//! slowly or stops reading.

use super::client_pace::ClientPace;
use super::pace::{Framing, Pace, Prelude, ANSWER_BYTE, LAST_CHUNK};
use super::plan::SoakPlan;
use super::records::{BodyRecord, Class, Recorder};
use crate::record::TryId;
use crate::world::rng::Rng;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// How long after its deadline a client waits for an answer to begin.
const LISTEN_ON: Duration = Duration::from_millis(1_500);
/// The longest pause within an answer for which a client waits.
const MAX_ANSWER_PAUSE: Duration = Duration::from_secs(4);
/// The pause of a backend between two reads of a large request, and the most that it reads at once, in bytes.
const READ_PAUSE: Duration = Duration::from_millis(1);
const READ_BYTES: usize = 4096;
/// The answer to a large request that was read to its end.
const SHORT_ANSWER: &[u8] = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\nConnection: close\r\n\r\nok";

const EARLY_HINTS: &str = "HTTP/1.1 103 Early Hints\r\n\r\n";
/// The length of the first part of a head that is written in two, in bytes.
const FIRST_HEAD_PART: usize = 14;

/// Serves a request of this pace on a connection of which no more than its head was read, until the connection ends.
pub async fn serve(pace: Pace, tcp: &mut TcpStream, recorder: &Recorder, id: TryId, backend: usize) {
    // Each fails if the proxy has closed.
    let _ = match pace {
        Pace::SlowAnswer { prelude, framing, bytes, step_bytes, pause, .. } => {
            let head = framing.head(bytes);
            if write_head(tcp, prelude, &head, pause).await.is_err() {
                return;
            }
            let steps = bytes.div_ceil(step_bytes.max(1)) as u32;
            recorder.add_begun_answer(id, backend, pause * steps);
            write_body(tcp, framing, bytes, step_bytes, pause).await
        }
        Pace::SilentAnswer { framing, declared_bytes, bytes, .. } => {
            if backend % 2 == id.arrival as usize % 2 {
                tcp.write_all(SHORT_ANSWER).await
            } else {
                fall_silent(tcp, framing, declared_bytes, bytes).await
            }
        }
        Pace::LargeRequest { bytes, slow_from, pause } => {
            if read_slowly(tcp, bytes, slow_from, pause).await.is_err() {
                return;
            }
            recorder.add_begun_answer(id, backend, Duration::ZERO);
            tcp.write_all(SHORT_ANSWER).await
        }
    };
}

/// Reads a request to its end, or no more of it from a position on if `pause` is zero.
async fn read_slowly(
    tcp: &mut TcpStream, bytes: usize, slow_from: usize, pause: Duration,
) -> std::io::Result<()> {
    read_up_to(tcp, slow_from, READ_PAUSE).await?;
    if pause.is_zero() {
        std::future::pending::<()>().await;
    }
    read_up_to(tcp, bytes.saturating_sub(slow_from), pause).await
}

/// Reads this many bytes with a pause before each read, or until the connection ends, which is an error.
async fn read_up_to(tcp: &mut TcpStream, bytes: usize, pause: Duration) -> std::io::Result<()> {
    let mut received = 0;
    let mut buffer = [0; READ_BYTES];
    while received < bytes {
        tokio::time::sleep(pause).await;
        match tcp.read(&mut buffer).await? {
            0 => return Err(std::io::ErrorKind::UnexpectedEof.into()),
            count => received += count,
        }
    }
    Ok(())
}

/// Writes the head of an answer, and what comes before it.
async fn write_head(
    tcp: &mut TcpStream, prelude: Prelude, head: &str, pause: Duration,
) -> std::io::Result<()> {
    let parts = match prelude {
        Prelude::None => ["", head],
        Prelude::Informational => [EARLY_HINTS, head],
        Prelude::HeadInParts => [&head[..FIRST_HEAD_PART], &head[FIRST_HEAD_PART..]],
    };
    if !parts[0].is_empty() {
        tcp.write_all(parts[0].as_bytes()).await?;
        tokio::time::sleep(pause).await;
    }
    tcp.write_all(parts[1].as_bytes()).await
}

async fn write_body(
    tcp: &mut TcpStream, framing: Framing, bytes: usize, step_bytes: usize, pause: Duration,
) -> std::io::Result<()> {
    let mut left = bytes;
    while left > 0 {
        tokio::time::sleep(pause).await;
        let step = left.min(step_bytes.max(1));
        tcp.write_all(&framing.part(step)).await?;
        left -= step;
    }
    tcp.write_all(framing.end()).await
}

/// Writes the beginning of an answer and then nothing more, until the proxy closes the connection.
async fn fall_silent(
    tcp: &mut TcpStream, framing: Framing, declared_bytes: usize, bytes: usize,
) -> std::io::Result<()> {
    tcp.write_all(framing.head(declared_bytes).as_bytes()).await?;
    if bytes > 0 {
        tcp.write_all(&framing.part(bytes)).await?;
    }
    while tcp.read(&mut [0; READ_BYTES]).await? > 0 {}
    Ok(())
}

/// Sends a request with a large body or a special answer on a new connection, and records how it ends.
pub async fn ask(
    plan: &SoakPlan, recorder: &Recorder, rng: &mut Rng, id: TryId, proxy: usize, address: SocketAddr,
) {
    let pace = Pace::draw(rng);
    let deadline = match pace.class() {
        Class::Read => plan.read_deadline,
        Class::Order => plan.order_deadline,
    };
    let client = ClientPace::draw(rng, pace);
    let request = pace.request(id, deadline, &client);
    let Ok(mut tcp) = TcpStream::connect(address).await else { return };
    let started_at = recorder.now();
    let patience = deadline + MAX_ANSWER_PAUSE + client.pauses_of_writing();
    let written = tokio::time::timeout(patience, client.write(&mut tcp, &request)).await;
    let Ok(written) = written else { return }; // the client has left amid its request
    let is_written = written.is_ok();
    let sent_at = recorder.now();
    let mut record = BodyRecord {
        id,
        proxy,
        class: pace.class(),
        kind: pace.kind(),
        started_at,
        sent_at,
        deadline,
        is_written,
        began_at: None,
        status: None,
        is_whole: false,
        looks_whole: false,
        body_bytes: 0,
        ended_at: sent_at,
    };
    read_answer(&mut tcp, client, recorder, &mut record).await;
    record.is_whole =
        record.looks_whole && pace.answer_bytes().is_none_or(|bytes| bytes == record.body_bytes);
    record.ended_at = recorder.now();
    recorder.add_body(record);
}

/// Reads an answer to its end, or until nothing comes any more.
async fn read_answer(tcp: &mut TcpStream, client: ClientPace, recorder: &Recorder, record: &mut BodyRecord) {
    let mut received = Vec::new();
    let mut head = None;
    let has_ended = loop {
        let patience = match record.began_at {
            None => (record.sent_at + record.deadline + LISTEN_ON).saturating_sub(recorder.now()),
            Some(_) => MAX_ANSWER_PAUSE,
        };
        match tokio::time::timeout(patience, client.read(tcp, &mut received)).await {
            Ok(Ok(1..)) => {}
            Ok(Ok(0)) => break true,
            _ => break false,
        }
        record.began_at.get_or_insert_with(|| recorder.now());
        head = head.or_else(|| Head::parse(&received));
        let is_complete = |head: &Head| head.status != Some(200) || head.is_complete(&received);
        if head.as_ref().is_some_and(is_complete) {
            break false;
        }
    };
    record.status = status(&received);
    if let Some(head) = head.filter(|head| head.status == Some(200)) {
        let ends_here = has_ended && head.framing == Framing::Close;
        record.looks_whole = ends_here || head.is_complete(&received);
        record.body_bytes = received[head.bytes..].iter().filter(|byte| **byte == ANSWER_BYTE).count();
    }
}

fn status(received: &[u8]) -> Option<u16> {
    std::str::from_utf8(received.get(9..12)?).ok()?.parse().ok()
}

/// The head of an answer.
struct Head {
    status: Option<u16>,
    framing: Framing,
    /// Its own length.
    bytes: usize,
    /// The declared length of the body.
    body_bytes: usize,
}

impl Head {
    /// Returns the head at the beginning of what was received, once it is complete.
    fn parse(received: &[u8]) -> Option<Head> {
        const HEAD_END: &[u8] = b"\r\n\r\n";
        let end = received.windows(HEAD_END.len()).position(|bytes| bytes == HEAD_END)?;
        let text = String::from_utf8_lossy(&received[..end]).to_lowercase();
        let length = text.lines().find_map(|line| line.strip_prefix("content-length:")?.trim().parse().ok());
        let framing = match length {
            Some(_) => Framing::Length,
            None if text.contains("transfer-encoding: chunked") => Framing::Chunked,
            None => Framing::Close,
        };
        let body_bytes = length.unwrap_or_default();
        Some(Head { status: status(received), framing, bytes: end + HEAD_END.len(), body_bytes })
    }

    /// Returns whether the framing tells that all was received.
    fn is_complete(&self, received: &[u8]) -> bool {
        match self.framing {
            Framing::Length => received.len() >= self.bytes + self.body_bytes,
            Framing::Chunked => received.ends_with(LAST_CHUNK),
            Framing::Close => false,
        }
    }
}
