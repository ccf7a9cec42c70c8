//! Under any loss, duplication and reordering of messages, a follower converges to the source's document and applies
//! only published documents. A disconnected region keeps its document and catches up after reconnecting.
#![allow(clippy::unwrap_used, clippy::expect_used, reason = "tests panic on unexpected results")]

mod common;

use common::{check, publish_quota, quota_entry, seconds, source, FollowerDriver, Outcome};
use lotusdeck_configuration::history::HistoryBounds;
use lotusdeck_configuration::source::SourceAnswer;
use lotusdeck_configuration::{
    decode, Document, Failure, FollowerSettings, Message, NextStep, Poll, Source, SyncState, Version,
};
use proptest::prelude::*;
use std::collections::BTreeMap;
use std::time::Duration;

/// An event of the simulation.
#[derive(Clone, Debug)]
enum Event {
    /// The source sets a customer's quota. Quotas below 0 are invalid, but this source does not check them.
    Publish { customer: usize, quota: i8 },
    /// The source removes a customer.
    Remove { customer: usize },
    /// The source reverts its last `versions` versions.
    Revert { versions: u64 },
    /// The source restarts without its history.
    Restart,
    /// The open poll reaches the source, which sends its answer.
    Poll,
    /// One of the answers in transit arrives, not necessarily that of the open poll. It stays in transit, so that it
    /// can arrive again.
    Deliver { index: usize },
    /// One of the answers in transit is lost, and time advances.
    Lose { index: usize, millis: u64 },
    /// The follower performs one step.
    Step,
}

fn event() -> impl Strategy<Value = Event> {
    prop_oneof![
        4 => (0..12usize, -1..100i8).prop_map(|(customer, quota)| Event::Publish { customer, quota }),
        1 => (0..12usize).prop_map(|customer| Event::Remove { customer }),
        1 => (0..6u64).prop_map(|versions| Event::Revert { versions }),
        1 => Just(Event::Restart),
        6 => Just(Event::Poll),
        6 => (0..64usize).prop_map(|index| Event::Deliver { index }),
        3 => (0..64usize, 0..15_000u64).prop_map(|(index, millis)| Event::Lose { index, millis }),
        6 => Just(Event::Step),
    ]
}

struct Simulation {
    source: Source,
    /// The documents of all versions published so far.
    published: BTreeMap<Version, Document>,
    follower: FollowerDriver,
    open_poll: Option<Poll>,
    in_transit: Vec<Message>,
}

/// A history so short that followers fall behind it.
const HISTORY: HistoryBounds = HistoryBounds { versions: 5, bytes: 1 << 20 };

impl Simulation {
    fn new(seed: u64) -> Simulation {
        let settings = common::settings(2, 10);
        let source = Source::new(common::EPOCH, &settings, HISTORY, check).unwrap();
        let mut follower = FollowerDriver::new(seed);
        let settings = FollowerSettings { entries_per_slice: 2, ..FollowerSettings::default() };
        follower.follower = lotusdeck_configuration::Follower::new(settings, seed);
        let published = BTreeMap::from([(source.version(), source.document().clone())]);
        Simulation { source, published, follower, open_poll: None, in_transit: Vec::new() }
    }

    fn apply(&mut self, event: &Event) {
        match event {
            Event::Publish { customer, quota } => {
                let entry = quota_entry(*customer, f64::from(*quota));
                let _ = self.source.publish_changes(vec![entry], Vec::new(), |_| Ok(()));
            }
            Event::Remove { customer } => {
                let key = common::customer_key(*customer);
                let _ = self.source.publish_changes(Vec::new(), vec![key], |_| Ok(()));
            }
            Event::Revert { versions } => {
                let Version { epoch, number } = self.source.version();
                let version = Version { epoch, number: number.saturating_sub(*versions) };
                let _ = self.source.revert_to(version, |_| Ok(()));
            }
            Event::Restart => {
                let settings = common::settings(2, 9);
                let epoch = self.source.version().epoch + 1;
                self.source = Source::new(epoch, &settings, HISTORY, check).unwrap();
            }
            Event::Poll => self.answer_open_poll(),
            Event::Deliver { index } => {
                if let Some(message) = self.message_in_transit(*index) {
                    self.follower.follower.handle_message(self.follower.now, message);
                }
            }
            Event::Lose { index, millis } => {
                self.follower.now += Duration::from_millis(*millis);
                if !self.in_transit.is_empty() {
                    self.in_transit.remove(index % self.in_transit.len());
                }
            }
            Event::Step => self.step(),
        }
        let document = self.source.document().clone();
        self.published.entry(self.source.version()).or_insert(document);
    }

    fn message_in_transit(&self, index: usize) -> Option<Message> {
        self.in_transit.get(index % self.in_transit.len().max(1)).cloned()
    }

    fn answer_open_poll(&mut self) {
        let Some(poll) = self.open_poll.take() else { return };
        let message = match self.source.answer_poll(&poll) {
            SourceAnswer::Now(text) => decode(text.as_bytes()).unwrap(),
            SourceAnswer::Later => Message::Unchanged(self.source.version()),
        };
        self.in_transit.push(message);
    }

