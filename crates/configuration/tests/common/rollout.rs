//! A simulation of a source and its followers in virtual time, with connections of bounded bandwidth. Every proxy is a
//! real follower of a small document; sending a full document takes as many bytes as a large one has.

use lotusdeck_configuration::long_poll::{Eviction, FollowerId, LongPollQueue, PollReply, QueueBounds};
use lotusdeck_configuration::{
    decode, Failure, Follower, FollowerSettings, Message, NextStep, Poll, Source, Version,
};
use std::sync::Arc;
use std::time::Duration;

/// Properties of the simulated network and machines.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Conditions {
    /// Bytes per second that the source can send to all proxies together.
    pub source_bandwidth: u64,
    /// Bytes per second that one proxy can receive.
    pub proxy_bandwidth: u64,
    /// One-way latency, without the transmission time of the bytes.
    pub latency: Duration,
    /// Bytes that sending a full document takes.
    pub full_document_bytes: u64,
    /// Time from the last byte of an answer until the proxy has read its settings.
    pub read_time: Duration,
}

/// Step of the virtual time.
const TICK: Duration = Duration::from_millis(10);
/// Overhead of headers and connection for every poll and every answer, bytes.
const HEADER_BYTES: u64 = 200;

enum Connection {
    Idle,
    Polling { poll: Poll, arrives_at: Duration },
    Parked,
    Receiving { text: Arc<str>, remaining: u64, arrives_at: Duration },
    Reading { message: Message, until: Duration },
}

#[derive(Clone, Copy)]
pub(crate) struct AppliedAt {
    pub version: Version,
    pub at: Duration,
}

pub(crate) struct Proxy {
    pub follower: Follower,
    pub starts_at: Duration,
    pub bandwidth: u64,
    /// Whether the proxy does nothing while its connection stays open.
    pub stuck: bool,
    /// Bytes transferred in both directions.
    pub bytes: u64,
    /// The last applied version and the time at which it was applied.
    pub applied: Option<AppliedAt>,
    connection: Connection,
}

pub(crate) struct Rollout {
    pub source: Source,
    pub queue: LongPollQueue,
    pub proxies: Vec<Proxy>,
    pub now: Duration,
    /// The maximum bytes of answers that the queue buffered at a time.
    pub max_buffered_bytes: usize,
    /// Number of polls for which the source had no capacity.
    pub busy_replies: u64,
    /// Number of connections closed because the answer was not received in time.
    pub closed_connections: u64,
    conditions: Conditions,
}

impl Rollout {
    /// Creates a rollout to the given number of proxies, whose starts are spread evenly over `within`.
    pub(crate) fn new(
        source: Source, proxies: u64, within: Duration, bounds: QueueBounds, conditions: Conditions,
    ) -> Rollout {
        let proxy = |index: u64| Proxy {
            follower: Follower::new(FollowerSettings::default(), index + 1),
            starts_at: within.mul_f64(index as f64 / proxies as f64),
            bandwidth: conditions.proxy_bandwidth,
            stuck: false,
            bytes: 0,
            applied: None,
            connection: Connection::Idle,
        };
        Rollout {
            source,
            queue: LongPollQueue::new(bounds),
            proxies: (0..proxies).map(proxy).collect(),
            now: Duration::ZERO,
            max_buffered_bytes: 0,
            busy_replies: 0,
            closed_connections: 0,
            conditions,
        }
    }

    /// Runs until all proxies have the source's version, or for at most `max`; returns how many have it.
    pub(crate) fn run(&mut self, max: Duration) -> usize {
        let end = self.now + max;
        while self.now < end && self.count_current() < self.proxies.len() {
            self.now += TICK;
            self.step();
        }
        self.count_current()
    }

    /// Runs for this duration.
    pub(crate) fn run_for(&mut self, span: Duration) {
        let end = self.now + span;
        while self.now < end {
            self.now += TICK;
            self.step();
        }
    }

    pub(crate) fn count_current(&self) -> usize {
        let version = Some(self.source.version());
        self.proxies.iter().filter(|proxy| proxy.follower.applied_version() == version).count()
    }

    /// Answers waiting polls with the version that the source has published.
    pub(crate) fn distribute(&mut self) {
        for (id, reply) in self.queue.publish(&mut self.source, self.now) {
            self.deliver(id, reply);
        }
    }

