//! Merging settings with those before: which number each name gets, and which numbers are assigned again.
//!
//! A name keeps its number for as long as settings declare it. Once left out the number is retired: it goes
//! back to its name should that return, and to another name only when nothing open refers to it. So no number
//! ever changes its meaning for an open request, and there are never more numbers than were current or
//! referred to at once, and some spare ones.

use super::model::Settings;
use super::name_table::DeclaredNames;
use super::names::Names;
use crate::api::{Class, ClassId, Config, ReassignedIds, SideEffects, Tenant, TenantId, ZoneId};
use std::collections::{HashMap, HashSet};
use std::hash::Hash;
use std::sync::Arc;

/// Retired numbers that nothing refers to are kept for names that return: as many as are current, and so many
/// more.
const SPARE_NUMBERS: usize = 1_024;

/// Numbers that open requests refer to, or may yet.
#[derive(Clone, Debug, Default)]
pub struct IdsInUse {
    /// Of classes.
    pub classes: HashSet<ClassId>,
    /// Of tenants.
    pub tenants: HashSet<TenantId>,
}

/// Settings under the numbers of those before.
#[derive(Debug)]
pub struct SettingsMerge {
    /// The settings that hold now.
    pub settings: Settings,
    /// Numbers that have a new meaning.
    pub reassigned: ReassignedIds,
}

impl Settings {
    /// `new` under the numbers of these settings: a class keeps its number while its name and side effects
    /// stay, and one with other side effects gets another. `names` are these settings' own, with what
    /// endpoint lists have added; `in_use` is what was open at some moment since these came into force: later
    /// requests refer to current numbers only. Linear in the size of both.
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

/// By what a class is the same one under other settings.
fn class_identities<'a>(
    names: &'a Names, config: &'a Config,
) -> impl Iterator<Item = (&'a str, SideEffects)> {
    names.classes.iter().zip(config.classes.iter().map(|class| class.side_effects))
}

/// The numbers of new entries among those of the old.
struct Numbering {
    /// The number of each new entry, in the order of the new settings.
    of_new: Vec<usize>,
    /// How many numbers there are then.
    len: usize,
    /// Numbers that have a new meaning, in ascending order.
    reassigned: Vec<usize>,
}

impl Numbering {
    /// Each new entry gets the number of the old one of the same identity, else the lowest one that is free,
    /// or the next behind them all. The map is only looked into, as its order is random.
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
        let mut of_new = Vec::with_capacity(known.len());
        for number in known {
            of_new.push(number.unwrap_or_else(|| {
                let number = vacant.next().unwrap_or(old_len);
                reassigned.push(number);
                number
            }));
        }
        let reused = reassigned.iter().filter(|number| **number < old_len).count();
        let len = old_len + reassigned.len() - reused;
        let surplus = (spare.len() - reused).saturating_sub(of_new.len() + SPARE_NUMBERS);
        let dropped = count_trailing(&spare[reused..], len).min(surplus);
        Numbering { of_new, len: len - dropped, reassigned }
    }

    /// What stands at each number: of `new` where it has an entry there, else as in `old`.
    fn merge<T>(&self, old: impl Iterator<Item = T>, new: impl Iterator<Item = T>) -> Vec<T> {
        let mut merged: Vec<Option<T>> = old.take(self.len).map(Some).collect();
        merged.resize_with(self.len, || None);
        for (number, entry) in self.of_new.iter().zip(new) {
            merged[*number] = Some(entry);
        }
        merged.into_iter().flatten().collect()
    }

    /// The names at each number; those that `new` does not declare cannot be found any more.
    fn merge_names(&self, old: &DeclaredNames, new: &DeclaredNames) -> DeclaredNames {
        let mut is_current = vec![false; self.len];
        for number in &self.of_new {
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

/// How many of the ascending numbers are the last ones below `len`: spare numbers are dropped from the end
/// only.
fn count_trailing(numbers: &[usize], len: usize) -> usize {
    numbers.iter().rev().zip((0..len).rev()).take_while(|(number, last)| **number == *last).count()
}