    fn step(&mut self) {
        match self.follower.follower.next_step(self.follower.now) {
            NextStep::Poll(poll) => self.open_poll = Some(poll),
            NextStep::Validate => {
                let candidate = self.follower.follower.candidate().unwrap();
                let (version, settings) = (candidate.version(), candidate.to_settings().unwrap());
                let verdict = check(&settings);
                self.follower.follower.candidate_validated(self.follower.now, verdict.clone());
                if verdict.is_ok() {
                    let rebuilt = Document::from_settings(&settings).unwrap();
                    assert_eq!(
                        self.published.get(&version),
                        Some(&rebuilt),
                        "the settings accepted for {version} are not the published ones"
                    );
                }
            }
            NextStep::Applied(version) => {
                assert_eq!(self.follower.follower.document(), &self.published[&version], "{version}");
            }
            _ => {}
        }
    }

    /// Delivers all messages from now on, and asserts that the follower converges.
    fn converge(&mut self) {
        self.in_transit.clear();
        self.open_poll = None;
        let valid = quota_entry(0, 1_000.0 + self.source.version().number as f64);
        self.source.publish(&common::settings(3, 11), check).ok();
        self.source.publish_changes(vec![valid], Vec::new(), check).unwrap();
        let started = self.follower.now;
        while self.follower.follower.applied_version() != Some(self.source.version()) {
            self.follower.run_to_outcome();
            if self.follower.follower.applied_version() != Some(self.source.version()) {
                let poll = self.follower.next_poll();
                match self.source.answer_poll(&poll) {
                    SourceAnswer::Now(text) => drop(self.follower.deliver(decode(text.as_bytes()).unwrap())),
                    SourceAnswer::Later => {
                        panic!("no answer to {poll:?} at version {}", self.source.version())
                    }
                }
            }
            // Seconds: a poll until it times out, the maximum backoff, and the delay after a rejected full document.
            assert!(
                self.follower.now - started < seconds(12 + 2 + 30),
                "not converged at {:?}",
                self.follower.now
            );
        }
        assert_eq!(self.follower.follower.document(), self.source.document());
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 512, failure_persistence: None, ..ProptestConfig::default() })]

    /// On failure, proptest prints the seed and the shortest failing sequence of events.
    #[test]
    fn follower_converges_under_any_loss_duplication_and_reordering(
        seed in any::<u64>(), events in prop::collection::vec(event(), 0..200),
    ) {
        let mut simulation = Simulation::new(seed);
        events.iter().for_each(|event| simulation.apply(event));
        simulation.converge();
    }

    /// The checksum of a document after incremental changes equals that of the same document built from its settings.
    #[test]
    fn incremental_checksum_equals_that_of_the_full_document(
        changes in prop::collection::vec((0..12usize, 0..100i8, any::<bool>()), 0..60),
    ) {
        let mut source = source(2, 8);
        for (customer, quota, remove) in changes {
            let key = common::customer_key(customer);
            let (changed, removed) = if remove { (vec![], vec![key]) } else { (vec![quota_entry(customer, quota.into())], vec![]) };
            let _ = source.publish_changes(changed, removed, check);
        }
        let entries = source.document().iter();
        let settings = lotusdeck_configuration::document::to_settings(entries).unwrap();
        let rebuilt = Document::from_settings(&settings).unwrap();
        prop_assert_eq!(rebuilt.checksum(), source.document().checksum());
        prop_assert_eq!(&rebuilt, source.document());
    }
}

/// A region is disconnected for three minutes, in which five changes are published. It keeps the last valid document,
/// reports its age and polls with backoff; after reconnecting it applies all five changes as one delta within 2 s, the
/// maximum backoff.
#[test]
fn region_disconnected_for_three_minutes_catches_up_by_one_delta() {
    for seed in 1..=50 {
        let (mut source, mut follower) = (source(5, 50), FollowerDriver::new(seed));
        assert_eq!(follower.poll_source(&mut source), Outcome::Applied(source.version()));
        let (applied, disconnected_at, document) =
            (source.version(), follower.now, source.document().clone());
        let mut polls = 0;
        while follower.now < disconnected_at + seconds(180) {
            let poll = follower.next_poll();
            assert_eq!(poll.after, Some(applied), "seed {seed}");
            polls += 1;
            follower.follower.poll_failed(follower.now, Failure::ConnectionFailed("unreachable".into()));
            let due_changes = (follower.now - disconnected_at).as_secs() / 36;
            while source.version().number - applied.number < due_changes.min(5) {
                publish_quota(&mut source, due_changes as usize, 1.0 + due_changes as f64);
            }
            assert_eq!(follower.follower.document(), &document, "seed {seed}");
        }
        let status = follower.follower.status(follower.now);
        assert_eq!(
            (status.sync_state, status.applied_version),
            (SyncState::Disconnected, Some(applied)),
            "seed {seed}"
        );
        assert!(status.age.unwrap() >= seconds(180), "seed {seed}: {:?}", status.age);
        assert!((90..=200).contains(&polls), "seed {seed}: {polls} polls");
        let reconnected_at = follower.now;
        let poll = follower.next_poll();
        let SourceAnswer::Now(text) = source.answer_poll(&poll) else { panic!("seed {seed}") };
        assert!(matches!(decode(text.as_bytes()), Ok(Message::Delta(_))), "seed {seed}: {text}");
        assert_eq!(follower.deliver(decode(text.as_bytes()).unwrap()), Outcome::Applied(source.version()));
        assert!(
            follower.now - reconnected_at <= seconds(2),
            "seed {seed}: {:?}",
            follower.now - reconnected_at
        );
        follower.assert_in_force(source.document());
        assert_eq!(follower.follower.status(follower.now).sync_state, SyncState::Current);
    }
}
