//! Orders to an engine, with or without a check of their fencing numbers.

use std::{collections::BTreeMap, sync::Mutex};

use serde::{Deserialize, Serialize};

/// An order.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Order {
    /// What to do, such as `load`, `unload` or `role`.
    pub action: String,
    /// What the action is about, such as a model.
    #[serde(default)]
    pub subject: String,
    /// Version of the subject.
    #[serde(default)]
    pub version: serde_json::Value,
    /// Number of the order's giver; a newer giver has a higher one.
    #[serde(default)]
    pub fencing: u64,
}

/// What became of the orders.
#[derive(Clone, Debug, Default, Serialize)]
pub struct OrderCounts {
    /// Highest fencing number accepted.
    pub newest: u64,
    /// Orders accepted, by fencing number.
    pub accepted: BTreeMap<u64, u64>,
    /// Orders refused, by fencing number.
    pub refused: BTreeMap<u64, u64>,
    /// Version of the last order in force, by action and subject.
    pub in_force: BTreeMap<String, serde_json::Value>,
}

/// The orders that an engine has taken.
#[derive(Debug)]
pub struct Orders {
    checks_fencing: bool,
    counts: Mutex<OrderCounts>,
}

impl Orders {
    /// Makes an engine without orders.
    pub fn new(checks_fencing: bool) -> Self {
        Self {
            checks_fencing,
            counts: Mutex::default(),
        }
    }

    /// Accepts or refuses an order.
    ///
    /// # Errors
    ///
    /// The newest fencing number, when the engine checks them and the order's is older.
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

    /// Puts an accepted order in force.
    pub fn apply(&self, order: Order) {
        let key = format!("{} {}", order.action, order.subject);
        let mut counts = self.counts.lock().unwrap();
        counts.in_force.insert(key, order.version);
    }

    /// What became of the orders.
    pub fn counts(&self) -> OrderCounts {
        self.counts.lock().unwrap().clone()
    }
}
