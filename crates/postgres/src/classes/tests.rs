use super::*;

#[test]
fn first_matching_rule_determines_the_class() {
    let text = |text: &str| Some(text.to_string());
    let rules = [
        Rule { class: ClassId(0), comment: text("safe"), ..Rule::default() },
        Rule { class: ClassId(1), user: text("ann"), prefix: text("select"), ..Rule::default() },
        Rule { class: ClassId(2), application: text("report"), ..Rule::default() },
    ];
    let client = |user: &str, application: &str| ClientIdentity {
        user: user.into(),
        application: application.into(),
        ..ClientIdentity::default()
    };
    let class_for = |client: &ClientIdentity, text: &str| classify(&rules, client, Some(text), ClassId(9)).0;
    assert_eq!(class_for(&client("bob", ""), "/* safe */ update x"), 0);
    assert_eq!(class_for(&client("bob", ""), "-- safe\n/* other */ update x"), 0);
    assert_eq!(class_for(&client("bob", ""), "update x /* safe */"), 9);
    assert_eq!(class_for(&client("ann", ""), "  /* why */ SELECT 1"), 1);
    assert_eq!(class_for(&client("ann", ""), "insert"), 9);
    assert_eq!(class_for(&client("bob", "report"), "insert"), 2);
    assert_eq!(
        classify(&rules, &client("ann", ""), None, ClassId(9)),
        ClassId(9),
        "a Bind alone has no text"
    );
    assert_eq!(class_for(&client("ann", ""), "sélect"), 9);
}

#[test]
fn only_single_statements_are_repeatable() {
    for (text, expected) in [
        ("select 1\0", true),
        ("select 1;\0", true),
        ("/* a;b */ select 1\0", true),
        ("select 1; select 2\0", false),
        ("BEGIN\0", false),
        ("copy t from stdin\0", false),
        ("\0", false),
    ] {
        assert_eq!(is_repeatable(b'Q', text.as_bytes()), expected, "{text}");
    }
    assert!(!is_repeatable(b'P', b"\0select 1\0\0\0"));
    assert_eq!(statement_text(b'P', b"\0select 1\0\0\0"), Some("select 1"));
}
