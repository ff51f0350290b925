//! The agent's side of fleet calls.

use std::{rc::Rc, sync::Arc, sync::atomic::Ordering};

use crate::{
    agent::{Agent, backend},
    code::Code,
    protocol::{fleet_capnp, run},
};

/// Serves one connection.
pub struct Service {
    agent: Arc<Agent>,
}

impl Service {
    /// Serves calls to `agent`.
    pub fn new(agent: Arc<Agent>) -> Self {
        Self { agent }
    }

    fn admit(&self, req: &run::RunRequest) -> Result<(), run::RunOutcome> {
        let agent = &self.agent;
        let newest = agent
            .config
            .fetch_max(req.config, Ordering::Relaxed)
            .max(req.config);
        let refuse = |code, message: &str| Err(run::RunOutcome::not_run(code, message));
        if req.agent != agent.member.incarnation {
            return refuse(Code::WrongAgent, "the agent has restarted");
        }
        if agent.is_draining() {
            return refuse(Code::Draining, "the backend server is leaving");
        }
        if req.config < newest {
            let mut stale = run::RunOutcome::not_run(Code::StaleConfig, "older configuration");
            stale.config = newest;
            return Err(stale);
        }
        if agent.fenced.lock().unwrap().contains(&req.holder) {
            return refuse(Code::Fenced, "the holder is fenced");
        }
        if agent.running() >= agent.settings.slots {
            return refuse(Code::Overloaded, "all slots are taken");
        }
        Ok(())
    }
}

impl fleet_capnp::agent::Server for Service {
    async fn run(
        self: Rc<Self>,
        params: fleet_capnp::agent::RunParams,
        mut results: fleet_capnp::agent::RunResults,
    ) -> Result<(), capnp::Error> {
        let params = params.get()?;
        let req = run::read_request(params.get_req()?).map_err(failed)?;
        let sink = params.get_sink()?;
        self.agent
            .receipts
            .lock()
            .unwrap()
            .acknowledge(req.holder, req.acked);
        let outcome = match self.admit(&req) {
            Ok(()) => backend::run(&self.agent, &req, &sink).await,
            Err(refused) => refused,
        };
        run::write_outcome(&outcome, results.get().init_outcome());
        Ok(())
    }

    async fn receipts(
        self: Rc<Self>,
        params: fleet_capnp::agent::ReceiptsParams,
        mut results: fleet_capnp::agent::ReceiptsResults,
    ) -> Result<(), capnp::Error> {
        let params = params.get()?;
        let log = self.agent.receipts.lock().unwrap();
        let kept = log.after(params.get_holder(), params.get_after());
        drop(log);
        let mut list = results.get().init_list(kept.len() as u32);
        for (index, receipt) in kept.iter().enumerate() {
            run::write_receipt(receipt, list.reborrow().get(index as u32));
        }
        Ok(())
    }
}

fn failed(err: crate::error::Error) -> capnp::Error {
    capnp::Error::failed(err.to_string())
}
