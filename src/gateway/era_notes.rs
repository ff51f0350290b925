//! What a gateway notes about the eras of the platform's store.

use std::{
    cell::{Cell, RefCell},
    collections::HashMap,
    time::Duration,
};

use crate::{
    coordination::ledger_plan,
    state::{name, share_ledger},
};

/// Notes about the store's eras; 0 stands for an era that is not known.
#[derive(Default)]
pub struct EraNotes {
    /// Era in which the list of backend servers was read.
    pub directory: Cell<u64>,
    /// Era whose beginning has been noted.
    pub noted: Cell<u64>,
    /// Era whose marker is known to be in the store.
    pub marked: Cell<u64>,
    /// First era that this process noted.
    pub first: Cell<Option<u64>>,
    /// Time at which the store's era was noted.
    pub seen_at: Cell<Duration>,
    /// What is remembered of ledgers from before the store's era, by workspace, until it has been
    /// written in that era.
    pub remembered_ledgers: RefCell<HashMap<name::Name, share_ledger::ShareLedger>>,
    /// When parts of ledgers were first seen in the store's era.
    pub ledger_sightings: RefCell<ledger_plan::Sightings>,
}
