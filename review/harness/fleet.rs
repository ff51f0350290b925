//! Starts gateways as processes, with the command of the deploy file and settings of their own.

use std::{
    fs,
    net::{SocketAddr, TcpListener, TcpStream},
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    sync::Mutex,
    thread,
    time::{Duration, Instant},
};

use crate::http::{Conn, Head};

/// Time within which a gateway must be ready.
const START_TIME: Duration = Duration::from_secs(15);

/// A temporary folder that is removed at the end.
pub struct Folder(pub PathBuf);

impl Folder {
    /// Creates a folder.
    pub fn create() -> Self {
        let path = std::env::temp_dir().join(format!("fulmar-review-{}", std::process::id()));
        fs::create_dir_all(&path).expect("a temporary folder");
        Self(path)
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.0);
    }
}

/// Processes that run, by their ids.
static RUNNING: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// Kills all processes that were started and still run.
pub fn kill_all() {
    for pid in RUNNING.lock().unwrap().drain(..) {
        let _ = Command::new("kill").args(["-KILL", &pid.to_string()]).status();
    }
}

/// A process that is killed at the end.
pub struct Process(Child);

impl Process {
    /// Takes over a process that was started.
    pub fn new(child: Child) -> Self {
        RUNNING.lock().unwrap().push(child.id());
        Self(child)
    }

    /// Id of the process.
    pub fn id(&self) -> u32 {
        self.0.id()
    }

    /// Sends a signal, given as an option of `kill` such as `-STOP`.
    pub fn signal(&self, signal: &str) {
        let pid = self.0.id().to_string();
        let _ = Command::new("kill").args([signal, &pid]).status();
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
        RUNNING.lock().unwrap().retain(|it| *it != self.0.id());
    }
}

/// A running gateway.
pub struct Gateway {
    /// The process.
    pub process: Process,
    /// Address for callers.
    pub front: SocketAddr,
    /// Address of the readiness check.
    pub ready: SocketAddr,
}

/// Finds free ports: a range of 16 and two more.
fn free_ports() -> (u16, u16, u16) {
    loop {
        let bind = || TcpListener::bind("127.0.0.1:0").ok();
        let port = |it: &TcpListener| it.local_addr().map_or(0, |it| it.port());
        let (Some(base), Some(front), Some(ready)) = (bind(), bind(), bind()) else {
            continue;
        };
        let next = port(&base).checked_add(1).map(|it| ("127.0.0.1", it));
        if next.is_some_and(|next| TcpListener::bind(next).is_ok()) {
            return (port(&base), port(&front), port(&ready));
        }
    }
}

/// The settings file of a gateway, as on the pages for a small deployment.
fn settings(node: &str, ports: (u16, u16, u16), store: SocketAddr) -> String {
    let (base, front, ready) = ports;
    let last = base.saturating_add(15);
    format!(
        "node = \"{node}\"\nrole = \"gateway\"\nmachine_class = \"front\"\nserves = [\"front\"]\n\
         ip = \"127.0.0.1\"\nzone = \"bergen-a\"\nregion = \"vestland\"\n\
         internal_ports = [{base},{last}]\nseeds = []\nbootstrap = true\n\
         counts_as_loss = false\ndiscovery = \"platform\"\nentry = \"vip\"\nheartbeat_ms = 1200\n\
         contracts = [\"base\",\"drain\",\"config\",\"cost\",\"retry\",\"recover\",\"engine\",\
         \"stream\",\"tenants\",\"platform\"]\n\
         [zones]\nbergen-a = \"vestland\"\n\
         [listen]\nfront = \"127.0.0.1:{front}\"\nready = \"127.0.0.1:{ready}\"\n\
         [limits]\ncpu_share = 0.19\ncores = 1\nmemory_mb = 260\nmax_fds = 4100\n\
         link_mbps = 1000.0\ndisk_mb = 0\n\
         [fault_tolerance]\nmachines = 1\nzones = 0\nregions = 0\n\
         [bounds]\nseed_lag_s = 3\nreuse_after_s = 2\nstable_window_ms = 3000\n\
         ack_timeout_ms = 4000\ncatch_up_s = 4\ndrain_ms = 2000\ngrace_s = 8\n\
         loss_slack_ms = 200\nconfig_apply_ms = 2000\nrollback_slack_ms = 250\n\
         max_skew_ms = 5000\nstrict_revoke = false\nrevoke_ms = 5000\n\
         retry_budget_ratio = 0.2\nbudget_window_s = 10\nbudget_slack = 58\nrecovery_s = 12\n\
         pass_ms = 120\nreuse_window_s = 8.6\nsettle_ms = 1500\n\
         [provider]\naddress = \"{store}\"\nform = \"kv\"\nwrites_per_s = 400\n\
         reads_per_s = 2000\nhistory_s = 20\nmax_value_bytes = 1048576\nmin_ttl_ms = 1000\n"
    )
}

/// Starts a gateway and waits until it is ready; `None` when it does not get ready.
pub fn start_gateway(node: &str, store: SocketAddr, folder: &Path) -> Option<Gateway> {
    let ports = free_ports();
    let file = folder.join(format!("{node}.toml"));
    fs::write(&file, settings(node, ports, store)).ok()?;
    let log = fs::File::create(folder.join(format!("{node}.log"))).ok()?;
    let child = Command::new("bash")
        .args([
            "-c",
            "ulimit -n 4100 || ulimit -n \"$(ulimit -Hn)\"; exec target/release/fulmard gateway",
        ])
        .env("FULMARPROXY_BOOT", &file)
        .stdin(Stdio::null())
        .stdout(log.try_clone().ok()?)
        .stderr(log)
        .spawn()
        .ok()?;
    let gateway = Gateway {
        process: Process::new(child),
        front: SocketAddr::from(([127, 0, 0, 1], ports.1)),
        ready: SocketAddr::from(([127, 0, 0, 1], ports.2)),
    };
    let until = Instant::now() + START_TIME;
    while Instant::now() < until {
        if is_ready(gateway.ready) {
            return Some(gateway);
        }
        thread::sleep(Duration::from_millis(50));
    }
    None
}

/// Asks the readiness address once, on a connection of its own.
pub fn is_ready(address: SocketAddr) -> bool {
    let Ok(stream) = TcpStream::connect_timeout(&address, Duration::from_secs(1)) else {
        return false;
    };
    let _ = stream.set_read_timeout(Some(Duration::from_secs(1)));
    let mut conn = Conn::new(stream);
    let asked = conn.send(b"GET /readiness HTTP/1.1\r\nHost: ready\r\n\r\n");
    let answer: Option<Head> = asked.and_then(|()| conn.head()).ok().flatten();
    answer.is_some_and(|head| head.status() == 200)
}
