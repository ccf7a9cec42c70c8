//! Which limits hold for a request of a class and a tenant, remembered by the pair.

use crate::operator::LimitSection;
use lotusdeck_core::Admission;
use lotusdeck_policy::settings::Names;
use lotusdeck_policy::{ClassId, TenantId};
use std::collections::HashMap;

/// Pairs whose limits are remembered: requests name the pairs, which may be many.
const MAX_PAIRS: usize = 4_096;

/// A class and a tenant.
type Pair = (ClassId, Option<TenantId>);

/// The limits by pair.
pub(super) struct AdmissionCache {
    limits: Vec<LimitSection>,
    by_pair: HashMap<Pair, Admission>,
    /// The generation of names that the pairs are of.
    names_generation: u64,
}

impl AdmissionCache {
    /// An empty cache.
    pub(super) fn new(limits: Vec<LimitSection>) -> AdmissionCache {
        AdmissionCache { limits, by_pair: HashMap::new(), names_generation: 0 }
    }

    /// The limits that hold for a request.
    pub(super) fn limits_of(
        &mut self, class: ClassId, tenant: Option<TenantId>, names: &Names,
    ) -> &Admission {
        // A number may have been given to another name since.
        let is_outdated = self.names_generation != names.generation();
        self.names_generation = names.generation();
        if is_outdated || self.by_pair.len() >= MAX_PAIRS {
            self.by_pair.clear();
        }
        let limits = &self.limits;
        self.by_pair.entry((class, tenant)).or_insert_with(|| {
            let applies = |limit: &LimitSection| applies_to(limit, class, tenant, names);
            let numbered = (0u16..).zip(limits);
            numbered.filter(|(_, limit)| applies(limit)).map(|(number, _)| number).collect()
        })
    }
}

fn applies_to(limit: &LimitSection, class: ClassId, tenant: Option<TenantId>, names: &Names) -> bool {
    let fits_class = limit.class.as_deref().is_none_or(|wanted| wanted == names.class_name(class));
    let tenant_name = tenant.map(|tenant| names.tenant_name(tenant));
    fits_class && limit.tenant.as_deref().is_none_or(|wanted| Some(wanted) == tenant_name)
}
