//! The clock shared by the host, the balancer and the protocols.

use lotusdeck_policy::{Micros, Time};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// A monotonic clock that counts from the Unix epoch, so that its times compare with the start times in endpoint
/// lists.
#[derive(Clone, Copy)]
pub struct Clock {
    started_at: Instant,
    /// Unix time at `started_at`, µs.
    unix_start_us: u64,
}

impl Default for Clock {
    fn default() -> Clock {
        Clock::new()
    }
}

impl Clock {
    /// Creates a clock from one reading of the wall clock; later changes of the wall clock have no effect.
    pub fn new() -> Clock {
        let unix_start = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Clock { started_at: Instant::now(), unix_start_us: unix_start.as_micros() as u64 }
    }

    /// Returns the current time, in microseconds of Unix time.
    pub fn now(&self) -> Time {
        Time(self.unix_start_us + self.started_at.elapsed().as_micros() as u64)
    }

    /// Converts a time of this clock to an instant of the runtime's clock. Times before the clock was created become
    /// the instant of its creation.
    pub fn instant(&self, time: Time) -> tokio::time::Instant {
        let since_start = Duration::from_micros(time.0.saturating_sub(self.unix_start_us));
        (self.started_at + since_start).into()
    }
}

/// Converts a time span of the balancer to one of the standard library.
pub fn to_duration(span: Micros) -> Duration {
    Duration::from_micros(span.0)
}
