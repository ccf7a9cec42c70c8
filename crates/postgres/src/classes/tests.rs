use super::*;

#[test]
fn the_first_rule_that_fits_gives_the_class() {
    let text = |s: &str| Some(s.to_string());
    let rules = [
        Rule { class: ClassId(0), comment: text("safe"), ..Rule::default() },
        Rule { class: ClassId(1), user: text("ann"), prefix: text("select"), ..Rule::default() },
        Rule { class: ClassId(2), application: text("report"), ..Rule::default() },
    ];
    let who = |user: &str, application: &str| Who {
        user: user.into(),
        application: application.into(),
        ..Who::default()
    };
    let of = |who: &Who, text: &str| class(&rules, who, Some(text), ClassId(9)).0;
    assert_eq!(of(&who("bob", ""), "/* safe */ update x"), 0);
    assert_eq!(of(&who("bob", ""), "-- safe\n/* other */ update x"), 0);
    assert_eq!(of(&who("bob", ""), "update x /* safe */"), 9);
    assert_eq!(of(&who("ann", ""), "  /* why */ SELECT 1"), 1);
    assert_eq!(of(&who("ann", ""), "insert"), 9);
    assert_eq!(of(&who("bob", "report"), "insert"), 2);
    assert_eq!(class(&rules, &who("ann", ""), None, ClassId(9)), ClassId(9), "a Bind alone tells nothing");
    assert_eq!(of(&who("ann", ""), "sélect"), 9);
}

#[test]
fn only_single_statements_may_be_said_again() {
    for (text, may) in [
        ("select 1\0", true),
        ("select 1;\0", true),
        ("/* a;b */ select 1\0", true),
        ("select 1; select 2\0", false),
        ("BEGIN\0", false),
        ("copy t from stdin\0", false),
        ("\0", false),
    ] {
        assert_eq!(single(b'Q', text.as_bytes()), may, "{text}");
    }
    assert!(!single(b'P', b"\0select 1\0\0\0"));
    assert_eq!(statement(b'P', b"\0select 1\0\0\0"), Some("select 1"));
}
