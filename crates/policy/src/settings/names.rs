//! The names that belong to the ids of the decision module.

use super::endpoint_record::EndpointRecord;
use super::name_table::{DeclaredNames, NameTable};
use crate::api::{Backend, BackendId, ClassId, KindId, TenantId, ZoneId};
use std::sync::Arc;

/// The names by id. Zones and kinds that first occur in an endpoint list are added then; a clone shares the
/// names of classes and tenants.
#[derive(Clone, Debug, Default)]
pub struct Names {
    pub(crate) zones: NameTable,
    pub(crate) kinds: NameTable,
    pub(crate) classes: Arc<DeclaredNames>,
    pub(crate) tenants: Arc<DeclaredNames>,
    /// Number of times that new settings were merged.
    pub(crate) generation: u64,
}

impl Names {
    /// Returns the class with this name. Does not allocate.
    pub fn class(&self, name: &str) -> Option<ClassId> {
        self.classes.find(name).map(ClassId)
    }

    /// Returns the tenant with this name. Does not allocate.
    pub fn tenant(&self, name: &str) -> Option<TenantId> {
        self.tenants.find(name).map(TenantId)
    }

    /// Returns the name of a kind.
    pub fn kind(&self, id: KindId) -> &str {
        self.kinds.text(id.0 as usize).unwrap_or_default()
    }

    /// Returns the kind with this name, assigning an id if the name is new.
    pub fn kind_id(&mut self, name: &str) -> KindId {
        KindId(self.kinds.number(name))
    }

    /// Returns the name of a class, current or retired.
    pub fn class_name(&self, id: ClassId) -> &str {
        self.classes.text(id.0).unwrap_or_default()
    }

    /// Returns the name of a tenant, current or removed.
    pub fn tenant_name(&self, id: TenantId) -> &str {
        self.tenants.text(id.0).unwrap_or_default()
    }

    /// Returns a number that changes whenever an id may have changed its meaning.
    pub fn generation(&self) -> u64 {
        self.generation
    }

    /// Returns whether these are the names of `other`: no settings were merged and no endpoint list has added
    /// names in between.
    pub fn is_same_revision(&self, other: &Names) -> bool {
        let sizes = |names: &Names| (names.generation, names.zones.len(), names.kinds.len());
        sizes(self) == sizes(other)
    }

    /// Returns the entry of a record with the ids of this instance, assigning ids to new names.
    pub fn resolve(&mut self, record: &EndpointRecord, id: BackendId) -> Backend {
        let zone = ZoneId(self.zones.number(&record.zone));
        let kind = self.kind_id(&record.kind);
        Backend { id, zone, kind, ..record.entry.clone() }
    }
}
