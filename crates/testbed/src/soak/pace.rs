//! What a backend does with a request of a soak run that has a large body or a special answer. The target of the request
//! tells it to the backend.

use super::client_pace::ClientPace;
use super::records::{BodyKind, Class};
use crate::record::TryId;
use crate::world::rng::Rng;
use std::time::Duration;

/// The first parts of the targets.
const CLASSES: [(&str, Class); 2] = [("read", Class::Read), ("order", Class::Order)];
const SLOW_ANSWER: &str = "slow";
const SILENT_ANSWER: &str = "silent";
const LARGE_REQUEST: &str = "large";
/// Each byte of the body of an answer.
pub const ANSWER_BYTE: u8 = b'y';
/// Part of a chunked message that ends it.
pub const LAST_CHUNK: &[u8] = b"0\r\n\r\n";
/// The length up to which an answer has to be complete in its client's time, in bytes.
const MAX_SHORT_BYTES: usize = 64 * 1024;
/// The length that the head of a silent answer declares, where it declares one: short, or long.
const SILENT_LENGTHS: [usize; 2] = [20_000, 140_000];

/// How the end of an answer is marked.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Framing {
    /// By its length.
    Length,
    /// By a last chunk.
    Chunked,
    /// By the end of its connection.
    Close,
}

const FRAMINGS: [Framing; 3] = [Framing::Length, Framing::Chunked, Framing::Close];

impl Framing {
    /// Returns the head of an answer with a body of this length.
    pub fn head(self, bytes: usize) -> String {
        let header = match self {
            Framing::Length => format!("Content-Length: {bytes}"),
            Framing::Chunked => "Transfer-Encoding: chunked".into(),
            Framing::Close => "Connection: close".into(),
        };
        format!("HTTP/1.1 200 OK\r\n{header}\r\n\r\n")
    }

    /// Returns a part of a body.
    pub fn part(self, bytes: usize) -> Vec<u8> {
        let data = vec![ANSWER_BYTE; bytes];
        match self {
            Framing::Chunked => [format!("{bytes:x}\r\n").as_bytes(), &data, b"\r\n"].concat(),
            Framing::Length | Framing::Close => data,
        }
    }

    /// Returns what follows the last part of a body.
    pub fn end(self) -> &'static [u8] {
        match self {
            Framing::Chunked => LAST_CHUNK,
            Framing::Length | Framing::Close => b"",
        }
    }
}

/// What a backend writes before the body of an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Prelude {
    /// The head at once.
    None,
    /// An answer of status 103, then a pause, then the head.
    Informational,
    /// The head in two parts with a pause between them.
    HeadInParts,
}

const PRELUDES: [Prelude; 3] = [Prelude::None, Prelude::Informational, Prelude::HeadInParts];

/// What a backend does with a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Pace {
    /// Writes an answer in steps of `step_bytes`, each after a pause.
    SlowAnswer {
        /// The class of the request.
        class: Class,
        /// What comes before its body.
        prelude: Prelude,
        /// How the end of the answer is marked.
        framing: Framing,
        /// The length of the answer.
        bytes: usize,
        /// The length of a step.
        step_bytes: usize,
        /// The pause before each step.
        pause: Duration,
    },
    /// Writes the head of an answer and `bytes` bytes of its body, and then nothing more, at half of the backends.
    SilentAnswer {
        /// The class of the request.
        class: Class,
        /// How the end of the answer is marked.
        framing: Framing,
        /// The length that the head declares, if it does.
        declared_bytes: usize,
        /// The length of the part of the body that is written.
        bytes: usize,
    },
    /// Reads a request up to a position, then slowly or no more.
    LargeRequest {
        /// The length of the request's body.
        bytes: usize,
        /// The position in the request.
        slow_from: usize,
        /// The pause before each further read; zero if there is none.
        pause: Duration,
    },
}

impl Pace {
    pub(super) fn draw(rng: &mut Rng) -> Pace {
        let kind = rng.unit();
        let class = CLASSES[rng.below(CLASSES.len())].1;
        let framing = FRAMINGS[rng.below(FRAMINGS.len())];
        if kind < 0.6 {
            let bytes = match rng.unit() {
                share if share < 0.25 => 2_000 + rng.below(58_000),
                share if share < 0.85 => 80_000 + rng.below(120_000),
                _ => 300_000 + rng.below(2_700_000),
            };
            let prelude = if rng.unit() < 0.6 { Prelude::None } else { PRELUDES[1 + rng.below(2)] };
            let steps = 1 + rng.below(8);
            let pause = Duration::from_millis((100 + rng.below(1_000)) as u64 / steps as u64);
            return Pace::SlowAnswer {
                class,
                prelude,
                framing,
                bytes,
                step_bytes: bytes.div_ceil(steps),
                pause,
            };
        }
        if kind < 0.75 {
            let declared_bytes = SILENT_LENGTHS[rng.below(SILENT_LENGTHS.len())];
            let bytes = if rng.unit() < 0.5 { 0 } else { 1 + rng.below(4_000) };
            return Pace::SilentAnswer { class, framing, declared_bytes, bytes };
        }
        let most_bytes = if rng.unit() < 0.5 { 500_000 } else { 5_000_000 };
        let bytes = 100_000 + rng.below(most_bytes);
        let pause = Duration::from_millis(match rng.below(3) {
            0 => 0,
            1 => 1 + rng.below(10) as u64,
            _ => 5 + rng.below(200) as u64,
        });
        Pace::LargeRequest { bytes, slow_from: 5_000 + rng.below(60_000), pause }
    }

