use super::*;

#[test]
fn changes_come_late_in_order_and_by_version() {
    let mut d = Discovery::new(3, Micros(100));
    d.change(Time(0), 1, Status::Draining, None);
    d.lag = Micros(10); // a shorter delay must not let the next change overtake
    d.change(Time(1), 1, Status::Deleted, None);
    assert!(!d.due(Time(99)) && d.next() == Some(Time(100)));
    assert!(d.due(Time(100)) && d.version() == 3);
    assert_eq!(d.full_list().map(|l| l.backend).collect::<Vec<_>>(), [0, 2]);
    let told: Vec<_> = d.since(1).map(|l| (l.backend, l.status)).collect();
    assert_eq!(told, [(1, Status::Deleted)]);
    assert_eq!(d.since(3).count(), 0);
}
