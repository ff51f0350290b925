//! RPC calls to agents: the client, and the server that an agent runs.

use std::{cell::Cell, rc::Rc, sync::Arc, time::Duration};

use capnp_rpc::new_client;
use futures::future::BoxFuture;

use crate::{
    error,
    protocol::{fleet_capnp, messages, run, wire},
    state::name,
    transport::{fleet, timers},
};

/// Longest time that a router may take to accept a part of an answer.
const CHUNK_TIMEOUT: Duration = Duration::from_secs(35);

type ChunkSender = async_channel::Sender<Vec<u8>>;

/// Functions of an agent that handle its calls.
#[derive(Clone)]
pub struct Handlers {
    /// Runs an attempt and sends the parts of its answer to the channel.
    pub run: Arc<
        dyn Fn(run::RunRequest, ChunkSender) -> BoxFuture<'static, run::RunOutcome> + Send + Sync,
    >,
    /// Sends the rest of an answer to the channel.
    pub resume: Arc<
        dyn Fn(messages::Resume, ChunkSender) -> BoxFuture<'static, run::RunOutcome> + Send + Sync,
    >,
    /// Handles any other call. To a call that expects data, [`messages::AgentReply::Done`] means
    /// that the call is for another incarnation of the agent.
    pub call:
        Arc<dyn Fn(messages::AgentCall) -> BoxFuture<'static, messages::AgentReply> + Send + Sync>,
}

/// Serves the calls on one connection.
pub struct Server {
    handlers: Handlers,
}

impl Server {
    /// Makes a server that passes calls to `handlers`.
    pub fn new(handlers: Handlers) -> Self {
        Self { handlers }
    }
}

/// Makes the bootstrap capability that a connection offers to its peer.
pub fn bootstrap_client(server: Server) -> capnp::capability::Client {
    let client: fleet_capnp::agent::Client = new_client(server);
    client.client
}

/// Receives the parts of one answer at the router.
struct Sink {
    tx: ChunkSender,
    /// Bytes of the answer received so far; the next part must begin there.
    offset: Cell<u64>,
}

impl fleet_capnp::sink::Server for Sink {
    async fn chunk(
        self: Rc<Self>,
        params: fleet_capnp::sink::ChunkParams,
        _results: fleet_capnp::sink::ChunkResults,
    ) -> Result<(), capnp::Error> {
        let params = params.get()?;
        let data = params.get_data()?.to_vec();
        let (expected, found) = (self.offset.get(), params.get_offset());
        if found != expected {
            let message = format!("chunk at offset {found}, expected {expected}");
            return Err(capnp::Error::failed(message));
        }
        self.offset.set(expected + data.len() as u64);
        let sent = self.tx.send(data).await;
        sent.map_err(|_| capnp::Error::disconnected("the caller is gone".to_owned()))
    }
}

fn sink_client(tx: ChunkSender, offset: u64) -> fleet_capnp::sink::Client {
    let offset = Cell::new(offset);
    new_client(Sink { tx, offset })
}

/// Runs an attempt at an agent; the parts of the answer go to `tx`.
///
/// # Errors
///
/// [`error::Error::Rpc`] when the connection is lost: the attempt may have run.
pub async fn run(
    client: &fleet_capnp::agent::Client,
    req: &run::RunRequest,
    tx: ChunkSender,
) -> Result<run::RunOutcome, error::Error> {
    let mut message = client.run_request();
    run::write_request(req, message.get().init_req());
    message.get().set_sink(sink_client(tx, 0));
    let response = message.send().promise.await?;
    run::read_outcome(response.get()?.get_outcome()?)
}

/// Asks an agent for the rest of an answer, which goes to `tx`.
///
/// # Errors
///
/// [`error::Error::Rpc`] when the connection is lost.
pub async fn resume(
    client: &fleet_capnp::agent::Client,
    resume: &messages::Resume,
    tx: ChunkSender,
) -> Result<run::RunOutcome, error::Error> {
    let mut message = client.resume_request();
    let mut params = message.get();
    params.set_agent(resume.agent);
    params.set_id(&*resume.id);
    params.set_offset(resume.offset);
    params.set_holder(resume.holder);
    params.set_sink(sink_client(tx, resume.offset));
    let response = message.send().promise.await?;
    run::read_outcome(response.get()?.get_outcome()?)
}

