//! Describes the difference between two settings, for the log.

use super::model::Settings;
use crate::api::{Class, Micros, SideEffects};
use std::collections::HashSet;

/// Maximum number of class changes listed one by one, which keeps the log line readable.
const MAX_LISTED_CHANGES: usize = 24;

impl Settings {
    /// Returns a short description for the operators of what changes from these settings to `new`.
    pub fn difference(&self, new: &Settings) -> String {
        let old_classes = self.current_classes();
        let new_classes = new.current_classes();
        let before: HashSet<&ClassSummary<'_>> = old_classes.iter().collect();
        let after: HashSet<&ClassSummary<'_>> = new_classes.iter().collect();
        let added = new_classes.iter().filter(|class| !before.contains(class));
        let removed = old_classes.iter().filter(|class| !after.contains(class));
        let added = added.map(|class| format!("with class {class}"));
        let removed = removed.map(|class| format!("without class {class}"));
        let mut changes = added.chain(removed);
        let mut listed: Vec<String> = changes.by_ref().take(MAX_LISTED_CHANGES).collect();
        let unlisted = changes.count();
        if unlisted > 0 {
            listed.push(format!("{unlisted} more changes of classes"));
        }
        let old_attempts = self.config.attempts.max_attempts;
        let new_attempts = new.config.attempts.max_attempts;
        if old_attempts != new_attempts {
            listed.push(format!("attempts {new_attempts} instead of {old_attempts}"));
        }
        if listed.is_empty() {
            return "the same classes and attempts".into();
        }
        listed.join(", ")
    }

    /// Returns the classes that new requests can belong to, in the order of their ids.
    fn current_classes(&self) -> Vec<ClassSummary<'_>> {
        let names = self.names.classes.iter();
        let classes = names.zip(&self.config.classes).zip(&self.network.deadlines).enumerate();
        classes
            .filter(|(number, _)| self.names.classes.is_current(*number))
            .map(|(_, ((name, class), deadline))| ClassSummary::new(name, class, *deadline))
            .collect()
    }
}

/// The properties of a class that operators are shown.
#[derive(PartialEq, Eq, Hash)]
struct ClassSummary<'a> {
    name: &'a str,
    side_effects: SideEffects,
    latency_objective: Micros,
    deadline: Micros,
}

impl<'a> ClassSummary<'a> {
    fn new(name: &'a str, class: &Class, deadline: Micros) -> ClassSummary<'a> {
        ClassSummary {
            name,
            side_effects: class.side_effects,
            latency_objective: class.latency_objective,
            deadline,
        }
    }
}

impl std::fmt::Display for ClassSummary<'_> {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let ClassSummary { name, side_effects, latency_objective, deadline } = self;
        let objective_us = latency_objective.0;
        write!(f, "{name} ({side_effects}, latency objective {objective_us} us, deadline {} us)", deadline.0)
    }
}
