//! Converts the balancer's estimates between ids, which are valid in one process only, and names, which stay the
//! same across restarts.

use crate::registry::Registry;
use lotusdeck_policy::settings::Names;
use lotusdeck_policy::{self as policy, Estimate, Micros, Snapshot};
use lotusdeck_state::estimates::{
    ClassLatency, EjectedBackend, Estimates, KindEstimates, WarmupSpend, WeightedMean,
};

fn to_mean(estimate: Estimate) -> WeightedMean {
    WeightedMean { value: estimate.value, samples: estimate.samples }
}

fn to_estimate(mean: WeightedMean) -> Estimate {
    Estimate { value: mean.value, samples: mean.samples }
}

/// Converts a snapshot from ids to names, without classes and kinds that have no samples and without unknown backends.
/// The writer of the file fills in the origin and the time of writing.
pub(crate) fn by_name(snapshot: &Snapshot, names: &Names, registry: &Registry) -> Estimates {
    let backend_name = |id| registry.get(id).map(|backend| backend.name.clone());
    let classes = snapshot.class_latency.iter().filter(|(_, latency)| latency.samples > 0.0);
    let class_latency = classes.map(|(id, latency)| ClassLatency {
        class: names.class_name(*id).into(),
        latency: to_mean(*latency),
    });
    let kinds = snapshot.kinds.iter().filter(|(_, kind)| kind.latency.samples > 0.0);
    let kinds = kinds.map(|(id, kind)| KindEstimates {
        kind: names.kind(*id).into(),
        latency: to_mean(kind.latency),
        flow: to_mean(kind.measured_rate),
    });
    let ejected = snapshot.ejected.iter().filter_map(|(id, consecutive_ejections)| {
        Some(EjectedBackend { backend: backend_name(*id)?, consecutive_ejections: *consecutive_ejections })
    });
    let warmup_spend = snapshot.warmup_spend.iter().filter_map(|spend| {
        Some(WarmupSpend {
            backend: backend_name(spend.backend)?,
            ago_ms: spend.ago.0 / 1_000,
            work: spend.work,
        })
    });
    Estimates {
        overall_latency: to_mean(snapshot.overall_latency),
        class_latency: class_latency.collect(),
        kinds: kinds.collect(),
        ejected: ejected.collect(),
        warmup_spend: warmup_spend.collect(),
        ..Estimates::default()
    }
}

/// Converts estimates from names to the ids of this process, without unknown classes and backends. Unknown kinds are
/// assigned ids, as later endpoint lists may contain them.
pub(crate) fn by_id(estimates: &Estimates, names: &mut Names, registry: &Registry) -> Snapshot {
    let classes = estimates.class_latency.iter();
    let class_latency =
        classes.filter_map(|class| Some((names.class(&class.class)?, to_estimate(class.latency)))).collect();
    let kinds = estimates.kinds.iter().map(|kind| {
        let by_id = policy::KindEstimates {
            latency: to_estimate(kind.latency),
            measured_rate: to_estimate(kind.flow),
        };
        (names.kind_id(&kind.kind), by_id)
    });
    let kinds = kinds.collect();
    let ejected = estimates
        .ejected
        .iter()
        .filter_map(|ejected| Some((registry.id_of(&ejected.backend)?, ejected.consecutive_ejections)));
    let warmup_spend = estimates.warmup_spend.iter().filter_map(|spend| {
        Some(policy::WarmupSpend {
            backend: registry.id_of(&spend.backend)?,
            ago: Micros(spend.ago_ms.saturating_mul(1_000)),
            work: spend.work,
        })
    });
    Snapshot {
        overall_latency: to_estimate(estimates.overall_latency),
        class_latency,
        kinds,
        ejected: ejected.collect(),
        warmup_spend: warmup_spend.collect(),
    }
}
