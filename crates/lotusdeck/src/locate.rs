//! Where a key of a JSON text stands (RFC 8259), as serde_json keeps no places.

/// Line and column of an offset, from 1; columns count characters.
pub(crate) fn place(text: &str, at: usize) -> (usize, usize) {
    let before = text.get(..at).unwrap_or(text);
    let line = before.matches('\n').count() + 1;
    let column = before.rsplit('\n').next().unwrap_or_default().chars().count() + 1;
    (line, column)
}

/// One step of a path: a key, or a place in an array.
#[derive(Clone, Debug, PartialEq, Eq)]
enum Step {
    Key(String),
    Index(usize),
}

/// `a.b[2].c` as steps.
fn steps(path: &str) -> Vec<Step> {
    let mut out = Vec::new();
    for part in path.split('.').filter(|p| !p.is_empty()) {
        let (name, indices) = part.split_once('[').map_or((part, ""), |(n, i)| (n, i));
        out.push(Step::Key(name.into()));
        let indices = indices.split('[').filter_map(|i| i.trim_end_matches(']').parse().ok());
        out.extend(indices.map(Step::Index));
    }
    out
}

/// The offset of the value at `path`, or of the nearest that holds it where it is absent. `text` has to be JSON.
pub(crate) fn locate(text: &str, path: &str) -> usize {
    let mut scan = Scan { text: text.as_bytes(), at: 0 };
    scan.space();
    let mut found = scan.at;
    for step in steps(path) {
        if !scan.enter(&step) {
            break;
        }
        found = scan.at;
    }
    found
}

struct Scan<'a> {
    text: &'a [u8],
    at: usize,
}

impl Scan<'_> {
    fn peek(&self) -> u8 {
        self.text.get(self.at).copied().unwrap_or(0)
    }

    fn space(&mut self) {
        while self.peek().is_ascii_whitespace() {
            self.at += 1;
        }
    }

    /// From the beginning of a value to the beginning of a part of it; false where there is no such part.
    fn enter(&mut self, step: &Step) -> bool {
        let (open, from) = (self.peek(), self.at);
        let fits = matches!((open, step), (b'{', Step::Key(_)) | (b'[', Step::Index(_)));
        if !fits {
            return false;
        }
        self.at += 1;
        let mut index = 0;
        loop {
            self.space();
            if matches!(self.peek(), b'}' | b']' | 0) {
                self.at = from;
                return false;
            }
            let hit = match step {
                Step::Index(wanted) => index == *wanted,
                Step::Key(wanted) => {
                    let key = self.at;
                    self.skip();
                    let read: Option<String> = serde_json::from_slice(&self.text[key..self.at]).ok();
                    self.space();
                    self.at += 1; // the colon
                    self.space();
                    read.as_ref() == Some(wanted)
                }
            };
            if hit {
                return true;
            }
            self.skip();
            self.space();
            self.at += usize::from(self.peek() == b',');
            index += 1;
        }
    }

    /// Past the value that begins here.
    fn skip(&mut self) {
        let mut depth = 0;
        loop {
            match self.peek() {
                0 => return,
                b'"' => {
                    self.at += 1;
                    while !matches!(self.peek(), b'"' | 0) {
                        self.at += 1 + usize::from(self.peek() == b'\\');
                    }
                    self.at += 1;
                }
                b'{' | b'[' => {
                    depth += 1;
                    self.at += 1;
                    continue;
                }
                b'}' | b']' => {
                    depth -= 1;
                    self.at += 1;
                }
                b',' | b':' => {
                    self.at += 1;
                    continue;
                }
                c if c.is_ascii_whitespace() => {
                    self.at += 1;
                    continue;
                }
                _ => {
                    while !matches!(self.peek(), b',' | b'}' | b']' | b':' | 0)
                        && !self.peek().is_ascii_whitespace()
                    {
                        self.at += 1;
                    }
                }
            }
            if depth <= 0 {
                return;
            }
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn values_are_found_and_absent_ones_point_to_what_would_hold_them() {
        let text = "{\n  \"a\": {\"x\": \"}\\\"]\", \"b\": [1, {\"c\": -2.5e3}, null]},\n  \"d\": true\n}";
        let at = |path| &text[locate(text, path)..];
        assert!(at("a.b[1].c").starts_with("-2.5e3"));
        assert!(at("a.b[2]").starts_with("null") && at("d").starts_with("true"));
        assert!(at("a.missing").starts_with("{\"x\"") && at("a.b[9]").starts_with("[1"));
        assert!(at("").starts_with("{\n") && at("d.e").starts_with("true"));
        assert_eq!(place(text, locate(text, "d")), (3, 8));
    }
}
