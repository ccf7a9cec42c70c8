//! Helpers for the tests of this crate: settings of any size, and a driver that steps a follower.
#![allow(dead_code)]

use lotusdeck_configuration::history::HistoryBounds;
use lotusdeck_configuration::source::SourceAnswer;
use lotusdeck_configuration::{
    decode, Document, Entry, Follower, FollowerSettings, InvalidSettings, Key, Message, NextStep, Poll,
    Rejection, Section, Source, Version,
};
use serde_json::{json, Value};
use std::time::Duration;

pub(crate) const EPOCH: u64 = 1_000;

pub(crate) fn seconds(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

/// Returns settings with the given numbers of profiles and customers.
pub(crate) fn settings(profiles: usize, customers: usize) -> Value {
    let profile =
        |index| json!({"name": format!("class-{index}"), "aim_us": 250_000, "deadline_us": 500_000});
    let customer = |index| json!({"name": format!("tenant-{index}"), "quota_rps": 50.0});
    json!({
        "rules": {"cold_from": 0.5},
        "zones": ["b", "a"],
        "profiles": (0..profiles).map(profile).collect::<Vec<Value>>(),
        "customers": (0..customers).map(customer).collect::<Vec<Value>>(),
    })
}

/// Checks that no customer has a quota below 0.
pub(crate) fn check(settings: &Value) -> Result<(), InvalidSettings> {
    let customers =
        settings["customers"].as_array().ok_or_else(|| InvalidSettings::new("customers: missing"))?;
    let is_valid = |customer: &Value| customer["quota_rps"].as_f64().is_some_and(|quota| quota >= 0.0);
    match customers.iter().find(|customer| !is_valid(customer)) {
        Some(invalid) => {
            Err(InvalidSettings::new(format!("customer {}: expected a quota of at least 0", invalid["name"])))
        }
        None => Ok(()),
    }
}

pub(crate) fn source(profiles: usize, customers: usize) -> Source {
    Source::new(EPOCH, &settings(profiles, customers), HistoryBounds::default(), check).unwrap()
}

pub(crate) fn quota_entry(customer: usize, quota: f64) -> Entry {
    Entry { key: customer_key(customer), value: json!({ "quota_rps": quota }).to_string().into() }
}

pub(crate) fn customer_key(customer: usize) -> Key {
    Key::new(Section::Customers, &format!("tenant-{customer}"))
}

/// Publishes a version with another quota of one customer.
pub(crate) fn publish_quota(source: &mut Source, customer: usize, quota: f64) -> Version {
    source.publish_changes(vec![quota_entry(customer, quota)], Vec::new(), check).unwrap().version
}

/// Publishes the given number of versions, each with a different quota of the same customer.
pub(crate) fn publish_quotas(source: &mut Source, versions: usize) {
    for quota in 0..versions {
        publish_quota(source, 1, quota as f64);
    }
}

/// The result of processing an answer.
#[derive(Debug, PartialEq)]
pub(crate) enum Outcome {
    Applied(Version),
    Rejected(Rejection),
    /// The follower waits or wants to poll.
    Idle,
}

/// A follower and its clock.
pub(crate) struct FollowerDriver {
    pub follower: Follower,
    pub now: Duration,
    /// Number of slices processed.
    pub slices: usize,
    /// The last applied version and its settings.
    pub in_force: Option<(Version, Value)>,
}

impl FollowerDriver {
    pub(crate) fn new(seed: u64) -> FollowerDriver {
        let follower = Follower::new(FollowerSettings::default(), seed);
        FollowerDriver { follower, now: Duration::ZERO, slices: 0, in_force: None }
    }

    /// Returns the next poll, and advances time to the end of any delay before it.
    pub(crate) fn next_poll(&mut self) -> Poll {
        loop {
            match self.follower.next_step(self.now) {
                NextStep::Poll(poll) => return poll,
                NextStep::Wait(until) => self.now = until,
                _ => {}
            }
        }
    }

    /// Delivers an answer and processes it completely.
    pub(crate) fn deliver(&mut self, message: Message) -> Outcome {
        self.follower.handle_message(self.now, message);
        self.run_to_outcome()
    }

    pub(crate) fn run_to_outcome(&mut self) -> Outcome {
        let mut candidate_settings = None;
        loop {
            match self.follower.next_step(self.now) {
                NextStep::Continue => self.slices += 1,
                NextStep::Validate => {
                    let candidate = self.follower.candidate().unwrap();
                    let settings =
                        candidate.to_settings().map_err(|error| InvalidSettings::new(error.to_string()));
                    let verdict = settings.and_then(|settings| check(&settings).map(|()| settings));
                    self.follower.candidate_validated(
                        self.now,
                        verdict.as_ref().map(|_| ()).map_err(InvalidSettings::clone),
                    );
                    candidate_settings = verdict.ok();
                }
                NextStep::Applied(version) => {
                    self.in_force = candidate_settings.take().map(|settings| (version, settings));
                    return Outcome::Applied(version);
                }
                NextStep::Rejected(rejection) => return Outcome::Rejected(rejection),
                NextStep::PollFailed(_) => {}
                NextStep::Wait(_) | NextStep::Poll(_) => return Outcome::Idle,
            }
        }
    }

    /// Polls the source and processes its answer; returns `Idle` if the source has no later version.
    pub(crate) fn poll_source(&mut self, source: &mut Source) -> Outcome {
        let poll = self.next_poll();
        match source.answer_poll(&poll) {
            SourceAnswer::Now(text) => self.deliver(decode(text.as_bytes()).unwrap()),
            SourceAnswer::Later => {
                self.now += poll.wait;
                self.deliver(Message::Unchanged(source.version()))
            }
        }
    }

    /// Asserts that the follower's document and the applied settings both equal `document`.
    pub(crate) fn assert_in_force(&self, document: &Document) {
        assert_eq!(self.follower.document(), document);
        let (version, settings) = self.in_force.as_ref().unwrap();
        assert_eq!(Some(*version), self.follower.applied_version());
        assert_eq!(&Document::from_settings(settings).unwrap(), document);
    }
}
