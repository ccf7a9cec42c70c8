//! Picks a backend for a request at random: a kind by its traffic share, then a backend of the kind by its
//! weight.

mod eligibility;
mod tables;

pub(crate) use eligibility::Eligibility;
pub(crate) use tables::PickTables;

use crate::api::{BackendId, KindId};
use crate::backend_health::BackendHealth;
use crate::backend_table::SMALL_FLEET;
use crate::estimates::KindStats;
use crate::estimators::Rng;
use std::collections::BTreeMap;

/// Maximum number of random picks within a kind before backends are scanned; one or two suffice if most are
/// eligible.
const MAX_PICKS: u32 = 8;

/// A backend that the scan found eligible.
struct ScannedBackend {
    id: BackendId,
    kind: KindId,
    weight: f64,
}

/// Picks backends by the last complete solution.
#[derive(Default)]
pub(crate) struct Picker {
    pub tables: PickTables,
}

impl Picker {
    /// Picks a backend for the request. If the picked backend is not eligible, picks again, so that each
    /// eligible backend is picked in proportion to its weight.
    pub(crate) fn pick_backend(
        &self, rng: &mut Rng, backends: &BTreeMap<BackendId, BackendHealth>,
        kinds: &BTreeMap<KindId, KindStats>, eligibility: &Eligibility<'_>,
    ) -> Option<BackendId> {
        let share = |kind: KindId| (kind, kinds.get(&kind).map_or(0.0, |stats| stats.traffic_share));
        let shares: Vec<(KindId, f64)> = self.tables.kinds().map(share).collect();
        let kind = rng.pick_weighted(&shares)?;
        let mut last_picked = BackendId(0);
        for _ in 0..MAX_PICKS {
            last_picked = self.tables.pick(kind, rng.unit()).unwrap_or(last_picked);
            if backends.get(&last_picked).is_some_and(|backend| eligibility.allows(backend)) {
                return Some(last_picked);
            }
        }
        let first = if backends.len() > SMALL_FLEET { last_picked } else { BackendId(0) };
        let eligible = scan(backends, first, eligibility);
        pick_scanned(rng, kind, &eligible, kinds)
    }
}

/// Returns the eligible ones among up to [`SMALL_FLEET`] backends from `first` on, wrapping around at the
/// end.
fn scan(
    backends: &BTreeMap<BackendId, BackendHealth>, first: BackendId, eligibility: &Eligibility<'_>,
) -> Vec<ScannedBackend> {
    backends
        .range(first..)
        .chain(backends.range(..first))
        .take(SMALL_FLEET)
        .filter(|(_, backend)| eligibility.allows(backend))
        .map(|(id, backend)| ScannedBackend {
            id: *id,
            kind: backend.entry.kind,
            weight: backend.plan.pick_weight,
        })
        .collect()
}

/// Picks a backend of the preferred kind, or of another kind if none of it is eligible.
fn pick_scanned(
    rng: &mut Rng, preferred: KindId, eligible: &[ScannedBackend], kinds: &BTreeMap<KindId, KindStats>,
) -> Option<BackendId> {
    let has_eligible = |kind: &KindId| eligible.iter().any(|backend| backend.kind == *kind);
    let shares: Vec<(KindId, f64)> = kinds
        .iter()
        .filter(|(kind, _)| has_eligible(kind))
        .map(|(kind, stats)| (*kind, stats.traffic_share))
        .collect();
    let kind = if has_eligible(&preferred) { preferred } else { rng.pick_weighted(&shares)? };
    let weights: Vec<(BackendId, f64)> = eligible
        .iter()
        .filter(|backend| backend.kind == kind)
        .map(|backend| (backend.id, backend.weight))
        .collect();
    rng.pick_weighted(&weights)
}
