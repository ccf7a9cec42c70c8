//! A token bucket with a variable rate.

use std::time::Duration;

/// A token bucket whose rate is passed by the caller, because leases change it.
pub(super) struct TokenBucket {
    tokens: f64,
    burst: Duration,
}

impl TokenBucket {
    /// Creates an empty bucket, because the previous process may have spent its tokens.
    pub(super) fn empty(burst: Duration) -> TokenBucket {
        TokenBucket { tokens: 0.0, burst }
    }

    /// Returns the maximum number of tokens that accumulate at `rate`.
    fn capacity(&self, rate: f64) -> f64 {
        if rate > 0.0 {
            (rate * self.burst.as_secs_f64()).max(1.0)
        } else {
            0.0
        }
    }

    /// Adds the tokens that accumulate in `span` at `rate`.
    pub(super) fn refill(&mut self, rate: f64, span: Duration) {
        self.tokens = (self.tokens + rate * span.as_secs_f64()).min(self.capacity(rate));
    }

    /// Drops the tokens beyond the capacity at the new rate.
    pub(super) fn set_rate(&mut self, rate: f64) {
        self.tokens = self.tokens.min(self.capacity(rate));
    }

    /// Returns how many tokens are missing to admit a request, or `None` if it can be admitted.
    pub(super) fn missing(&self) -> Option<f64> {
        (self.tokens < 1.0).then_some(1.0 - self.tokens)
    }

    /// Takes the token of one request.
    pub(super) fn take(&mut self) {
        self.tokens -= 1.0;
    }
}
