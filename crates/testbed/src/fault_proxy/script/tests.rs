use super::*;

const ROUTE: &str = "[[route]]\nname = \"a\"\nlisten = \"127.0.0.1:0\"\nto = \"127.0.0.1:9\"\n";

#[test]
fn errors_name_the_place_of_an_invalid_value() {
    let fault = |lines: &str| format!("{ROUTE}[[route.fault]]\nway = \"down\"\n{lines}\n");
    let cases = [
        (format!("{ROUTE}{ROUTE}"), "s: route[1].name: expected a name that no other route has"),
        (ROUTE.replace("127.0.0.1:9", "10.0.0.1:9"), "s: route[0].to: expected an address on loopback"),
        (fault("do = \"cut\""), "s: route[0].fault[0].after_bytes: expected one of"),
        (fault("after_bytes = 1\nafter_ms = 1\ndo = \"cut\""), "expected one of"),
        (fault("message = 1\ndo = \"cut\""), "message: expected a route whose frame is told"),
        (fault("after_bytes = 9\nuntil_bytes = 3\ndo = \"cut\""), "until_bytes: expected at least"),
        (fault("after_bytes = 1\npart = 1.5\ndo = \"cut\""), "part: expected a part from 0 to 1"),
        (fault("after_bytes = 1\ndo = { split = { bytes = 0 } }"), "do: expected 1 to"),
        (fault("after_bytes = 1\ndo = \"explode\""), "unknown variant `explode`"),
        (fault("after_bytes = 1\nwhen = 3\ndo = \"cut\""), "unknown field `when`"),
    ];
    for (text, expected) in cases {
        let error = Script::read(&text, "s").expect_err(&text).to_string();
        assert!(error.contains(expected), "{error}");
    }
    assert!(Script::read(&fault("after_bytes = 1\ndo = { stall = { ms = 5 } }"), "s").is_ok());
}
