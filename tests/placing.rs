//! Choosing a backend server under loads that share parts of their prompts.

use std::{collections::HashMap, sync::Arc};

use fulmarproxy::{coordination::placement, state::server};

fn servers(count: usize) -> Vec<Arc<server::Server>> {
    let server = |number: usize| server::Server {
        id: format!("i-{number}").into(),
        service: "model".into(),
        address: format!("10.0.0.{}:80", number + 1).parse().unwrap(),
        zone: "zone-a".into(),
        slots: 64,
        takes_work: true,
        started_unix_ms: 0,
    };
    (0..count).map(|number| Arc::new(server(number))).collect()
}

#[test]
fn a_part_is_read_by_one_server_whichever_router_asks() {
    let servers = servers(9);
    let mut others = servers.clone();
    others.reverse();
    for part in 0..200 {
        let here = placement::Placement::default()
            .choose_server(&servers, Some(part), 1)
            .unwrap();
        let there = placement::Placement::default()
            .choose_server(&others, Some(part), 2)
            .unwrap();
        assert_eq!(here.id, there.id);
    }
}

#[test]
fn a_popular_part_does_not_overload_its_server() {
    let servers = servers(9);
    let mut placement = placement::Placement::default();
    let mut counts: HashMap<_, u32> = HashMap::new();
    for number in 0..180u64 {
        // Three requests in ten share one part.
        let part = if number % 10 < 3 { 1 } else { 1000 + number };
        let chosen = placement
            .choose_server(&servers, Some(part), number)
            .unwrap();
        placement.begin(&chosen.id);
        *counts.entry(chosen.id.clone()).or_default() += 1;
    }
    // 20 a server would be even.
    assert!(counts.values().all(|count| *count <= 31), "{counts:?}");
    assert_eq!(counts.len(), 9);
}

#[test]
fn plain_requests_go_to_the_least_loaded() {
    let servers = servers(4);
    let mut placement = placement::Placement::default();
    for number in 0..40 {
        let chosen = placement.choose_server(&servers, None, number).unwrap();
        placement.begin(&chosen.id);
    }
    assert!(
        servers
            .iter()
            .all(|server| placement.running(&server.id) == 10)
    );
}
