//! The objects that a scenario publishes.

use std::sync::Arc;

use fulmarproxy::{
    coordination::config_chunks,
    state::{budget, name, object_set, pool, route, workspace},
};

use super::script;

/// Most tokens of an answer on any route.
pub const MAX_TOKENS: u64 = 100_000;

fn named(text: &str) -> name::Name {
    text.into()
}

/// Key that callers of a workspace present.
pub fn key_of(workspace: &str) -> String {
    format!("{workspace}-key")
}

/// All objects of a scenario.
pub fn all(script: &script::Script) -> object_set::ObjectSet {
    let mut set = object_set::ObjectSet::default();
    for vm in &script.vms {
        let (service, kind) = match &vm.role {
            script::Role::Router => continue,
            script::Role::Engine { service, .. } => (service, pool::PoolKind::Engine),
            script::Role::Plain { service } => (service, pool::PoolKind::Plain),
        };
        let pool = pool(service, kind);
        set.pools.insert(pool.name.clone(), pool);
    }
    let names = |kind| {
        let of_kind = set.pools.values().filter(move |pool| pool.kind == kind);
        of_kind.map(|pool| pool.name.clone()).collect::<Vec<_>>()
    };
    let (engines, plain) = (names(pool::PoolKind::Engine), names(pool::PoolKind::Plain));
    let mut routes = vec![model("quick", &engines, 30), model("long", &engines, 120)];
    routes.push(model("once", &engines, 30));
    if !plain.is_empty() {
        routes.push(path("claims", &plain));
        routes.push(path("books", &plain));
    }
    let names: Vec<_> = routes.iter().map(|route| route.name.clone()).collect();
    set.routes = routes
        .into_iter()
        .map(|route| (route.name.clone(), route))
        .collect();
    for (name, total) in &script.budgets {
        add_budget(&mut set, name, *total, &names);
    }
    set
}

fn add_budget(set: &mut object_set::ObjectSet, name: &str, total: u64, routes: &[name::Name]) {
    let budget = budget::Budget {
        name: named(name),
        prepaid_tokens: total,
        autonomy_seconds: 600,
    };
    let workspace = workspace::Workspace {
        name: named(name),
        budget: named(name),
        keys: vec![config_chunks::sha256_hex(key_of(name).as_bytes())],
        routes: routes.to_vec(),
        weight: 1,
    };
    set.budgets.insert(named(name), budget);
    set.workspaces.insert(named(name), workspace);
}

fn pool(service: &str, kind: pool::PoolKind) -> pool::Pool {
    pool::Pool {
        name: named(service),
        services: vec![named(service)],
        kind,
        checks_fencing: false,
        min_serving: 0,
        models: Vec::new(),
    }
}

/// Whether a call of a route may be repeated.
pub fn is_idempotent(route: &str) -> bool {
    route != "once" && route != "claims"
}

fn model(name: &str, pools: &[Arc<str>], deadline_seconds: u64) -> route::Route {
    route::Route {
        name: named(name),
        model: "draft-1".to_owned(),
        path: String::new(),
        pools: pools.to_vec(),
        priority: 1,
        deadline_seconds,
        max_tokens: MAX_TOKENS,
        idempotent: is_idempotent(name),
        call_tokens: 0,
    }
}

fn path(name: &str, pools: &[Arc<str>]) -> route::Route {
    route::Route {
        model: String::new(),
        path: format!("/{name}"),
        max_tokens: 0,
        call_tokens: 1,
        ..model(name, pools, 30)
    }
}
