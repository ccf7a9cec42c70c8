//! The locks of two processes of one proxy.

use super::*;

/// Guards against a process that does not detect another one of its proxy, or still detects one that has
/// ended, and against a third process that cannot start.
#[tokio::test]
async fn two_processes_see_each_other() {
    let dir = std::env::temp_dir().join(format!("lotusdeck-peer-{}", std::process::id()));
    std::fs::create_dir_all(&dir).unwrap();
    let base = dir.join("n0");
    let a = ProcessSlot::acquire(&base).await;
    assert!(!a.other_is_running());
    let b = ProcessSlot::acquire(&base).await;
    assert!(a.other_is_running() && b.other_is_running() && a.other_is_running());
    assert!(ProcessSlot::acquire(&base).await.other_is_running());
    drop(a);
    assert!(!b.other_is_running());
    let c = ProcessSlot::acquire(&base).await;
    assert!(b.other_is_running() && c.other_is_running());
    assert!(!ProcessSlot::acquire(Path::new("/nowhere/at/all")).await.other_is_running());
}
