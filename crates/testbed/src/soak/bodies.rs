//! Large bodies in a soak run: long answers that a backend writes slowly or never ends, and large requests that it reads
//! slowly or stops reading.

use super::pace::{Framing, Pace, LAST_CHUNK};
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

/// Serves a request of this pace on a connection of which no more than its head was read, until the connection ends.
pub async fn serve(pace: Pace, tcp: &mut TcpStream, recorder: &Recorder, id: TryId, backend: usize) {
    // Each fails if the proxy has closed.
    let _ = match pace {
        Pace::LongAnswer { framing, bytes, step_bytes, pause, .. } => {
            recorder.add_begun_answer(id, backend);
            write_slowly(tcp, framing, bytes, step_bytes, pause).await
        }
        Pace::SilentAnswer { framing, declared_bytes, bytes, .. } => {
            if backend % 2 == id.arrival as usize % 2 {
                tcp.write_all(SHORT_ANSWER).await
            } else {
                fall_silent(tcp, framing, declared_bytes, bytes).await
            }
        }
        Pace::LargeRequest { bytes, slow_from, pause } => {
            read_slowly(tcp, bytes, slow_from, pause).await.map(drop)
        }
    };
}

/// Reads a request and answers it, or reads no more of it from a position on if `pause` is zero.
async fn read_slowly(
    tcp: &mut TcpStream, bytes: usize, slow_from: usize, pause: Duration,
) -> std::io::Result<()> {
    read_up_to(tcp, slow_from, READ_PAUSE).await?;
    if pause.is_zero() {
        std::future::pending::<()>().await;
    }
    read_up_to(tcp, bytes.saturating_sub(slow_from), pause).await?;
    tcp.write_all(SHORT_ANSWER).await
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

async fn write_slowly(
    tcp: &mut TcpStream, framing: Framing, bytes: usize, step_bytes: usize, pause: Duration,
) -> std::io::Result<()> {
    tcp.write_all(framing.head(bytes).as_bytes()).await?;
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
    let request = pace.request(id, deadline, rng.unit() < 0.5);
    let Ok(mut tcp) = TcpStream::connect(address).await else { return };
    let written = tokio::time::timeout(deadline + MAX_ANSWER_PAUSE, tcp.write_all(&request)).await;
    let is_written = matches!(written, Ok(Ok(())));
    let sent_at = recorder.now();
    let mut record = BodyRecord {
        id,
        proxy,
        class: pace.class(),
        kind: pace.kind(),
        sent_at,
        deadline,
        is_written,
        began_at: None,
        status: None,
        is_whole: false,
        ended_at: sent_at,
    };
    read_answer(&mut tcp, recorder, &mut record).await;
    record.ended_at = recorder.now();
    recorder.add_body(record);
}

/// Reads an answer to its end, or until nothing comes any more.
async fn read_answer(tcp: &mut TcpStream, recorder: &Recorder, record: &mut BodyRecord) {
    let mut received = Vec::new();
    loop {
        let patience = match record.began_at {
            None => (record.sent_at + record.deadline + LISTEN_ON).saturating_sub(recorder.now()),
            Some(_) => MAX_ANSWER_PAUSE,
        };
        match tokio::time::timeout(patience, tcp.read_buf(&mut received)).await {
            Ok(Ok(1..)) => {}
            _ => return,
        }
        record.began_at.get_or_insert_with(|| recorder.now());
        record.status = std::str::from_utf8(received.get(9..12).unwrap_or_default())
            .ok()
            .and_then(|text| text.parse().ok());
        let is_error = record.status.is_some_and(|status| status != 200);
        if is_error || is_whole(&received) {
            record.is_whole = !is_error;
            return;
        }
    }
}

/// Returns whether an answer of the proxy was received to its end.
fn is_whole(received: &[u8]) -> bool {
    const HEAD_END: &[u8] = b"\r\n\r\n";
    const LENGTH: &str = "content-length:";
    let Some(head_bytes) = received.windows(HEAD_END.len()).position(|bytes| bytes == HEAD_END) else {
        return false;
    };
    let head = String::from_utf8_lossy(&received[..head_bytes]).to_lowercase();
    let length = head.lines().find_map(|line| line.strip_prefix(LENGTH)?.trim().parse::<usize>().ok());
    match length {
        Some(length) => received.len() >= head_bytes + HEAD_END.len() + length,
        None => received.ends_with(LAST_CHUNK),
    }
}
