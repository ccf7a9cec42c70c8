//! Converts the balancer's estimates between ids, which last as long as the process, and names, which outlive it.

use crate::registry::Registry;
use lotusdeck_policy::settings::Names;
use lotusdeck_policy::{Estimate, KindEstimates, Micros, Snapshot, WarmupSpend};
use lotusdeck_state::estimates::{self, Estimates, WeightedMean};

fn to_mean(estimate: Estimate) -> WeightedMean {
    WeightedMean { value: estimate.value, samples: estimate.samples }
}

fn to_estimate(mean: WeightedMean) -> Estimate {
    Estimate { value: mean.value, samples: mean.samples }
}

/// The snapshot by names. Its origin and time of writing are left for the writer of the file to fill in.
pub(crate) fn by_name(snapshot: &Snapshot, names: &Names, registry: &Registry) -> Estimates {
    let backend_name = |id| registry.get(id).map(|backend| backend.name.clone());
    let classes = snapshot.class_latency.iter().filter(|c| c.1.samples > 0.0);
    let kinds = snapshot.kinds.iter().filter(|k| k.1.latency.samples > 0.0);
    let ejected = snapshot.ejected.iter().filter_map(|(id, strikes)| Some((backend_name(*id)?, *strikes)));
    let warmup_spend = snapshot.warmup_spend.iter().filter_map(|spend| {
        Some(estimates::WarmupSpend {
            backend: backend_name(spend.backend)?,
            ago_ms: spend.ago.0 / 1_000,
            work: spend.work,
        })
    });
    Estimates {
        overall_latency: to_mean(snapshot.overall_latency),
        class_latency: classes.map(|(id, e)| (names.class_name(*id).into(), to_mean(*e))).collect(),
        kinds: kinds.map(|(id, k)| (names.kind(*id).into(), to_mean(k.latency), to_mean(k.flow))).collect(),
        ejected: ejected.collect(),
        warmup_spend: warmup_spend.collect(),
        ..Estimates::default()
    }
}

/// The estimates by this process's ids. Classes and backends that are unknown here are left out; kinds are not, as
/// later lists may bring them.
pub(crate) fn by_id(estimates: &Estimates, names: &mut Names, registry: &Registry) -> Snapshot {
    let class_latency = estimates
        .class_latency
        .iter()
        .filter_map(|(name, mean)| Some((names.class(name)?, to_estimate(*mean))))
        .collect();
    let kinds = estimates.kinds.iter().map(|(name, latency, flow)| {
        (names.kind_id(name), KindEstimates { latency: to_estimate(*latency), flow: to_estimate(*flow) })
    });
    let kinds = kinds.collect();
    let ejected =
        estimates.ejected.iter().filter_map(|(name, strikes)| Some((registry.id_of(name)?, *strikes)));
    let warmup_spend = estimates.warmup_spend.iter().filter_map(|spend| {
        Some(WarmupSpend {
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
