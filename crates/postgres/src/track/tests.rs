use super::*;

/// Applies steps such as `>Q` (sent) and `<Z:I` (received); returns whether the connection is idle after each.
fn idle_after_each(steps: &str) -> Vec<bool> {
    let mut tracker = ConnectionTracker::default();
    let step = |step: &str| {
        let bytes = step.as_bytes();
        match bytes[0] {
            b'>' => tracker.message_sent(bytes[1]),
            _ => tracker.message_received(bytes[1], bytes.get(3).copied()),
        }
        tracker.is_idle()
    };
    steps.split(' ').map(step).collect()
}

#[test]
fn connection_is_idle_when_nothing_is_pending_and_no_transaction_open() {
    assert_eq!(idle_after_each(">Q <C <Z:I"), [false, false, true]);
    assert_eq!(
        idle_after_each(">Q <Z:T >Q <Z:I"),
        [false, false, false, true],
        "a transaction of two queries"
    );
    assert_eq!(
        idle_after_each(">Q <E <Z:E >Q <Z:I"),
        [false, false, false, false, true],
        "a failed transaction has to end as well"
    );
    assert_eq!(
        idle_after_each(">P >B >E >S <1 <2 <C <Z:I"),
        [false, false, false, false, false, false, false, true]
    );
    assert_eq!(
        idle_after_each(">P >S >P <Z:I >S <Z:I"),
        [false, false, false, false, false, true],
        "pipelined"
    );
    assert_eq!(idle_after_each(">Q <G >S >d >c <C <Z:I").last(), Some(&true), "a Sync among rows is ignored");
    assert_eq!(idle_after_each(">H"), [true], "a Flush alone requests nothing");
}

#[test]
fn result_of_a_statement_is_unknown_until_ready_for_query() {
    let mut tracker = ConnectionTracker::default();
    tracker.message_sent(b'P');
    assert!(!tracker.is_result_unknown(), "no statement was executed yet");
    tracker.message_sent(b'E');
    tracker.message_sent(b'S');
    assert!(tracker.is_result_unknown() && tracker.pending_ready() == 1);
    tracker.message_received(b'C', None);
    assert!(tracker.is_result_unknown(), "a commit at the Sync may still fail");
    tracker.message_received(b'Z', Some(b'I'));
    assert!(!tracker.is_result_unknown());
}

/// Guards against a statement that is reported as not executed although its server may have committed it: it was sent
/// before the answer to the part in front of it arrived, and its Sync after that.
#[test]
fn result_is_unknown_where_a_statement_was_sent_before_the_answer_to_the_part_in_front() {
    let mut tracker = ConnectionTracker::default();
    "ESE".bytes().for_each(|kind| tracker.message_sent(kind));
    tracker.message_received(b'Z', Some(b'I'));
    assert!(tracker.is_result_unknown());
    tracker.message_sent(b'S');
    assert!(tracker.is_result_unknown());
    tracker.message_received(b'Z', Some(b'I'));
    assert!(!tracker.is_result_unknown());
}

/// Guards against a transaction block that a client may have begun and that counts as none.
#[test]
fn a_block_may_be_open_until_the_last_ready_for_query_says_that_none_is() {
    let mut tracker = ConnectionTracker::default();
    assert!(!tracker.may_be_in_block());
    tracker.message_sent(b'Q');
    tracker.message_sent(b'Q');
    tracker.block_may_begin();
    tracker.message_received(b'Z', Some(b'I'));
    assert!(tracker.may_be_in_block(), "the answer to the second Query is pending");
    tracker.message_received(b'Z', Some(b'T'));
    tracker.message_sent(b'Q');
    assert!(tracker.may_be_in_block());
    tracker.message_received(b'Z', Some(b'E'));
    assert!(tracker.may_be_in_block(), "a failed block is one, too");
    tracker.message_sent(b'Q');
    tracker.message_received(b'Z', Some(b'I'));
    assert!(!tracker.may_be_in_block());
}