    /// Returns the target that tells it to the backend.
    pub fn target(self) -> String {
        let name = |class| CLASSES.iter().find(|(_, of)| *of == class).map_or("", |(name, _)| name);
        let number = |framing| FRAMINGS.iter().position(|of| *of == framing).unwrap_or_default();
        match self {
            Pace::SlowAnswer { class, prelude, framing, bytes, step_bytes, pause } => {
                let (class, framing, pause) = (name(class), number(framing), pause.as_millis());
                let prelude = PRELUDES.iter().position(|of| *of == prelude).unwrap_or_default();
                format!("/{class}/{SLOW_ANSWER}/{prelude}/{framing}/{bytes}/{step_bytes}/{pause}")
            }
            Pace::SilentAnswer { class, framing, declared_bytes, bytes } => {
                let (class, framing) = (name(class), number(framing));
                format!("/{class}/{SILENT_ANSWER}/{framing}/{declared_bytes}/{bytes}")
            }
            Pace::LargeRequest { bytes, slow_from, pause } => {
                let class = name(Class::Order);
                format!("/{class}/{LARGE_REQUEST}/{bytes}/{slow_from}/{}", pause.as_millis())
            }
        }
    }

    /// Reads the target of a request; returns `None` for other requests.
    pub fn parse(target: &str) -> Option<Pace> {
        let mut parts = target.split('/').skip(1);
        let class_name = parts.next()?;
        let class = CLASSES.iter().find(|(name, _)| *name == class_name)?.1;
        let kind = parts.next()?;
        let numbers = parts.map(|part| part.parse().ok()).collect::<Option<Vec<usize>>>()?;
        let milliseconds = |number: usize| Duration::from_millis(number as u64);
        Some(match (kind, &numbers[..]) {
            (SLOW_ANSWER, &[prelude, framing, bytes, step_bytes, pause]) => {
                let (framing, pause) = (*FRAMINGS.get(framing)?, milliseconds(pause));
                Pace::SlowAnswer {
                    class,
                    prelude: *PRELUDES.get(prelude)?,
                    framing,
                    bytes,
                    step_bytes,
                    pause,
                }
            }
            (SILENT_ANSWER, &[framing, declared_bytes, bytes]) => {
                Pace::SilentAnswer { class, framing: *FRAMINGS.get(framing)?, declared_bytes, bytes }
            }
            (LARGE_REQUEST, &[bytes, slow_from, pause]) => {
                Pace::LargeRequest { bytes, slow_from, pause: milliseconds(pause) }
            }
            _ => return None,
        })
    }

    /// Returns the length of the body of a whole answer, if it is a slow one.
    pub fn answer_bytes(self) -> Option<usize> {
        match self {
            Pace::SlowAnswer { bytes, .. } => Some(bytes),
            Pace::SilentAnswer { .. } | Pace::LargeRequest { .. } => None,
        }
    }

    /// Returns what is special about the request.
    pub fn kind(self) -> BodyKind {
        match self {
            Pace::SlowAnswer { bytes, .. } if bytes <= MAX_SHORT_BYTES => BodyKind::ShortAnswer,
            Pace::SlowAnswer { .. } => BodyKind::LongAnswer,
            Pace::SilentAnswer { .. } => BodyKind::SilentAnswer,
            Pace::LargeRequest { .. } => BodyKind::LargeRequest,
        }
    }

    /// Returns the class of the request.
    pub fn class(self) -> Class {
        match self {
            Pace::SlowAnswer { class, .. } | Pace::SilentAnswer { class, .. } => class,
            Pace::LargeRequest { .. } => Class::Order,
        }
    }

    /// Returns the bytes of a request with this id.
    pub(super) fn request(self, id: TryId, deadline: Duration, client: &ClientPace) -> Vec<u8> {
        let version = if client.is_old { "HTTP/1.0" } else { "HTTP/1.1" };
        let (target, left) = (self.target(), deadline.as_secs_f64());
        let method = if self.class() == Class::Read { "GET" } else { "POST" };
        let head = format!(
            "{method} {target} {version}\r\nHost: soak\r\nX-Correlation-Id: {id}\r\nX-Time-Left: {left}\r\n"
        );
        let rest = match self {
            Pace::LargeRequest { bytes, .. } if client.is_chunked => {
                format!("Transfer-Encoding: chunked\r\n\r\n{bytes:x}\r\n{}\r\n0\r\n\r\n", "x".repeat(bytes))
            }
            Pace::LargeRequest { bytes, .. } => {
                format!("Content-Length: {bytes}\r\n\r\n{}", "x".repeat(bytes))
            }
            _ if method == "POST" => "Content-Length: 0\r\n\r\n".into(),
            _ => "\r\n".into(),
        };
        (head + &rest).into_bytes()
    }
}
