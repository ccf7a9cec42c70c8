//! Which class a transaction is of: the first rule that fits what is known when its first message is there. Sans-IO.

use lotusdeck_policy::ClassId;

/// Who asks, from the start-up packet.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Who {
    /// The role.
    pub user: String,
    /// The database.
    pub database: String,
    /// What the program calls itself.
    pub application: String,
}

/// One rule: all that it names has to fit.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Rule {
    /// The class that it gives.
    pub class: ClassId,
    /// The role.
    pub user: Option<String>,
    /// The database.
    pub database: Option<String>,
    /// `application_name` of the start-up packet.
    pub application: Option<String>,
    /// The text of a comment that the statement begins with, spaces at its ends apart.
    pub comment: Option<String>,
    /// What the statement begins with, behind comments, whatever the case of its letters.
    pub prefix: Option<String>,
}

/// The text of a first message: of a simple query, or of an unnamed statement that is parsed.
pub fn statement(kind: u8, body: &[u8]) -> Option<&str> {
    let text = match kind {
        b'Q' => body,
        b'P' => &body[body.iter().position(|b| *b == 0)? + 1..],
        _ => return None,
    };
    std::str::from_utf8(text.split(|b| *b == 0).next()?).ok()
}

/// A statement without the comments and spaces before it, and the first of the comments.
fn stripped(text: &str) -> (&str, Option<&str>) {
    let (mut rest, mut first) = (text.trim_start(), None);
    loop {
        let (comment, behind) = if let Some(line) = rest.strip_prefix("--") {
            line.split_once('\n').unwrap_or((line, ""))
        } else if let Some((comment, behind)) = rest.strip_prefix("/*").and_then(|r| r.split_once("*/")) {
            (comment, behind)
        } else {
            return (rest, first);
        };
        first = first.or(Some(comment.trim()));
        rest = behind.trim_start();
    }
}

/// The class of a transaction that begins with that text; the last class of all, `otherwise`, where no rule fits.
pub fn class(rules: &[Rule], who: &Who, text: Option<&str>, otherwise: ClassId) -> ClassId {
    let (rest, comment) = text.map_or(("", None), stripped);
    let is = |asked: &Option<String>, got: &str| asked.as_ref().is_none_or(|a| a == got);
    let begins =
        |prefix: &String| rest.get(..prefix.len()).is_some_and(|head| head.eq_ignore_ascii_case(prefix));
    let fits = |r: &&Rule| {
        is(&r.user, &who.user)
            && is(&r.database, &who.database)
            && is(&r.application, &who.application)
            && r.comment.as_ref().is_none_or(|c| comment == Some(c))
            && r.prefix.as_ref().is_none_or(begins)
    };
    rules.iter().find(fits).map_or(otherwise, |r| r.class)
}

/// One statement outside a transaction, which may be said again as it is: no second one behind it, and nothing that
/// begins or ends a transaction or reads rows from the client. Sure rather than sharp: a semicolon in a text counts.
pub fn single(kind: u8, body: &[u8]) -> bool {
    let Some(text) = statement(kind, body).filter(|_| kind == b'Q') else { return false };
    let (rest, _) = stripped(text);
    let rest = rest.trim_end().trim_end_matches(';');
    let word = rest.split(|c: char| !c.is_ascii_alphabetic()).next().unwrap_or("").to_ascii_lowercase();
    let control =
        ["", "begin", "start", "commit", "end", "rollback", "abort", "savepoint", "prepare", "copy", "set"];
    !rest.contains(';') && !control.contains(&word.as_str())
}

#[cfg(test)]
mod tests;
