//! The record that a holder of tokens alone writes.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

use crate::state::{member, name};

/// Cumulative figures of one holder for one budget.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct HolderBudget {
    /// Tokens spent since the holder began.
    pub spent: u64,
    /// Tokens taken over from other holders, by giver.
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    pub received: BTreeMap<member::Incarnation, u64>,
    /// Tokens given to other holders, by asker.
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    pub given: BTreeMap<member::Incarnation, u64>,
}

/// Whether a holder still spends.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum HolderState {
    /// The holder spends from its grants.
    #[default]
    Live,
    /// Other routers have fenced the holder and collect its receipts.
    Fenced,
    /// Everything that the holder held is settled.
    Closed,
}

/// Receipts of one agent that the figures count.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CoveredReceipts {
    /// Every receipt up to this number is counted.
    pub through: u64,
    /// Counted receipts with higher numbers.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub beyond: Vec<u64>,
}

/// All that a holder has spent, taken and given, and the receipts it covers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HolderRecord {
    /// The router that writes the record.
    pub member: member::Member,
    /// Grows with each write.
    pub seq: u64,
    /// Whether the holder still spends.
    pub state: HolderState,
    /// Figures by budget.
    pub budgets: BTreeMap<name::Name, HolderBudget>,
    /// Receipts counted, by agent incarnation.
    pub covered: BTreeMap<member::Incarnation, CoveredReceipts>,
    /// Agents that the holder may have open work at; written before the first work is given.
    #[serde(default, skip_serializing_if = "BTreeSet::is_empty")]
    pub agents: BTreeSet<member::Incarnation>,
}
