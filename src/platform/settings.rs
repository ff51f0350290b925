//! The settings file that the platform writes for each gateway and carrier.

use std::{net::SocketAddr, time::Duration};

use serde::Deserialize;

use crate::{error, state::name};

/// Environment variable that contains the path of the settings file.
pub const PATH_VARIABLE: &str = "FULMARPROXY_BOOT";

/// Interval of backend servers' writes when the settings don't name it.
const DEFAULT_HEARTBEAT: Duration = Duration::from_secs(2);

/// Time after a disruption of the store when the settings don't name it.
const DEFAULT_STABLE_WINDOW: Duration = Duration::from_secs(3);

/// Time within which a configuration must be in force when the settings don't name it.
const DEFAULT_CONFIG_APPLY: Duration = Duration::from_secs(2);

/// Offset in the internal ports of the datagrams with loads of backend servers.
const LOADS_OFFSET: u16 = 2;

#[derive(Deserialize)]
struct File {
    node: String,
    ip: std::net::IpAddr,
    internal_ports: [u16; 2],
    #[serde(default)]
    bootstrap: bool,
    /// Address of the backend server on a carrier's VM.
    app: Option<toml::Value>,
    /// Service of that backend server.
    service: Option<toml::Value>,
    #[serde(default)]
    listen: Listen,
    heartbeat_ms: Option<f64>,
    bounds: Bounds,
    #[serde(default)]
    limits: LimitsTable,
    provider: Provider,
}

#[derive(Default, Deserialize)]
struct LimitsTable {
    memory_mb: Option<f64>,
    max_fds: Option<usize>,
    link_mbps: Option<f64>,
}

#[derive(Default, Deserialize)]
struct Listen {
    front: Option<SocketAddr>,
    ready: Option<SocketAddr>,
}

#[derive(Deserialize)]
struct Bounds {
    grace_s: f64,
    #[serde(default)]
    drain_ms: f64,
    config_apply_ms: Option<f64>,
    stable_window_ms: Option<f64>,
    pass_ms: Option<f64>,
    retry_budget_ratio: f64,
    budget_window_s: f64,
    /// Retries allowed per window in addition to the ratio. Despite the name, this has nothing to
    /// do with token budgets.
    budget_slack: f64,
}

#[derive(Deserialize)]
struct Provider {
    address: SocketAddr,
}

/// Resources of the VM.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Limits {
    /// Memory in bytes.
    pub memory: usize,
    /// File descriptors.
    pub max_fds: usize,
    /// Bandwidth of the link in bytes per second.
    pub link: u64,
}

/// The resources of the smallest VM: 120 MB and 3,075 descriptors. The link is the fastest one, 200 Mbit/s, since
/// a lower bandwidth would end bodies that could arrive in time.
impl Default for Limits {
    fn default() -> Self {
        Self {
            memory: 120_000_000,
            max_fds: 3_075,
            link: 25_000_000,
        }
    }
}

impl LimitsTable {
    fn decode(&self) -> Result<Limits, error::Error> {
        let default = Limits::default();
        let scaled = |value: Option<f64>, unit: f64, field: &'static str| match value {
            Some(value) if value > 0.0 && value.is_finite() => Ok(Some(value * unit)),
            Some(_) => Err(invalid_field(field, "a number above 0")),
            None => Ok(None),
        };
        let memory = scaled(self.memory_mb, 1e6, "limits.memory_mb")?;
        let link = scaled(self.link_mbps, 1e6 / 8.0, "limits.link_mbps")?;
        Ok(Limits {
            memory: memory.map_or(default.memory, |bytes| bytes as usize),
            max_fds: self.max_fds.unwrap_or(default.max_fds),
            link: link.map_or(default.link, |bytes| bytes as u64),
        })
    }
}

/// Settings of a carrier.
#[derive(Clone, Debug, PartialEq)]
pub struct CarrierSettings {
    /// Name of the VM.
    pub vm: name::Name,
    /// Address for other members of the fleet.
    pub fleet_listen: SocketAddr,
    /// Address of the platform's store.
    pub store: SocketAddr,
    /// Address that serves metrics.
    pub admin_listen: SocketAddr,
    /// Address that takes subscriptions to the load of the backend server.
    pub loads_listen: SocketAddr,
    /// Address of the backend server on this VM; without one that parses no load is reported.
    pub app: Option<SocketAddr>,
    /// Service of that backend server.
    pub service: Option<name::Name>,
}

