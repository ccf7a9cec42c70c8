//! Tests of individual faults in the distribution of versions.
#![allow(clippy::unwrap_used, clippy::expect_used, reason = "tests panic on unexpected results")]

mod common;

use common::{
    check, customer_key, publish_quota, publish_quotas, quota_entry, seconds, settings, source,
    FollowerDriver, Outcome, EPOCH,
};
use lotusdeck_configuration::history::HistoryBounds;
use lotusdeck_configuration::source::SourceAnswer;
use lotusdeck_configuration::staging::StagingError;
use lotusdeck_configuration::{
    decode, encode, Document, DocumentError, Failure, InvalidSettings, Key, Message, NextStep, PublishError,
    Rejection, Section, Source, SyncState, Version,
};
use serde_json::json;

#[test]
fn follower_applies_the_full_document_and_then_deltas() {
    let (mut source, mut follower) = (source(3, 5), FollowerDriver::new(1));
    assert_eq!(follower.poll_source(&mut source), Outcome::Applied(Version::first(EPOCH)));
    let before = follower.now;
    assert_eq!(follower.poll_source(&mut source), Outcome::Idle);
    assert_eq!(follower.now, before + seconds(10), "the poll waits without a later version");
    let version = publish_quota(&mut source, 2, 7.0);
    assert_eq!(follower.next_poll().after, Some(Version::first(EPOCH)));
    follower.follower.poll_failed(follower.now, Failure::Busy);
    assert_eq!(follower.poll_source(&mut source), Outcome::Applied(version));
    follower.assert_in_force(source.document());
}

/// A change published while a follower verifies an earlier one does not affect that verification and is applied later.
#[test]
fn change_during_a_verification_is_applied_after_it() {
    let (mut source, mut follower) = (source(1, 3_000), FollowerDriver::new(1));
    follower.poll_source(&mut source);
    let entries = (0..3_000).map(|index| quota_entry(index, 1.0)).collect();
    let first = source.publish_changes(entries, Vec::new(), check).unwrap().version;
    let poll = follower.next_poll();
    let SourceAnswer::Now(text) = source.answer_poll(&poll) else { panic!() };
    follower.follower.handle_message(follower.now, decode(text.as_bytes()).unwrap());
    follower.follower.next_step(follower.now);
    let second = publish_quota(&mut source, 0, 2.0);
    let delayed = Message::Delta(source.delta(first).unwrap());
    assert_eq!(follower.deliver(delayed), Outcome::Applied(first), "a message without a poll is dropped");
    assert!(follower.slices >= 2 * 3_000 / 256, "{} slices", follower.slices);
    assert_eq!(follower.poll_source(&mut source), Outcome::Applied(second));
    follower.assert_in_force(source.document());
}

/// The document in force does not change before the last entry of a version is verified and its settings are valid.
#[test]
fn document_stays_unchanged_until_all_of_a_version_is_verified() {
    let (mut source, mut follower) = (source(1, 1_000), FollowerDriver::new(1));
    follower.poll_source(&mut source);
    let before = source.document().clone();
    let entries = (0..1_000).map(|index| quota_entry(index, 1.0)).collect();
    source.publish_changes(entries, Vec::new(), check).unwrap();
    follower.next_poll();
    let delta = Message::Delta(source.delta(Version::first(EPOCH)).unwrap());
    follower.follower.handle_message(follower.now, delta);
    while follower.follower.next_step(follower.now) != NextStep::Validate {
        assert_eq!(follower.follower.document(), &before);
    }
    assert_eq!(follower.follower.document(), &before);
    follower.run_to_outcome();
    follower.assert_in_force(source.document());
}

/// 500 missed versions are sent as one delta, with each entry once and without entries whose value is as before.
#[test]
fn five_hundred_missed_versions_are_sent_as_one_delta() {
    let (mut source, mut follower) = (source(10, 100), FollowerDriver::new(1));
    follower.poll_source(&mut source);
    for index in 0..500 {
        publish_quota(&mut source, index % 50, 100.0 + index as f64);
    }
    source.publish_changes(vec![quota_entry(7, 50.0)], vec![customer_key(99)], check).unwrap();
    let delta = source.delta(Version::first(EPOCH)).unwrap();
    assert_eq!((delta.changed.len(), delta.removed.len()), (49, 1));
    assert_eq!(follower.poll_source(&mut source), Outcome::Applied(source.version()));
    follower.assert_in_force(source.document());
}

