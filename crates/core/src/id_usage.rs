//! The ids of classes and tenants that requests use: later settings must not reassign these to other names.

use lotusdeck_policy::settings::IdsInUse;
use lotusdeck_policy::{ClassId, TenantId};
use std::cell::RefCell;
use std::collections::HashMap;
use std::hash::Hash;
use std::rc::Rc;

/// Counts the requests that use each id. There are at most as many entries as open requests.
#[derive(Clone, Default)]
pub(crate) struct IdUsage(Rc<RefCell<UsageCounts>>);

#[derive(Default)]
struct UsageCounts {
    classes: HashMap<ClassId, usize>,
    tenants: HashMap<TenantId, usize>,
}

/// Prevents the ids of a request from being reassigned until it is dropped.
pub struct IdGuard {
    usage: IdUsage,
    class: ClassId,
    tenant: Option<TenantId>,
}

impl IdUsage {
    /// Counts a request as a user of these ids until the returned guard is dropped.
    pub(crate) fn reserve(&self, class: ClassId, tenant: Option<TenantId>) -> IdGuard {
        let mut counts = self.0.borrow_mut();
        *counts.classes.entry(class).or_default() += 1;
        if let Some(tenant) = tenant {
            *counts.tenants.entry(tenant).or_default() += 1;
        }
        IdGuard { usage: self.clone(), class, tenant }
    }

    /// Returns the ids that at least one request uses.
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
        if let Some(tenant) = self.tenant {
            release(&mut counts.tenants, tenant);
        }
    }
}

fn release<Id: Eq + Hash>(counts: &mut HashMap<Id, usize>, id: Id) {
    let Some(count) = counts.get_mut(&id) else { return };
    *count -= 1;
    if *count == 0 {
        counts.remove(&id);
    }
}
