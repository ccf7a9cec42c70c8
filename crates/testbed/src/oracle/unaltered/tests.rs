use super::super::tests::*;
use crate::record::Observation;

#[test]
fn hidden_altered_and_foreign_requests_are_reported() {
    let mut altered = served(READ, 0);
    altered[3] = at(21, Observation::Answered { id: READ, status: 200, retry_after: None, own: false });
    assert!(broken(&altered)[0].1.contains("another body"));
    let foreign = vec![at(0, Observation::Foreign { backend: 2, text: "GET /x".into() })];
    assert!(broken(&foreign)[0].1.contains("GET /x"));
    let hidden = served(READ, 0)[1..3].to_vec();
    assert!(broken(&hidden)[0].1.contains("no client sent it"));
}
