//! How a client of a soak run writes a large request and reads its answer.

use super::pace::Pace;
use crate::world::rng::Rng;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// The most that a client reads at once where it pauses between reads, in bytes.
const READ_BYTES: usize = 16 * 1024;

/// The longest pause within a request, in ms: that of a client that sends 128 kB at a time at 64 kB/s.
const MAX_WRITE_PAUSE_MS: usize = 2_000;

/// How a client writes its request and reads the answer.
#[derive(Clone, Copy, Debug)]
pub struct ClientPace {
    /// Whether it speaks HTTP/1.0, where an answer without a length ends with its connection.
    pub is_old: bool,
    /// Whether its body is chunked.
    pub is_chunked: bool,
    /// Number of pieces in which it writes its request, each but the first after a pause.
    pieces: usize,
    write_pause: Duration,
    /// The pause before each read.
    read_pause: Duration,
}

impl ClientPace {
    pub(super) fn draw(rng: &mut Rng, pace: Pace) -> ClientPace {
        let is_large_request = matches!(pace, Pace::LargeRequest { .. });
        let mut below = |limit: usize| rng.below(limit);
        let pieces = if is_large_request && below(3) == 0 { 2 + below(5) } else { 1 };
        ClientPace {
            is_old: pace.answer_bytes().is_some() && below(5) == 0,
            is_chunked: below(2) == 0,
            pieces,
            write_pause: Duration::from_millis(50 + below(MAX_WRITE_PAUSE_MS - 50) as u64),
            read_pause: Duration::from_millis(if below(3) == 0 { 1 + below(3) as u64 } else { 0 }),
        }
    }

    /// Returns how long it pauses in all while it writes its request.
    pub(super) fn pauses_of_writing(self) -> Duration {
        self.write_pause * (self.pieces as u32 - 1)
    }

    /// Writes a request.
    pub(super) async fn write(self, tcp: &mut TcpStream, request: &[u8]) -> std::io::Result<()> {
        for (number, piece) in request.chunks(request.len().div_ceil(self.pieces)).enumerate() {
            if number > 0 {
                tokio::time::sleep(self.write_pause).await;
            }
            tcp.write_all(piece).await?;
        }
        Ok(())
    }

    /// Reads more of an answer; returns the number of bytes, zero at its end.
    pub(super) async fn read(self, tcp: &mut TcpStream, received: &mut Vec<u8>) -> std::io::Result<usize> {
        if self.read_pause.is_zero() {
            return tcp.read_buf(received).await;
        }
        tokio::time::sleep(self.read_pause).await;
        let mut part = [0; READ_BYTES];
        let count = tcp.read(&mut part).await?;
        received.extend_from_slice(&part[..count]);
        Ok(count)
    }
}
