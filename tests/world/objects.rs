//! The configuration that a scenario publishes.

use std::sync::Arc;

use fulmarproxy::{
    coordination::config_chunks,
    state::{budget, name, object_set, pool, route, workspace},
};

use super::script;

/// Most tokens of an answer on any route.
pub const MAX_TOKENS: u64 = 100_000;

fn to_name(text: &str) -> name::Name {
    text.into()
}

/// API key of a workspace.
pub fn api_key(workspace: &str) -> String {
    format!("{workspace}-key")
}

/// All objects of a scenario: a pool per service, the fixed routes, and a workspace per budget.
pub fn for_script(script: &script::Script) -> object_set::ObjectSet {
    let mut set = object_set::ObjectSet::default();
    for vm in &script.vms {
        let (service, kind) = match &vm.role {
            script::Role::Router => continue,
            script::Role::Engine { service, .. } => (service, pool::PoolKind::Engine),
            script::Role::Plain { service } => (service, pool::PoolKind::Plain),
        };
        let pool = new_pool(service, kind);
        set.pools.insert(pool.name.clone(), pool);
    }
    let names = |kind| {
        let of_kind = set.pools.values().filter(move |pool| pool.kind == kind);
        of_kind.map(|pool| pool.name.clone()).collect::<Vec<_>>()
    };
    let (engines, plain) = (names(pool::PoolKind::Engine), names(pool::PoolKind::Plain));
    // `quick` and `long` differ in their deadlines; `once` and `claims` are not idempotent.
    let mut routes = vec![
        model_route("quick", &engines, 30),
        model_route("long", &engines, 120),
    ];
    routes.push(model_route("once", &engines, 30));
    if !plain.is_empty() {
        routes.push(path_route("claims", &plain));
        routes.push(path_route("books", &plain));
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
        name: to_name(name),
        prepaid_tokens: total,
        autonomy_seconds: 600,
    };
    let workspace = workspace::Workspace {
        name: to_name(name),
        budget: to_name(name),
        keys: vec![config_chunks::sha256_hex(api_key(name).as_bytes())],
        routes: routes.to_vec(),
        weight: 1,
    };
    set.budgets.insert(to_name(name), budget);
    set.workspaces.insert(to_name(name), workspace);
}

fn new_pool(service: &str, kind: pool::PoolKind) -> pool::Pool {
    pool::Pool {
        name: to_name(service),
        services: vec![to_name(service)],
        kind,
        checks_fencing: false,
        min_serving: 0,
        models: Vec::new(),
    }
}

/// Whether calls of a route are idempotent.
pub fn is_idempotent(route: &str) -> bool {
    route != "once" && route != "claims"
}

fn model_route(name: &str, pools: &[Arc<str>], deadline_seconds: u64) -> route::Route {
    route::Route {
        name: to_name(name),
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

fn path_route(name: &str, pools: &[Arc<str>]) -> route::Route {
    route::Route {
        model: String::new(),
        path: format!("/{name}"),
        max_tokens: 0,
        call_tokens: 1,
        ..model_route(name, pools, 30)
    }
}
