//! What the module learned, between its numbers and the names under which it outlives the process.

use crate::registry::Registry;
use lotusdeck_policy::settings::Names;
use lotusdeck_policy::{Estimate, KindEstimates, Micros, Snapshot, WarmupSpend};
use lotusdeck_state::estimates::{self, Estimates, WeightedMean};

fn mean(e: Estimate) -> WeightedMean {
    WeightedMean { value: e.value, samples: e.samples }
}

fn estimate(m: WeightedMean) -> Estimate {
    Estimate { value: m.value, samples: m.samples }
}

/// By names; who wrote it and when is the keeper's to say.
pub(crate) fn named(memory: &Snapshot, names: &Names, registry: &Registry) -> Estimates {
    let name = |id| registry.get(id).map(|b| b.name.clone());
    let classes = memory.class_latency.iter().filter(|c| c.1.samples > 0.0);
    let kinds = memory.kinds.iter().filter(|k| k.1.latency.samples > 0.0);
    let ejected = memory.ejected.iter().filter_map(|(id, strikes)| Some((name(*id)?, *strikes)));
    let spent = memory.warmup_spend.iter().filter_map(|s| {
        Some(estimates::WarmupSpend { backend: name(s.backend)?, ago_ms: s.ago.0 / 1_000, work: s.work })
    });
    Estimates {
        overall_latency: mean(memory.overall_latency),
        class_latency: classes.map(|(id, e)| (names.class_name(*id).into(), mean(*e))).collect(),
        kinds: kinds.map(|(id, k)| (names.kind(*id).into(), mean(k.latency), mean(k.flow))).collect(),
        ejected: ejected.collect(),
        warmup_spend: spent.collect(),
        ..Estimates::default()
    }
}

/// By this process's numbers; what bears a name unknown here is left out, but kinds, which lists may bring later.
pub(crate) fn numbered(learned: &Estimates, names: &mut Names, registry: &Registry) -> Snapshot {
    let classes =
        learned.class_latency.iter().filter_map(|(name, m)| Some((names.class(name)?, estimate(*m))));
    let classes = classes.collect();
    let kinds = learned.kinds.iter().map(|(name, latency, flow)| {
        (names.kind_id(name), KindEstimates { latency: estimate(*latency), flow: estimate(*flow) })
    });
    let ejected =
        learned.ejected.iter().filter_map(|(name, strikes)| Some((registry.id_of(name)?, *strikes)));
    let spent = learned.warmup_spend.iter().filter_map(|s| {
        let ago = Micros(s.ago_ms.saturating_mul(1_000));
        Some(WarmupSpend { backend: registry.id_of(&s.backend)?, ago, work: s.work })
    });
    Snapshot {
        overall_latency: estimate(learned.overall_latency),
        class_latency: classes,
        kinds: kinds.collect(),
        ejected: ejected.collect(),
        warmup_spend: spent.collect(),
    }
}
