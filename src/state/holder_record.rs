//! The record in the store that describes one holder of tokens.
//!
//! While a holder is live, only the holder itself writes its record.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

use crate::state::{member, name};

/// Cumulative figures of one holder in one budget; they only grow.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct HolderBudget {
    /// Tokens spent since the holder started.
    pub spent: u64,
    /// Tokens received from other holders, by giver.
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    pub received: BTreeMap<member::Incarnation, u64>,
    /// Tokens given to other holders, by the holder that asked for them.
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    pub given: BTreeMap<member::Incarnation, u64>,
}

/// State of a holder.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum HolderState {
    /// The holder is running and spends its tokens.
    #[default]
    Live,
    /// Another router has fenced the holder and is collecting its receipts.
    Fenced,
    /// All tokens of the holder are settled in the ledger.
    Closed,
}

/// Receipt numbers of one agent that are counted in the figures.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CoveredReceipts {
    /// All receipts up to this number are counted.
    pub through: u64,
    /// Counted receipts with numbers above `through`.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub beyond: Vec<u64>,
}

/// What a holder has spent, received and given, and the receipts that these figures include.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HolderRecord {
    /// The router that is the holder.
    pub member: member::Member,
    /// Sequence number; increases with each write.
    pub seq: u64,
    /// State of the holder.
    pub state: HolderState,
    /// Figures by budget.
    pub budgets: BTreeMap<name::Name, HolderBudget>,
    /// Receipts counted in the figures, by agent incarnation.
    pub covered: BTreeMap<member::Incarnation, CoveredReceipts>,
    /// Agents at which the holder may have open work; an agent is added before its first work.
    #[serde(default, skip_serializing_if = "BTreeSet::is_empty")]
    pub agents: BTreeSet<member::Incarnation>,
}
