//! Checks a whole set of configuration objects and reports every error with its place in the files.

use std::collections::BTreeMap;

use crate::state::{name, object_set, pool, route};

/// Where an object is defined in the operator's files.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct SourceLocation {
    /// File name.
    pub file: String,
    /// Line number, starting at 1.
    pub line: usize,
}

/// One error in a set.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Finding {
    /// Where the error is.
    pub location: SourceLocation,
    /// Description of the error.
    pub message: String,
}

impl std::fmt::Display for Finding {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let SourceLocation { file, line } = &self.location;
        write!(f, "{file}:{line}: {}", self.message)
    }
}

/// Source locations of the objects, by kind and name.
pub type SourceLocations = BTreeMap<(&'static str, name::Name), SourceLocation>;

/// Builds a set from files and collects every error in it.
#[derive(Debug, Default)]
pub struct Checker {
    set: object_set::ObjectSet,
    locations: SourceLocations,
    findings: Vec<Finding>,
}

fn line_of(text: &str, offset: usize) -> usize {
    let before = &text.as_bytes()[..offset.min(text.len())];
    1 + before.iter().filter(|byte| **byte == b'\n').count()
}

impl Checker {
    /// Adds the objects of one TOML file.
    ///
    /// ```
    /// let mut checker = fulmarproxy::coordination::check::Checker::default();
    /// checker.add("a.toml", "[[budget]]\nname = \"b\"\n");
    /// let findings = checker.finish().unwrap_err();
    /// assert!(findings[0].to_string().starts_with("a.toml:1: missing field"));
    /// ```
    pub fn add(&mut self, file: &str, text: &str) {
        let objects: object_set::ObjectFile = match toml::from_str(text) {
            Ok(objects) => objects,
            Err(err) => {
                let line = err.span().map_or(1, |span| line_of(text, span.start));
                let location = SourceLocation {
                    file: file.to_owned(),
                    line,
                };
                return self.add_finding(location, err.message().to_owned());
            }
        };
        let location = |span: std::ops::Range<usize>| SourceLocation {
            file: file.to_owned(),
            line: line_of(text, span.start),
        };
        for object in objects.workspace {
            let location = location(object.span());
            let object = object.into_inner();
            if self.register("workspace", &object.name, location) {
                self.set.workspaces.insert(object.name.clone(), object);
            }
        }
        for object in objects.budget {
            let location = location(object.span());
            let object = object.into_inner();
            if self.register("budget", &object.name, location) {
                self.set.budgets.insert(object.name.clone(), object);
            }
        }
        for object in objects.route {
            let location = location(object.span());
            let object = object.into_inner();
            if self.register("route", &object.name, location) {
                self.set.routes.insert(object.name.clone(), object);
            }
        }
        for object in objects.pool {
            let location = location(object.span());
            let object = object.into_inner();
            if self.register("pool", &object.name, location) {
                self.set.pools.insert(object.name.clone(), object);
            }
        }
    }

    /// Records where an object is defined; returns false, with a finding, if it is defined twice.
    fn register(
        &mut self,
        kind: &'static str,
        name: &name::Name,
        location: SourceLocation,
    ) -> bool {
        if let Some(first) = self.locations.get(&(kind, name.clone())) {
            let SourceLocation { file, line } = first;
            let message = format!("{kind} {name:?} is defined already at {file}:{line}");
            self.add_finding(location, message);
            return false;
        }
        self.locations.insert((kind, name.clone()), location);
        true
    }

    fn add_finding(&mut self, location: SourceLocation, message: String) {
        self.findings.push(Finding { location, message });
    }

    fn add_finding_at(&mut self, kind: &'static str, name: &name::Name, message: String) {
        let location = self
            .locations
            .get(&(kind, name.clone()))
            .cloned()
            .unwrap_or_default();
        self.add_finding(location, message);
    }

    /// Checks that no budget's total is below the tokens that the ledger has granted or counted as
    /// spent.
    pub fn check_committed(&mut self, committed: &BTreeMap<name::Name, i128>) {
        let below = self.set.budgets.values().filter_map(|budget| {
            let least = committed.get(&budget.name)?;
            let below = i128::from(budget.prepaid_tokens) < *least;
            below.then(|| (budget.name.clone(), *least))
        });
        for (name, least) in below.collect::<Vec<_>>() {
            let message = format!("prepaid_tokens is below {least}, which are granted and spent");
            self.add_finding_at("budget", &name, message);
        }
    }

    /// Returns the set, or every error in the order of the files.
    ///
    /// # Errors
    ///
    /// All findings, sorted by location.
    pub fn finish(mut self) -> Result<object_set::ObjectSet, Vec<Finding>> {
        let set = std::mem::take(&mut self.set);
        self.check_names();
        self.check_workspaces(&set);
        self.check_budgets(&set);
        self.check_routes(&set);
        self.check_pools(&set);
        if self.findings.is_empty() {
            return Ok(set);
        }
        self.findings.sort();
        Err(self.findings)
    }

    fn check_names(&mut self) {
        let unnamed = self.locations.keys().filter(|(_, name)| name.is_empty());
        for (kind, name) in unnamed.cloned().collect::<Vec<_>>() {
            self.add_finding_at(kind, &name, format!("the {kind} has no name"));
        }
    }

    fn check_budgets(&mut self, set: &object_set::ObjectSet) {
        for (name, budget) in &set.budgets {
            if budget.autonomy_seconds == 0 {
                let message = "autonomy_seconds must not be zero".to_owned();
                self.add_finding_at("budget", name, message);
            }
        }
    }

    fn check_workspaces(&mut self, set: &object_set::ObjectSet) {
        let mut owners: BTreeMap<&str, &name::Name> = BTreeMap::new();
        for (name, workspace) in &set.workspaces {
            if !set.budgets.contains_key(&workspace.budget) {
                let message = format!("budget {:?} does not exist", workspace.budget);
                self.add_finding_at("workspace", name, message);
            }
            if workspace.weight == 0 {
                self.add_finding_at("workspace", name, "weight must not be zero".to_owned());
            }
            for route in &workspace.routes {
                if !set.routes.contains_key(route) {
                    self.add_finding_at(
                        "workspace",
                        name,
                        format!("route {route:?} does not exist"),
                    );
                }
            }
            for key in &workspace.keys {
                let is_digest = key.len() == 64 && key.bytes().all(|b| b.is_ascii_hexdigit());
                if !is_digest {
                    let message = format!("key {key:?} is not a SHA-256 digest in hex");
                    self.add_finding_at("workspace", name, message);
                }
                if let Some(owner) = owners.insert(key, name) {
                    let message = format!("key {key:?} belongs to workspace {owner:?} already");
                    self.add_finding_at("workspace", name, message);
                }
            }
        }
    }

    fn check_routes(&mut self, set: &object_set::ObjectSet) {
        for (name, route) in &set.routes {
            if route.pools.is_empty() {
                self.add_finding_at("route", name, "no pool serves the route".to_owned());
            }
            if route.model.is_empty() == route.path.is_empty() {
                let message = "exactly one of model and path must be set".to_owned();
                self.add_finding_at("route", name, message);
            }
            if !route.model.is_empty() && route.max_tokens == 0 {
                self.add_finding_at(
                    "route",
                    name,
                    "max_tokens must be set for a model".to_owned(),
                );
            }
            if route.deadline_seconds == 0 {
                self.add_finding_at(
                    "route",
                    name,
                    "deadline_seconds must not be zero".to_owned(),
                );
            }
            if !route.path.is_empty() && !route.path.starts_with('/') {
                let message = format!("path {:?} does not begin with a slash", route.path);
                self.add_finding_at("route", name, message);
            }
            self.check_models(set, name, route);
            for pool_name in &route.pools {
                self.check_route_pool(set, name, pool_name, route.model.is_empty());
            }
        }
    }

    /// Checks that a pool of the route holds its model; a pool that names no models may hold any.
    fn check_models(
        &mut self,
        set: &object_set::ObjectSet,
        name: &name::Name,
        route: &route::Route,
    ) {
        let pools: Vec<_> = route
            .pools
            .iter()
            .filter_map(|pool| set.pools.get(pool))
            .collect();
        let holds =
            |pool: &&pool::Pool| pool.models.is_empty() || pool.models.contains(&route.model);
        if !route.model.is_empty() && !pools.is_empty() && !pools.iter().any(holds) {
            let message = format!("no pool of the route holds the model {:?}", route.model);
            self.add_finding_at("route", name, message);
        }
    }

    fn check_route_pool(
        &mut self,
        set: &object_set::ObjectSet,
        name: &name::Name,
        pool_name: &name::Name,
        is_plain_route: bool,
    ) {
        let Some(pool) = set.pools.get(pool_name) else {
            let message = format!("pool {pool_name:?} does not exist");
            return self.add_finding_at("route", name, message);
        };
        if (pool.kind == pool::PoolKind::Plain) != is_plain_route {
            let message = format!("pool {pool_name:?} is of the other kind");
            self.add_finding_at("route", name, message);
        }
    }

    fn check_pools(&mut self, set: &object_set::ObjectSet) {
        for (name, pool) in &set.pools {
            if pool.services.is_empty() {
                self.add_finding_at("pool", name, "the pool names no service".to_owned());
            }
        }
    }
}
