//! The names of segment files.

use std::fmt::{self, Display, Formatter};

const PREFIX: &str = "ledger-";
const SUFFIX: &str = ".seg";
const INDEX_SUFFIX: &str = ".idx";

/// The name of a segment file. Names sort by generation and number, as text and as values.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct SegmentName {
    /// The id of the generation that wrote the segment.
    pub(crate) generation: u64,
    /// The number of the segment within the generation, from 0.
    pub(crate) number: u32,
}

impl SegmentName {
    /// Parses a file name. Returns `None` for files that are not segments.
    pub(crate) fn parse(file: &str) -> Option<SegmentName> {
        let (generation, number) = file.strip_prefix(PREFIX)?.strip_suffix(SUFFIX)?.split_once('-')?;
        let name = SegmentName {
            generation: u64::from_str_radix(generation, 16).ok()?,
            number: number.parse().ok()?,
        };
        (name.to_string() == file).then_some(name)
    }

    /// Returns whether a file belongs to a ledger's records: a segment or an index, of any program version.
    pub(crate) fn is_ledger_file(file: &str) -> bool {
        file.starts_with(PREFIX) && (file.ends_with(SUFFIX) || file.ends_with(INDEX_SUFFIX))
    }

    /// Returns the name of the segment's index file.
    pub(crate) fn index(self) -> String {
        self.to_string().replace(SUFFIX, INDEX_SUFFIX)
    }
}

impl Display for SegmentName {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        write!(f, "{PREFIX}{:016x}-{:08}{SUFFIX}", self.generation, self.number)
    }
}