/// Makes any other call to an agent.
///
/// # Errors
///
/// [`error::Error::Rpc`] when the connection is lost.
pub async fn call(
    client: &fleet_capnp::agent::Client,
    call: messages::AgentCall,
) -> Result<messages::AgentReply, error::Error> {
    match call {
        messages::AgentCall::Receipts {
            agent,
            holder,
            after,
        } => {
            let mut message = client.receipts_request();
            message.get().set_agent(agent);
            message.get().set_holder(holder);
            message.get().set_after(after);
            let response = message.send().promise.await?;
            let list = response.get()?.get_list()?;
            let receipts: Result<_, _> = list.iter().map(run::read_receipt).collect();
            Ok(messages::AgentReply::Receipts(receipts?))
        }
        messages::AgentCall::Fence {
            agent,
            revision,
            holders,
        } => {
            let mut message = client.fence_request();
            message.get().set_agent(agent);
            message.get().set_revision(revision);
            wire::write_u64_list(&holders, message.get().init_holders(holders.len() as u32));
            let response = message.send().promise.await?;
            Ok(messages::AgentReply::Fenced(response.get()?.get_revision()))
        }
        messages::AgentCall::Cancel { agent, id, attempt } => {
            let mut message = client.cancel_request();
            message.get().set_agent(agent);
            message.get().set_id(&*id);
            message.get().set_attempt(attempt);
            message.send().promise.await?;
            Ok(messages::AgentReply::Done)
        }
        messages::AgentCall::Ping { versions } => ping(client, versions).await,
        messages::AgentCall::Order(order) => {
            let mut message = client.order_request();
            wire::write_order(&order, message.get().init_order());
            let response = message.send().promise.await?;
            let result = wire::read_order_result(response.get()?.get_result()?)?;
            Ok(messages::AgentReply::Ordered(result))
        }
        messages::AgentCall::Drain { on } => {
            let mut message = client.drain_request();
            message.get().set_on(on);
            message.send().promise.await?;
            Ok(messages::AgentReply::Done)
        }
    }
}

async fn ping(
    client: &fleet_capnp::agent::Client,
    versions: messages::Versions,
) -> Result<messages::AgentReply, error::Error> {
    let mut message = client.ping_request();
    wire::write_versions(versions, message.get().init_versions());
    let response = message.send().promise.await?;
    let results = response.get()?;
    Ok(messages::AgentReply::Pong {
        member: run::read_member(results.get_member()?)?,
        load: wire::read_load(results.get_load()?),
        versions: wire::read_versions(results.get_versions()?),
    })
}

fn unexpected_reply(reply: &messages::AgentReply) -> capnp::Error {
    match reply {
        messages::AgentReply::Done => capnp::Error::failed("another agent is meant".to_owned()),
        other => capnp::Error::failed(format!("unexpected reply {other:?}")),
    }
}

/// Forwards parts of an answer to a router's sink, until the sender is dropped or the sink fails.
async fn relay(
    chunks: async_channel::Receiver<Vec<u8>>,
    sink: fleet_capnp::sink::Client,
    mut offset: u64,
) {
    let timers = timers::Timers::default();
    while let Ok(data) = chunks.recv().await {
        let mut message = sink.chunk_request();
        message.get().set_offset(offset);
        message.get().set_data(&data);
        offset += data.len() as u64;
        let accepted = timers.within(CHUNK_TIMEOUT, message.send().promise).await;
        if !matches!(accepted, Some(Ok(_))) {
            return;
        }
    }
}

impl fleet_capnp::agent::Server for Server {
    async fn run(
        self: Rc<Self>,
        params: fleet_capnp::agent::RunParams,
        mut results: fleet_capnp::agent::RunResults,
    ) -> Result<(), capnp::Error> {
        let params = params.get()?;
        let req = run::read_request(params.get_req()?).map_err(error::Error::into_rpc)?;
        let (tx, chunks) = async_channel::bounded(fleet::CHUNKS_IN_FLIGHT);
        let running = (self.handlers.run)(req, tx);
        let relaying = relay(chunks, params.get_sink()?, 0);
        let (outcome, ()) = futures::join!(running, relaying);
        run::write_outcome(&outcome, results.get().init_outcome());
        Ok(())
    }

