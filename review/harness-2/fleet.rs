//! Starts gateways as the deploy file does, each with a settings file of its own.

use std::{
    fs::{self, File},
    net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener},
    path::PathBuf,
    process::{Child, Command, Stdio},
    thread,
    time::{Duration, Instant},
};

use crate::http;

/// Figures of the settings' `bounds` that the cases use, in milliseconds.
pub const STABLE_WINDOW_MS: u64 = 3000;
pub const DRAIN_MS: u64 = 2000;

/// Ports of a run: the same on all machines.
#[derive(Clone, Copy)]
pub struct Ports {
    first: u16,
}

impl Ports {
    /// Finds a range of free ports.
    pub fn find() -> Self {
        let is_free = |port| TcpListener::bind((Ipv4Addr::new(127, 0, 1, 1), port)).is_ok();
        loop {
            let any = TcpListener::bind("127.0.0.1:0").unwrap();
            let first = any.local_addr().unwrap().port();
            if first < 60_000 && (first..first + 24).all(|port| port == first || is_free(port)) {
                return Ports { first };
            }
        }
    }

    pub fn internal(&self) -> u16 {
        self.first
    }

    pub fn front(&self) -> u16 {
        self.first + 18
    }

    fn ready(&self) -> u16 {
        self.first + 19
    }

    pub fn app(&self) -> u16 {
        self.first + 20
    }
}

/// Address of the gateway with this number.
pub fn front_ip(number: u8) -> IpAddr {
    IpAddr::V4(Ipv4Addr::new(127, 0, 1, number))
}

/// Address of the machine of the worker with this number.
pub fn side_ip(number: u8) -> IpAddr {
    IpAddr::V4(Ipv4Addr::new(127, 0, 2, number))
}

/// A gateway. Its process ends with this value.
pub struct Process {
    pub front: SocketAddr,
    ready: SocketAddr,
    settings: PathBuf,
    log: PathBuf,
    child: Option<Child>,
}

extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
}

/// Signals by number.
pub const SIGCONT: i32 = 18;
pub const SIGSTOP: i32 = 19;

impl Process {
    /// Prepares a gateway.
    pub fn gateway(folder: &std::path::Path, number: u8, ports: Ports, store: SocketAddr) -> Self {
        let ip = front_ip(number);
        let (front, ready) = (ports.front(), ports.ready());
        let name = format!("gateway-{number}");
        let first = ports.internal();
        let last = first + 15;
        let text = format!(
            "node = \"{name}\"\nip = \"{ip}\"\nzone = \"a\"\nregion = \"r\"\n\
             internal_ports = [{first},{last}]\nbootstrap = true\nheartbeat_ms = 1200\n\
             [zones]\na = \"r\"\n[listen]\nfront = \"{ip}:{front}\"\nready = \"{ip}:{ready}\"\n\
             [limits]\ncpu_share = 1.0\ncores = 1\nmemory_mb = 260\nmax_fds = 4100\nlink_mbps = 1000.0\n\
             [bounds]\nseed_lag_s = 3\nreuse_after_s = 2\nstable_window_ms = {STABLE_WINDOW_MS}\n\
             ack_timeout_ms = 4000\ncatch_up_s = 4\ndrain_ms = {DRAIN_MS}\ngrace_s = 8\n\
             loss_slack_ms = 200\nconfig_apply_ms = 2000\nrollback_slack_ms = 250\n\
             max_skew_ms = 5000\nstrict_revoke = false\nrevoke_ms = 5000\n\
             retry_budget_ratio = 0.2\nbudget_window_s = 10\nbudget_slack = 58\nrecovery_s = 12\n\
             pass_ms = 120\nreuse_window_s = 8.6\nsettle_ms = 1500\n\
             [provider]\naddress = \"{store}\"\nform = \"kv\"\nwrites_per_s = 400\n\
             reads_per_s = 2000\nhistory_s = 20\nmax_value_bytes = 1048576\nmin_ttl_ms = 1000\n"
        );
        let settings = folder.join(format!("{name}.toml"));
        fs::write(&settings, text).unwrap();
        Process {
            log: folder.join(format!("{name}.log")),
            front: SocketAddr::new(ip, front),
            ready: SocketAddr::new(ip, ready),
            settings,
            child: None,
        }
    }

    /// Starts the process with the command of the deploy file.
    pub fn start(&mut self) {
        let log = File::options()
            .create(true)
            .append(true)
            .open(&self.log)
            .unwrap();
        let child = Command::new("target/release/fulmard")
            .arg("gateway")
            .env("FULMARPROXY_BOOT", &self.settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone().unwrap())
            .stderr(log)
            .spawn();
        self.child = Some(child.expect("target/release/fulmard starts"));
    }

    /// Kills the process with SIGKILL.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Sends a signal to the process.
    pub fn signal(&self, signal: i32) {
        if let Some(child) = &self.child {
            unsafe { kill(child.id() as i32, signal) };
        }
    }

    /// Whether the process has ended by itself.
    pub fn has_ended(&mut self) -> bool {
        let child = self.child.as_mut();
        child.is_some_and(|child| matches!(child.try_wait(), Ok(Some(_))))
    }

    /// Whether the process says that it is ready.
    pub fn is_ready(&self) -> bool {
        let second = Duration::from_secs(1);
        let probe = b"GET /readiness HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n";
        http::send(self.ready, probe, second, second).status == 200
    }

    /// Waits until the process is ready; false when it is not within 20 s.
    pub fn wait_ready(&self) -> bool {
        let until = Instant::now() + Duration::from_secs(20);
        while Instant::now() < until {
            if self.is_ready() {
                return true;
            }
            thread::sleep(Duration::from_millis(50));
        }
        false
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.signal(SIGCONT);
        self.kill();
    }
}
