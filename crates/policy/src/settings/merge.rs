//! Merges settings with the previous ones: which number each name gets, and which numbers are reassigned.
//!
//! A name keeps its number as long as the settings declare it. Once they omit it, its number is retired: the
//! name gets it back if it is declared again, and another name gets it only when no open request refers to
//! it. No number therefore changes its meaning for an open request, and there are never more numbers than
//! were current or referred to at the same time, plus some spare ones.

use super::model::Settings;
use super::name_table::DeclaredNames;
use super::names::Names;
use crate::api::{Class, ClassId, Config, ReassignedIds, SideEffects, Tenant, TenantId, ZoneId};
use std::collections::{HashMap, HashSet};
use std::hash::Hash;
use std::sync::Arc;

/// Number of unreferenced retired numbers that are kept for names that are declared again, in addition to as
/// many as there are current ones.
const SPARE_NUMBERS: usize = 1_024;

/// Ids that open requests refer to or may still refer to.
#[derive(Clone, Debug, Default)]
pub struct IdsInUse {
    /// Ids of classes.
    pub classes: HashSet<ClassId>,
    /// Ids of tenants.
    pub tenants: HashSet<TenantId>,
}

/// New settings with the numbers of the previous ones.
#[derive(Debug)]
pub struct SettingsMerge {
    /// The merged settings.
    pub settings: Settings,
    /// Ids that have a new meaning.
    pub reassigned: ReassignedIds,
}

impl Settings {
    /// Merges `new` into the numbering of these settings: a class keeps its number while its name and side
    /// effects stay the same, and gets another one with other side effects. `names` are the names of these
    /// settings, including those added by endpoint lists. `in_use` holds the ids in use at some moment since
    /// these settings took effect, as later requests refer to current numbers only. Takes time linear in the
    /// size of both.
    pub fn merge_successor(&self, new: Settings, names: &Names, in_use: &IdsInUse) -> SettingsMerge {
        let mut merged = Settings { names: names.clone(), ..new };
        let declared = new.names;
        merged.names.generation += 1;
        let zone = declared.zones.text(merged.config.zone.0 as usize).unwrap_or_default();
        merged.config.zone = ZoneId(merged.names.zones.number(zone));
        let reassigned = ReassignedIds {
            classes: self.merge_classes(&mut merged, names, &declared, in_use),
            tenants: self.merge_tenants(&mut merged, names, &declared, in_use),
        };
        SettingsMerge { settings: merged, reassigned }
    }

    /// Merges the classes and their deadlines; returns the numbers with a new meaning.
    fn merge_classes(
        &self, merged: &mut Settings, names: &Names, declared: &Names, in_use: &IdsInUse,
    ) -> Vec<ClassId> {
        let is_free =
            |number: usize| !names.classes.is_current(number) && !in_use.classes.contains(&ClassId(number));
        let old = class_identities(names, &self.config);
        let new = class_identities(declared, &merged.config);
        let numbering = Numbering::new(old, new, is_free);
        let retired = self.config.classes.iter().map(|class| Class { retired: true, ..class.clone() });
        let new_classes = std::mem::take(&mut merged.config.classes);
        merged.config.classes = numbering.merge(retired, new_classes.into_iter());
        let old_deadlines = self.network.deadlines.iter().copied();
        let new_deadlines = std::mem::take(&mut merged.network.deadlines);
        merged.network.deadlines = numbering.merge(old_deadlines, new_deadlines.into_iter());
        merged.names.classes = Arc::new(numbering.merge_names(&names.classes, &declared.classes));
        numbering.reassigned.into_iter().map(ClassId).collect()
    }

    /// Merges the tenants; returns the numbers with a new meaning.
    fn merge_tenants(
        &self, merged: &mut Settings, names: &Names, declared: &Names, in_use: &IdsInUse,
    ) -> Vec<TenantId> {
        let is_free =
            |number: usize| !names.tenants.is_current(number) && !in_use.tenants.contains(&TenantId(number));
        let numbering = Numbering::new(names.tenants.iter(), declared.tenants.iter(), is_free);
        let new_tenants: Vec<Tenant> = std::mem::take(&mut merged.config.tenants);
        let old_tenants = self.config.tenants.iter().cloned();
        merged.config.tenants = numbering.merge(old_tenants, new_tenants.into_iter());
        merged.names.tenants = Arc::new(numbering.merge_names(&names.tenants, &declared.tenants));
        numbering.reassigned.into_iter().map(TenantId).collect()
    }
}