/// A follower that missed more versions than the history holds gets the full document.
#[test]
fn gap_beyond_the_history_is_closed_by_the_full_document() {
    let bounds = HistoryBounds { versions: 4, ..HistoryBounds::default() };
    let mut source = Source::new(EPOCH, &settings(1, 5), bounds, check).unwrap();
    let mut follower = FollowerDriver::new(1);
    follower.poll_source(&mut source);
    publish_quotas(&mut source, 5);
    assert_eq!(source.delta(Version::first(EPOCH)), None);
    assert_eq!(follower.poll_source(&mut source), Outcome::Applied(source.version()));
    follower.assert_in_force(source.document());
    let bounds = HistoryBounds { bytes: 300, ..HistoryBounds::default() };
    let mut source = Source::new(EPOCH, &settings(1, 5), bounds, check).unwrap();
    publish_quotas(&mut source, 50);
    assert!(source.history().bytes() <= 300 && source.history().len() < 5, "{}", source.history().bytes());
}

/// A source that was rolled back within its epoch or to an earlier epoch is rejected until it starts a new epoch.
#[test]
fn rolled_back_source_is_rejected_until_it_begins_a_new_epoch() {
    let (mut newer, mut older) = (source(1, 5), source(1, 5));
    publish_quotas(&mut newer, 3);
    publish_quota(&mut older, 1, 9.0);
    let mut follower = FollowerDriver::new(1);
    follower.poll_source(&mut newer);
    let (applied, offered) = (newer.version(), older.version());
    let rollback = || Outcome::Rejected(Rejection::VersionRollback { known: applied, offered });
    assert_eq!(follower.poll_source(&mut older), rollback());
    assert_eq!(follower.next_poll().after, Some(applied));
    assert_eq!(follower.deliver(Message::FullDocument(older.full_document())), rollback());
    follower.assert_in_force(newer.document());
    assert_eq!(follower.follower.status(follower.now).sync_state, SyncState::Disconnected);
    let mut before = Source::new(EPOCH - 1, &settings(1, 5), HistoryBounds::default(), check).unwrap();
    publish_quotas(&mut before, 9);
    assert!(matches!(
        follower.poll_source(&mut before),
        Outcome::Rejected(Rejection::VersionRollback { .. })
    ));
    let mut new_epoch = Source::new(EPOCH + 1, &settings(1, 2), HistoryBounds::default(), check).unwrap();
    assert_eq!(follower.poll_source(&mut new_epoch), Outcome::Applied(Version::first(EPOCH + 1)));
    follower.assert_in_force(new_epoch.document());
}

/// A delta that applies to a different version is rejected, and the full document is requested.
#[test]
fn delta_for_another_base_is_rejected() {
    let (mut source, mut follower) = (source(1, 5), FollowerDriver::new(1));
    follower.poll_source(&mut source);
    let applied = source.version();
    let from = publish_quota(&mut source, 1, 1.0);
    publish_quota(&mut source, 2, 2.0);
    follower.next_poll();
    let delayed = Message::Delta(source.delta(from).unwrap());
    assert_eq!(follower.deliver(delayed), Outcome::Rejected(Rejection::BaseMismatch { applied, from }));
    assert_eq!(follower.next_poll().after, None);
    follower.follower.poll_failed(follower.now, Failure::Busy);
    assert_eq!(follower.poll_source(&mut source), Outcome::Applied(source.version()));
    follower.assert_in_force(source.document());
}

