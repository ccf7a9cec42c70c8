//! Any loss, duplication and reordering of messages ends in the source's document, and nothing else is ever in force
//! on the way; a region that is cut is harmless and catches up.
#![allow(
    clippy::unwrap_used,
    clippy::expect_used,
    clippy::too_many_lines,
    reason = "a test stops at what it did not expect"
)]

mod common;

use common::{change, check, quota, seconds, source, Driven, End};
use lotusdeck_configuration::history::HistoryBounds;
use lotusdeck_configuration::source::SourceAnswer;
use lotusdeck_configuration::{
    decode, Document, Failure, FollowerSettings, Message, NextStep, Poll, Source, SyncState, Version,
};
use proptest::prelude::*;
use std::collections::BTreeMap;
use std::time::Duration;

/// What happens next.
#[derive(Clone, Debug)]
enum Happening {
    /// A customer gets another quota, unsound where it is below 0, which this source does not check.
    Publish { customer: usize, quota: i8 },
    /// A customer is left out.
    Remove { customer: usize },
    /// What came after so many versions before is taken back.
    TakeBack { versions: u64 },
    /// The source begins anew without its history.
    Anew,
    /// The question goes to the source, and its answer on the way.
    Poll,
    /// One of the answers on the way comes in, perhaps not the one asked for, and stays on the way as well.
    Deliver { which: usize },
    /// One of them is lost, and time goes on.
    Lose { which: usize, millis: u64 },
    /// The follower works on, one step.
    Work,
}

fn happening() -> impl Strategy<Value = Happening> {
    prop_oneof![
        4 => (0..12usize, -1..100i8).prop_map(|(customer, quota)| Happening::Publish { customer, quota }),
        1 => (0..12usize).prop_map(|customer| Happening::Remove { customer }),
        1 => (0..6u64).prop_map(|versions| Happening::TakeBack { versions }),
        1 => Just(Happening::Anew),
        6 => Just(Happening::Poll),
        6 => (0..64usize).prop_map(|which| Happening::Deliver { which }),
        3 => (0..64usize, 0..15_000u64).prop_map(|(which, millis)| Happening::Lose { which, millis }),
        6 => Just(Happening::Work),
    ]
}

struct World {
    source: Source,
    /// Every version that there was.
    published: BTreeMap<Version, Document>,
    follower: Driven,
    asked: Option<Poll>,
    on_the_way: Vec<Message>,
}

/// So few, that gaps beyond it come about.
const KEPT: HistoryBounds = HistoryBounds { versions: 5, bytes: 1 << 20 };

impl World {
    fn new(seed: u64) -> World {
        let settings = common::settings(2, 10);
        let source = Source::new(common::EPOCH, &settings, KEPT, check).unwrap();
        let mut follower = Driven::new(seed);
        let settings = FollowerSettings { entries_per_slice: 2, ..FollowerSettings::default() };
        follower.follower = lotusdeck_configuration::Follower::new(settings, seed);
        let published = BTreeMap::from([(source.version(), source.document().clone())]);
        World { source, published, follower, asked: None, on_the_way: Vec::new() }
    }

    fn happen(&mut self, happening: &Happening) {
        match happening {
            Happening::Publish { customer, quota: to } => {
                let entry = quota(*customer, f64::from(*to));
                let _ = self.source.publish_changes(vec![entry], Vec::new(), |_| Ok(()));
            }
            Happening::Remove { customer } => {
                let key = common::customer_key(*customer);
                let _ = self.source.publish_changes(Vec::new(), vec![key], |_| Ok(()));
            }
            Happening::TakeBack { versions } => {
                let Version { epoch, number } = self.source.version();
                let version = Version { epoch, number: number.saturating_sub(*versions) };
                let _ = self.source.revert_to(version, |_| Ok(()));
            }
            Happening::Anew => {
                let settings = common::settings(2, 9);
                let epoch = self.source.version().epoch + 1;
                self.source = Source::new(epoch, &settings, KEPT, check).unwrap();
            }
            Happening::Poll => self.ask(),
            Happening::Deliver { which } => {
                if let Some(message) = self.pick(*which) {
                    self.follower.follower.handle_message(self.follower.now, message);
                }
            }
            Happening::Lose { which, millis } => {
                self.follower.now += Duration::from_millis(*millis);
                if !self.on_the_way.is_empty() {
                    self.on_the_way.remove(which % self.on_the_way.len());
                }
            }
            Happening::Work => self.work(),
        }
        let document = self.source.document().clone();
        self.published.entry(self.source.version()).or_insert(document);
    }

    fn pick(&self, which: usize) -> Option<Message> {
        self.on_the_way.get(which % self.on_the_way.len().max(1)).cloned()
    }

    fn ask(&mut self) {
        let Some(ask) = self.asked.take() else { return };
        let message = match self.source.answer_poll(&ask) {
            SourceAnswer::Now(text) => decode(text.as_bytes()).unwrap(),
            SourceAnswer::Later => Message::Unchanged(self.source.version()),
        };
        self.on_the_way.push(message);
    }

