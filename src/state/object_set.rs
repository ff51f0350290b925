//! The set of configuration objects that an operator publishes together.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::state::{budget, name, pool, route, workspace};

/// All objects of one configuration, by name.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ObjectSet {
    /// Workspaces by name.
    pub workspaces: BTreeMap<name::Name, workspace::Workspace>,
    /// Budgets by name.
    pub budgets: BTreeMap<name::Name, budget::Budget>,
    /// Model routes by name.
    pub routes: BTreeMap<name::Name, route::Route>,
    /// Pools of backend servers by name.
    pub pools: BTreeMap<name::Name, pool::Pool>,
}

/// The objects of one TOML file.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ObjectFile {
    /// `[[workspace]]` tables.
    #[serde(default)]
    pub workspace: Vec<toml::Spanned<workspace::Workspace>>,
    /// `[[budget]]` tables.
    #[serde(default)]
    pub budget: Vec<toml::Spanned<budget::Budget>>,
    /// `[[route]]` tables.
    #[serde(default)]
    pub route: Vec<toml::Spanned<route::Route>>,
    /// `[[pool]]` tables.
    #[serde(default)]
    pub pool: Vec<toml::Spanned<pool::Pool>>,
}
