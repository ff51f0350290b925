//! Calls to other members, as plain functions that can be replaced.

use std::sync::Arc;

use futures::future::BoxFuture;

use crate::{
    code::Code,
    error,
    protocol::{messages, run},
    state::name,
    transport::{agent_rpc, dialler, router_rpc},
};

/// Parts of an answer that may be on their way at once.
pub const CHUNKS_IN_FLIGHT: usize = 32;

/// An attempt under way.
#[derive(Debug)]
pub struct Attempt {
    /// Parts of the answer, in order; closing it cancels the attempt.
    pub chunks: async_channel::Receiver<Vec<u8>>,
    /// How the attempt ended; sent after the last part.
    pub outcome: async_channel::Receiver<run::RunOutcome>,
}

type Call<Q, A> =
    Arc<dyn Fn(name::Name, Q) -> BoxFuture<'static, Result<A, error::Error>> + Send + Sync>;

/// Calls to other members, by address.
#[derive(Clone)]
pub struct Fleet {
    /// Starts an attempt at an agent.
    pub run: Arc<dyn Fn(name::Name, run::RunRequest) -> Attempt + Send + Sync>,
    /// Asks an agent for the rest of an answer.
    pub resume: Arc<dyn Fn(name::Name, messages::Resume) -> Attempt + Send + Sync>,
    /// Calls an agent.
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
                attempt(&for_run, address, move |client, tx| async move {
                    agent_rpc::run(&client, &req, tx).await
                })
            }),
            resume: Arc::new(move |address, resume| {
                attempt(&for_resume, address, move |client, tx| async move {
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

/// An attempt that may have run, but whose end is not known.
pub fn lost_attempt(message: impl Into<String>) -> run::RunOutcome {
    let mut lost = run::RunOutcome::not_run(Code::AgentLost, message);
    lost.ran = true;
    lost
}

fn attempt<F, W>(dialler: &dialler::Dialler, address: name::Name, work: F) -> Attempt
where
    F: FnOnce(crate::fleet_capnp::agent::Client, async_channel::Sender<Vec<u8>>) -> W,
    F: Send + 'static,
    W: Future<Output = Result<run::RunOutcome, error::Error>>,
{
    let (chunk_tx, chunks) = async_channel::bounded(CHUNKS_IN_FLIGHT);
    let (tx, outcome) = async_channel::bounded(1);
    dialler.start(address, move |client| async move {
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
        let _ = tx.send(ended.0).await;
        ended.1
    });
    Attempt { chunks, outcome }
}
