//! Orders reach engines through their agents, from one coordinator at a time.
//!
//! The tests guard against orders from a router that has lost its lease. Its fencing number is
//! lower than the one that the agent last accepted.

mod direct;

use fulmarproxy::{
    code::Code,
    coordination::orders,
    protocol::{messages, vm_list},
};

/// An order to load the model `other`, with a fencing number.
fn load_order(fencing: u64) -> messages::AgentCall {
    messages::AgentCall::Order(messages::Order {
        pool: "p".into(),
        fencing,
        action: orders::LOAD.to_owned(),
        subject: "other".to_owned(),
        version: String::new(),
        checked: false,
    })
}

#[test]
fn an_order_with_an_outdated_fencing_number_never_reaches_the_engine() {
    let world = direct::World::default();
    let agent = world.agent(0);
    let send_order = |fencing| match smol::block_on(agent.handle(load_order(fencing))) {
        messages::AgentReply::Ordered(result) => (result.code, result.newest),
        other => panic!("{other:?}"),
    };
    assert_eq!(send_order(7), (Code::Ok, 7));
    assert_eq!(send_order(6), (Code::Fenced, 7));
    assert_eq!(send_order(8), (Code::Ok, 8));
    let bodies = world.bodies.lock().unwrap();
    let fencing: Vec<_> = bodies.iter().map(|body| body["fencing"].as_u64()).collect();
    assert_eq!(fencing, [Some(7), Some(8)]);
}

#[test]
fn one_coordinator_loads_every_engine_and_one_that_lost_its_lease_changes_nothing() {
    let world = direct::World::default();
    world.publish(1);
    for index in 0..2 {
        world.list(vm_list::VmRole::Router, index);
    }
    for index in 0..3 {
        world.agent(index);
    }
    for index in 0..2 {
        world.router(index);
    }
    let ordered = |count: usize| world.bodies.lock().unwrap().len() >= count;
    direct::wait_for("all engines to be ordered", || ordered(3));
    let (first, fencing, lease) = world.platform.coordinator().unwrap();
    let bodies = world.bodies.lock().unwrap().clone();
    assert!(
        bodies.iter().all(|body| body["fencing"] == fencing),
        "{bodies:?}"
    );
    assert!(
        bodies.iter().all(|body| body["subject"] == "m"),
        "{bodies:?}"
    );
    assert_eq!(bodies.len(), 3, "each engine gets its order once");
    world.platform.end_lease(lease);
    let added = world.agent(3);
    direct::wait_for("a coordinator with a new lease", || {
        world.platform.coordinator().is_some()
    });
    let (second, newer, _) = world.platform.coordinator().unwrap();
    assert!(newer > fencing, "{first:?} {second:?}");
    direct::wait_for("the new engine to be ordered", || ordered(4));
    let outdated = match smol::block_on(added.handle(load_order(fencing))) {
        messages::AgentReply::Ordered(result) => result,
        other => panic!("{other:?}"),
    };
    assert_eq!((outdated.code, outdated.newest), (Code::Fenced, newer));
}
