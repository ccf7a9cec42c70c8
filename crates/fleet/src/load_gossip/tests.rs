use super::*;
use proptest::prelude::*;
use std::collections::BTreeSet;

const NOW: Duration = Duration::from_secs(5);

fn report(proxy_index: u32, reported_at: u64, in_flight: u32) -> LoadReport {
    LoadReport { proxy_index, reported_at, in_flight }
}

#[test]
fn members_without_a_recent_report_count_as_the_mean() {
    let mut gossip = LoadGossip::default();
    assert_eq!(gossip.others_in_flight(NOW, 0, 10), None);
    gossip.merge(NOW, report(0, 1, 100)); // this proxy's own report
    gossip.merge(NOW, report(1, 1, 4));
    gossip.merge(NOW, report(2, 1, 8));
    assert_eq!(gossip.others_in_flight(NOW, 0, 3), Some(12.0));
    assert_eq!(gossip.others_in_flight(NOW, 0, 10), Some(54.0), "nine others, six each");
    gossip.merge(NOW + MAX_REPORT_AGE / 2, report(1, 2, 6));
    assert_eq!(
        gossip.others_in_flight(NOW + MAX_REPORT_AGE, 0, 3),
        Some(12.0),
        "the member with the old report counts as the mean"
    );
    assert_eq!(gossip.others_in_flight(NOW + MAX_REPORT_AGE * 2, 0, 3), None);
}

#[test]
fn all_reports_are_sent_in_turn_where_not_all_fit_into_one_datagram() {
    let mut gossip = LoadGossip::default();
    for index in 1..=200 {
        assert!(gossip.merge(NOW, report(index, 1, index)));
    }
    let mut sent = BTreeSet::new();
    for _ in 0..3 {
        let reports = gossip.reports_to_send(NOW, report(0, 9, 1));
        assert!(reports.len() == MAX_REPORTS_PER_DATAGRAM && reports[0].proxy_index == 0);
        sent.extend(reports.iter().map(|report| report.proxy_index));
    }
    assert_eq!(sent.len(), 201);
}

/// Returns a report whose load is determined by member and time, as a member never reports two loads for one time.
fn report_at(proxy_index: u32, reported_at: u64) -> LoadReport {
    report(proxy_index, reported_at, proxy_index * 1_000 + reported_at as u32)
}

proptest! {
    /// The merged reports depend neither on the order of arrival nor on duplicates.
    #[test]
    fn order_and_duplicates_change_nothing(
        received in proptest::collection::vec((0u32..5, 0u64..20), 1..40), seed in any::<u64>()
    ) {
        let reports: Vec<LoadReport> = received.into_iter().map(|(index, at)| report_at(index, at)).collect();
        let known_after = |order: &[LoadReport]| {
            let mut gossip = LoadGossip::default();
            for report in order {
                gossip.merge(NOW, *report);
            }
            gossip.reports.values().map(|known| known.report).collect::<Vec<_>>()
        };
        let mut shuffled: Vec<LoadReport> = reports.iter().chain(&reports).copied().collect();
        let count = shuffled.len();
        (0..count).for_each(|index| shuffled.swap(index, (seed as usize).wrapping_mul(index + 7) % count));
        prop_assert_eq!(known_after(&reports), known_after(&shuffled));
    }
}
