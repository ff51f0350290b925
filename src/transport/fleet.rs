//! Calls to other members, as function values that tests can replace.

use std::sync::Arc;

use futures::future::BoxFuture;

use crate::{
    code::Code,
    error,
    protocol::{messages, run},
    state::name,
    transport::{agent_rpc, dialler, router_rpc},
};

/// Capacity of the channels for the parts of an answer, at either end of a connection. The memory account of a router
/// does not cover these parts.
pub const CHUNKS_IN_FLIGHT: usize = 4;

/// An attempt in progress at an agent.
#[derive(Debug)]
pub struct Attempt {
    /// Parts of the answer, in order. When it is closed, the agent stops sending; it may cancel the
    /// attempt, since nobody reads the answer.
    pub chunks: async_channel::Receiver<Vec<u8>>,
    /// How the attempt ended; sent after the last part. It is closed without a message when the
    /// connection is found dead.
    pub outcome: async_channel::Receiver<run::RunOutcome>,
}

type Call<Q, A> =
    Arc<dyn Fn(name::Name, Q) -> BoxFuture<'static, Result<A, error::Error>> + Send + Sync>;

/// Calls to the member at an address.
#[derive(Clone)]
pub struct Fleet {
    /// Sends a request to an agent, to be run there. Returns at once, before the attempt has ended.
    pub run: Arc<dyn Fn(name::Name, run::RunRequest) -> Attempt + Send + Sync>,
    /// Asks an agent for the rest of an answer.
    pub resume: Arc<dyn Fn(name::Name, messages::Resume) -> Attempt + Send + Sync>,
    /// Makes any other call to an agent.
    pub agent: Call<messages::AgentCall, messages::AgentReply>,
    /// Calls a router.
    pub router: Call<messages::RouterCall, messages::RouterReply>,
}

impl Fleet {
    /// Calls members over RPC.
    pub fn over_rpc(dialler: &dialler::Dialler) -> Self {
        let [for_run, for_resume] = [dialler.clone(), dialler.clone()];
        let [for_agent, for_router] = [dialler.clone(), dialler.clone()];
        Self {
            run: Arc::new(move |address, req| {
                start_attempt(&for_run, address, move |client, tx| async move {
                    agent_rpc::run(&client, &req, tx).await
                })
            }),
            resume: Arc::new(move |address, resume| {
                start_attempt(&for_resume, address, move |client, tx| async move {
                    agent_rpc::resume(&client, &resume, tx).await
                })
            }),
            agent: Arc::new(move |address, call| {
                let dialler = for_agent.clone();
                let work = |client| async move { agent_rpc::call(&client, call).await };
                Box::pin(async move { dialler.call(address, work).await })
            }),
            router: Arc::new(move |address, call| {
                let dialler = for_router.clone();
                let work = |client| async move { router_rpc::call(&client, call).await };
                Box::pin(async move { dialler.call(address, work).await })
            }),
        }
    }
}

/// Outcome of an attempt that may have run, but whose result is unknown.
pub fn lost_attempt(message: impl Into<String>) -> run::RunOutcome {
    let mut outcome = run::RunOutcome::not_run(Code::AgentLost, message);
    outcome.ran = true;
    outcome
}

/// Runs `work` with a connection to an agent and passes on the parts and the outcome.
///
/// Without a connection, the attempt has not run; when `work` fails, it may have run.
fn start_attempt<F, W>(dialler: &dialler::Dialler, address: name::Name, work: F) -> Attempt
where
    F: FnOnce(crate::fleet_capnp::agent::Client, async_channel::Sender<Vec<u8>>) -> W,
    F: Send + 'static,
    W: Future<Output = Result<run::RunOutcome, error::Error>>,
{
    let (chunk_tx, chunks) = async_channel::bounded(CHUNKS_IN_FLIGHT);
    let (outcome_tx, outcome) = async_channel::bounded(1);
    dialler.spawn(address, move |client| async move {
        // The outcome, and whether later calls may use the connection.
        let ended = match client {
            Ok(client) => match work(client, chunk_tx).await {
                Ok(outcome) => (outcome, true),
                Err(err) => (lost_attempt(err.to_string()), false),
            },
            Err(err) => (
                run::RunOutcome::not_run(Code::NoBackend, err.to_string()),
                false,
            ),
        };
        let _ = outcome_tx.send(ended.0).await;
        ended.1
    });
    Attempt { chunks, outcome }
}
