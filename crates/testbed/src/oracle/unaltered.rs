//! Backends get what clients sent and clients what backends answered: nothing hidden, nothing altered.

use super::{Broken, Seen};
use crate::record::What;

const NAME: &str = "nothing altered";

pub(super) fn check(seen: &Seen) -> Vec<Broken> {
    let altered = seen.records.iter().filter_map(|r| {
        let text = match &r.what {
            What::Foreign { backend, text } => format!("backend {backend} was sent {text}"),
            What::Answered { status: 200, own: false, .. } => "served with another body".to_string(),
            What::Began { id, .. } if !seen.asked.contains_key(id) => {
                "it reached a backend, but no client sent it".into()
            }
            _ => return None,
        };
        Some(Broken { oracle: NAME, id: r.id(), text })
    });
    altered.collect()
}

#[cfg(test)]
mod tests {
    use super::super::tests::*;
    use crate::record::What;

    #[test]
    fn hidden_altered_and_foreign_requests_are_seen() {
        let mut altered = served(READ, 0);
        altered[3] = at(21, What::Answered { id: READ, status: 200, retry_after: None, own: false });
        assert!(broken(&altered)[0].1.contains("another body"));
        let foreign = vec![at(0, What::Foreign { backend: 2, text: "GET /x".into() })];
        assert!(broken(&foreign)[0].1.contains("GET /x"));
        let hidden = served(READ, 0)[1..3].to_vec();
        assert!(broken(&hidden)[0].1.contains("no client sent it"));
    }
}
