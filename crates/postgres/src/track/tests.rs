use super::*;

/// Applies steps such as `>Q` (sent) and `<Z:I` (received); returns whether the connection is idle after each.
fn play(steps: &str) -> Vec<bool> {
    let mut track = Track::default();
    let step = |step: &str| {
        let bytes = step.as_bytes();
        match bytes[0] {
            b'>' => track.sent(bytes[1]),
            _ => track.received(bytes[1], bytes.get(3).copied()),
        }
        track.is_idle()
    };
    steps.split(' ').map(step).collect()
}

#[test]
fn connection_is_idle_when_nothing_is_pending_and_no_transaction_open() {
    assert_eq!(play(">Q <C <Z:I"), [false, false, true]);
    assert_eq!(play(">Q <Z:T >Q <Z:I"), [false, false, false, true], "a transaction over two queries");
    assert_eq!(play(">Q <E <Z:E >Q <Z:I"), [false, false, false, false, true], "a failed one has to end too");
    assert_eq!(play(">P >B >E >S <1 <2 <C <Z:I"), [false, false, false, false, false, false, false, true]);
    assert_eq!(play(">P >S >P <Z:I >S <Z:I"), [false, false, false, false, false, true], "pipelined");
    assert_eq!(play(">Q <G >S >d >c <C <Z:I").last(), Some(&true), "a Sync among rows is ignored");
    assert_eq!(play(">H"), [true], "a Flush alone requests nothing");
}

#[test]
fn result_of_a_statement_is_unknown_until_ready_for_query() {
    let mut track = Track::default();
    track.sent(b'P');
    assert!(!track.is_result_unknown(), "nothing runs yet");
    track.sent(b'E');
    track.sent(b'S');
    assert!(track.is_result_unknown() && track.pending_ready() == 1);
    track.received(b'C', None);
    assert!(track.is_result_unknown(), "a commit at the Sync may still fail");
    track.received(b'Z', Some(b'I'));
    assert!(!track.is_result_unknown());
}
