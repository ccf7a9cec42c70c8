//! Finds the position of a key in a JSON text (RFC 8259), which serde_json does not record.

/// A position in a text. Lines and columns count from 1, columns in characters; both are 0 if there is no position.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Position {
    pub line: usize,
    pub column: usize,
}

/// Returns the position of a byte offset.
pub(super) fn position(text: &str, offset: usize) -> Position {
    let before = text.get(..offset).unwrap_or(text);
    let line = before.matches('\n').count() + 1;
    let column = before.rsplit('\n').next().unwrap_or_default().chars().count() + 1;
    Position { line, column }
}

/// One step of a path.
#[derive(Clone, Debug, PartialEq, Eq)]
enum Step {
    /// A key of an object.
    Key(String),
    /// An index of an array.
    Index(usize),
}

/// Splits a path such as `a.b[2].c` into steps.
fn steps(path: &str) -> Vec<Step> {
    let mut steps = Vec::new();
    for part in path.split('.').filter(|part| !part.is_empty()) {
        let (name, indices) = part.split_once('[').unwrap_or((part, ""));
        steps.push(Step::Key(name.into()));
        let indices = indices.split('[').filter_map(|index| index.trim_end_matches(']').parse().ok());
        steps.extend(indices.map(Step::Index));
    }
    steps
}

/// Returns the offset of the value at `path`; if it is absent, that of the innermost value on the path that exists.
/// `text` must be valid JSON.
pub(super) fn locate(text: &str, path: &str) -> usize {
    let mut scanner = Scanner { text: text.as_bytes(), offset: 0 };
    scanner.skip_whitespace();
    let mut found = scanner.offset;
    for step in steps(path) {
        if !scanner.enter(&step) {
            break;
        }
        found = scanner.offset;
    }
    found
}

/// A cursor in a JSON text.
struct Scanner<'a> {
    text: &'a [u8],
    offset: usize,
}

impl Scanner<'_> {
    /// Returns the byte at the cursor, 0 at the end.
    fn peek(&self) -> u8 {
        self.text.get(self.offset).copied().unwrap_or(0)
    }

    fn skip_whitespace(&mut self) {
        while self.peek().is_ascii_whitespace() {
            self.offset += 1;
        }
    }

    /// Moves from the beginning of a value to the beginning of the member or element of `step`. Returns false, without
    /// moving, if there is none.
    fn enter(&mut self, step: &Step) -> bool {
        let start = self.offset;
        let is_container_of_step =
            matches!((self.peek(), step), (b'{', Step::Key(_)) | (b'[', Step::Index(_)));
        if !is_container_of_step {
            return false;
        }
        self.offset += 1;
        let mut index = 0;
        loop {
            self.skip_whitespace();
            if matches!(self.peek(), b'}' | b']' | 0) {
                self.offset = start;
                return false;
            }
            let is_found = match step {
                Step::Index(wanted) => index == *wanted,
                Step::Key(wanted) => self.read_key().as_ref() == Some(wanted),
            };
            if is_found {
                return true;
            }
            self.skip_value();
            self.skip_whitespace();
            self.offset += usize::from(self.peek() == b',');
            index += 1;
        }
    }

    /// Reads a key and moves past its colon.
    fn read_key(&mut self) -> Option<String> {
        let start = self.offset;
        self.skip_value();
        let key = serde_json::from_slice(&self.text[start..self.offset]).ok();
        self.skip_whitespace();
        self.offset += 1; // the colon
        self.skip_whitespace();
        key
    }

    /// Moves past the value at the cursor.
    fn skip_value(&mut self) {
        let mut depth = 0;
        loop {
            match self.peek() {
                0 => return,
                b'"' => self.skip_string(),
                b'{' | b'[' => {
                    depth += 1;
                    self.offset += 1;
                    continue;
                }
                b'}' | b']' => {
                    depth -= 1;
                    self.offset += 1;
                }
                byte if is_separator(byte) => {
                    self.offset += 1;
                    continue;
                }
                _ => self.skip_literal(),
            }
            if depth <= 0 {
                return;
            }
        }
    }

    fn skip_string(&mut self) {
        self.offset += 1;
        while !matches!(self.peek(), b'"' | 0) {
            let is_escaped = self.peek() == b'\\';
            self.offset += 1 + usize::from(is_escaped);
        }
        self.offset += 1;
    }

    /// Moves past a number, `true`, `false` or `null`.
    fn skip_literal(&mut self) {
        while !matches!(self.peek(), b'}' | b']' | 0) && !is_separator(self.peek()) {
            self.offset += 1;
        }
    }
}

fn is_separator(byte: u8) -> bool {
    matches!(byte, b',' | b':') || byte.is_ascii_whitespace()
}
