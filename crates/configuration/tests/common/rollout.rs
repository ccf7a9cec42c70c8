//! A source and its followers in virtual time: lines of bounded speed, questions, answers and pauses as they are. Every
//! proxy is a real follower of a small document; a whole document counts with the bytes of a large one.

use lotusdeck_configuration::long_poll::{Eviction, FollowerId, LongPollQueue, PollReply, QueueBounds};
use lotusdeck_configuration::{
    decode, Failure, Follower, FollowerSettings, Message, NextStep, Poll, Source, Version,
};
use std::sync::Arc;
use std::time::Duration;

/// What the network and the machines do.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Conditions {
    /// Bytes a second that the source sends to all together.
    pub source_line: u64,
    /// Bytes a second that one proxy takes.
    pub proxy_line: u64,
    /// A message is on its way for so long, beside its bytes.
    pub latency: Duration,
    /// Bytes of a whole document.
    pub whole: u64,
    /// From the last byte of an answer until its settings are read.
    pub reading: Duration,
}

/// A step of the clock.
const TICK: Duration = Duration::from_millis(10);
/// Bytes of head and of connection that every question and every answer cost.
const HEAD: u64 = 200;

enum Line {
    Idle,
    Question { ask: Poll, arrives: Duration },
    Parked,
    SourceAnswer { text: Arc<str>, left: u64, arrives: Duration },
    Reading { message: Message, until: Duration },
}

pub(crate) struct Proxy {
    pub follower: Follower,
    pub begins: Duration,
    pub line_speed: u64,
    /// It does nothing any more, and its connection stays open.
    pub stuck: bool,
    /// Bytes in both directions.
    pub bytes: u64,
    /// When it held which version.
    pub took: Option<(Version, Duration)>,
    line: Line,
}

pub(crate) struct Rollout {
    pub source: Source,
    pub desk: LongPollQueue,
    pub proxies: Vec<Proxy>,
    pub now: Duration,
    /// The most bytes of answers that the desk held at a time.
    pub most_held: usize,
    /// Questions that found no room.
    pub busy: u64,
    /// Connections closed as the answer was not taken in time.
    pub closed: u64,
    conditions: Conditions,
}

impl Rollout {
    /// So many proxies, which begin spread evenly over `within`.
    pub(crate) fn new(
        source: Source, proxies: u64, within: Duration, bounds: QueueBounds, conditions: Conditions,
    ) -> Rollout {
        let proxy = |at: u64| Proxy {
            follower: Follower::new(FollowerSettings::default(), at + 1),
            begins: within.mul_f64(at as f64 / proxies as f64),
            line_speed: conditions.proxy_line,
            stuck: false,
            bytes: 0,
            took: None,
            line: Line::Idle,
        };
        Rollout {
            source,
            desk: LongPollQueue::new(bounds),
            proxies: (0..proxies).map(proxy).collect(),
            now: Duration::ZERO,
            most_held: 0,
            busy: 0,
            closed: 0,
            conditions,
        }
    }

    /// Runs until `most` at the longest, and ends when all have the source's version; how many have it.
    pub(crate) fn run(&mut self, most: Duration) -> usize {
        let end = self.now + most;
        while self.now < end && self.current() < self.proxies.len() {
            self.now += TICK;
            self.step();
        }
        self.current()
    }

    /// Runs for so long, whoever has what.
    pub(crate) fn run_for(&mut self, span: Duration) {
        let end = self.now + span;
        while self.now < end {
            self.now += TICK;
            self.step();
        }
    }

    pub(crate) fn current(&self) -> usize {
        let version = Some(self.source.version());
        self.proxies.iter().filter(|proxy| proxy.follower.applied_version() == version).count()
    }

    /// The source has published.
    pub(crate) fn published(&mut self) {
        for (id, reply) in self.desk.publish(&mut self.source, self.now) {
            self.reply(id, reply);
        }
    }

