//! The quotas of tenants.

use crate::api::{Config, TenantId, Time};
use crate::estimators::TokenBucket;

/// Burst that a tenant may send at once, in seconds of its quota.
const BURST_S: f64 = 2.0;
/// Minimum burst, in requests: at a low quota, as many may arrive together by chance.
const MIN_BURST: f64 = 5.0;

/// A token bucket for each tenant.
pub(crate) struct TenantQuotas {
    buckets: Vec<TokenBucket>,
}

impl TenantQuotas {
    pub(super) fn new(tenants: usize) -> TenantQuotas {
        TenantQuotas { buckets: (0..tenants).map(|_| TokenBucket::default()).collect() }
    }

    /// Counts a request of the tenant; returns whether it exceeds this proxy's part of the quota.
    pub(super) fn exceeds(&mut self, now: Time, config: &Config, tenant: TenantId) -> bool {
        let Some(settings) = config.tenants.get(tenant.0) else { return false };
        let Some(bucket) = self.buckets.get_mut(tenant.0) else { return false };
        let rate_per_s = settings.quota_per_s / f64::from(config.proxy_count);
        !bucket.take(now, rate_per_s, BURST_S, MIN_BURST)
    }

    /// Resizes to `tenants` buckets and resets those of reassigned tenant ids.
    pub(super) fn reconfigure(&mut self, tenants: usize, reassigned: &[TenantId]) {
        for tenant in reassigned {
            if let Some(bucket) = self.buckets.get_mut(tenant.0) {
                *bucket = TokenBucket::default();
            }
        }
        self.buckets.resize_with(tenants, TokenBucket::default);
    }
}
