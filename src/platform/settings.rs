//! The settings file that the platform writes for a process.

use std::{net::SocketAddr, time::Duration};

use serde::Deserialize;

use crate::{error, state::name};

/// Environment variable with the path of the settings file.
pub const PATH_VARIABLE: &str = "FULMARPROXY_BOOT";

#[derive(Deserialize)]
struct File {
    node: String,
    ip: std::net::IpAddr,
    internal_ports: [u16; 2],
    #[serde(default)]
    listen: Listen,
    bounds: Bounds,
    provider: Provider,
}

#[derive(Default, Deserialize)]
struct Listen {
    front: Option<SocketAddr>,
    ready: Option<SocketAddr>,
}

#[derive(Deserialize)]
struct Bounds {
    grace_s: f64,
    retry_budget_ratio: f64,
    budget_window_s: f64,
    /// Misleading name: repeats allowed a window besides the ratio; no tokens are meant.
    budget_slack: f64,
}

#[derive(Deserialize)]
struct Provider {
    address: SocketAddr,
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
}

/// Settings of a gateway.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Name of the VM.
    pub vm: name::Name,
    /// Address for callers.
    pub listen: SocketAddr,
    /// Address at which the platform asks for readiness.
    pub ready_listen: SocketAddr,
    /// Address for other members of the fleet.
    pub fleet_listen: SocketAddr,
    /// Address for metrics and status.
    pub admin_listen: SocketAddr,
    /// Address of the platform's store.
    pub store: SocketAddr,
    /// Time from the signal to stop to the kill.
    pub grace: Duration,
    /// Repeats allowed for each request of a service.
    pub retries_per_request: f64,
    /// Window over which repeats are counted.
    pub retry_window: Duration,
    /// Repeats allowed in a window besides the ratio, over the whole fleet.
    pub retry_slack: f64,
}

fn wrong(field: &'static str, allowed: &'static str) -> error::Error {
    error::Error::Setting {
        setting: field,
        value: String::new(),
        allowed,
    }
}

fn seconds(value: f64, field: &'static str) -> Result<Duration, error::Error> {
    Duration::try_from_secs_f64(value).map_err(|_| wrong(field, "a time of 0 or more"))
}

impl File {
    fn port(&self, offset: u16) -> SocketAddr {
        SocketAddr::new(self.ip, self.internal_ports[0].saturating_add(offset))
    }
}

fn parse(path: &str, text: &str) -> Result<File, error::Error> {
    toml::from_str(text).map_err(|source| error::Error::SettingsFile {
        path: path.to_owned(),
        source: Box::new(source),
    })
}

fn contents(path: &str) -> Result<String, error::Error> {
    std::fs::read_to_string(path).map_err(|source| error::Error::File {
        path: path.to_owned(),
        source,
    })
}

/// Decodes the settings file of a gateway.
///
/// # Errors
///
/// [`error::Error::SettingsFile`] names the path and what does not parse;
/// [`error::Error::Setting`] names a field that is missing or out of its range.
pub fn decode(path: &str, text: &str) -> Result<Settings, error::Error> {
    let file = parse(path, text)?;
    let listen = file.listen.front;
    let ready = file.listen.ready;
    Ok(Settings {
        vm: name::Name::from(&*file.node),
        listen: listen.ok_or_else(|| wrong("listen.front", "an address for callers"))?,
        ready_listen: ready.ok_or_else(|| wrong("listen.ready", "an address for readiness"))?,
        fleet_listen: file.port(0),
        admin_listen: file.port(1),
        store: file.provider.address,
        grace: seconds(file.bounds.grace_s, "bounds.grace_s")?,
        retries_per_request: file.bounds.retry_budget_ratio,
        retry_window: seconds(file.bounds.budget_window_s, "bounds.budget_window_s")?,
        retry_slack: file.bounds.budget_slack,
    })
}

/// Reads the settings file of a gateway.
///
/// # Errors
///
/// [`error::Error::File`] names the path; otherwise as [`decode`].
pub fn read(path: &str) -> Result<Settings, error::Error> {
    decode(path, &contents(path)?)
}

/// Reads the settings file of a carrier.
///
/// # Errors
///
/// [`error::Error::File`] names the path; [`error::Error::SettingsFile`] what does not parse.
pub fn read_carrier(path: &str) -> Result<CarrierSettings, error::Error> {
    let file = parse(path, &contents(path)?)?;
    Ok(CarrierSettings {
        vm: name::Name::from(&*file.node),
        fleet_listen: file.port(0),
        store: file.provider.address,
    })
}
