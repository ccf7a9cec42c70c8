use super::*;

#[test]
fn this_process_uses_something() {
    let used = Usage::of(std::process::id()).unwrap();
    assert!(used.memory > 100_000 && used.descriptors > 2, "{used:?}");
    assert_eq!(Usage::of(u32::MAX), None);
}
