//! A journal of non-idempotent requests. After any crash it shows whether each request was never sent, sent to named
//! backends (and how each attempt ended), or possibly sent. Where records may be missing it reports "possibly sent"
//! instead of guessing.
//!
//! [`Writer`] appends records to segments on a [`Disk`]; [`History`] reads folders and reconstructs the requests.
//! Neither starts a thread nor reads a clock. [`Ledger`] runs a writer on its own thread.

mod disk;
mod durable_write;
mod folder;
mod frame;
mod history;
mod index;
mod ledger;
mod manifest;
mod manifest_file;
pub mod memory_disk;
mod open_requests;
mod options;
mod record;
mod retention;
mod segment;
mod segment_name;
mod status;
mod text;
mod worker;
mod writer;

pub use disk::Disk;
pub use durable_write::DurableWrite;
pub use folder::Folder;
pub use frame::{decode, encode, DecodeError, Frame, FRAME_HEADER_LEN};
pub use history::{AddedFolder, Attempt, AttemptOutcome, History, Request, SendState};
pub use index::Index;
pub use ledger::Ledger;
pub use options::{Mode, OnFailure, Options};
pub use record::{End, Millis, Record};
pub use segment::{
    read_segment, LocatedFrame, Scan, SegmentHeader, SegmentKind, SEGMENT_HEADER_LEN, VERSION,
};
pub use status::LedgerStatus;
pub use writer::{WriteCounts, WriteError, Writer};
