//! Differences between two sets of configuration objects.

use std::collections::BTreeMap;

use derive_more::Display;
use serde::Serialize;

use crate::state::{name, object_set};

/// How an object differs.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Change {
    /// Only the new set has it.
    #[display("added")]
    Added,
    /// Only the old set has it.
    #[display("removed")]
    Removed,
    /// Both sets have it, with different content.
    #[display("changed")]
    Changed,
}

/// One object that differs.
#[derive(Clone, Debug, Display, PartialEq, Eq, Serialize)]
#[display("{kind} {name} {change}")]
pub struct Difference {
    /// Kind of the object.
    pub kind: &'static str,
    /// Name of the object.
    pub name: name::Name,
    /// How the object differs.
    pub change: Change,
}

/// Lists every object that differs between two sets, by kind.
///
/// ```
/// use fulmarproxy::{coordination::difference, state::object_set};
/// let set = object_set::ObjectSet::default();
/// assert!(difference::between(&set, &set).is_empty());
/// ```
pub fn between(old: &object_set::ObjectSet, new: &object_set::ObjectSet) -> Vec<Difference> {
    let mut found = Vec::new();
    compare("workspace", &old.workspaces, &new.workspaces, &mut found);
    compare("budget", &old.budgets, &new.budgets, &mut found);
    compare("route", &old.routes, &new.routes, &mut found);
    compare("pool", &old.pools, &new.pools, &mut found);
    found
}

fn compare<T: PartialEq>(
    kind: &'static str,
    old: &BTreeMap<name::Name, T>,
    new: &BTreeMap<name::Name, T>,
    found: &mut Vec<Difference>,
) {
    let mut add = |name: &name::Name, change| {
        let name = name.clone();
        found.push(Difference { kind, name, change });
    };
    for (name, object) in old {
        match new.get(name) {
            None => add(name, Change::Removed),
            Some(other) if other != object => add(name, Change::Changed),
            Some(_) => {}
        }
    }
    for name in new.keys().filter(|name| !old.contains_key(*name)) {
        add(name, Change::Added);
    }
}
