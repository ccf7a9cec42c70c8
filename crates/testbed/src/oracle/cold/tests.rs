use super::super::tests::*;
use crate::record::Observation;

#[test]
fn an_overloaded_cold_backend_is_reported() {
    let pressure = |sent| vec![at(0, Observation::Pressure { backend: 1, sent, bears: 1.0 })];
    assert!(broken(&pressure(1.01)).is_empty(), "within the tolerance for chance");
    assert!(broken(&pressure(1.2))[0].1.contains("backend 1"));
}
