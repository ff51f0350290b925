//! Orders reach engines through their agents, from one coordinator at a time.

mod direct;

use fulmarproxy::{
    code::Code,
    coordination::orders,
    protocol::{messages, vm_list},
};

fn order(fencing: u64) -> messages::AgentCall {
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
fn an_old_fencing_number_never_reaches_the_engine() {
    let world = direct::World::default();
    let agent = world.agent(0);
    let give = |fencing| match smol::block_on(agent.handle(order(fencing))) {
        messages::AgentReply::Ordered(result) => (result.code, result.newest),
        other => panic!("{other:?}"),
    };
    assert_eq!(give(7), (Code::Ok, 7));
    assert_eq!(give(6), (Code::Fenced, 7));
    assert_eq!(give(8), (Code::Ok, 8));
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
    let loaded = |count: usize| world.bodies.lock().unwrap().len() >= count;
    direct::wait_for("all engines to be ordered", || loaded(3));
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
    let replaced = world.agent(3);
    direct::wait_for("another lease", || world.platform.coordinator().is_some());
    let (second, newer, _) = world.platform.coordinator().unwrap();
    assert!(newer > fencing, "{first:?} {second:?}");
    direct::wait_for("the new engine to be ordered", || loaded(4));
    let late = match smol::block_on(replaced.handle(order(fencing))) {
        messages::AgentReply::Ordered(result) => result,
        other => panic!("{other:?}"),
    };
    assert_eq!((late.code, late.newest), (Code::Fenced, newer));
}