/// Every truncated message fails to decode. Every message with the lowest bit of one byte flipped fails to decode or is
/// rejected.
#[test]
fn truncated_or_altered_message_is_rejected() {
    let (mut source, mut follower) = (source(2, 3), FollowerDriver::new(1));
    follower.poll_source(&mut source);
    let applied = source.document().clone();
    publish_quota(&mut source, 1, 12.5);
    let text = encode(&Message::Delta(source.delta(Version::first(EPOCH)).unwrap()));
    for end in 0..text.len() {
        assert!(decode(&text.as_bytes()[..end]).is_err(), "{}", &text[..end]);
    }
    for index in 0..text.len() {
        let mut altered = text.clone().into_bytes();
        altered[index] ^= 1;
        let Ok(message) = decode(&altered) else { continue };
        follower.next_poll();
        let outcome = follower.deliver(message);
        let altered = String::from_utf8_lossy(&altered).into_owned();
        assert_eq!(follower.follower.document(), &applied, "{altered}");
        assert!(matches!(outcome, Outcome::Rejected(_)), "{altered}: {outcome:?}");
    }
}

/// A delta and then a full document with a wrong checksum are rejected; the last valid document stays in force.
#[test]
fn checksum_mismatch_keeps_the_last_valid_document() {
    let (mut source, mut follower) = (source(1, 5), FollowerDriver::new(1));
    follower.poll_source(&mut source);
    let applied = source.document().clone();
    publish_quota(&mut source, 1, 1.0);
    let mut delta = source.delta(Version::first(EPOCH)).unwrap();
    delta.changed[0].value = r#"{"quota_rps":1.5}"#.into();
    follower.next_poll();
    let is_mismatch = |outcome: Outcome| match outcome {
        Outcome::Rejected(Rejection::Staging { error, .. }) => {
            matches!(error, StagingError::ChecksumMismatch { .. })
        }
        _ => false,
    };
    assert!(is_mismatch(follower.deliver(Message::Delta(delta))));
    assert_eq!(follower.next_poll().after, None);
    let mut full = source.full_document();
    full.entries.pop();
    let before = follower.now;
    assert!(is_mismatch(follower.deliver(Message::FullDocument(full))));
    assert_eq!(follower.follower.document(), &applied);
    assert_eq!(follower.next_poll().after, None);
    assert!(follower.now - before >= seconds(15), "the full document is not requested again immediately");
    follower.follower.poll_failed(follower.now, Failure::Busy);
    assert_eq!(follower.poll_source(&mut source), Outcome::Applied(source.version()));
    follower.assert_in_force(source.document());
}

