//! Cache of the limits that apply to requests of a class and a tenant.

use crate::operator::LimitSection;
use lotusdeck_core::Admission;
use lotusdeck_policy::settings::Names;
use lotusdeck_policy::{ClassId, TenantId};
use std::collections::HashMap;

/// The maximum number of cached pairs of class and tenant. Requests determine the pairs, so there may be many.
const MAX_CACHED_KEYS: usize = 4_096;

/// The class and the tenant of a request, by which limits are cached.
type AdmissionKey = (ClassId, Option<TenantId>);

/// The limits that apply to each class and tenant.
pub(super) struct AdmissionCache {
    limits: Vec<LimitSection>,
    by_key: HashMap<AdmissionKey, Admission>,
    /// The generation of the names when the pairs were cached.
    names_generation: u64,
}

impl AdmissionCache {
    /// Creates an empty cache.
    pub(super) fn new(limits: Vec<LimitSection>) -> AdmissionCache {
        AdmissionCache { limits, by_key: HashMap::new(), names_generation: 0 }
    }

    /// Returns the indices of the limits that apply to a request.
    pub(super) fn limits_of(
        &mut self, class: ClassId, tenant: Option<TenantId>, names: &Names,
    ) -> &Admission {
        // An id may since have been reassigned to another name.
        let is_outdated = self.names_generation != names.generation();
        self.names_generation = names.generation();
        if is_outdated || self.by_key.len() >= MAX_CACHED_KEYS {
            self.by_key.clear();
        }
        let limits = &self.limits;
        self.by_key.entry((class, tenant)).or_insert_with(|| {
            let applies = |limit: &LimitSection| applies_to(limit, class, tenant, names);
            let indexed = (0u16..).zip(limits);
            indexed.filter(|(_, limit)| applies(limit)).map(|(index, _)| index).collect()
        })
    }
}

fn applies_to(limit: &LimitSection, class: ClassId, tenant: Option<TenantId>, names: &Names) -> bool {
    let matches_class = limit.class.as_deref().is_none_or(|wanted| wanted == names.class_name(class));
    let tenant_name = tenant.map(|tenant| names.tenant_name(tenant));
    matches_class && limit.tenant.as_deref().is_none_or(|wanted| Some(wanted) == tenant_name)
}
