use super::{RetiredBackends, MAX_RETIRED_IDS};

#[test]
fn id_that_left_first_is_forgotten_first() {
    let mut retired = RetiredBackends::default();
    retired.add("first");
    retired.add("second");
    retired.add("first");
    (2..MAX_RETIRED_IDS).for_each(|n| retired.add(&n.to_string()));
    assert!(retired.contains("first") && retired.contains("second"));
    retired.add("one more");
    assert!(
        retired.contains("first") && !retired.contains("second"),
        "the first id left again, after the second"
    );
}
