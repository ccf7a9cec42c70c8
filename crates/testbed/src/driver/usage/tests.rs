use super::*;

#[test]
fn reads_the_usage_of_this_process() {
    let used = Usage::read(std::process::id()).unwrap();
    assert!(used.memory > 100_000 && used.descriptors > 2, "{used:?}");
    assert_eq!(Usage::read(u32::MAX), None);
}
