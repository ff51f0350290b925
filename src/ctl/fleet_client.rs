//! Client with which `fulmarctl` calls the routers and agents of the fleet.

use std::{collections::BTreeMap, io::IsTerminal, sync::Arc, time::Duration};

use serde::Serialize;
use serde_json::Value;

use crate::{
    error,
    protocol::{messages, vm_list},
    state::name,
    transport::{dialler, fleet, timers, vms, workers},
};

/// Time limit for one call to a router or an agent.
const CALL_TIMEOUT: Duration = Duration::from_secs(3);
/// Time limit for routers to put a version in force.
const WAIT_TIMEOUT: Duration = Duration::from_secs(60);
/// Interval at which the routers are asked while waiting.
const POLL_INTERVAL: Duration = Duration::from_millis(200);

/// Calls routers and agents at the addresses in the list of VMs, authenticated by the fleet key.
#[derive(Clone)]
pub struct FleetClient {
    vms: vms::Vms,
    fleet: fleet::Fleet,
    timers: timers::Timers,
}

/// Status of a router.
#[derive(Clone, Debug, Serialize)]
pub struct RouterStatus {
    /// VM name.
    pub name: name::Name,
    /// Configuration version in force; zero when the router did not answer.
    pub version: u64,
    /// Why the call failed; `None` when the router answered.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub error: Option<String>,
    /// The router's answer as it is; null when there is none.
    #[serde(skip_serializing_if = "Value::is_null")]
    pub detail: Value,
}

/// Status of the fleet.
#[derive(Clone, Debug, Serialize)]
pub struct Status {
    /// Published version.
    pub published: u64,
    /// Status of each router in the list of VMs.
    pub routers: Vec<RouterStatus>,
    /// Newest configuration version that any router reports for each agent.
    pub agents: BTreeMap<String, u64>,
    /// Routers that do not have the published version in force.
    pub lagging: Vec<name::Name>,
}

impl FleetClient {
    /// Creates a client from the address of the list of VMs and the path of the fleet key.
    ///
    /// # Errors
    ///
    /// [`error::Error::File`] when the key cannot be read, [`error::Error::Io`] when the worker
    /// thread cannot be started.
    pub fn new(vms: &str, key_file: &str) -> Result<Self, error::Error> {
        let key = std::fs::read(key_file).map_err(|source| error::Error::File {
            path: key_file.to_owned(),
            source,
        })?;
        let timers = timers::Timers::default();
        let workers = workers::Workers::start("ctl", 1)?;
        let dialler = dialler::Dialler::new(workers, Arc::from(key), timers.clone());
        Ok(Self {
            vms: vms::Vms::over_http(vms),
            fleet: fleet::Fleet::over_rpc(&dialler),
            timers,
        })
    }

    /// Reads the VMs with a role from the list.
    async fn vms_with_role(&self, role: vm_list::VmRole) -> Result<Vec<vm_list::Vm>, error::Error> {
        let mut vms = (self.vms.read)().await?;
        vms.retain(|vm| vm.role == role);
        Ok(vms)
    }

    /// Asks all routers for their status.
    ///
    /// # Errors
    ///
    /// [`error::Error::Http`] when the list of VMs cannot be read.
    pub async fn status(&self, published: u64) -> Result<Status, error::Error> {
        let routers = self.vms_with_role(vm_list::VmRole::Router).await?;
        let calls = routers.into_iter().map(|vm| self.router_status(vm));
        let routers = futures::future::join_all(calls).await;
        let mut agents = BTreeMap::new();
        let reported = routers
            .iter()
            .filter_map(|router| router.detail["versions"].as_object());
        for (agent, version) in reported.flatten() {
            let newest = agents.entry(agent.clone()).or_default();
            *newest = version.as_u64().unwrap_or(0).max(*newest);
        }
        let lagging = routers.iter().filter(|router| router.version < published);
        Ok(Status {
            published,
            lagging: lagging.map(|router| router.name.clone()).collect(),
            routers,
            agents,
        })
    }

    async fn router_status(&self, vm: vm_list::Vm) -> RouterStatus {
        let call = (self.fleet.router)(vm.address, messages::RouterCall::Status);
        let answer = self.timers.within(CALL_TIMEOUT, call).await;
        let (detail, error) = match answer {
            Some(Ok(messages::RouterReply::Status(json))) => {
                (serde_json::from_str(&json).unwrap_or_default(), None)
            }
            Some(Ok(_)) => (Value::Null, Some("unexpected reply".to_owned())),
            Some(Err(err)) => (Value::Null, Some(err.to_string())),
            None => (Value::Null, Some("no answer".to_owned())),
        };
        RouterStatus {
            name: vm.name,
            version: detail["config"].as_u64().unwrap_or(0),
            error,
            detail,
        }
    }

    /// Waits until all routers have a version in force, for at most 60 s; returns the last status.
    ///
    /// # Errors
    ///
    /// [`error::Error::Http`] when the list of VMs cannot be read.
    pub async fn wait(&self, version: u64) -> Result<Status, error::Error> {
        let start = self.timers.now();
        loop {
            let status = self.status(version).await?;
            let all = status.routers.len();
            show_progress(all - status.lagging.len(), all, version);
            let timed_out = self.timers.now() - start > WAIT_TIMEOUT;
            if status.lagging.is_empty() || timed_out {
                return Ok(status);
            }
            self.timers.sleep(POLL_INTERVAL).await;
        }
    }

    /// Starts or stops draining an agent.
    ///
    /// # Errors
    ///
    /// [`error::Error::Argument`] when the list of VMs has no such agent, [`error::Error::Rpc`]
    /// when the call fails, [`error::Error::Io`] when the agent does not answer in time.
    pub async fn drain(&self, name: &str, on: bool) -> Result<(), error::Error> {
        let agents = self.vms_with_role(vm_list::VmRole::Agent).await?;
        let Some(vm) = agents.into_iter().find(|vm| &*vm.name == name) else {
            let message = format!("the list of VMs has no agent {name:?}");
            return Err(error::Error::Argument { message });
        };
        let call = (self.fleet.agent)(vm.address, messages::AgentCall::Drain { on });
        let answer = self.timers.within(CALL_TIMEOUT, call).await;
        let timed_out = || Err(error::Error::Io(std::io::ErrorKind::TimedOut.into()));
        answer.unwrap_or_else(timed_out).map(|_| ())
    }
}

/// Shows progress on standard error if that is a terminal.
fn show_progress(done: usize, all: usize, version: u64) {
    if std::io::stderr().is_terminal() {
        eprint!("\r{done} of {all} routers run version {version}. ");
        if done == all {
            eprintln!();
        }
    }
}
