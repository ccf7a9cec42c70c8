//! The names behind the numbers of the decision module.

use super::endpoint_record::EndpointRecord;
use super::name_table::{DeclaredNames, NameTable};
use crate::api::{Backend, BackendId, ClassId, KindId, TenantId, ZoneId};
use std::sync::Arc;

/// Names in the order of their numbers. Places and kinds met first in a list are numbered then; a clone
/// shares the names of classes and tenants.
#[derive(Clone, Debug, Default)]
pub struct Names {
    pub(crate) zones: NameTable,
    pub(crate) kinds: NameTable,
    pub(crate) classes: Arc<DeclaredNames>,
    pub(crate) tenants: Arc<DeclaredNames>,
    /// How often other settings were merged.
    pub(crate) generation: u64,
}

impl Names {
    /// The class of that name. Allocates nothing.
    pub fn class(&self, name: &str) -> Option<ClassId> {
        self.classes.find(name).map(ClassId)
    }

    /// The tenant of that name. Allocates nothing.
    pub fn tenant(&self, name: &str) -> Option<TenantId> {
        self.tenants.find(name).map(TenantId)
    }

    /// The name of a kind.
    pub fn kind(&self, id: KindId) -> &str {
        self.kinds.text(id.0 as usize).unwrap_or_default()
    }

    /// The number of the kind of that name, assigned here where it is new.
    pub fn kind_id(&mut self, name: &str) -> KindId {
        KindId(self.kinds.number(name))
    }

    /// The name of a class, current or retired.
    pub fn class_name(&self, id: ClassId) -> &str {
        self.classes.text(id.0).unwrap_or_default()
    }

    /// The name of a tenant, current or removed.
    pub fn tenant_name(&self, id: TenantId) -> &str {
        self.tenants.text(id.0).unwrap_or_default()
    }

    /// Changes whenever a number may have got another meaning.
    pub fn generation(&self) -> u64 {
        self.generation
    }

    /// Whether these are the names of `other`: no settings were merged since, and no endpoint list has added
    /// any.
    pub fn is_same_revision(&self, other: &Names) -> bool {
        let sizes = |names: &Names| (names.generation, names.zones.len(), names.kinds.len());
        sizes(self) == sizes(other)
    }

    /// The entry under the numbers of this instance.
    pub fn resolve(&mut self, record: &EndpointRecord, id: BackendId) -> Backend {
        let zone = ZoneId(self.zones.number(&record.zone));
        let kind = self.kind_id(&record.kind);
        Backend { id, zone, kind, ..record.entry.clone() }
    }
}