/// Settings of a gateway.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Name of the VM.
    pub vm: name::Name,
    /// Address for callers.
    pub listen: SocketAddr,
    /// Address that serves the platform's readiness check.
    pub ready_listen: SocketAddr,
    /// Address for other members of the fleet.
    pub fleet_listen: SocketAddr,
    /// Address that serves metrics and status.
    pub admin_listen: SocketAddr,
    /// Address of the platform's store.
    pub store: SocketAddr,
    /// Interval at which backend servers write to their entries in the store.
    pub heartbeat: Duration,
    /// Time between the stop signal and the kill.
    pub grace: Duration,
    /// Time within which requests must stop to reach a backend server that says that it drains.
    pub drain: Duration,
    /// Time within which a configuration must be in force.
    pub config_apply: Duration,
    /// Time after the end of a disruption within which the gateway must know again what the store
    /// holds.
    pub stable_window: Duration,
    /// Time that an event of a stream may take from its backend server to the caller; `None` when nothing
    /// is said, and events are not collected.
    pub pass_time: Option<Duration>,
    /// Retries allowed per request of a service.
    pub retries_per_request: f64,
    /// Time window over which requests and retries are counted.
    pub retry_window: Duration,
    /// Retries that the whole fleet may make per window in addition to those allowed per request.
    pub retry_slack: f64,
    /// Resources of the VM.
    pub limits: Limits,
    /// Whether the whole system starts for the first time.
    pub is_first_start: bool,
}

impl Settings {
    /// Address from which the gateway subscribes to the loads of backend servers. Carriers take
    /// subscriptions at the same port.
    ///
    /// ```
    /// use fulmarproxy::platform::settings;
    /// let text = r#"
    /// node = "vm-1"
    /// ip = "10.0.0.1"
    /// internal_ports = [7000, 7009]
    /// [listen]
    /// front = "10.0.0.1:80"
    /// ready = "10.0.0.1:81"
    /// [bounds]
    /// grace_s = 3
    /// retry_budget_ratio = 0.2
    /// budget_window_s = 10
    /// budget_slack = 50
    /// [provider]
    /// address = "10.0.0.9:2379"
    /// "#;
    /// let settings = settings::decode("settings.toml", text).unwrap();
    /// assert_eq!(settings.loads_listen(), "10.0.0.1:7002".parse().unwrap());
    /// ```
    pub fn loads_listen(&self) -> SocketAddr {
        address_at(self.fleet_listen, LOADS_OFFSET)
    }
}

/// Address with the port at `offset` from that of the fleet listener. When that one is 0, the
/// operating system chooses each port.
fn address_at(fleet_listen: SocketAddr, offset: u16) -> SocketAddr {
    let port = match fleet_listen.port() {
        0 => 0,
        first => first.saturating_add(offset),
    };
    SocketAddr::new(fleet_listen.ip(), port)
}

fn invalid_field(field: &'static str, allowed: &'static str) -> error::Error {
    error::Error::Setting {
        setting: field,
        value: String::new(),
        allowed,
    }
}

fn duration_from_secs(value: f64, field: &'static str) -> Result<Duration, error::Error> {
    Duration::try_from_secs_f64(value).map_err(|_| invalid_field(field, "a time of 0 or more"))
}

impl File {
    /// Address with the port at `offset` from the first internal port.
    fn internal_address(&self, offset: u16) -> SocketAddr {
        address_at(SocketAddr::new(self.ip, self.internal_ports[0]), offset)
    }
}

fn parse(path: &str, text: &str) -> Result<File, error::Error> {
    toml::from_str(text).map_err(|source| error::Error::SettingsFile {
        path: path.to_owned(),
        source: Box::new(source),
    })
}

fn read_text(path: &str) -> Result<String, error::Error> {
    std::fs::read_to_string(path).map_err(|source| error::Error::File {
        path: path.to_owned(),
        source,
    })
}

/// Decodes the settings file of a gateway.
///
/// # Errors
///
/// [`error::Error::SettingsFile`] when the text does not parse, [`error::Error::Setting`] when a
/// field that a gateway needs is missing or out of range.
pub fn decode(path: &str, text: &str) -> Result<Settings, error::Error> {
    let file = parse(path, text)?;
    let listen = file.listen.front;
    let ready_listen = file.listen.ready;
    Ok(Settings {
        vm: name::Name::from(&*file.node),
        listen: listen.ok_or_else(|| invalid_field("listen.front", "an address for callers"))?,
        ready_listen: ready_listen
            .ok_or_else(|| invalid_field("listen.ready", "an address for readiness"))?,
        fleet_listen: file.internal_address(0),
        admin_listen: file.internal_address(1),
        store: file.provider.address,
        heartbeat: match file.heartbeat_ms {
            Some(millis) => duration_from_secs(millis / 1000.0, "heartbeat_ms")?,
            None => DEFAULT_HEARTBEAT,
        },
        grace: duration_from_secs(file.bounds.grace_s, "bounds.grace_s")?,
        drain: duration_from_secs(file.bounds.drain_ms / 1000.0, "bounds.drain_ms")?,
        config_apply: match file.bounds.config_apply_ms {
            Some(millis) => duration_from_secs(millis / 1000.0, "bounds.config_apply_ms")?,
            None => DEFAULT_CONFIG_APPLY,
        },
        stable_window: match file.bounds.stable_window_ms {
            Some(millis) => duration_from_secs(millis / 1000.0, "bounds.stable_window_ms")?,
            None => DEFAULT_STABLE_WINDOW,
        },
        pass_time: match file.bounds.pass_ms {
            Some(millis) => Some(duration_from_secs(millis / 1000.0, "bounds.pass_ms")?),
            None => None,
        },
        retries_per_request: file.bounds.retry_budget_ratio,
        retry_window: duration_from_secs(file.bounds.budget_window_s, "bounds.budget_window_s")?,
        retry_slack: file.bounds.budget_slack,
        limits: file.limits.decode()?,
        is_first_start: file.bootstrap,
    })
}

