//! The cases in which a distribution of changes goes wrong, one by one.
#![allow(
    clippy::unwrap_used,
    clippy::expect_used,
    clippy::too_many_lines,
    reason = "a test stops at what it did not expect"
)]

mod common;

use common::{change, changes, check, customer_key, quota, seconds, settings, source, Driven, End, EPOCH};
use lotusdeck_configuration::history::HistoryBounds;
use lotusdeck_configuration::staging::StagingError;
use lotusdeck_configuration::{
    decode, encode, Document, DocumentError, Failure, InvalidSettings, Key, Message, PublishError, Rejection,
    Section, Source, SyncState, Version,
};
use serde_json::json;

#[test]
fn a_follower_takes_the_whole_and_then_deltas() {
    let (mut source, mut follower) = (source(3, 5), Driven::new(1));
    assert_eq!(follower.exchange(&mut source), End::Took(Version::first(EPOCH)));
    let before = follower.now;
    assert_eq!(follower.exchange(&mut source), End::Idle);
    assert_eq!(follower.now, before + seconds(10), "nothing later: the question waits");
    let version = change(&mut source, 2, 7.0);
    assert_eq!(follower.ask().after, Some(Version::first(EPOCH)));
    follower.follower.poll_failed(follower.now, Failure::Busy);
    assert_eq!(follower.exchange(&mut source), End::Took(version));
    follower.holds(source.document());
}

/// A change comes while another is verified: it does not touch that one, and is taken behind it.
#[test]
fn a_change_during_a_change_follows_it() {
    let (mut source, mut follower) = (source(1, 3_000), Driven::new(1));
    follower.exchange(&mut source);
    let all = (0..3_000).map(|at| quota(at, 1.0)).collect();
    let first = source.publish_changes(all, Vec::new(), check).unwrap().version;
    let ask = follower.ask();
    let lotusdeck_configuration::source::SourceAnswer::Now(text) = source.answer_poll(&ask) else { panic!() };
    follower.follower.handle_message(follower.now, decode(text.as_bytes()).unwrap());
    follower.follower.next_step(follower.now);
    let second = change(&mut source, 0, 2.0);
    let late = Message::Delta(source.delta(first).unwrap());
    assert_eq!(follower.answer(late), End::Took(first), "what comes unasked is dropped");
    assert!(follower.slices >= 2 * 3_000 / 256, "{} slices", follower.slices);
    assert_eq!(follower.exchange(&mut source), End::Took(second));
    follower.holds(source.document());
}

/// Nothing of a version is held before its last entry was verified and its settings were found sound.
#[test]
fn nothing_of_a_version_is_held_before_all_of_it_is_verified() {
    let (mut source, mut follower) = (source(1, 1_000), Driven::new(1));
    follower.exchange(&mut source);
    let before = source.document().clone();
    let all = (0..1_000).map(|at| quota(at, 1.0)).collect();
    source.publish_changes(all, Vec::new(), check).unwrap();
    follower.ask();
    let delta = Message::Delta(source.delta(Version::first(EPOCH)).unwrap());
    follower.follower.handle_message(follower.now, delta);
    while follower.follower.next_step(follower.now) != lotusdeck_configuration::NextStep::Validate {
        assert_eq!(follower.follower.document(), &before);
    }
    assert_eq!(follower.follower.document(), &before);
    follower.work();
    follower.holds(source.document());
}

/// 500 versions are told as one delta, each entry once, and an entry that is as it was is not told.
#[test]
fn five_hundred_missed_versions_come_as_one_delta() {
    let (mut source, mut follower) = (source(10, 100), Driven::new(1));
    follower.exchange(&mut source);
    for at in 0..500 {
        change(&mut source, at % 50, 100.0 + at as f64);
    }
    source.publish_changes(vec![quota(7, 50.0)], vec![customer_key(99)], check).unwrap();
    let delta = source.delta(Version::first(EPOCH)).unwrap();
    assert_eq!((delta.changed.len(), delta.removed.len()), (49, 1));
    assert_eq!(follower.exchange(&mut source), End::Took(source.version()));
    follower.holds(source.document());
}

/// Who missed more than is kept gets the whole document.
#[test]
fn a_gap_beyond_the_history_is_closed_by_the_whole() {
    let bounds = HistoryBounds { versions: 4, ..HistoryBounds::default() };
    let mut source = Source::new(EPOCH, &settings(1, 5), bounds, check).unwrap();
    let mut follower = Driven::new(1);
    follower.exchange(&mut source);
    changes(&mut source, 5);
    assert_eq!(source.delta(Version::first(EPOCH)), None);
    assert_eq!(follower.exchange(&mut source), End::Took(source.version()));
    follower.holds(source.document());
    let bounds = HistoryBounds { bytes: 300, ..HistoryBounds::default() };
    let mut source = Source::new(EPOCH, &settings(1, 5), bounds, check).unwrap();
    changes(&mut source, 50);
    assert!(source.history().bytes() <= 300 && source.history().len() < 5, "{}", source.history().bytes());
}

