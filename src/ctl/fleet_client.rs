//! Reaches the daemons of the fleet from the operators' tool.

use std::{collections::BTreeMap, io::IsTerminal, sync::Arc, time::Duration};

use serde::Serialize;
use serde_json::Value;

use crate::{
    error,
    protocol::{messages, vm_list},
    state::name,
    transport::{dialler, fleet, timers, vms, workers},
};

const CALL_LIMIT: Duration = Duration::from_secs(3);
const WAIT_LIMIT: Duration = Duration::from_secs(60);
const WAIT_PAUSE: Duration = Duration::from_millis(200);

/// How to reach the daemons: the list of VMs and the fleet key.
#[derive(Clone)]
pub struct FleetClient {
    vms: vms::Vms,
    fleet: fleet::Fleet,
    timers: timers::Timers,
}

/// What a router answered when asked for its status.
#[derive(Clone, Debug, Serialize)]
pub struct RouterStatus {
    /// VM name.
    pub name: name::Name,
    /// Configuration version in force; zero when it did not answer.
    pub version: u64,
    /// Why there is no answer.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub error: Option<String>,
    /// The answer.
    #[serde(skip_serializing_if = "Value::is_null")]
    pub detail: Value,
}

/// What the fleet does.
#[derive(Clone, Debug, Serialize)]
pub struct Status {
    /// Published version.
    pub published: u64,
    /// Routers of the list of VMs.
    pub routers: Vec<RouterStatus>,
    /// Newest configuration version that each agent reported.
    pub agents: BTreeMap<String, u64>,
    /// Routers that do not run the published version.
    pub lagging: Vec<name::Name>,
}

impl FleetClient {
    /// Reaches the daemons that a list names, with the fleet key of a file.
    ///
    /// # Errors
    ///
    /// [`error::Error::File`] when the key cannot be read.
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

    async fn list(&self, role: vm_list::VmRole) -> Result<Vec<vm_list::Vm>, error::Error> {
        let mut vms = (self.vms.read)().await?;
        vms.retain(|vm| vm.role == role);
        Ok(vms)
    }

    /// Asks every router for its status.
    ///
    /// # Errors
    ///
    /// [`error::Error::Http`] when the list of VMs cannot be read.
    pub async fn status(&self, published: u64) -> Result<Status, error::Error> {
        let routers = self.list(vm_list::VmRole::Router).await?;
        let asked = routers.into_iter().map(|vm| self.ask(vm));
        let routers = futures::future::join_all(asked).await;
        let mut agents = BTreeMap::new();
        let reported = routers
            .iter()
            .filter_map(|router| router.detail["versions"].as_object());
        for (agent, version) in reported.flatten() {
            let known = agents.entry(agent.clone()).or_default();
            *known = version.as_u64().unwrap_or(0).max(*known);
        }
        let lagging = routers.iter().filter(|router| router.version < published);
        Ok(Status {
            published,
            lagging: lagging.map(|router| router.name.clone()).collect(),
            routers,
            agents,
        })
    }

    async fn ask(&self, vm: vm_list::Vm) -> RouterStatus {
        let call = (self.fleet.router)(vm.address, messages::RouterCall::Status);
        let answer = self.timers.within(CALL_LIMIT, call).await;
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

    /// Waits, up to 60 s, until all routers run a version; returns the last status.
    ///
    /// # Errors
    ///
    /// [`error::Error::Http`] when the list of VMs cannot be read.
    pub async fn wait(&self, version: u64) -> Result<Status, error::Error> {
        let start = self.timers.now();
        loop {
            let status = self.status(version).await?;
            let all = status.routers.len();
            progress(all - status.lagging.len(), all, version);
            let late = self.timers.now() - start > WAIT_LIMIT;
            if status.lagging.is_empty() || late {
                return Ok(status);
            }
            self.timers.sleep(WAIT_PAUSE).await;
        }
    }

    /// Begins or ends draining of an agent.
    ///
    /// # Errors
    ///
    /// [`error::Error::Argument`] when the list names no such agent, [`error::Error::Rpc`] when it
    /// cannot be reached.
    pub async fn drain(&self, name: &str, on: bool) -> Result<(), error::Error> {
        let agents = self.list(vm_list::VmRole::Agent).await?;
        let Some(vm) = agents.into_iter().find(|vm| &*vm.name == name) else {
            let message = format!("the list of VMs names no agent {name:?}");
            return Err(error::Error::Argument { message });
        };
        let call = (self.fleet.agent)(vm.address, messages::AgentCall::Drain { on });
        let answer = self.timers.within(CALL_LIMIT, call).await;
        let silent = || Err(error::Error::Io(std::io::ErrorKind::TimedOut.into()));
        answer.unwrap_or_else(silent).map(|_| ())
    }
}

/// Shows progress, on a terminal only.
fn progress(done: usize, all: usize, version: u64) {
    if std::io::stderr().is_terminal() {
        eprint!("\r{done} of {all} routers run version {version}. ");
        if done == all {
            eprintln!();
        }
    }
}