/// Reads the settings file of a gateway.
///
/// # Errors
///
/// [`error::Error::File`] when the file cannot be read; otherwise as for [`decode`].
pub fn read(path: &str) -> Result<Settings, error::Error> {
    decode(path, &read_text(path)?)
}

fn text_of(value: &Option<toml::Value>) -> Option<&str> {
    value.as_ref().and_then(toml::Value::as_str)
}

/// Decodes the settings file of a carrier.
///
/// # Errors
///
/// [`error::Error::SettingsFile`] when the text does not parse.
///
/// ```
/// use fulmarproxy::platform::settings;
/// let decode = |app: &str| {
///     let text = format!(
///         "node = 'vm-1'\nip = '10.0.0.1'\ninternal_ports = [7000, 7009]\n{app}\n\
///          [bounds]\ngrace_s = 3\nretry_budget_ratio = 0.2\nbudget_window_s = 10\n\
///          budget_slack = 50\n[provider]\naddress = '10.0.0.9:2379'",
///     );
///     settings::decode_carrier("settings.toml", &text).unwrap()
/// };
/// let settings = decode("app = '10.0.0.1:80'\nservice = 'model'");
/// assert_eq!(settings.app, Some("10.0.0.1:80".parse().unwrap()));
/// assert_eq!(settings.loads_listen, "10.0.0.1:7002".parse().unwrap());
/// for without in ["", "app = ''", "app = 3", "app = {a = 1}", "service = []"] {
///     assert_eq!((decode(without).app, decode(without).service), (None, None));
/// }
/// ```
pub fn decode_carrier(path: &str, text: &str) -> Result<CarrierSettings, error::Error> {
    let file = parse(path, text)?;
    Ok(CarrierSettings {
        vm: name::Name::from(&*file.node),
        fleet_listen: file.internal_address(0),
        store: file.provider.address,
        admin_listen: file.internal_address(1),
        loads_listen: file.internal_address(LOADS_OFFSET),
        // A carrier forwards bytes whatever these two are, so others than text count as missing.
        app: text_of(&file.app).and_then(|text| text.parse().ok()),
        service: text_of(&file.service).map(name::Name::from),
    })
}

/// Reads the settings file of a carrier.
///
/// # Errors
///
/// [`error::Error::File`] when the file cannot be read; otherwise as for [`decode_carrier`].
pub fn read_carrier(path: &str) -> Result<CarrierSettings, error::Error> {
    decode_carrier(path, &read_text(path)?)
}

#[cfg(test)]
mod tests {
    use super::{Limits, decode};

    fn limits(table: &str) -> Result<Limits, crate::error::Error> {
        let text = format!(
            "node = \"entry-1\"\nip = \"127.0.0.1\"\ninternal_ports = [1, 9]\n\
             [listen]\nfront = \"127.0.0.1:0\"\nready = \"127.0.0.1:0\"\n\
             [bounds]\ngrace_s = 3\nretry_budget_ratio = 0.2\nbudget_window_s = 10\nbudget_slack = 5\n\
             [provider]\naddress = \"127.0.0.1:1\"\n{table}"
        );
        decode("settings.toml", &text).map(|settings| settings.limits)
    }

    /// Guards against settings without the table, or with a part of it, that do not start a gateway.
    #[test]
    fn missing_limits_have_defaults() {
        assert_eq!(limits("").unwrap(), Limits::default());
        let read = limits("[limits]\nmemory_mb = 160\nlink_mbps = 10\n").unwrap();
        assert_eq!((read.memory, read.link), (160_000_000, 1_250_000));
        assert_eq!(read.max_fds, Limits::default().max_fds);
    }

    /// Guards against a limit of nothing, which would refuse every request.
    #[test]
    fn limits_of_zero_are_refused() {
        assert!(limits("[limits]\nmemory_mb = 0\n").is_err());
        assert!(limits("[limits]\nlink_mbps = -1.0\n").is_err());
    }
}