    fn reply(&mut self, id: FollowerId, reply: PollReply) {
        let arrives = self.now + self.conditions.latency;
        let proxy = &mut self.proxies[id.0 as usize];
        match reply {
            PollReply::Parked => proxy.line = Line::Parked,
            PollReply::Busy => {
                self.busy += 1;
                proxy.bytes += HEAD;
                proxy.line = Line::Idle;
                proxy.follower.poll_failed(self.now, Failure::Busy);
            }
            PollReply::Write(text) => {
                let whole = text.starts_with(r#"{"kind":"whole""#);
                let left = HEAD + if whole { self.conditions.whole } else { text.len() as u64 };
                proxy.line = Line::SourceAnswer { text, left, arrives };
            }
        }
    }

    fn step(&mut self) {
        for over in self.desk.expire(&self.source, self.now) {
            match over {
                Eviction::Write(id, text) => self.reply(id, PollReply::Write(text)),
                Eviction::Close(id) => {
                    self.closed += 1;
                    let proxy = &mut self.proxies[id.0 as usize];
                    proxy.line = Line::Idle;
                    proxy.follower.poll_failed(self.now, Failure::ConnectionFailed("closed".into()));
                }
            }
        }
        self.send();
        for at in 0..self.proxies.len() {
            self.follow(at);
        }
        self.most_held = self.most_held.max(self.desk.buffered_bytes());
    }

    /// The source's line is shared evenly by those that take an answer.
    fn send(&mut self) {
        let taking = self
            .proxies
            .iter()
            .filter(|proxy| matches!(proxy.line, Line::SourceAnswer { left, .. } if left > 0));
        let per_tick = |speed: u64| speed * TICK.as_millis() as u64 / 1_000;
        let part = per_tick(self.conditions.source_line) / (taking.count() as u64).max(1);
        for (at, proxy) in self.proxies.iter_mut().enumerate() {
            let Line::SourceAnswer { text, left, .. } = &mut proxy.line else { continue };
            let sent = part.min(per_tick(proxy.line_speed)).min(*left);
            proxy.bytes += sent;
            *left -= sent;
            if *left == 0 && sent > 0 {
                self.desk.bytes_written(FollowerId(at as u64), text.len());
            }
        }
    }

    fn follow(&mut self, at: usize) {
        let (now, id) = (self.now, FollowerId(at as u64));
        let conditions = self.conditions;
        let proxy = &mut self.proxies[at];
        if now < proxy.begins || proxy.stuck {
            return;
        }
        match std::mem::replace(&mut proxy.line, Line::Idle) {
            Line::Question { ask, arrives } if arrives <= now => {
                let reply = self.desk.poll(&mut self.source, now, id, ask);
                return self.reply(id, reply);
            }
            Line::SourceAnswer { text, left: 0, arrives } if arrives <= now => {
                let message = decode(text.as_bytes()).expect("a message of the source");
                let reading = match message {
                    Message::Unchanged(_) => Duration::ZERO,
                    _ => conditions.reading,
                };
                proxy.line = Line::Reading { message, until: now + reading };
            }
            Line::Reading { message, until } if until <= now => proxy.follower.handle_message(now, message),
            line => proxy.line = line,
        }
        loop {
            match proxy.follower.next_step(now) {
                NextStep::Poll(ask) => {
                    proxy.bytes += HEAD;
                    proxy.line = Line::Question { ask, arrives: now + conditions.latency };
                    return;
                }
                NextStep::Validate => proxy.follower.candidate_validated(now, Ok(())),
                NextStep::Applied(version) => proxy.took = Some((version, now)),
                NextStep::PollFailed(Failure::TimedOut) => {
                    self.desk.disconnect(id);
                    proxy.line = Line::Idle;
                }
                NextStep::Wait(_) => return,
                NextStep::Continue | NextStep::Rejected(_) | NextStep::PollFailed(_) => {}
            }
        }
    }

    /// Spans from `since` until each took its version, in order.
    pub(crate) fn delays(&self, since: Duration) -> Vec<Duration> {
        let took = |proxy: &Proxy| proxy.took.map(|(_, at)| at.saturating_sub(since));
        let mut delays: Vec<Duration> = self.proxies.iter().filter_map(took).collect();
        delays.sort_unstable();
        delays
    }

    /// Bytes in both directions of all proxies.
    pub(crate) fn bytes(&self) -> u64 {
        self.proxies.iter().map(|proxy| proxy.bytes).sum()
    }
}
