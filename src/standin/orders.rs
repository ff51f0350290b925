//! Orders to an engine, such as loading a model, with an optional check of fencing numbers.

use std::{collections::BTreeMap, sync::Mutex};

use serde::{Deserialize, Serialize};

/// An order to change the state of an engine.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Order {
    /// What to do, such as `load`, `unload` or `role`.
    pub action: String,
    /// Object of the action, such as a model.
    #[serde(default)]
    pub subject: String,
    /// Version of the subject.
    #[serde(default)]
    pub version: serde_json::Value,
    /// Fencing number of the coordinator that gives the order; a newer coordinator has a higher
    /// one.
    #[serde(default)]
    pub fencing: u64,
}

/// Counts and effects of the orders received.
#[derive(Clone, Debug, Default, Serialize)]
pub struct OrderCounts {
    /// Highest fencing number accepted.
    pub newest: u64,
    /// Orders accepted, by fencing number.
    pub accepted: BTreeMap<u64, u64>,
    /// Orders refused, by fencing number.
    pub refused: BTreeMap<u64, u64>,
    /// Version of the last executed order, by action and subject, as in `load scene-brief`.
    pub in_force: BTreeMap<String, serde_json::Value>,
}

/// Orders that an engine has received.
#[derive(Debug)]
pub struct Orders {
    checks_fencing: bool,
    counts: Mutex<OrderCounts>,
}

impl Orders {
    /// Creates the state of an engine that has received no orders.
    pub fn new(checks_fencing: bool) -> Self {
        Self {
            checks_fencing,
            counts: Mutex::default(),
        }
    }

    /// Accepts or refuses an order and counts it.
    ///
    /// # Errors
    ///
    /// The highest fencing number accepted, when the engine checks fencing numbers and that of the
    /// order is lower.
    ///
    /// ```
    /// use fulmarproxy::standin::orders;
    /// let order = |fencing| orders::Order {
    ///     action: "load".into(),
    ///     subject: "scene-brief".into(),
    ///     version: 1.into(),
    ///     fencing,
    /// };
    /// let checking = orders::Orders::new(true);
    /// assert_eq!(checking.accept(&order(7)), Ok(()));
    /// assert_eq!(checking.accept(&order(6)), Err(7));
    /// assert_eq!(orders::Orders::new(false).accept(&order(6)), Ok(()));
    /// ```
    pub fn accept(&self, order: &Order) -> Result<(), u64> {
        let mut counts = self.counts.lock().unwrap();
        if self.checks_fencing && order.fencing < counts.newest {
            *counts.refused.entry(order.fencing).or_default() += 1;
            return Err(counts.newest);
        }
        counts.newest = counts.newest.max(order.fencing);
        *counts.accepted.entry(order.fencing).or_default() += 1;
        Ok(())
    }

    /// Records that an accepted order has been executed.
    pub fn apply(&self, order: Order) {
        let key = format!("{} {}", order.action, order.subject);
        let mut counts = self.counts.lock().unwrap();
        counts.in_force.insert(key, order.version);
    }

    /// A copy of the counts and effects.
    pub fn counts(&self) -> OrderCounts {
        self.counts.lock().unwrap().clone()
    }
}
