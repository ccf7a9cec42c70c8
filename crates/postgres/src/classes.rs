//! The classification of transactions by rules on the client and on the first message. Sans-IO.

use lotusdeck_policy::ClassId;

/// A client, as identified by its start-up packet.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ClientIdentity {
    /// The role.
    pub user: String,
    /// The database.
    pub database: String,
    /// `application_name`.
    pub application: String,
}

/// A rule, which matches if all its conditions do.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Rule {
    /// The class of matching transactions.
    pub class: ClassId,
    /// The role.
    pub user: Option<String>,
    /// The database.
    pub database: Option<String>,
    /// `application_name` of the start-up packet.
    pub application: Option<String>,
    /// The text of the first comment in front of the statement, without surrounding spaces.
    pub comment: Option<String>,
    /// The beginning of the statement after its leading comments, ignoring ASCII case.
    pub prefix: Option<String>,
}

/// Returns the text of a transaction's first message, if it is a Query or a Parse.
pub fn statement_text(kind: u8, body: &[u8]) -> Option<&str> {
    let text = match kind {
        b'Q' => body,
        b'P' => &body[body.iter().position(|byte| *byte == 0)? + 1..],
        _ => return None,
    };
    std::str::from_utf8(text.split(|byte| *byte == 0).next()?).ok()
}

/// A statement without leading comments and spaces, and the first of these comments.
struct StrippedStatement<'a> {
    text: &'a str,
    comment: Option<&'a str>,
}

/// Removes the leading comments and spaces of a statement.
fn strip_comments(statement: &str) -> StrippedStatement<'_> {
    let mut text = statement.trim_start();
    let mut first_comment = None;
    loop {
        let (comment, rest) = if let Some(line) = text.strip_prefix("--") {
            line.split_once('\n').unwrap_or((line, ""))
        } else if let Some(split) = text.strip_prefix("/*").and_then(|rest| rest.split_once("*/")) {
            split
        } else {
            return StrippedStatement { text, comment: first_comment };
        };
        first_comment = first_comment.or(Some(comment.trim()));
        text = rest.trim_start();
    }
}

impl Rule {
    fn matches(&self, client: &ClientIdentity, statement: &StrippedStatement<'_>) -> bool {
        let matches_value =
            |expected: &Option<String>, actual: &str| expected.as_ref().is_none_or(|text| text == actual);
        let begins_with = |prefix: &String| {
            let beginning = statement.text.get(..prefix.len());
            beginning.is_some_and(|beginning| beginning.eq_ignore_ascii_case(prefix))
        };
        matches_value(&self.user, &client.user)
            && matches_value(&self.database, &client.database)
            && matches_value(&self.application, &client.application)
            && self.comment.as_ref().is_none_or(|comment| statement.comment == Some(comment))
            && self.prefix.as_ref().is_none_or(begins_with)
    }
}

/// Returns the class of a transaction that begins with `text`: that of the first rule that matches, or `default`.
pub fn classify(rules: &[Rule], client: &ClientIdentity, text: Option<&str>, default: ClassId) -> ClassId {
    let statement = strip_comments(text.unwrap_or(""));
    rules.iter().find(|rule| rule.matches(client, &statement)).map_or(default, |rule| rule.class)
}

/// First words of statements that begin or end a transaction, change the session, or read rows from the client; an
/// empty statement is among them.
const NOT_REPEATABLE: [&str; 11] =
    ["", "begin", "start", "commit", "end", "rollback", "abort", "savepoint", "prepare", "copy", "set"];

/// Returns whether a message is a Query with a single statement that can be sent again by itself. Returns false
/// if in doubt: a semicolon inside a literal counts as the end of a statement.
pub fn is_repeatable(kind: u8, body: &[u8]) -> bool {
    let Some(text) = statement_text(kind, body).filter(|_| kind == b'Q') else { return false };
    let text = strip_comments(text).text.trim_end().trim_end_matches(';');
    let first_word = text.split(|character: char| !character.is_ascii_alphabetic()).next().unwrap_or("");
    let first_word = first_word.to_ascii_lowercase();
    !text.contains(';') && !NOT_REPEATABLE.contains(&first_word.as_str())
}

#[cfg(test)]
mod tests;
