//! Tests of the positions of keys in a JSON text.

use super::location::{locate, position, Position};

#[test]
fn values_are_located_and_absent_ones_yield_their_innermost_existing_parent() {
    let text = "{\n  \"a\": {\"x\": \"}\\\"]\", \"b\": [1, {\"c\": -2.5e3}, null]},\n  \"d\": true\n}";
    let at = |path| &text[locate(text, path)..];
    assert!(at("a.b[1].c").starts_with("-2.5e3"));
    assert!(at("a.b[2]").starts_with("null") && at("d").starts_with("true"));
    assert!(at("a.missing").starts_with("{\"x\"") && at("a.b[9]").starts_with("[1"));
    assert!(at("").starts_with("{\n") && at("d.e").starts_with("true"));
    assert_eq!(position(text, locate(text, "d")), Position { line: 3, column: 8 });
}
