//! Estimates that outlive the process: exported by one process and restored by the next.

use super::id::{BackendId, ClassId, KindId};
use super::time::Micros;

/// A mean, and how many samples it is worth: each new sample weighs one among so many.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Estimate {
    /// The mean.
    pub value: f64,
    /// Samples that it is worth; 0 where nothing is known.
    pub samples: f64,
}

/// Estimates for a kind of machine.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct KindEstimates {
    /// Seconds from dispatch to answer, with the class mix taken out.
    pub latency: Estimate,
    /// Requests a second that one backend got while the latency was measured.
    pub measured_rate: Estimate,
}

/// Work that was sent to a backend during its slow start.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct WarmupSpend {
    /// The backend.
    pub backend: BackendId,
    /// Time since it was sent, to the tick.
    pub ago: Micros,
    /// The work, in requests of mean work.
    pub work: f64,
}

/// What a balancer learned, under the numbers of its process.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Snapshot {
    /// Seconds from dispatch to answer, of all classes.
    pub overall_latency: Estimate,
    /// Seconds from dispatch to answer, by class.
    pub class_latency: Vec<(ClassId, Estimate)>,
    /// Estimates by kind.
    pub kinds: Vec<(KindId, KindEstimates)>,
    /// Backends that are ejected or on probation, with their consecutive ejections.
    pub ejected: Vec<(BackendId, u32)>,
    /// Work sent inside the overload window to backends in slow start.
    pub warmup_spend: Vec<WarmupSpend>,
}