    fn deliver(&mut self, id: FollowerId, reply: PollReply) {
        let arrives_at = self.now + self.conditions.latency;
        let proxy = &mut self.proxies[id.0 as usize];
        match reply {
            PollReply::Parked => proxy.connection = Connection::Parked,
            PollReply::Busy => {
                self.busy_replies += 1;
                proxy.bytes += HEADER_BYTES;
                proxy.connection = Connection::Idle;
                proxy.follower.poll_failed(self.now, Failure::Busy);
            }
            PollReply::Write(text) => {
                let is_full = text.starts_with(r#"{"kind":"whole""#);
                let remaining = HEADER_BYTES
                    + if is_full { self.conditions.full_document_bytes } else { text.len() as u64 };
                proxy.connection = Connection::Receiving { text, remaining, arrives_at };
            }
        }
    }

    fn step(&mut self) {
        for eviction in self.queue.expire(&self.source, self.now) {
            match eviction {
                Eviction::Write { follower, answer } => self.deliver(follower, PollReply::Write(answer)),
                Eviction::Close { follower } => {
                    self.closed_connections += 1;
                    let proxy = &mut self.proxies[follower.0 as usize];
                    proxy.connection = Connection::Idle;
                    proxy.follower.poll_failed(self.now, Failure::ConnectionFailed("closed".into()));
                }
            }
        }
        self.send();
        for index in 0..self.proxies.len() {
            self.run_proxy(index);
        }
        self.max_buffered_bytes = self.max_buffered_bytes.max(self.queue.buffered_bytes());
    }

    /// Sends bytes for one tick, sharing the source's bandwidth evenly among the proxies that receive an answer.
    fn send(&mut self) {
        let receiving = self.proxies.iter().filter(
            |proxy| matches!(proxy.connection, Connection::Receiving { remaining, .. } if remaining > 0),
        );
        let per_tick = |bandwidth: u64| bandwidth * TICK.as_millis() as u64 / 1_000;
        let proxy_share = per_tick(self.conditions.source_bandwidth) / (receiving.count() as u64).max(1);
        for (index, proxy) in self.proxies.iter_mut().enumerate() {
            let Connection::Receiving { text, remaining, .. } = &mut proxy.connection else { continue };
            let sent = proxy_share.min(per_tick(proxy.bandwidth)).min(*remaining);
            proxy.bytes += sent;
            *remaining -= sent;
            if *remaining == 0 && sent > 0 {
                self.queue.bytes_written(FollowerId(index as u64), text.len());
            }
        }
    }

    fn run_proxy(&mut self, index: usize) {
        let (now, id) = (self.now, FollowerId(index as u64));
        let conditions = self.conditions;
        let proxy = &mut self.proxies[index];
        if now < proxy.starts_at || proxy.stuck {
            return;
        }
        match std::mem::replace(&mut proxy.connection, Connection::Idle) {
            Connection::Polling { poll, arrives_at } if arrives_at <= now => {
                let reply = self.queue.poll(&mut self.source, now, id, poll);
                return self.deliver(id, reply);
            }
            Connection::Receiving { text, remaining: 0, arrives_at } if arrives_at <= now => {
                let message = decode(text.as_bytes()).expect("a message of the source");
                let read_time = match message {
                    Message::Unchanged(_) => Duration::ZERO,
                    _ => conditions.read_time,
                };
                proxy.connection = Connection::Reading { message, until: now + read_time };
            }
            Connection::Reading { message, until } if until <= now => {
                proxy.follower.handle_message(now, message);
            }
            connection => proxy.connection = connection,
        }
        self.run_follower(index);
    }

    /// Runs a follower until it polls or waits.
    fn run_follower(&mut self, index: usize) {
        let now = self.now;
        let proxy = &mut self.proxies[index];
        loop {
            match proxy.follower.next_step(now) {
                NextStep::Poll(poll) => {
                    proxy.bytes += HEADER_BYTES;
                    proxy.connection =
                        Connection::Polling { poll, arrives_at: now + self.conditions.latency };
                    return;
                }
                NextStep::Validate => proxy.follower.candidate_validated(now, Ok(())),
                NextStep::Applied(version) => proxy.applied = Some(AppliedAt { version, at: now }),
                NextStep::PollFailed(Failure::TimedOut) => {
                    self.queue.disconnect(FollowerId(index as u64));
                    proxy.connection = Connection::Idle;
                }
                NextStep::Wait(_) => return,
                NextStep::Continue | NextStep::Rejected(_) | NextStep::PollFailed(_) => {}
            }
        }
    }

    /// Returns the times from `since` until each proxy applied its last version, sorted.
    pub(crate) fn delays(&self, since: Duration) -> Vec<Duration> {
        let delay = |proxy: &Proxy| proxy.applied.map(|applied| applied.at.saturating_sub(since));
        let mut delays: Vec<Duration> = self.proxies.iter().filter_map(delay).collect();
        delays.sort_unstable();
        delays
    }

    /// Returns the bytes that all proxies transferred in both directions.
    pub(crate) fn bytes(&self) -> u64 {
        self.proxies.iter().map(|proxy| proxy.bytes).sum()
    }
}
