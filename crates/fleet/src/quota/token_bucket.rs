//! A token bucket whose rate changes.

use std::time::Duration;

/// Admits requests at a rate that the caller passes, as leases change it.
pub(super) struct TokenBucket {
    tokens: f64,
    burst: Duration,
}

impl TokenBucket {
    /// An empty bucket: the process before this one may have spent its tokens.
    pub(super) fn empty(burst: Duration) -> TokenBucket {
        TokenBucket { tokens: 0.0, burst }
    }

    /// The most tokens that accumulate at this rate.
    fn capacity(&self, rate: f64) -> f64 {
        if rate > 0.0 {
            (rate * self.burst.as_secs_f64()).max(1.0)
        } else {
            0.0
        }
    }

    /// Adds the tokens of a span.
    pub(super) fn refill(&mut self, rate: f64, span: Duration) {
        self.tokens = (self.tokens + rate * span.as_secs_f64()).min(self.capacity(rate));
    }

    /// Drops the tokens beyond the capacity at a new rate.
    pub(super) fn set_rate(&mut self, rate: f64) {
        self.tokens = self.tokens.min(self.capacity(rate));
    }

    /// Missing tokens for one request; none where it can be admitted.
    pub(super) fn missing(&self) -> Option<f64> {
        (self.tokens < 1.0).then_some(1.0 - self.tokens)
    }

    /// Takes the token of one request.
    pub(super) fn take(&mut self) {
        self.tokens -= 1.0;
    }
}
