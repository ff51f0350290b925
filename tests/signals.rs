//! What the daemon's processes do at SIGHUP and SIGTERM.

mod common;

use std::{
    fs,
    io::{BufRead, BufReader, Read, Write},
    net::{TcpListener, TcpStream},
    path::PathBuf,
    process::{Child, ChildStdout, Command, Stdio},
};

/// A role of the daemon that reads a settings file, with its log.
struct Role {
    child: Child,
    log: BufReader<ChildStdout>,
    settings: PathBuf,
    fleet_address: String,
}

impl Drop for Role {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = fs::remove_file(&self.settings);
    }
}

fn write_settings(path: &PathBuf, fleet: &str, front: &str, ready: &str, store: &str) {
    let port = fleet.rsplit(':').next().unwrap();
    let text = format!(
        "node = \"vm-1\"\nip = \"127.0.0.1\"\ninternal_ports = [{port}, {port}]\n\
         [listen]\nfront = \"{front}\"\nready = \"{ready}\"\n\
         [bounds]\ngrace_s = 3\ndrain_ms = 2000\nretry_budget_ratio = 0.2\n\
         budget_window_s = 10\nbudget_slack = 50\n\
         [provider]\naddress = \"{store}\"\n"
    );
    fs::write(path, text).unwrap();
}

impl Role {
    fn start(role: &str, store: &str) -> Self {
        let [fleet, front, ready] = [(); 3].map(|()| common::free_address());
        let file = format!("fulmar-signals-{}-{role}.toml", std::process::id());
        let settings = std::env::temp_dir().join(file);
        write_settings(&settings, &fleet, &front, &ready, store);
        let mut child = Command::new(env!("CARGO_BIN_EXE_fulmard"))
            .args([role, "--settings", settings.to_str().unwrap()])
            .stdout(Stdio::piped())
            .spawn()
            .unwrap();
        let log = BufReader::new(child.stdout.take().unwrap());
        let mut role_process = Self {
            child,
            log,
            settings,
            fleet_address: fleet,
        };
        role_process.wait_for_line(&format!("{role}: started"));
        role_process
    }

    /// Reads the log up to a line that contains a text.
    fn wait_for_line(&mut self, text: &str) {
        let mut line = String::new();
        while !line.contains(text) {
            line.clear();
            let len = self.log.read_line(&mut line).unwrap();
            assert!(len > 0, "the process ended before it logged {text:?}");
        }
    }

    fn signal(&self, signal: &str) {
        let pid = self.child.id().to_string();
        let sent = Command::new("kill").args([signal, &pid]).status().unwrap();
        assert!(sent.success());
    }
}

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
    let mut carrier = Role::start("carrier", &address(&store));
    assert_eq!(echo_through(&carrier.fleet_address, &store), b'y');
    let fleet = carrier.fleet_address.clone();
    let unused = "127.0.0.1:1";
    write_settings(&carrier.settings, &fleet, unused, unused, &address(&other));
    carrier.signal("-HUP");
    carrier.wait_for_line("carrier: settings reloaded");
    assert_eq!(echo_through(&fleet, &other), b'y');
    fs::write(&carrier.settings, "node = 3").unwrap();
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
    let mut gateway = Role::start("gateway", &address);
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
