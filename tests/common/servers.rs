//! Backend servers for tests of decisions about them.

use std::sync::Arc;

use fulmarproxy::state::server;

/// Model servers `i-0`, `i-1` and so on, which take work.
pub fn servers(count: usize) -> Vec<Arc<server::Server>> {
    let server = |number: usize| server::Server {
        id: format!("i-{number}").into(),
        service: "model".into(),
        address: format!("10.0.0.{}:80", number + 1).parse().unwrap(),
        software: "v1".into(),
        zone: "zone-a".into(),
        slots: 64,
        takes_work: true,
        started_unix_ms: 0,
    };
    (0..count).map(|number| Arc::new(server(number))).collect()
}