    fn work(&mut self) {
        match self.follower.follower.next_step(self.follower.now) {
            NextStep::Poll(ask) => self.asked = Some(ask),
            NextStep::Validate => {
                let candidate = self.follower.follower.candidate().unwrap();
                let (version, settings) = (candidate.version(), candidate.to_settings().unwrap());
                let verdict = check(&settings);
                self.follower.follower.candidate_validated(self.follower.now, verdict.clone());
                if verdict.is_ok() {
                    let read = Document::from_settings(&settings).unwrap();
                    assert_eq!(self.published.get(&version), Some(&read), "a mixture passed at {version}");
                }
            }
            NextStep::Applied(version) => {
                assert_eq!(self.follower.follower.document(), &self.published[&version], "{version}");
            }
            _ => {}
        }
    }

    /// Everything is in order from now on.
    fn heal(&mut self) {
        self.on_the_way.clear();
        self.asked = None;
        let valid = quota(0, 1_000.0 + self.source.version().number as f64);
        self.source.publish(&common::settings(3, 11), check).ok();
        self.source.publish_changes(vec![valid], Vec::new(), check).unwrap();
        let begun = self.follower.now;
        while self.follower.follower.applied_version() != Some(self.source.version()) {
            self.follower.work();
            if self.follower.follower.applied_version() != Some(self.source.version()) {
                let ask = self.follower.ask();
                match self.source.answer_poll(&ask) {
                    SourceAnswer::Now(text) => drop(self.follower.answer(decode(text.as_bytes()).unwrap())),
                    SourceAnswer::Later => panic!("{ask:?} waits for more than {}", self.source.version()),
                }
            }
            // The rest of a silent call, the longest pause, and one before a whole document that was refused.
            assert!(self.follower.now - begun < seconds(12 + 2 + 30), "no end: {:?}", self.follower.now);
        }
        assert_eq!(self.follower.follower.document(), self.source.document());
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 512, failure_persistence: None, ..ProptestConfig::default() })]

    /// proptest prints the seed and the shortest row of happenings that fails.
    #[test]
    fn any_loss_duplication_and_reordering_ends_in_the_sources_document(
        seed in any::<u64>(), happenings in prop::collection::vec(happening(), 0..200),
    ) {
        let mut world = World::new(seed);
        happenings.iter().for_each(|happening| world.happen(happening));
        world.heal();
    }

    /// The checksum of a document that was changed step by step is the one of the same document read anew.
    #[test]
    fn the_incremental_checksum_is_that_of_the_whole(
        changes in prop::collection::vec((0..12usize, 0..100i8, any::<bool>()), 0..60),
    ) {
        let mut source = source(2, 8);
        for (customer, to, remove) in changes {
            let key = common::customer_key(customer);
            let (set, out) = if remove { (vec![], vec![key]) } else { (vec![quota(customer, to.into())], vec![]) };
            let _ = source.publish_changes(set, out, check);
        }
        let entries = source.document().iter();
        let settings = lotusdeck_configuration::document::to_settings(entries).unwrap();
        let anew = Document::from_settings(&settings).unwrap();
        prop_assert_eq!(anew.checksum(), source.document().checksum());
        prop_assert_eq!(&anew, source.document());
    }
}

/// A region is cut for three minutes in which five changes come: it keeps the last sound document, tells its age, asks with
/// pauses that do not grow past the longest, and takes all five as one delta within that pause.
#[test]
fn a_region_that_was_cut_for_three_minutes_catches_up_by_one_delta() {
    for seed in 1..=50 {
        let (mut source, mut follower) = (source(5, 50), Driven::new(seed));
        assert_eq!(follower.exchange(&mut source), End::Took(source.version()));
        let (held, cut, document) = (source.version(), follower.now, source.document().clone());
        let mut questions = 0;
        while follower.now < cut + seconds(180) {
            let ask = follower.ask();
            assert_eq!(ask.after, Some(held), "seed {seed}");
            questions += 1;
            follower.follower.poll_failed(follower.now, Failure::ConnectionFailed("unreachable".into()));
            let due = (follower.now - cut).as_secs() / 36;
            while source.version().number - held.number < due.min(5) {
                change(&mut source, due as usize, 1.0 + due as f64);
            }
            assert_eq!(follower.follower.document(), &document, "seed {seed}");
        }
        let status = follower.follower.status(follower.now);
        assert_eq!(
            (status.sync_state, status.applied_version),
            (SyncState::Disconnected, Some(held)),
            "seed {seed}"
        );
        assert!(status.age.unwrap() >= seconds(180), "seed {seed}: {:?}", status.age);
        assert!((90..=200).contains(&questions), "seed {seed}: {questions} questions");
        let healed = follower.now;
        let ask = follower.ask();
        let SourceAnswer::Now(text) = source.answer_poll(&ask) else { panic!("seed {seed}") };
        assert!(matches!(decode(text.as_bytes()), Ok(Message::Delta(_))), "seed {seed}: {text}");
        assert_eq!(follower.answer(decode(text.as_bytes()).unwrap()), End::Took(source.version()));
        assert!(follower.now - healed <= seconds(2), "seed {seed}: {:?}", follower.now - healed);
        follower.holds(source.document());
        assert_eq!(follower.follower.status(follower.now).sync_state, SyncState::Current);
    }
}
