use super::super::tests::*;
use crate::record::Observation;

#[test]
fn a_cold_backend_that_is_flooded_is_seen() {
    let pressure = |sent| vec![at(0, Observation::Pressure { backend: 1, sent, bears: 1.0 })];
    assert!(broken(&pressure(1.01)).is_empty(), "chance");
    assert!(broken(&pressure(1.2))[0].1.contains("backend 1"));
}
