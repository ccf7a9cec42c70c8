//! Numbers of classes and tenants that open requests speak of: no later settings give these to other names.

use lotusdeck_policy::settings::IdsInUse;
use lotusdeck_policy::{ClassId, TenantId};
use std::cell::RefCell;
use std::collections::HashMap;
use std::hash::Hash;
use std::rc::Rc;

/// How many requests speak of each number. There are no more entries than open requests.
#[derive(Clone, Default)]
pub(crate) struct IdUsage(Rc<RefCell<Counts>>);

#[derive(Default)]
struct Counts {
    classes: HashMap<ClassId, usize>,
    tenants: HashMap<TenantId, usize>,
}

/// Keeps what numbers mean for one request, until it is dropped.
pub struct IdGuard {
    usage: IdUsage,
    class: ClassId,
    tenant: Option<TenantId>,
}

impl IdUsage {
    /// A request speaks of these from now on.
    pub(crate) fn hold(&self, class: ClassId, tenant: Option<TenantId>) -> IdGuard {
        let mut counts = self.0.borrow_mut();
        *counts.classes.entry(class).or_default() += 1;
        if let Some(tenant) = tenant {
            *counts.tenants.entry(tenant).or_default() += 1;
        }
        IdGuard { usage: self.clone(), class, tenant }
    }

    /// All that any request speaks of.
    pub(crate) fn ids_in_use(&self) -> IdsInUse {
        let counts = self.0.borrow();
        IdsInUse {
            classes: counts.classes.keys().copied().collect(),
            tenants: counts.tenants.keys().copied().collect(),
        }
    }
}

impl Drop for IdGuard {
    fn drop(&mut self) {
        let mut counts = self.usage.0.borrow_mut();
        release(&mut counts.classes, self.class);
        self.tenant.into_iter().for_each(|tenant| release(&mut counts.tenants, tenant));
    }
}

fn release<K: Eq + Hash>(counts: &mut HashMap<K, usize>, number: K) {
    if let Some(count) = counts.get_mut(&number) {
        *count -= 1;
        if *count == 0 {
            counts.remove(&number);
        }
    }
}
