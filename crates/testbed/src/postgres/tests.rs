use super::*;

/// A comparison that finds nothing would prove nothing.
#[test]
fn each_wrong_word_is_found() {
    let wrong = |told, committed: &[(u64, usize)]| {
        let mut out = Soaked::default();
        compare(&HashMap::from([(7, told)]), committed, &mut out);
        out.wrong.len()
    };
    assert_eq!(wrong(Told::Done, &[(7, 1)]), 0);
    assert_eq!(wrong(Told::Unknown, &[]) + wrong(Told::Unknown, &[(7, 1)]) + wrong(Told::NotDone, &[]), 0);
    assert_eq!(wrong(Told::Done, &[]), 1);
    assert_eq!(wrong(Told::NotDone, &[(7, 1)]), 1);
    assert_eq!(wrong(Told::Unknown, &[(7, 1), (7, 2)]), 1);
}
