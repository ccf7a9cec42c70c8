//! How settings follow upon others: which number each name has then, and which numbers are used again.
//!
//! A number in force stays a name's own for as long as settings tell that name. Once left out it is retired:
//! it goes back to its name should that return, and is given to another only when nothing open speaks of it.
//! So no number ever means something else to an open request, and there are no more numbers than were in
//! force or spoken of at once, and some spare ones.

use crate::api::*;
use crate::names::{DeclaredNames, Names};
use crate::settings::Settings;
use std::collections::{HashMap, HashSet};
use std::hash::Hash;
use std::sync::Arc;

/// Retired numbers that nothing speaks of are kept for names that return, up to as many as are in force and
/// so many.
const SPARE: usize = 1_024;

/// Numbers that open requests speak of, or may come to.
#[derive(Clone, Debug, Default)]
pub struct IdsInUse {
    /// Of classes.
    pub classes: HashSet<ClassId>,
    /// Of tenants.
    pub tenants: HashSet<TenantId>,
}

/// Settings under the numbers of those that they follow.
#[derive(Debug)]
pub struct SettingsMerge {
    /// What holds now.
    pub settings: Settings,
    /// Numbers that mean something else than before.
    pub reassigned: ReassignedIds,
}

impl Settings {
    /// `new` under the numbers of these: a class keeps its number while its name and effect stay, and one of
    /// another effect gets another. `names` are these settings' own, with what lists have added; `pinned`
    /// what was open at some moment since these came into force: who comes later speaks of numbers in force
    /// only. Linear in both.
    pub fn merge_successor(&self, new: Settings, names: &Names, pinned: &IdsInUse) -> SettingsMerge {
        let Settings { mut config, names: told, mut network } = new;
        let mut names_then = names.clone();
        names_then.generation += 1;
        config.zone =
            ZoneId(names_then.zones.number(told.zones.text(config.zone.0 as usize).unwrap_or_default()));
        let free = |n: usize| !names.classes.is_current(n) && !pinned.classes.contains(&ClassId(n));
        let classes = Places::new(identities(names, &self.config), identities(&told, &config), free);
        let retired = self.config.classes.iter().map(|class| Class { retired: true, ..class.clone() });
        config.classes = classes.merge(retired, config.classes.into_iter());
        let deadlines = self.network.deadlines.iter().copied();
        network.deadlines = classes.merge(deadlines, network.deadlines.into_iter());
        names_then.classes = Arc::new(classes.rename(&names.classes, &told.classes));
        let free = |n: usize| !names.tenants.is_current(n) && !pinned.tenants.contains(&TenantId(n));
        let tenants = Places::new(names.tenants.iter(), told.tenants.iter(), free);
        config.tenants = tenants.merge(self.config.tenants.iter().cloned(), config.tenants.into_iter());
        names_then.tenants = Arc::new(tenants.rename(&names.tenants, &told.tenants));
        let renewed = ReassignedIds {
            classes: classes.renewed.into_iter().map(ClassId).collect(),
            tenants: tenants.renewed.into_iter().map(TenantId).collect(),
        };
        SettingsMerge { settings: Settings { config, names: names_then, network }, reassigned: renewed }
    }
}

/// By what a class is the same one under other settings.
fn identities<'a>(names: &'a Names, config: &'a Config) -> impl Iterator<Item = (&'a str, SideEffects)> {
    names.classes.iter().zip(config.classes.iter().map(|class| class.side_effects))
}

/// Where the entries of new settings stand among those of the old.
struct Places {
    /// The number of each new entry, in the order of the new settings.
    of_new: Vec<usize>,
    /// How many numbers there are then.
    len: usize,
    /// Numbers that mean something else than before, in ascending order.
    renewed: Vec<usize>,
}

impl Places {
    /// Each new entry has the number of the old one of the same identity, else the lowest one that is `free`,
    /// or the next behind them all. The map is looked into only, as its order is random.
    fn new<K: Eq + Hash>(
        old: impl Iterator<Item = K>, new: impl Iterator<Item = K>, free: impl Fn(usize) -> bool,
    ) -> Places {
        let mut numbers = HashMap::new();
        let mut before = 0;
        for identity in old {
            numbers.entry(identity).or_insert(before);
            before += 1;
        }
        let known: Vec<Option<usize>> = new.map(|identity| numbers.get(&identity).copied()).collect();
        let mut taken = vec![false; before];
        known.iter().flatten().for_each(|number| taken[*number] = true);
        let spare: Vec<usize> = (0..before).filter(|number| !taken[*number] && free(*number)).collect();
        let mut vacant = spare.iter().copied().chain(before..);
        let mut renewed = Vec::new();
        let mut next = || {
            let number = vacant.next().unwrap_or(before);
            renewed.push(number);
            number
        };
        let of_new: Vec<usize> = known.into_iter().map(|known| known.unwrap_or_else(&mut next)).collect();
        let used = renewed.iter().filter(|number| **number < before).count();
        let grown = before + renewed.len() - used;
        // What is spare beyond its bound goes, from the end on, where the numbers are free.
        let surplus = (spare.len() - used).saturating_sub(of_new.len() + SPARE);
        let at_end = |(n, number): &(usize, &usize)| **number == grown - 1 - n;
        let dropped = spare[used..].iter().rev().enumerate().take_while(at_end).take(surplus).count();
        Places { of_new, len: grown - dropped, renewed }
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

    /// The names at each number; those that `new` has not are found no more.
    fn rename(&self, old: &DeclaredNames, new: &DeclaredNames) -> DeclaredNames {
        let mut current = vec![false; self.len];
        self.of_new.iter().for_each(|number| current[*number] = true);
        let mut names = DeclaredNames::with_capacity(self.len);
        for (name, current) in self.merge(old.iter(), new.iter()).into_iter().zip(current) {
            if current {
                names.push(name);
            } else {
                names.push_retired(name);
            }
        }
        names
    }
}
