//! Estimates that outlive the process: exported by one process and restored by the next.

use super::id::{BackendId, ClassId, KindId};
use super::time::Micros;

/// A mean with its weight in samples.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Estimate {
    /// The mean.
    pub value: f64,
    /// Weight of the mean, in samples; 0 if nothing is known.
    pub samples: f64,
}

/// Estimates for a kind of machine.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct KindEstimates {
    /// Latency from dispatch to answer, in seconds, normalized for the class mix.
    pub latency: Estimate,
    /// Requests per second that one backend got while the latency was measured.
    pub measured_rate: Estimate,
}

/// Work that was sent to a backend during its slow start.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct WarmupSpend {
    /// The backend.
    pub backend: BackendId,
    /// Time since it was sent, with the resolution of a tick.
    pub ago: Micros,
    /// The work, in requests of mean work.
    pub work: f64,
}

/// The estimates and state of a balancer, with the ids of its process.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Snapshot {
    /// Latency of all classes from dispatch to answer, in seconds.
    pub overall_latency: Estimate,
    /// Latency from dispatch to answer by class, in seconds.
    pub class_latency: Vec<(ClassId, Estimate)>,
    /// Estimates by kind.
    pub kinds: Vec<(KindId, KindEstimates)>,
    /// Backends that are ejected or on probation, with their consecutive ejections.
    pub ejected: Vec<(BackendId, u32)>,
    /// Work sent within the overload window to backends in slow start.
    pub warmup_spend: Vec<WarmupSpend>,
}
