//! The ids of backends that have left the list.

use std::collections::{BTreeMap, HashMap};

/// Ids that are remembered: operators may still name them. All of the largest list that is planned for, 11,000
/// backends, may be replaced at once; at 100 bytes an id these take some 4 MB.
const MOST: usize = 16_384;

/// Those that left last.
#[derive(Default)]
pub(crate) struct RetiredBackends {
    /// By when they left.
    names: BTreeMap<u64, String>,
    left_at: HashMap<String, u64>,
    next: u64,
}

impl RetiredBackends {
    /// One leaves now, be it once more; beyond the bound the one is forgotten that left first.
    pub(crate) fn add(&mut self, name: &str) {
        if let Some(before) = self.left_at.insert(name.into(), self.next) {
            self.names.remove(&before);
        }
        self.names.insert(self.next, name.into());
        self.next += 1;
        if self.names.len() > MOST {
            let oldest = self.names.pop_first();
            oldest.map(|(_, name)| self.left_at.remove(&name));
        }
    }

    /// Whether it is among them.
    pub(crate) fn contains(&self, name: &str) -> bool {
        self.left_at.contains_key(name)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn the_one_that_left_first_is_forgotten_first() {
        let mut former = RetiredBackends::default();
        former.add("first");
        former.add("second");
        former.add("first");
        (2..MOST).for_each(|n| former.add(&n.to_string()));
        assert!(former.contains("first") && former.contains("second"));
        former.add("one more");
        assert!(former.contains("first") && !former.contains("second"), "the first left once more");
    }
}