/// A source that goes back within its epoch, or to an earlier one, is refused; one that begins anew is followed.
#[test]
fn a_source_that_goes_back_is_refused_until_it_begins_a_new_epoch() {
    let (mut newer, mut older) = (source(1, 5), source(1, 5));
    changes(&mut newer, 3);
    change(&mut older, 1, 9.0);
    let mut follower = Driven::new(1);
    follower.exchange(&mut newer);
    let (held, offered) = (newer.version(), older.version());
    let refused = || End::Refused(Rejection::VersionRollback { held, offered });
    assert_eq!(follower.exchange(&mut older), refused());
    assert_eq!(follower.ask().after, Some(held));
    assert_eq!(follower.answer(Message::FullDocument(older.full_document())), refused());
    follower.holds(newer.document());
    assert_eq!(follower.follower.status(follower.now).sync_state, SyncState::Disconnected);
    let mut before = Source::new(EPOCH - 1, &settings(1, 5), HistoryBounds::default(), check).unwrap();
    changes(&mut before, 9);
    assert!(matches!(follower.exchange(&mut before), End::Refused(Rejection::VersionRollback { .. })));
    let mut anew = Source::new(EPOCH + 1, &settings(1, 2), HistoryBounds::default(), check).unwrap();
    assert_eq!(follower.exchange(&mut anew), End::Took(Version::first(EPOCH + 1)));
    follower.holds(anew.document());
}

/// A delta for another version is refused, and the whole document asked for.
#[test]
fn a_delta_for_another_base_is_refused() {
    let (mut source, mut follower) = (source(1, 5), Driven::new(1));
    follower.exchange(&mut source);
    let held = source.version();
    let from = change(&mut source, 1, 1.0);
    change(&mut source, 2, 2.0);
    follower.ask();
    let late = Message::Delta(source.delta(from).unwrap());
    assert_eq!(follower.answer(late), End::Refused(Rejection::BaseMismatch { held, from }));
    assert_eq!(follower.ask().after, None);
    follower.follower.poll_failed(follower.now, Failure::Busy);
    assert_eq!(follower.exchange(&mut source), End::Took(source.version()));
    follower.holds(source.document());
}

/// Every beginning of a message, and every message with one byte changed, is no message or does not pass its checksum.
#[test]
fn a_torn_message_is_refused() {
    let (mut source, mut follower) = (source(2, 3), Driven::new(1));
    follower.exchange(&mut source);
    let held = source.document().clone();
    change(&mut source, 1, 12.5);
    let text = encode(&Message::Delta(source.delta(Version::first(EPOCH)).unwrap()));
    for end in 0..text.len() {
        assert!(decode(&text.as_bytes()[..end]).is_err(), "{}", &text[..end]);
    }
    for at in 0..text.len() {
        let mut torn = text.clone().into_bytes();
        torn[at] ^= 1;
        let Ok(message) = decode(&torn) else { continue };
        follower.ask();
        let end = follower.answer(message);
        let torn = String::from_utf8_lossy(&torn).into_owned();
        assert_eq!(follower.follower.document(), &held, "{torn}");
        assert!(matches!(end, End::Refused(_)), "{torn}: {end:?}");
    }
}

/// A checksum that does not hold refuses the delta, then a whole document too; the last sound one stays in force.
#[test]
fn a_checksum_that_fails_keeps_the_last_sound_document() {
    let (mut source, mut follower) = (source(1, 5), Driven::new(1));
    follower.exchange(&mut source);
    let held = source.document().clone();
    change(&mut source, 1, 1.0);
    let mut delta = source.delta(Version::first(EPOCH)).unwrap();
    delta.changed[0].value = r#"{"quota_rps":1.5}"#.into();
    follower.ask();
    let fails = |end: End| match end {
        End::Refused(Rejection::Staging { error, .. }) => {
            matches!(error, StagingError::ChecksumMismatch { .. })
        }
        _ => false,
    };
    assert!(fails(follower.answer(Message::Delta(delta))));
    assert_eq!(follower.ask().after, None);
    let mut whole = source.full_document();
    whole.entries.pop();
    let before = follower.now;
    assert!(fails(follower.answer(Message::FullDocument(whole))));
    assert_eq!(follower.follower.document(), &held);
    assert_eq!(follower.ask().after, None);
    assert!(follower.now - before >= seconds(15), "megabytes are not asked for in a hurry");
    follower.follower.poll_failed(follower.now, Failure::Busy);
    assert_eq!(follower.exchange(&mut source), End::Took(source.version()));
    follower.holds(source.document());
}

