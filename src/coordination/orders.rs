//! Orders to engines to load and unload models: which order comes next, and which ones a member
//! accepts.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

use crate::state::{member, name, pool};

/// Action that loads a model.
pub const LOAD: &str = "load";

/// Action that unloads a model.
pub const UNLOAD: &str = "unload";

/// Value of a pool's key in the store while a router coordinates the pool's orders.
///
/// The key is bound to the router's lease. The revision that created it is the fencing number of
/// the router's orders.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Coordinator {
    /// VM name of the router.
    pub name: name::Name,
    /// Incarnation of the router.
    pub incarnation: member::Incarnation,
}

/// The state of an engine that decides which orders it gets.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Engine {
    /// VM name.
    pub name: name::Name,
    /// Address of the engine's agent.
    pub address: name::Name,
    /// Whether the engine takes new requests.
    pub serving: bool,
    /// Models that are loaded.
    pub models: BTreeSet<name::Name>,
}

/// An order to one engine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Step {
    /// VM name of the engine.
    pub engine: name::Name,
    /// Address of the engine's agent.
    pub address: name::Name,
    /// [`LOAD`] or [`UNLOAD`].
    pub action: &'static str,
    /// Model to load or unload.
    pub subject: name::Name,
}

/// Chooses the next order of a pool, loads before unloads; `None` when no order is to be given now.
///
/// An engine does not serve while it carries out an order. An engine that holds a model of the pool
/// therefore gets an order only while at least `min_serving` other engines serve and hold one.
/// Engines in `excluded` get no orders.
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
    let serving = |engine: &&Engine| engine.serving && !engine.models.is_disjoint(&desired);
    let serving: BTreeSet<_> = engines.iter().filter(serving).map(|e| &e.name).collect();
    let may_stop_serving = |engine: &&Engine| {
        let others = serving.len() - usize::from(serving.contains(&engine.name));
        !serving.contains(&engine.name) || others >= pool.min_serving as usize
    };
    let candidates: Vec<_> = engines
        .iter()
        .filter(|engine| engine.serving && !excluded.contains(&engine.name))
        .filter(may_stop_serving)
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
    let loads = candidates.iter().filter_map(load);
    if let Some((_, load)) = loads.min_by_key(|(held, _)| *held) {
        return Some(load);
    }
    candidates.iter().find_map(|engine| {
        let surplus = engine.models.difference(&desired).next()?;
        Some(step(engine, UNLOAD, surplus))
    })
}

/// The newest fencing number that a member has seen for each pool.
#[derive(Clone, Debug, Default)]
pub struct NewestFencing {
    numbers: BTreeMap<name::Name, u64>,
}

impl NewestFencing {
    /// Accepts an order with this fencing number, unless a newer one was seen for the pool.
    ///
    /// # Errors
    ///
    /// The newest fencing number of the pool, if it is greater than this one.
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
