//! Estimates that outlive the process: exported by one process and restored by the next.

use super::id::{BackendId, ClassId, KindId};
use super::time::Micros;

/// A mean and how many samples it is worth: each new sample weighs one among so many.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Estimate {
    /// The mean.
    pub value: f64,
    /// Samples that it is worth; 0 where nothing is known.
    pub samples: f64,
}

/// What was learned of a kind of machine.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct KindEstimates {
    /// Seconds from dispatch to answer, the class mix taken out.
    pub latency: Estimate,
    /// Requests a second that one backend got meanwhile.
    pub flow: Estimate,
}

/// Work that was sent to a backend while it was cold.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct WarmupSpend {
    /// Where to.
    pub backend: BackendId,
    /// How long ago, to the tick.
    pub ago: Micros,
    /// In requests of mean work.
    pub work: f64,
}

/// What a module learned, by numbers of the process that holds it.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Snapshot {
    /// Seconds from dispatch to answer, of all classes.
    pub overall_latency: Estimate,
    /// The same by class.
    pub class_latency: Vec<(ClassId, Estimate)>,
    /// By kind.
    pub kinds: Vec<(KindId, KindEstimates)>,
    /// Backends out of use or on trial, and how often in a row they were put out of use.
    pub ejected: Vec<(BackendId, u32)>,
    /// Cold budget spent inside the fall window.
    pub warmup_spend: Vec<WarmupSpend>,
}
