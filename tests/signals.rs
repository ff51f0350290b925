//! What the daemon's processes do at SIGHUP and SIGTERM.

mod common;

use std::{
    io::{Read, Write},
    net::{TcpListener, TcpStream},
};

use common::placed::Placed;

/// Sends a byte through a carrier and returns what the store behind it sends back.
fn echo_through(carrier: &str, store: &TcpListener) -> u8 {
    let mut caller = TcpStream::connect(carrier).unwrap();
    caller.write_all(b"x").unwrap();
    let (mut behind, _) = store.accept().unwrap();
    let mut byte = [0];
    behind.read_exact(&mut byte).unwrap();
    behind.write_all(&[byte[0] + 1]).unwrap();
    caller.read_exact(&mut byte).unwrap();
    byte[0]
}

/// Guards against carriers that end when the platform says that their settings have changed: they
/// exited with 129, and the calls that they forwarded were cut.
#[test]
fn a_carrier_reloads_its_settings_at_sighup_and_stops_at_sigterm() {
    let [store, other] = [(); 2].map(|()| TcpListener::bind("127.0.0.1:0").unwrap());
    let address = |listener: &TcpListener| listener.local_addr().unwrap().to_string();
    let mut carrier = Placed::start("carrier", "vm-1", &address(&store));
    let fleet = carrier.address("fleet");
    assert_eq!(echo_through(&fleet, &store), b'y');
    carrier.set_store(&address(&other));
    carrier.signal("-HUP");
    carrier.wait_for_line("carrier: settings reloaded");
    assert_eq!(echo_through(&fleet, &other), b'y');
    carrier.break_settings();
    carrier.signal("-HUP");
    carrier.wait_for_line("keeping the old ones");
    assert_eq!(echo_through(&fleet, &other), b'y');
    carrier.signal("-TERM");
    carrier.wait_for_line("carrier: stopped");
    assert!(carrier.child.wait().unwrap().success());
}

#[test]
fn a_gateway_reloads_its_settings_at_sighup_and_stops_at_sigterm() {
    let store = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = store.local_addr().unwrap().to_string();
    drop(store);
    let mut gateway = Placed::start("gateway", "vm-1", &address);
    gateway.signal("-HUP");
    gateway.wait_for_line("signals: reloading the settings");
    gateway.signal("-TERM");
    gateway.wait_for_line("gateway: stopped");
    assert!(gateway.child.wait().unwrap().success());
}

#[test]
fn routers_and_agents_outlive_sighup() {
    let mut fleet = common::Fleet::start("haugland");
    fleet.add_router();
    fleet.add_agent("fortelling", 100);
    fleet.wait_ready(0, 1);
    for mut process in [fleet.agents.remove(0), fleet.routers.remove(0)] {
        process.signal("-HUP");
        process.signal("-TERM");
        let status = process.child.wait().unwrap();
        assert!(status.success(), "{}: {status}", process.name);
    }
}
