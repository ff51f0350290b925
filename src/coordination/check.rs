//! Checks of a whole set of objects.

use std::collections::BTreeMap;

use crate::state::{name, object_set, pool, route};

/// Where an object stands in the operator's files.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct SourceLocation {
    /// File name.
    pub file: String,
    /// Line, from 1.
    pub line: usize,
}

/// One error of a set.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Finding {
    /// Where.
    pub place: SourceLocation,
    /// What.
    pub message: String,
}

impl std::fmt::Display for Finding {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let SourceLocation { file, line } = &self.place;
        write!(f, "{file}:{line}: {}", self.message)
    }
}

/// SourceLocations of the objects, by kind and name.
pub type SourceLocations = BTreeMap<(&'static str, name::Name), SourceLocation>;

/// Builds a set from files and finds every error.
#[derive(Debug, Default)]
pub struct Checker {
    set: object_set::ObjectSet,
    places: SourceLocations,
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
                let place = SourceLocation {
                    file: file.to_owned(),
                    line,
                };
                return self.find(place, err.message().to_owned());
            }
        };
        let place = |span: std::ops::Range<usize>| SourceLocation {
            file: file.to_owned(),
            line: line_of(text, span.start),
        };
        for object in objects.workspace {
            let place = place(object.span());
            let object = object.into_inner();
            if self.place("workspace", &object.name, place) {
                self.set.workspaces.insert(object.name.clone(), object);
            }
        }
        for object in objects.budget {
            let place = place(object.span());
            let object = object.into_inner();
            if self.place("budget", &object.name, place) {
                self.set.budgets.insert(object.name.clone(), object);
            }
        }
        for object in objects.route {
            let place = place(object.span());
            let object = object.into_inner();
            if self.place("route", &object.name, place) {
                self.set.routes.insert(object.name.clone(), object);
            }
        }
        for object in objects.pool {
            let place = place(object.span());
            let object = object.into_inner();
            if self.place("pool", &object.name, place) {
                self.set.pools.insert(object.name.clone(), object);
            }
        }
    }

    fn place(&mut self, kind: &'static str, name: &name::Name, place: SourceLocation) -> bool {
        if let Some(first) = self.places.get(&(kind, name.clone())) {
            let SourceLocation { file, line } = first;
            let message = format!("{kind} {name:?} is defined already at {file}:{line}");
            self.find(place, message);
            return false;
        }
        self.places.insert((kind, name.clone()), place);
        true
    }

    fn find(&mut self, place: SourceLocation, message: String) {
        self.findings.push(Finding { place, message });
    }

    fn find_at(&mut self, kind: &'static str, name: &name::Name, message: String) {
        let place = self
            .places
            .get(&(kind, name.clone()))
            .cloned()
            .unwrap_or_default();
        self.find(place, message);
    }

    /// Finds totals below what the ledger has granted and counted as spent.
    pub fn check_committed(&mut self, committed: &BTreeMap<name::Name, i128>) {
        let below = self.set.budgets.values().filter_map(|budget| {
            let least = committed.get(&budget.name)?;
            let below = i128::from(budget.prepaid_tokens) < *least;
            below.then(|| (budget.name.clone(), *least))
        });
        for (name, least) in below.collect::<Vec<_>>() {
            let message = format!("prepaid_tokens is below {least}, which are granted and spent");
            self.find_at("budget", &name, message);
        }
    }

    /// Returns the set, or every error in the order of the files.
    ///
    /// # Errors
    ///
    /// All findings, sorted by place.
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
        let empty = self.places.keys().filter(|(_, name)| name.is_empty());
        for (kind, name) in empty.cloned().collect::<Vec<_>>() {
            self.find_at(kind, &name, format!("the {kind} has no name"));
        }
    }

    fn check_budgets(&mut self, set: &object_set::ObjectSet) {
        for (name, budget) in &set.budgets {
            if budget.autonomy_seconds == 0 {
                let message = "autonomy_seconds must not be zero".to_owned();
                self.find_at("budget", name, message);
            }
        }
    }

    fn check_workspaces(&mut self, set: &object_set::ObjectSet) {
        let mut owners: BTreeMap<&str, &name::Name> = BTreeMap::new();
        for (name, workspace) in &set.workspaces {
            if !set.budgets.contains_key(&workspace.budget) {
                let message = format!("budget {:?} does not exist", workspace.budget);
                self.find_at("workspace", name, message);
            }
            if workspace.weight == 0 {
                self.find_at("workspace", name, "weight must not be zero".to_owned());
            }
            for route in &workspace.routes {
                if !set.routes.contains_key(route) {
                    self.find_at("workspace", name, format!("route {route:?} does not exist"));
                }
            }
            for key in &workspace.keys {
                let digest = key.len() == 64 && key.bytes().all(|b| b.is_ascii_hexdigit());
                if !digest {
                    let message = format!("key {key:?} is not a SHA-256 digest in hex");
                    self.find_at("workspace", name, message);
                }
                if let Some(owner) = owners.insert(key, name) {
                    let message = format!("key {key:?} belongs to workspace {owner:?} already");
                    self.find_at("workspace", name, message);
                }
            }
        }
    }

    fn check_routes(&mut self, set: &object_set::ObjectSet) {
        for (name, route) in &set.routes {
            if route.pools.is_empty() {
                self.find_at("route", name, "no pool serves the route".to_owned());
            }
            if route.model.is_empty() == route.path.is_empty() {
                let message = "exactly one of model and path must be set".to_owned();
                self.find_at("route", name, message);
            }
            if !route.model.is_empty() && route.max_tokens == 0 {
                self.find_at(
                    "route",
                    name,
                    "max_tokens must be set for a model".to_owned(),
                );
            }
            if route.deadline_seconds == 0 {
                self.find_at(
                    "route",
                    name,
                    "deadline_seconds must not be zero".to_owned(),
                );
            }
            if !route.path.is_empty() && !route.path.starts_with('/') {
                let message = format!("path {:?} does not begin with a slash", route.path);
                self.find_at("route", name, message);
            }
            self.check_models(set, name, route);
            for pool_name in &route.pools {
                self.check_route_pool(set, name, pool_name, route.model.is_empty());
            }
        }
    }

    /// A pool that names no models may hold any.
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
            self.find_at("route", name, message);
        }
    }

    fn check_route_pool(
        &mut self,
        set: &object_set::ObjectSet,
        name: &name::Name,
        pool_name: &name::Name,
        plain: bool,
    ) {
        let Some(pool) = set.pools.get(pool_name) else {
            let message = format!("pool {pool_name:?} does not exist");
            return self.find_at("route", name, message);
        };
        if (pool.kind == pool::PoolKind::Plain) != plain {
            let message = format!("pool {pool_name:?} is of the other kind");
            self.find_at("route", name, message);
        }
    }

    fn check_pools(&mut self, set: &object_set::ObjectSet) {
        for (name, pool) in &set.pools {
            if pool.services.is_empty() {
                self.find_at("pool", name, "the pool names no service".to_owned());
            }
        }
    }
}
