use super::*;

/// The comparison finds each kind of false report. If it found none, a soak without findings would prove nothing.
#[test]
fn each_false_report_is_found() {
    let wrong = |reported, committed: &[(u64, usize)]| {
        let mut out = SoakResult::default();
        compare(&HashMap::from([(7, reported)]), committed, &mut out);
        out.wrong.len()
    };
    assert_eq!(wrong(Reported::Done, &[(7, 1)]), 0);
    assert_eq!(
        wrong(Reported::Unknown, &[]) + wrong(Reported::Unknown, &[(7, 1)]) + wrong(Reported::NotDone, &[]),
        0
    );
    assert_eq!(wrong(Reported::Done, &[]), 1);
    assert_eq!(wrong(Reported::NotDone, &[(7, 1)]), 1);
    assert_eq!(wrong(Reported::Unknown, &[(7, 1), (7, 2)]), 1);
}
