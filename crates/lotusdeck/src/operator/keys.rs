//! The table of keys: name, type, range, default and meaning of each. A test compares it with docs/configuration.md,
//! which lists every key in the same terms.

/// The type of a key's value, with its limits and its default.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ValueType {
    /// A whole number within a range.
    Number {
        /// The unit that it counts.
        unit: &'static str,
        /// The smallest value that is accepted.
        min: i64,
        /// The largest value that is accepted.
        max: i64,
        /// The value if the key is absent.
        default: i64,
    },
    /// One of these words; the first is the default.
    Choice(&'static [&'static str]),
    /// Text; empty by default.
    Text,
    /// A socket address; none by default.
    Address,
    /// Positions in the fleet and socket addresses; none by default.
    Members,
}

impl ValueType {
    /// Describes the expected value, as messages and docs/configuration.md do.
    pub(crate) fn expected(&self) -> String {
        match self {
            ValueType::Number { unit, min, max, .. } => {
                format!("a whole number of {unit} from {min} to {max}")
            }
            ValueType::Choice(words) => words.join(" or "),
            ValueType::Text => "text".into(),
            ValueType::Address => "an address as 10.0.0.1:7400, or nothing".into(),
            ValueType::Members => {
                "positions and addresses as 0@10.0.0.1:7400 1@10.0.0.2:7400, or nothing".into()
            }
        }
    }

    /// Returns the default as it would be written in the file.
    pub(crate) fn default(&self) -> String {
        match self {
            ValueType::Number { default, .. } => default.to_string(),
            ValueType::Choice(words) => format!("\"{}\"", words.first().unwrap_or(&"")),
            ValueType::Text | ValueType::Address | ValueType::Members => "\"\"".into(),
        }
    }
}

/// A key, as docs/configuration.md describes it.
pub(crate) struct Key {
    /// Table and name, joined by a dot.
    pub path: &'static str,
    /// The type of its value.
    pub value_type: ValueType,
    /// What the key does.
    pub description: &'static str,
}

/// Creates the key of a whole number; `range` is the smallest and the largest value that is accepted.
const fn number(
    path: &'static str, unit: &'static str, range: (i64, i64), default: i64, description: &'static str,
) -> Key {
    let (min, max) = range;
    Key { path, value_type: ValueType::Number { unit, min, max, default }, description }
}

/// Every key of the plain tables. The keys of `[[postgres]]` and `[[limit]]` are the fields of their types.
pub(crate) const KEYS: [Key; 23] = [
    number(
        "http.answer_gap_ms",
        "ms",
        (10, 60_000),
        300,
        "an answer that has begun and rests for longer has paused: its request is sent elsewhere, too, if it may be repeated",
    ),
    number(
        "http.answer_silence_ms",
        "ms",
        (100, 600_000),
        10_000,
        "a large answer on its way to the client that rests for longer is cut",
    ),
    number(
        "http.upload_stall_ms",
        "ms",
        (50, 60_000),
        2_500,
        "a client whose body rests for longer, or three fifths of it where connections or memory are scarce, is answered 408",
    ),
    number(
        "http.upload_unread_ms",
        "ms",
        (50, 60_000),
        3_000,
        "a backend that takes nothing of a body for longer, while its client waits to write more, has gone",
    ),
    Key {
        path: "ledger.folder",
        value_type: ValueType::Text,
        description: "where the journal of requests that must never run twice lies; empty: there is none",
    },
    Key {
        path: "ledger.mode",
        value_type: ValueType::Choice(&["process", "power"]),
        description:
            "what a record survives before its request is sent: the process's death, or the loss of power",
    },
    Key {
        path: "ledger.on_failure",
        value_type: ValueType::Choice(&["refuse", "go-on"]),
        description:
            "while nothing can be written such requests get 503, or are sent and read as uncertain later",
    },
    number("ledger.wait_ms", "ms", (1, 60_000), 200, "an attempt waits so long at most for its record"),
    number("ledger.segment_mb", "MB", (1, 1024), 16, "room of a segment, reserved when it is made"),
    number(
        "ledger.keep_mb",
        "MB",
        (1, 1_000_000),
        1_024,
        "beyond it the oldest resolved segments are dropped",
    ),
    number("ledger.keep_days", "days", (1, 36_500), 90, "resolved segments are dropped at this age"),
    number("ledger.keep_unresolved_days", "days", (1, 36_500), 180, "all others at this one"),
    number("ledger.warn_free_mb", "MB", (0, 1_000_000), 256, "with less space than this a line warns"),
    Key {
        path: "state.folder",
        value_type: ValueType::Text,
        description: "where this proxy keeps its last list across restarts; empty: nowhere",
    },
    Key {
        path: "state.site",
        value_type: ValueType::Text,
        description: "names the site in what is kept; what another site kept is not taken",
    },
    number(
        "state.half_life_s",
        "s",
        (1, 604_800),
        600,
        "a kept list is trusted half as much at this age, and not at all past twice it",
    ),
    number(
        "state.every_ms",
        "ms",
        (100, 600_000),
        1_000,
        "a changed list, and what was learned, are kept at most this often",
    ),
    Key {
        path: "configuration.source",
        value_type: ValueType::Address,
        description: "where settings are followed from; empty: they come from the node configuration alone",
    },
    Key {
        path: "fleet.listen",
        value_type: ValueType::Address,
        description: "where datagrams of other proxies come in; empty: this proxy talks to none",
    },
    Key {
        path: "fleet.advertise",
        value_type: ValueType::Address,
        description: "where the others reach it; empty: where it listens",
    },
    Key {
        path: "fleet.members",
        value_type: ValueType::Members,
        description: "some of the others, to call at: the rest is learned from them",
    },
    Key {
        path: "fleet.site",
        value_type: ValueType::Text,
        description: "names the site; datagrams of another one are not read",
    },
    number(
        "fleet.term_ms",
        "ms",
        (200, 60_000),
        1_000,
        "how long a part of a limit is lent to another proxy",
    ),
];

/// Returns the name of the table of each key; a table with several keys is repeated.
pub(super) fn tables() -> impl Iterator<Item = &'static str> {
    KEYS.iter().filter_map(|key| key.path.split_once('.').map(|(table, _)| table))
}
