use super::*;

/// A borrower that gives back nearly its whole lease and then requests with a new generation leaves no entry behind.
#[test]
fn borrowers_with_ever_new_generations_do_not_fill_the_memory() {
    let second = Duration::from_secs(1);
    let config = QuotaConfig {
        rate: Some(640.0),
        slots: Some(40),
        burst: second,
        lease_duration: second,
        max_request_duration: 30 * second,
        fleet_size: 10,
        proxy_index: 0,
    };
    let mut quota = Quota::new(config, Duration::ZERO);
    let now = 60 * second;
    let requested = [Amount { rate: 1.0, slots: 0 }, Amount { rate: 0.0, slots: 1 }];
    for generation in 0..10_000u64 {
        let borrower = Borrower { proxy_index: 3, generation };
        let granted = quota.grant_lease(now, borrower, 1, requested[generation as usize % 2]);
        if generation < 2 {
            assert_eq!(granted, requested[generation as usize], "the first two requests are granted");
        }
        quota.grant_lease(now, borrower, 2, Amount { rate: 1e-300, slots: 0 });
        assert!(quota.granted.len() <= 1, "{} borrowers stored", quota.granted.len());
    }
    // Borrowers that keep their leases: at most as many as the smallest leases that fit into the lendable amount.
    for generation in 0..10_000u64 {
        let borrower = Borrower { proxy_index: 4, generation };
        quota.grant_lease(now, borrower, 1, Amount { rate: 1e9, slots: 9 });
    }
    assert!(quota.granted.len() <= 64 + 4, "{}", quota.granted.len());
}
