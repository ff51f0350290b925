//! Routers and agents find one another, and configuration versions spread despite network
//! partitions.

mod direct;

use std::sync::Arc;

use fulmarproxy::{
    agent,
    code::Code,
    coordination::membership,
    protocol::vm_list,
    router::{self, config_sync, raw_request},
};

fn config_version(router: &router::Router) -> u64 {
    router.config().config.version
}

fn status(router: &router::Router) -> serde_json::Value {
    serde_json::from_str(&router.status()).unwrap()
}

fn knows_agent(router: &router::Router, agent: &agent::Agent) -> bool {
    let status = status(router);
    let agents = status["versions"].as_object().unwrap();
    agents.contains_key(&*agent.member.name)
}

/// Starts two routers that the list of VMs names.
fn start_listed_routers(world: &direct::World) -> [Arc<router::Router>; 2] {
    for index in 0..2 {
        world.list(vm_list::VmRole::Router, index);
    }
    [world.router(0), world.router(1)]
}

#[test]
fn a_router_without_the_store_takes_versions_from_its_peers() {
    let world = direct::World::default();
    world.platform.cut(&["Router:1"]);
    world.publish(0);
    let [first, second] = start_listed_routers(&world);
    direct::wait_for("the first version", || config_version(&second) == 1);
    for expected in 2..6 {
        world.publish(expected);
        let known = u64::from(expected);
        direct::wait_for("the version", || {
            config_version(&first) == known && config_version(&second) == known
        });
    }
}

#[test]
fn a_partitioned_router_catches_up_and_never_returns_to_an_older_version() {
    let world = direct::World::default();
    world.publish(0);
    let [first, second] = start_listed_routers(&world);
    direct::wait_for("the first version", || {
        config_version(&first) == 1 && config_version(&second) == 1
    });
    world.cut(&["Router:1"]);
    world.publish(1);
    direct::wait_for("the version at the first router", || {
        config_version(&first) == 2
    });
    assert!(
        !smol::block_on(config_sync::wait_for_version(&second, 2)),
        "the second router is cut off from the store and its peer"
    );
    assert_eq!(config_version(&second), 1);
    world.cut(&["Router:0"]);
    world.publish(2);
    direct::wait_for("the version at the second router", || {
        config_version(&second) == 3
    });
    assert_eq!(config_version(&first), 2);
    world.cut(&[]);
    assert!(
        smol::block_on(config_sync::wait_for_version(&first, 3)),
        "the partition has ended"
    );
    assert_eq!((config_version(&first), config_version(&second)), (3, 3));
}

#[test]
fn agents_learn_versions_and_routers_learn_agents_from_one_another() {
    let world = direct::World::default();
    world.publish(0);
    let [first, second] = start_listed_routers(&world);
    let agents: Vec<_> = (0..3).map(|index| world.agent(index)).collect();
    for agent in &agents {
        direct::wait_for("the agent to be known", || {
            knows_agent(&first, agent) && knows_agent(&second, agent)
        });
        direct::wait_for("the agent's version", || agent.versions().config == 1);
    }
}

#[test]
fn a_new_process_at_an_address_replaces_the_earlier_one() {
    let world = direct::World::default();
    let [first, second] = start_listed_routers(&world);
    let old = world.agent(0);
    direct::wait_for("the agent to be known", || {
        knows_agent(&first, &old) && knows_agent(&second, &old)
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

/// Lists the first router and one that does not run, but not the second: the first must not take
/// the listed one for live, and both must learn of each other from the messages of the second.
#[test]
fn a_router_missing_from_the_list_is_found_by_its_messages() {
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

fn result_code(router: &Arc<router::Router>) -> Code {
    let raw = raw_request::RawRequest::default();
    match smol::block_on(router.start_request(&raw)) {
        Ok(_) => Code::Ok,
        Err(refusal) => refusal.code,
    }
}

#[test]
fn an_isolated_router_refuses_requests_after_the_max_isolation_time() {
    let world = direct::World::default();
    world.publish(0);
    let [first, second] = start_listed_routers(&world);
    direct::wait_for("the first version", || {
        config_version(&first) == 1 && config_version(&second) == 1
    });
    world.cut(&["Router:1"]);
    assert_eq!(result_code(&second), Code::BadKey);
    direct::wait_for("the maximum isolation time to pass", || {
        world.advance_clocks(config_sync::MAX_ISOLATION_TIME.as_secs());
        result_code(&second) == Code::StaleConfig
    });
    assert!(second.readiness().unwrap().contains("has answered"));
    world.cut(&[]);
    direct::wait_for("the partition to end", || {
        result_code(&second) == Code::BadKey
    });
    assert_eq!(second.readiness(), None);
}

/// The list of VMs lags. An agent on a VM that has not been listed yet must not be treated as
/// removed: the tokens of its running requests would be written off.
#[test]
fn a_vm_that_was_never_listed_does_not_count_as_listed_before() {
    let mut listed = membership::ListedVms::default();
    listed.add([&"backend-1".into(), &"backend-2".into()]);
    listed.add([&"backend-2".into()]);
    assert!(listed.was_listed("backend-1"));
    assert!(!listed.was_listed("backend-3"));
}