#[test]
fn a_tenant_named_twice_is_refused_at_the_source_and_on_the_wire() {
    let twice = json!({"customers": [{"name": "north", "quota_rps": 1}, {"name": "north", "quota_rps": 2}]});
    let north = Key::new(Section::Customers, "north");
    assert_eq!(Document::from_settings(&twice), Err(DocumentError::DuplicateEntry(north)));
    let mut source = source(1, 1);
    assert!(matches!(source.publish(&twice, check), Err(PublishError::Document(_))));
    let sum = "0".repeat(32);
    let told = |parts: &str| {
        let text = format!(r#"{{"kind":"delta","from":"1-1","to":"1-2",{parts},"checksum":"{sum}"}}"#);
        decode(text.as_bytes()).map_err(|error| error.to_string())
    };
    let twice = r#""changed":{"customers":{"north":{"quota_rps":1},"north":{"quota_rps":2}}}"#;
    assert_eq!(told(twice), Err("customers.north: told twice".into()));
    let both = r#""changed":{"customers":{"north":{}}},"removed":{"customers":["north"]}"#;
    assert_eq!(told(both), Err("customers.north: told twice".into()));
    assert!(told(r#""changed":{"customers":{"north":{}}},"changed":{}"#).is_err());
    assert!(told(r#""changed":{"tenants":{"north":{}}}"#).is_err());
    assert!(told(r#""entries":{}"#).is_err());
    assert!(told(r#""changed":{"customers":{"north":{}}}"#).is_ok());
}

/// An unsound version is not published. One that a follower alone finds unsound is refused once, is not asked for again, and
/// the next is taken, though it is built upon the version refused.
#[test]
fn an_unsound_version_is_refused_and_the_next_one_taken() {
    let (mut source, mut follower) = (source(1, 5), Driven::new(1));
    follower.exchange(&mut source);
    let held = (source.version(), source.document().clone());
    let unsound = source.publish_changes(vec![quota(1, -1.0)], Vec::new(), check);
    let error = InvalidSettings::new("customer \"tenant-1\": expected a quota of at least 0");
    assert_eq!(unsound, Err(PublishError::InvalidSettings(error.clone())));
    assert_eq!(source.version(), held.0);
    let version = source.publish_changes(vec![quota(1, -1.0)], Vec::new(), |_| Ok(())).unwrap().version;
    assert_eq!(follower.exchange(&mut source), End::Refused(Rejection::InvalidSettings { version, error }));
    assert_eq!(follower.follower.document(), &held.1);
    assert_eq!(follower.follower.status(follower.now).sync_state, SyncState::Rejecting(version));
    let ask = follower.ask();
    assert_eq!((ask.after, ask.rejected_version), (Some(held.0), Some(version)));
    assert_eq!(source.answer_poll(&ask), lotusdeck_configuration::source::SourceAnswer::Later);
    follower.answer(Message::Unchanged(version));
    let back = source.revert_to(held.0, check).unwrap().version;
    assert_eq!(back, version.next());
    assert_eq!(source.document(), &held.1);
    assert_eq!(follower.exchange(&mut source), End::Took(back));
    follower.holds(&held.1);
}

/// What versions changed, added and left out is restored by one later version.
#[test]
fn a_version_is_taken_back_by_a_later_one() {
    let mut source = source(3, 5);
    let before = (source.version(), source.document().clone());
    change(&mut source, 1, 1.0);
    source.publish_changes(vec![quota(77, 1.0)], vec![customer_key(2)], check).unwrap();
    change(&mut source, 1, 2.0);
    let publication = source.revert_to(before.0, check).unwrap();
    assert_eq!((publication.changed, publication.removed), (2, 1));
    assert_eq!((source.document(), source.version().number), (&before.1, 5));
    assert_eq!(source.revert_to(Version { epoch: EPOCH, number: 5 }, check), Err(PublishError::NoChange));
}

/// The order of profiles or customers in a settings object means nothing, that of other arrays does.
#[test]
fn order_is_canonical() {
    let mut turned = settings(3, 3);
    turned["profiles"].as_array_mut().unwrap().reverse();
    turned["customers"].as_array_mut().unwrap().reverse();
    let document = Document::from_settings(&settings(3, 3)).unwrap();
    assert_eq!(Document::from_settings(&turned).unwrap(), document);
    turned["zones"].as_array_mut().unwrap().reverse();
    assert_ne!(Document::from_settings(&turned).unwrap().checksum(), document.checksum());
}

/// A document cannot grow beyond its bounds by deltas, whatever a source tells.
#[test]
fn a_document_does_not_grow_without_bound() {
    let (mut source, mut follower) = (source(1, 1), Driven::new(1));
    follower.exchange(&mut source);
    let large = |at: usize| lotusdeck_configuration::Entry {
        key: customer_key(at),
        value: format!("{{\"note\":\"{}\"}}", "x".repeat(250_000)).into(),
    };
    let changed = (0..80).map(large).collect();
    let refused = source.publish_changes(changed, Vec::new(), |_| Ok(()));
    assert!(matches!(
        refused,
        Err(PublishError::Staging(StagingError::Document(DocumentError::TooLarge(..))))
    ));
    let changed = (0..80).map(large).collect();
    let delta = lotusdeck_configuration::Delta { to: source.version().next(), changed, ..empty(&source) };
    follower.ask();
    let end = follower.answer(Message::Delta(delta));
    assert!(matches!(
        end,
        End::Refused(Rejection::Staging { error: StagingError::Document(DocumentError::TooLarge(..)), .. })
    ));
}

fn empty(source: &Source) -> lotusdeck_configuration::Delta {
    lotusdeck_configuration::Delta {
        from: source.version(),
        to: source.version(),
        changed: Vec::new(),
        removed: Vec::new(),
        checksum: source.document().checksum().of_version(source.version()),
    }
}
