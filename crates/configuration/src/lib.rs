//! Distribution of settings to all proxies, sans-IO: one source publishes versions of a document of named entries, and
//! each proxy follows the source by applying deltas. A version is applied completely or not at all: before any of its
//! entries takes effect, the checksum over the document has to match and the settings have to pass the proxy's own
//! checks. docs/configuration-distribution.md describes the bounds, the messages and the alternatives.
//!
//! - [`entry`]: sections, keys and entries;
//! - [`document`]: all entries in their canonical order, and the settings object they represent;
//! - [`checksum`]: an incremental checksum over all entries;
//! - [`version`]: the source's epoch and a number that increases with each version;
//! - [`delta`]: the changes between two versions, and the full document of a version;
//! - [`message`]: the source's answers; [`encode`] and [`decode`] convert them to and from JSON text;
//! - [`poll`]: a follower's request; [`invalid_settings`]: the error of a proxy's own checks;
//! - [`staging`]: building a version in bounded slices without modifying the one in force;
//! - [`follower`]: the proxy's side; [`backoff`]: its delays after failures;
//! - [`history`] and [`source`]: the publishing side; [`long_poll`]: the bounded queue of open polls.
//!
//! Times are durations since the start of the process on a monotonic clock; times of different processes are never
//! compared.

pub mod backoff;
pub mod checksum;
mod decoding;
pub mod delta;
pub mod document;
mod encoding;
pub mod entry;
pub mod follower;
pub mod history;
pub mod invalid_settings;
pub mod long_poll;
pub mod message;
mod message_fields;
pub mod poll;
pub mod source;
pub mod staging;
pub mod version;

pub use checksum::Checksum;
pub use decoding::decode;
pub use delta::{Delta, FullDocument};
pub use document::{Document, DocumentError};
pub use encoding::encode;
pub use entry::{Entry, Key, Section};
pub use follower::{Failure, Follower, FollowerSettings, NextStep, Rejection, SyncState};
pub use invalid_settings::InvalidSettings;
pub use message::{Message, MessageError};
pub use poll::Poll;
pub use source::{Publication, PublishError, Source};
pub use staging::Candidate;
pub use version::Version;