    async fn resume(
        self: Rc<Self>,
        params: fleet_capnp::agent::ResumeParams,
        mut results: fleet_capnp::agent::ResumeResults,
    ) -> Result<(), capnp::Error> {
        let params = params.get()?;
        let resume = messages::Resume {
            agent: params.get_agent(),
            id: name::Name::from(params.get_id()?.to_str()?),
            offset: params.get_offset(),
            holder: params.get_holder(),
        };
        let (tx, chunks) = async_channel::bounded(fleet::CHUNKS_IN_FLIGHT);
        let relaying = relay(chunks, params.get_sink()?, resume.offset);
        let running = (self.handlers.resume)(resume, tx);
        let (outcome, ()) = futures::join!(running, relaying);
        run::write_outcome(&outcome, results.get().init_outcome());
        Ok(())
    }

    async fn cancel(
        self: Rc<Self>,
        params: fleet_capnp::agent::CancelParams,
        _results: fleet_capnp::agent::CancelResults,
    ) -> Result<(), capnp::Error> {
        let params = params.get()?;
        let call = messages::AgentCall::Cancel {
            agent: params.get_agent(),
            id: name::Name::from(params.get_id()?.to_str()?),
            attempt: params.get_attempt(),
        };
        (self.handlers.call)(call).await;
        Ok(())
    }

    async fn receipts(
        self: Rc<Self>,
        params: fleet_capnp::agent::ReceiptsParams,
        mut results: fleet_capnp::agent::ReceiptsResults,
    ) -> Result<(), capnp::Error> {
        let params = params.get()?;
        let call = messages::AgentCall::Receipts {
            agent: params.get_agent(),
            holder: params.get_holder(),
            after: params.get_after(),
        };
        let receipts = match (self.handlers.call)(call).await {
            messages::AgentReply::Receipts(receipts) => receipts,
            other => return Err(unexpected_reply(&other)),
        };
        let mut list = results.get().init_list(receipts.len() as u32);
        for (index, receipt) in receipts.iter().enumerate() {
            run::write_receipt(receipt, list.reborrow().get(index as u32));
        }
        Ok(())
    }

    async fn fence(
        self: Rc<Self>,
        params: fleet_capnp::agent::FenceParams,
        mut results: fleet_capnp::agent::FenceResults,
    ) -> Result<(), capnp::Error> {
        let params = params.get()?;
        let call = messages::AgentCall::Fence {
            agent: params.get_agent(),
            revision: params.get_revision(),
            holders: wire::read_u64_list(params.get_holders()?),
        };
        match (self.handlers.call)(call).await {
            messages::AgentReply::Fenced(revision) => results.get().set_revision(revision),
            other => return Err(unexpected_reply(&other)),
        }
        Ok(())
    }

    async fn ping(
        self: Rc<Self>,
        params: fleet_capnp::agent::PingParams,
        mut results: fleet_capnp::agent::PingResults,
    ) -> Result<(), capnp::Error> {
        let versions = wire::read_versions(params.get()?.get_versions()?);
        match (self.handlers.call)(messages::AgentCall::Ping { versions }).await {
            messages::AgentReply::Pong {
                member,
                load,
                versions,
            } => {
                let mut results = results.get();
                run::write_member(&member, results.reborrow().init_member());
                wire::write_load(load, results.reborrow().init_load());
                wire::write_versions(versions, results.init_versions());
                Ok(())
            }
            other => Err(unexpected_reply(&other)),
        }
    }

    async fn order(
        self: Rc<Self>,
        params: fleet_capnp::agent::OrderParams,
        mut results: fleet_capnp::agent::OrderResults,
    ) -> Result<(), capnp::Error> {
        let order = wire::read_order(params.get()?.get_order()?);
        let order = order.map_err(error::Error::into_rpc)?;
        match (self.handlers.call)(messages::AgentCall::Order(order)).await {
            messages::AgentReply::Ordered(result) => {
                wire::write_order_result(&result, results.get().init_result());
                Ok(())
            }
            other => Err(unexpected_reply(&other)),
        }
    }

    async fn drain(
        self: Rc<Self>,
        params: fleet_capnp::agent::DrainParams,
        _results: fleet_capnp::agent::DrainResults,
    ) -> Result<(), capnp::Error> {
        let on = params.get()?.get_on();
        (self.handlers.call)(messages::AgentCall::Drain { on }).await;
        Ok(())
    }
}
