//! Orders to engines: which to give next, and which a member takes.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

use crate::state::{member, name, pool};

/// Action that loads a model.
pub const LOAD: &str = "load";

/// Action that unloads a model.
pub const UNLOAD: &str = "unload";

/// Value of a pool's key in the store while a router coordinates its orders.
///
/// The key lives by the router's lease; the revision that created it is the fencing number.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Coordinator {
    /// VM name of the router.
    pub name: name::Name,
    /// Incarnation of the router.
    pub incarnation: member::Incarnation,
}

/// An engine as far as orders are concerned.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Engine {
    /// VM name.
    pub name: name::Name,
    /// Address of the agent beside it.
    pub address: name::Name,
    /// Whether it takes new work.
    pub serving: bool,
    /// Models that it holds.
    pub models: BTreeSet<name::Name>,
}

/// What to order from one engine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Step {
    /// VM name of the engine.
    pub engine: name::Name,
    /// Address of the agent beside it.
    pub address: name::Name,
    /// [`LOAD`] or [`UNLOAD`].
    pub action: &'static str,
    /// Model.
    pub subject: name::Name,
}

/// Chooses the next order of a pool, loads before unloads; `None` when nothing is to be done now.
///
/// An engine does not serve while it carries out an order, so one that holds a model gets an order
/// only while more than `min_serving` others hold one. Engines in `excluded` get none.
///
/// ```
/// use fulmarproxy::{coordination::orders, state::pool};
/// let pool = pool::Pool {
///     name: "p".into(), services: vec!["s".into()], kind: pool::PoolKind::Engine,
///     checks_fencing: false, min_serving: 0, models: vec!["m".to_owned()],
/// };
/// let engine = orders::Engine {
///     name: "vm".into(), address: "a:1".into(), serving: true, models: Default::default(),
/// };
/// let step = orders::next(&pool, &[engine], &Default::default()).unwrap();
/// assert_eq!((step.action, &*step.subject), (orders::LOAD, "m"));
/// ```
pub fn next(
    pool: &pool::Pool,
    engines: &[Engine],
    excluded: &BTreeSet<name::Name>,
) -> Option<Step> {
    let desired: BTreeSet<name::Name> = pool.models.iter().map(|m| m.as_str().into()).collect();
    let able = |engine: &&Engine| engine.serving && !engine.models.is_disjoint(&desired);
    let able: BTreeSet<_> = engines.iter().filter(able).map(|e| &e.name).collect();
    let may_pause = |engine: &&Engine| {
        let left = able.len() - usize::from(able.contains(&engine.name));
        !able.contains(&engine.name) || left >= pool.min_serving as usize
    };
    let open: Vec<_> = engines
        .iter()
        .filter(|engine| engine.serving && !excluded.contains(&engine.name))
        .filter(may_pause)
        .collect();
    let step = |engine: &Engine, action, subject: &name::Name| Step {
        engine: engine.name.clone(),
        address: engine.address.clone(),
        action,
        subject: subject.clone(),
    };
    let load = |engine: &&Engine| {
        let missing = desired.difference(&engine.models).next()?;
        Some((engine.models.len(), step(engine, LOAD, missing)))
    };
    let loads = open.iter().filter_map(load);
    if let Some((_, load)) = loads.min_by_key(|(held, _)| *held) {
        return Some(load);
    }
    open.iter().find_map(|engine| {
        let extra = engine.models.difference(&desired).next()?;
        Some(step(engine, UNLOAD, extra))
    })
}

/// Newest fencing numbers that a member has seen, by pool.
#[derive(Clone, Debug, Default)]
pub struct NewestFencing {
    numbers: BTreeMap<name::Name, u64>,
}

impl NewestFencing {
    /// Takes a fencing number.
    ///
    /// # Errors
    ///
    /// The newest number of the pool when it is above this one.
    ///
    /// ```
    /// let mut newest = fulmarproxy::coordination::orders::NewestFencing::default();
    /// assert_eq!(newest.accept(&"p".into(), 7), Ok(()));
    /// assert_eq!(newest.accept(&"p".into(), 6), Err(7));
    /// ```
    pub fn accept(&mut self, pool: &name::Name, fencing: u64) -> Result<(), u64> {
        let newest = self.numbers.entry(pool.clone()).or_default();
        if fencing < *newest {
            return Err(*newest);
        }
        *newest = fencing;
        Ok(())
    }
}
