//! A journal of requests that must never run twice. After any crash it tells for each of them whether it was never
//! sent, sent to a named backend (and how that ended), or possibly sent. It is never wrong, only sometimes uncertain.
//!
//! [`Writer`] appends records to segments on a [`Disk`]; [`History`] reads folders back and draws conclusions.
//! Neither starts a thread nor reads a clock. [`Ledger`] runs a writer on a thread of its own.
#![allow(
    missing_docs,
    unreachable_pub,
    clippy::expect_used,
    clippy::missing_errors_doc,
    clippy::missing_panics_doc,
    clippy::semicolon_if_nothing_returned,
    clippy::too_many_lines,
    clippy::type_complexity,
    clippy::unwrap_used,
    reason = "not revised yet"
)]

mod disk;
mod frame;
mod history;
mod index;
pub mod memory_disk;
mod record;
mod segment;
mod thread;
mod writer;

pub use disk::{Disk, Folder};
pub use frame::{decode, encode, Damage, Frame, HEADER};
pub use history::{Attempt, Fate, History, Request, Verdict};
pub use index::Index;
pub use record::{End, Millis, Record};
pub use segment::{read_segment, LocatedFrame, Scan, SegmentHeader, SegmentKind, HEAD_LEN, VERSION};
pub use thread::{DurableWrite, Ledger, LedgerStatus};
pub use writer::{Mode, OnFailure, Options, WriteError, Writer};
