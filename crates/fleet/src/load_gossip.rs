//! What each proxy holds at this moment, known to all: one number a member, the newest wins (a last-writer-wins map,
//! the simplest CRDT), gossiped whole or in part to two others a round. Merging is commutative, associative and
//! idempotent, so that order, loss and doubles change nothing but how old a number is.

use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::time::Duration;

/// A number older than this is not counted: some rounds of gossip through a thousand proxies.
const OLD: Duration = Duration::from_millis(1_500);
/// Numbers in one datagram: 14 bytes each at most.
pub const MAX_REPORTS_PER_DATAGRAM: usize = 80;

/// One member's number.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct LoadReport {
    /// Whose.
    pub proxy_index: u32,
    /// Rises with every telling, through restarts too: its generation and the time since its start, in us.
    pub reported_at: u64,
    /// The number.
    pub in_flight: u32,
}

/// How old the reports of the other members are.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ReportAges {
    /// Over all known members.
    pub mean: Duration,
    /// Of the oldest report.
    pub max: Duration,
}

struct Known {
    told: LoadReport,
    /// When it was learned here: no two clocks are compared.
    at: Duration,
}

/// What is known of all members.
#[derive(Default)]
pub struct LoadGossip {
    known: BTreeMap<u32, Known>,
    /// Where the next part begins, where not all fit into one datagram.
    next: u32,
}

impl LoadGossip {
    /// A member's own number, or what another told of it. Whether that was news.
    pub fn merge(&mut self, now: Duration, told: LoadReport) -> bool {
        let news = self.known.get(&told.proxy_index).is_none_or(|k| told.reported_at > k.told.reported_at);
        if news {
            self.known.insert(told.proxy_index, Known { told, at: now });
        }
        news
    }

    /// What to tell: `own`, and the others that are not old, as many as fit, in turn.
    pub fn reports_to_send(&mut self, now: Duration, own: LoadReport) -> Vec<LoadReport> {
        let fresh = |k: &&Known| k.told.proxy_index != own.proxy_index && now.saturating_sub(k.at) < OLD;
        let after = self.known.range(self.next..).chain(self.known.range(..self.next));
        let others = after.map(|(_, k)| k).filter(fresh).map(|k| k.told).take(MAX_REPORTS_PER_DATAGRAM - 1);
        let part: Vec<LoadReport> = std::iter::once(own).chain(others).collect();
        self.next = part.last().map_or(0, |t| t.proxy_index.wrapping_add(1));
        part
    }

    /// The sum over `size - 1` others: those that are not told of for a time count as the mean of those that are, as
    /// a proxy behind a cut link goes on. `None` where nobody is told of.
    pub fn others_in_flight(&self, now: Duration, own: u32, size: u32) -> Option<f64> {
        let fresh =
            self.known.values().filter(|k| k.told.proxy_index != own && now.saturating_sub(k.at) < OLD);
        let (count, sum) = fresh.fold((0u32, 0.0), |(n, sum), k| (n + 1, sum + f64::from(k.told.in_flight)));
        let all = f64::from(size.saturating_sub(1).max(count));
        (count > 0).then(|| sum * all / f64::from(count))
    }

    /// How old the numbers known are, from their learning here: the mean and the most.
    pub fn report_ages(&self, now: Duration, own: u32) -> ReportAges {
        let ages: Vec<Duration> = self
            .known
            .values()
            .filter(|k| k.told.proxy_index != own)
            .map(|k| now.saturating_sub(k.at))
            .collect();
        let count = u32::try_from(ages.len()).unwrap_or(u32::MAX).max(1);
        ReportAges {
            mean: ages.iter().sum::<Duration>() / count,
            max: ages.iter().max().copied().unwrap_or_default(),
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    const NOW: Duration = Duration::from_secs(5);

    fn told(position: u32, stamp: u64, value: u32) -> LoadReport {
        LoadReport { proxy_index: position, reported_at: stamp, in_flight: value }
    }

    #[test]
    fn those_not_told_of_count_as_the_mean_and_old_ones_are_not_counted() {
        let mut gauges = LoadGossip::default();
        assert_eq!(gauges.others_in_flight(NOW, 0, 10), None);
        gauges.merge(NOW, told(0, 1, 100)); // its own
        gauges.merge(NOW, told(1, 1, 4));
        gauges.merge(NOW, told(2, 1, 8));
        assert_eq!(gauges.others_in_flight(NOW, 0, 3), Some(12.0));
        assert_eq!(gauges.others_in_flight(NOW, 0, 10), Some(54.0), "nine others, six each");
        gauges.merge(NOW + OLD / 2, told(1, 2, 6));
        assert_eq!(
            gauges.others_in_flight(NOW + OLD, 0, 3),
            Some(12.0),
            "one is old, and counts as the other"
        );
        assert_eq!(gauges.others_in_flight(NOW + OLD * 2, 0, 3), None);
    }

    #[test]
    fn all_are_told_in_turn_where_not_all_fit() {
        let mut gauges = LoadGossip::default();
        for p in 1..=200 {
            assert!(gauges.merge(NOW, told(p, 1, p)));
        }
        let mut seen = std::collections::BTreeSet::new();
        for _ in 0..3 {
            let part = gauges.reports_to_send(NOW, told(0, 9, 1));
            assert!(part.len() == MAX_REPORTS_PER_DATAGRAM && part[0].proxy_index == 0);
            seen.extend(part.iter().map(|t| t.proxy_index));
        }
        assert_eq!(seen.len(), 201);
    }

    proptest! {
        /// In whatever order and how often tellings come, the same is known in the end.
        #[test]
        fn order_and_doubles_change_nothing(
            mut news in proptest::collection::vec((0u32..5, 0u64..20, any::<u32>()), 1..40), seed in any::<u64>()
        ) {
            // One stamp is one telling: its value follows from it.
            news.iter_mut().for_each(|n| n.2 = n.0 * 1_000 + n.1 as u32);
            let known = |order: &[(u32, u64, u32)]| {
                let mut gauges = LoadGossip::default();
                for n in order {
                    gauges.merge(NOW, told(n.0, n.1, n.2));
                }
                gauges.known.values().map(|k| k.told).collect::<Vec<_>>()
            };
            let mut mixed: Vec<_> = news.iter().chain(&news).copied().collect();
            let n = mixed.len();
            (0..n).for_each(|i| mixed.swap(i, (seed as usize).wrapping_mul(i + 7) % n));
            prop_assert_eq!(known(&news), known(&mixed));
        }
    }
}
