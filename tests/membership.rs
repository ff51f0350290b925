//! Routers and agents find one another, and versions reach both sides of a cut.

mod direct;

use std::sync::Arc;

use fulmarproxy::{
    agent,
    code::Code,
    coordination::membership,
    protocol::vm_list,
    router::{self, ask, config_sync},
};

fn version(router: &router::Router) -> u64 {
    router.config().config.version
}

fn status(router: &router::Router) -> serde_json::Value {
    serde_json::from_str(&router.status()).unwrap()
}

fn knows(router: &router::Router, agent: &agent::Agent) -> bool {
    let status = status(router);
    let agents = status["versions"].as_object().unwrap();
    agents.contains_key(&*agent.member.name)
}

fn pair(world: &direct::World) -> [Arc<router::Router>; 2] {
    for index in 0..2 {
        world.list(vm_list::VmRole::Router, index);
    }
    [world.router(0), world.router(1)]
}

#[test]
fn a_router_without_the_store_follows_its_peers() {
    let world = direct::World::default();
    world.platform.cut(&["Router:1"]);
    world.publish(0);
    let [first, second] = pair(&world);
    direct::wait_for("the first version", || version(&second) == 1);
    for expected in 2..6 {
        world.publish(expected);
        let known = u64::from(expected);
        direct::wait_for("the version", || {
            version(&first) == known && version(&second) == known
        });
    }
}

#[test]
fn a_side_that_was_cut_off_catches_up_and_never_goes_back() {
    let world = direct::World::default();
    world.publish(0);
    let [first, second] = pair(&world);
    direct::wait_for("the first version", || {
        version(&first) == 1 && version(&second) == 1
    });
    world.cut(&["Router:1"]);
    world.publish(1);
    direct::wait_for("the version on one side", || version(&first) == 2);
    assert!(
        !smol::block_on(config_sync::wait_for_version(&second, 2)),
        "the other side is cut off"
    );
    assert_eq!(version(&second), 1);
    world.cut(&["Router:0"]);
    world.publish(2);
    direct::wait_for("the version on the other side", || version(&second) == 3);
    assert_eq!(version(&first), 2);
    world.cut(&[]);
    assert!(
        smol::block_on(config_sync::wait_for_version(&first, 3)),
        "the cut has healed"
    );
    assert_eq!((version(&first), version(&second)), (3, 3));
}

#[test]
fn agents_learn_versions_and_routers_learn_agents_from_one_another() {
    let world = direct::World::default();
    world.publish(0);
    let [first, second] = pair(&world);
    let agents: Vec<_> = (0..3).map(|index| world.agent(index)).collect();
    for agent in &agents {
        direct::wait_for("the agent to be known", || {
            knows(&first, agent) && knows(&second, agent)
        });
        direct::wait_for("the agent's version", || agent.versions().config == 1);
    }
}

#[test]
fn a_process_at_an_old_address_replaces_the_one_before() {
    let world = direct::World::default();
    let [first, second] = pair(&world);
    let old = world.agent(0);
    direct::wait_for("the agent to be known", || {
        knows(&first, &old) && knows(&second, &old)
    });
    let new = world.agent(0);
    assert_ne!(old.member.incarnation, new.member.incarnation);
    for router in [&first, &second] {
        direct::wait_for("the replacement to be known", || {
            router.is_replaced(old.member.incarnation)
        });
        assert!(!router.is_replaced(new.member.incarnation));
    }
}

#[test]
fn a_list_that_lags_hides_no_router_that_speaks() {
    let world = direct::World::default();
    world.publish(0);
    world.list(vm_list::VmRole::Router, 0);
    world.list(vm_list::VmRole::Router, 7);
    let [first, late] = [world.router(0), world.router(1)];
    direct::wait_for("the routers to hear one another", || {
        status(&first)["live"] == 1 && status(&late)["live"] == 1
    });
    assert_eq!(status(&first)["watches"], true);
}

fn refusal(router: &Arc<router::Router>) -> Code {
    let ask = ask::Ask::default();
    match smol::block_on(router.ask(&ask)) {
        Ok(_) => Code::Ok,
        Err(refusal) => refusal.code,
    }
}

#[test]
fn a_router_cut_off_from_all_takes_requests_for_a_while_only() {
    let world = direct::World::default();
    world.publish(0);
    let [first, second] = pair(&world);
    direct::wait_for("the first version", || {
        version(&first) == 1 && version(&second) == 1
    });
    world.cut(&["Router:1"]);
    assert_eq!(refusal(&second), Code::BadKey);
    direct::wait_for("the limit to pass", || {
        world.skip(config_sync::ISOLATION_LIMIT.as_secs());
        refusal(&second) == Code::StaleConfig
    });
    assert!(second.readiness().unwrap().contains("has answered"));
    world.cut(&[]);
    direct::wait_for("the cut to heal", || refusal(&second) == Code::BadKey);
    assert_eq!(second.readiness(), None);
}

#[test]
fn a_vm_that_the_list_never_named_has_not_gone() {
    let mut listed = membership::Listed::default();
    listed.note([&"backend-1".into(), &"backend-2".into()]);
    listed.note([&"backend-2".into()]);
    assert!(listed.has_named("backend-1"));
    assert!(!listed.has_named("backend-3"));
}
