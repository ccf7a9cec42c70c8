//! What the tests of this crate share: settings of any size, and a follower that is driven by hand.
#![allow(dead_code)]

use lotusdeck_configuration::history::HistoryBounds;
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

/// Settings with so many profiles and customers.
pub(crate) fn settings(profiles: usize, customers: usize) -> Value {
    let profile = |at| json!({"name": format!("class-{at}"), "aim_us": 250_000, "deadline_us": 500_000});
    let customer = |at| json!({"name": format!("tenant-{at}"), "quota_rps": 50.0});
    json!({
        "rules": {"cold_from": 0.5},
        "zones": ["b", "a"],
        "profiles": (0..profiles).map(profile).collect::<Vec<Value>>(),
        "customers": (0..customers).map(customer).collect::<Vec<Value>>(),
    })
}

/// Unsound is only what has a customer of a quota below 0.
pub(crate) fn check(settings: &Value) -> Result<(), InvalidSettings> {
    let customers =
        settings["customers"].as_array().ok_or_else(|| InvalidSettings::new("customers: missing"))?;
    let quota = |customer: &Value| customer["quota_rps"].as_f64().is_some_and(|quota| quota >= 0.0);
    match customers.iter().find(|customer| !quota(customer)) {
        Some(wrong) => {
            Err(InvalidSettings::new(format!("customer {}: expected a quota of at least 0", wrong["name"])))
        }
        None => Ok(()),
    }
}

pub(crate) fn source(profiles: usize, customers: usize) -> Source {
    Source::new(EPOCH, &settings(profiles, customers), HistoryBounds::default(), check).unwrap()
}

pub(crate) fn quota(customer: usize, quota: f64) -> Entry {
    Entry { key: customer_key(customer), value: json!({ "quota_rps": quota }).to_string().into() }
}

pub(crate) fn customer_key(customer: usize) -> Key {
    Key::new(Section::Customers, &format!("tenant-{customer}"))
}

/// Sets the quota of one customer.
pub(crate) fn change(source: &mut Source, customer: usize, to: f64) -> Version {
    source.publish_changes(vec![quota(customer, to)], Vec::new(), check).unwrap().version
}

/// So many versions, each with another quota of the same customer.
pub(crate) fn changes(source: &mut Source, versions: usize) {
    for at in 0..versions {
        change(source, 1, at as f64);
    }
}

/// What came of working on an answer.
#[derive(Debug, PartialEq)]
pub(crate) enum End {
    Took(Version),
    Refused(Rejection),
    /// Nothing to do but to rest or to ask.
    Idle,
}

/// A follower and its clock.
pub(crate) struct Driven {
    pub follower: Follower,
    pub now: Duration,
    /// Slices that it worked on.
    pub slices: usize,
    /// What is in force: settings read of the version taken last.
    pub in_force: Option<(Version, Value)>,
}

impl Driven {
    pub(crate) fn new(seed: u64) -> Driven {
        let follower = Follower::new(FollowerSettings::default(), seed);
        Driven { follower, now: Duration::ZERO, slices: 0, in_force: None }
    }

    /// Its next question; time goes on to the end of its rest.
    pub(crate) fn ask(&mut self) -> Poll {
        loop {
            match self.follower.next_step(self.now) {
                NextStep::Poll(ask) => return ask,
                NextStep::Wait(until) => self.now = until,
                _ => {}
            }
        }
    }

    /// Hands an answer in and works on it to its end.
    pub(crate) fn answer(&mut self, message: Message) -> End {
        self.follower.handle_message(self.now, message);
        self.work()
    }

    pub(crate) fn work(&mut self) -> End {
        let mut read = None;
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
                    read = verdict.ok();
                }
                NextStep::Applied(version) => {
                    self.in_force = read.take().map(|settings| (version, settings));
                    return End::Took(version);
                }
                NextStep::Rejected(refusal) => return End::Refused(refusal),
                NextStep::PollFailed(_) => {}
                NextStep::Wait(_) | NextStep::Poll(_) => return End::Idle,
            }
        }
    }

    /// Asks the source and works on its answer; `Idle` where it has nothing later.
    pub(crate) fn exchange(&mut self, source: &mut Source) -> End {
        let ask = self.ask();
        match source.answer_poll(&ask) {
            lotusdeck_configuration::source::SourceAnswer::Now(text) => {
                self.answer(decode(text.as_bytes()).unwrap())
            }
            lotusdeck_configuration::source::SourceAnswer::Later => {
                self.now += ask.wait;
                self.answer(Message::Unchanged(source.version()))
            }
        }
    }

    /// What it holds and what is in force is this document.
    pub(crate) fn holds(&self, document: &Document) {
        assert_eq!(self.follower.document(), document);
        let (version, settings) = self.in_force.as_ref().unwrap();
        assert_eq!(Some(*version), self.follower.applied_version());
        assert_eq!(&Document::from_settings(settings).unwrap(), document);
    }
}