#[test]
fn duplicate_tenant_is_rejected_by_the_source_and_in_a_message() {
    let duplicate_names =
        json!({"customers": [{"name": "north", "quota_rps": 1}, {"name": "north", "quota_rps": 2}]});
    let north = Key::new(Section::Customers, "north");
    assert_eq!(Document::from_settings(&duplicate_names), Err(DocumentError::DuplicateEntry(north)));
    let mut source = source(1, 1);
    assert!(matches!(source.publish(&duplicate_names, check), Err(PublishError::Document(_))));
    let checksum = "0".repeat(32);
    let decoded = |parts: &str| {
        let text = format!(r#"{{"kind":"delta","from":"1-1","to":"1-2",{parts},"checksum":"{checksum}"}}"#);
        decode(text.as_bytes()).map_err(|error| error.to_string())
    };
    let changed_twice = r#""changed":{"customers":{"north":{"quota_rps":1},"north":{"quota_rps":2}}}"#;
    assert_eq!(decoded(changed_twice), Err("customers.north: duplicate entry".into()));
    let changed_and_removed = r#""changed":{"customers":{"north":{}}},"removed":{"customers":["north"]}"#;
    assert_eq!(decoded(changed_and_removed), Err("customers.north: duplicate entry".into()));
    assert!(decoded(r#""changed":{"customers":{"north":{}}},"changed":{}"#).is_err());
    assert!(decoded(r#""changed":{"tenants":{"north":{}}}"#).is_err());
    assert!(decoded(r#""entries":{}"#).is_err());
    assert!(decoded(r#""changed":{"customers":{"north":{}}}"#).is_ok());
}

/// An invalid version is not published. A version that only the follower's check finds invalid is rejected once and not
/// requested again. The next version is applied, although the source builds it on the rejected one.
#[test]
fn invalid_version_is_rejected_and_the_next_one_applied() {
    let (mut source, mut follower) = (source(1, 5), FollowerDriver::new(1));
    follower.poll_source(&mut source);
    let applied = (source.version(), source.document().clone());
    let published = source.publish_changes(vec![quota_entry(1, -1.0)], Vec::new(), check);
    let error = InvalidSettings::new("customer \"tenant-1\": expected a quota of at least 0");
    assert_eq!(published, Err(PublishError::InvalidSettings(error.clone())));
    assert_eq!(source.version(), applied.0);
    let version = source.publish_changes(vec![quota_entry(1, -1.0)], Vec::new(), |_| Ok(())).unwrap().version;
    assert_eq!(
        follower.poll_source(&mut source),
        Outcome::Rejected(Rejection::InvalidSettings { version, error })
    );
    assert_eq!(follower.follower.document(), &applied.1);
    assert_eq!(follower.follower.status(follower.now).sync_state, SyncState::Rejecting(version));
    let poll = follower.next_poll();
    assert_eq!((poll.after, poll.rejected_version), (Some(applied.0), Some(version)));
    assert_eq!(source.answer_poll(&poll), SourceAnswer::Later);
    follower.deliver(Message::Unchanged(version));
    let reverted = source.revert_to(applied.0, check).unwrap().version;
    assert_eq!(reverted, version.next());
    assert_eq!(source.document(), &applied.1);
    assert_eq!(follower.poll_source(&mut source), Outcome::Applied(reverted));
    follower.assert_in_force(&applied.1);
}

/// Publishing one later version reverts the changes, additions and removals of several versions.
#[test]
fn versions_are_reverted_by_a_later_one() {
    let mut source = source(3, 5);
    let before = (source.version(), source.document().clone());
    publish_quota(&mut source, 1, 1.0);
    source.publish_changes(vec![quota_entry(77, 1.0)], vec![customer_key(2)], check).unwrap();
    publish_quota(&mut source, 1, 2.0);
    let publication = source.revert_to(before.0, check).unwrap();
    assert_eq!((publication.changed, publication.removed), (2, 1));
    assert_eq!((source.document(), source.version().number), (&before.1, 5));
    assert_eq!(source.revert_to(Version { epoch: EPOCH, number: 5 }, check), Err(PublishError::NoChange));
}

/// The order of profiles and customers in a settings object has no meaning; the order of other arrays has.
#[test]
fn document_ignores_the_order_of_profiles_and_customers() {
    let mut reversed = settings(3, 3);
    reversed["profiles"].as_array_mut().unwrap().reverse();
    reversed["customers"].as_array_mut().unwrap().reverse();
    let document = Document::from_settings(&settings(3, 3)).unwrap();
    assert_eq!(Document::from_settings(&reversed).unwrap(), document);
    reversed["zones"].as_array_mut().unwrap().reverse();
    assert_ne!(Document::from_settings(&reversed).unwrap().checksum(), document.checksum());
}

/// A delta that would make the document too large is rejected by the source and by the follower.
#[test]
fn delta_beyond_the_bounds_of_a_document_is_rejected() {
    let (mut source, mut follower) = (source(1, 1), FollowerDriver::new(1));
    follower.poll_source(&mut source);
    let large_entry = |index: usize| lotusdeck_configuration::Entry {
        key: customer_key(index),
        value: format!("{{\"note\":\"{}\"}}", "x".repeat(250_000)).into(),
    };
    let changed = (0..80).map(large_entry).collect();
    let published = source.publish_changes(changed, Vec::new(), |_| Ok(()));
    assert!(matches!(
        published,
        Err(PublishError::Staging(StagingError::Document(DocumentError::TooLarge { .. })))
    ));
    let changed = (0..80).map(large_entry).collect();
    let delta =
        lotusdeck_configuration::Delta { to: source.version().next(), changed, ..empty_delta(&source) };
    follower.next_poll();
    let outcome = follower.deliver(Message::Delta(delta));
    assert!(matches!(
        outcome,
        Outcome::Rejected(Rejection::Staging {
            error: StagingError::Document(DocumentError::TooLarge { .. }),
            ..
        })
    ));
}

fn empty_delta(source: &Source) -> lotusdeck_configuration::Delta {
    lotusdeck_configuration::Delta {
        from: source.version(),
        to: source.version(),
        changed: Vec::new(),
        removed: Vec::new(),
        checksum: source.document().checksum().with_version(source.version()),
    }
}
