use super::Cordon;
use std::path::{Path, PathBuf};

fn base(name: &str) -> PathBuf {
    let dir = std::env::temp_dir().join(format!("lotusdeck-cordon-{}-{name}", std::process::id()));
    std::fs::create_dir_all(&dir).unwrap();
    dir.join("n0")
}

/// Guards against two processes with one file that overwrite or miss each other's changes.
#[tokio::test]
async fn two_processes_on_one_file_see_and_keep_each_others_changes() {
    let base = base("two");
    let (first, second) = (Cordon::load(&base), Cordon::load(&base));
    assert!(first.set("s-1", true).await.unwrap() && second.set("s-2", true).await.unwrap());
    assert!(!second.set("s-1", true).await.unwrap(), "already cordoned");
    assert!(first.refresh() && !first.refresh());
    assert!(first.contains("s-1") && first.contains("s-2") && second.contains("s-1"));
    assert!(first.set("s-1", false).await.unwrap(), "one call lifts a cordon that was set by two");
    assert!(second.refresh() && !second.contains("s-1") && second.contains("s-2"));
    assert_eq!(Cordon::load(&base).count(), 1);
}

/// Guards against a damaged file that loses its valid lines or stays damaged after the next change.
#[tokio::test]
async fn damaged_file_keeps_its_valid_ids_and_is_repaired_by_the_next_change() {
    let base = base("damaged");
    std::fs::write(base.with_extension("cordon"), b"s-1\n\xff\xfe\0\ns-2\nhalf a line").unwrap();
    let cordon = Cordon::load(&base);
    assert!(cordon.contains("s-1") && cordon.contains("s-2") && cordon.count() == 2);
    cordon.set("s-3", true).await.unwrap();
    assert_eq!(Cordon::load(&base).count(), 3);
}

#[tokio::test]
async fn change_that_cannot_be_saved_fails_and_has_no_effect() {
    let cordon = Cordon::load(Path::new("/nowhere/at/all"));
    assert!(cordon.set("s-1", true).await.is_err() && !cordon.contains("s-1"));
}
