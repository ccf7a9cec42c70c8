use super::*;

/// `>Q` is sent, `<Z:I` comes; the connection's idleness after each.
fn play(steps: &str) -> Vec<bool> {
    let mut track = Track::default();
    let step = |s: &str| {
        let bytes = s.as_bytes();
        match bytes[0] {
            b'>' => track.sent(bytes[1]),
            _ => track.came(bytes[1], bytes.get(3).copied()),
        }
        track.idle()
    };
    steps.split(' ').map(step).collect()
}

#[test]
fn a_connection_is_free_when_nothing_is_owed_and_no_transaction_open() {
    assert_eq!(play(">Q <C <Z:I"), [false, false, true]);
    assert_eq!(play(">Q <Z:T >Q <Z:I"), [false, false, false, true], "a transaction over two queries");
    assert_eq!(play(">Q <E <Z:E >Q <Z:I"), [false, false, false, false, true], "a failed one has to end too");
    assert_eq!(play(">P >B >E >S <1 <2 <C <Z:I"), [false, false, false, false, false, false, false, true]);
    assert_eq!(play(">P >S >P <Z:I >S <Z:I"), [false, false, false, false, false, true], "pipelined");
    assert_eq!(play(">Q <G >S >d >c <C <Z:I").last(), Some(&true), "a Sync among rows is read over");
    assert_eq!(play(">H"), [true], "a Flush alone asks for nothing");
}

#[test]
fn what_may_have_been_done_is_unknown_until_it_is_answered() {
    let mut t = Track::default();
    t.sent(b'P');
    assert!(!t.unknown(), "nothing runs yet");
    t.sent(b'E');
    t.sent(b'S');
    assert!(t.unknown() && t.owed() == 1);
    t.came(b'C', None);
    assert!(t.unknown(), "a commit at the Sync may still fail");
    t.came(b'Z', Some(b'I'));
    assert!(!t.unknown());
}