/// Returns what identifies each class across settings: its name and side effects.
fn class_identities<'a>(
    names: &'a Names, config: &'a Config,
) -> impl Iterator<Item = (&'a str, SideEffects)> {
    names.classes.iter().zip(config.classes.iter().map(|class| class.side_effects))
}

/// The numbers of the entries of new settings among the previous numbers.
struct Numbering {
    /// The number of each new entry, in the order of the new settings.
    new_numbers: Vec<usize>,
    /// How many numbers there are after the merge.
    len: usize,
    /// Numbers that have a new meaning, in ascending order.
    reassigned: Vec<usize>,
}

impl Numbering {
    /// Assigns to each new entry the number of the old one with the same identity, or else the lowest free
    /// one, or the next one after them all. The map is not iterated over, as its order is random.
    fn new<K: Eq + Hash>(
        old: impl Iterator<Item = K>, new: impl Iterator<Item = K>, is_free: impl Fn(usize) -> bool,
    ) -> Numbering {
        let mut numbers = HashMap::new();
        let mut old_len = 0;
        for identity in old {
            numbers.entry(identity).or_insert(old_len);
            old_len += 1;
        }
        let known: Vec<Option<usize>> = new.map(|identity| numbers.get(&identity).copied()).collect();
        let mut is_taken = vec![false; old_len];
        for number in known.iter().flatten() {
            is_taken[*number] = true;
        }
        let spare: Vec<usize> =
            (0..old_len).filter(|number| !is_taken[*number] && is_free(*number)).collect();
        let mut vacant = spare.iter().copied().chain(old_len..);
        let mut reassigned = Vec::new();
        let mut new_numbers = Vec::with_capacity(known.len());
        for number in known {
            new_numbers.push(number.unwrap_or_else(|| {
                let number = vacant.next().unwrap_or(old_len);
                reassigned.push(number);
                number
            }));
        }
        let reused = reassigned.iter().filter(|number| **number < old_len).count();
        let len = old_len + reassigned.len() - reused;
        let surplus = (spare.len() - reused).saturating_sub(new_numbers.len() + SPARE_NUMBERS);
        let dropped = count_trailing(&spare[reused..], len).min(surplus);
        Numbering { new_numbers, len: len - dropped, reassigned }
    }

    /// Returns the entry of each number: that of `new` if there is one, or else that of `old`.
    fn merge<T>(&self, old: impl Iterator<Item = T>, new: impl Iterator<Item = T>) -> Vec<T> {
        let mut merged: Vec<Option<T>> = old.take(self.len).map(Some).collect();
        merged.resize_with(self.len, || None);
        for (number, entry) in self.new_numbers.iter().zip(new) {
            merged[*number] = Some(entry);
        }
        merged.into_iter().flatten().collect()
    }

    /// Merges the names by number; those that `new` does not declare can no longer be found.
    fn merge_names(&self, old: &DeclaredNames, new: &DeclaredNames) -> DeclaredNames {
        let mut is_current = vec![false; self.len];
        for number in &self.new_numbers {
            is_current[*number] = true;
        }
        let mut names = DeclaredNames::with_capacity(self.len);
        for (name, is_current) in self.merge(old.iter(), new.iter()).into_iter().zip(is_current) {
            if is_current {
                names.push(name);
            } else {
                names.push_retired(name);
            }
        }
        names
    }
}

/// Returns how many of the ascending numbers are the last ones below `len`, as spare numbers are only dropped
/// from the end.
fn count_trailing(numbers: &[usize], len: usize) -> usize {
    numbers.iter().rev().zip((0..len).rev()).take_while(|(number, last)| **number == *last).count()
}
