//! Paths that keep their class, and paths that do not.

use super::stays_in_class;

#[test]
fn a_path_that_could_resolve_to_another_class_is_detected() {
    let out = [
        "/page/../order/k",
        "/page/a/../../order/k",
        "/page/%2e%2e/order/k",
        "/page/.%2E/order/k",
        "/page//../order/k",
        "/page/./../order/k",
        "/page/..\\order/k",
        "/page/a%2f..%2f..%2forder/k",
        "/page/a%2fb/../../../order/k",
        "/page/a%2fb/../../order/k", // if the escaped slash does not separate segments
        "/page/%252e%252e/order/k",
        "/page/%5c..%5corder/k",
        "/page/..;v=1/order/k",
        "/page/..",
    ];
    out.iter().for_each(|path| assert!(!stays_in_class(path), "{path}"));
    let inside = [
        "/page/k",
        "/page/a/../k",
        "/page/a..b/..c",
        "/page/50%",
        "/page/%zz/k",
        "/page/a%2Fk",
        "/page/...",
        "/page",
    ];
    inside.iter().for_each(|path| assert!(stays_in_class(path), "{path}"));
}
