//! A router's connections to agents, spread over the workers.

use std::{cell::RefCell, collections::HashMap, rc::Rc};

use capnp_rpc::new_client;

use crate::{
    code::Code,
    error,
    protocol::{fleet_capnp, run},
    state::name,
    transport::{fleet_link, workers},
};

const CHUNKS_IN_FLIGHT: usize = 32;

thread_local! {
    static CLIENTS: RefCell<HashMap<name::Name, fleet_capnp::agent::Client>> = RefCell::default();
}

/// An attempt under way.
#[derive(Debug)]
pub struct Attempt {
    /// Parts of the answer, in order; closing it cancels the attempt.
    pub chunks: async_channel::Receiver<Vec<u8>>,
    /// How the attempt ended.
    pub outcome: async_channel::Receiver<run::RunOutcome>,
}

/// Connections to agents.
#[derive(Clone)]
pub struct Links {
    workers: workers::Workers,
    key: fleet_link::FleetKey,
}

/// Receives the parts of one answer.
struct Sink {
    tx: async_channel::Sender<Vec<u8>>,
    offset: RefCell<u64>,
}

impl fleet_capnp::sink::Server for Sink {
    async fn chunk(
        self: Rc<Self>,
        params: fleet_capnp::sink::ChunkParams,
        _results: fleet_capnp::sink::ChunkResults,
    ) -> Result<(), capnp::Error> {
        let params = params.get()?;
        let data = params.get_data()?.to_vec();
        let expected = self
            .offset
            .replace_with(|offset| *offset + data.len() as u64);
        if params.get_offset() != expected {
            let found = params.get_offset();
            let message = format!("chunk at offset {found}, expected {expected}");
            return Err(capnp::Error::failed(message));
        }
        let sent = self.tx.send(data).await;
        sent.map_err(|_| capnp::Error::disconnected("the caller is gone".to_owned()))
    }
}

impl Links {
    /// Makes connections that prove `key`, on `workers`.
    pub fn new(workers: workers::Workers, key: fleet_link::FleetKey) -> Self {
        Self { workers, key }
    }

    /// Starts an attempt at the agent with an address.
    pub fn run(&self, address: name::Name, req: run::RunRequest) -> Attempt {
        let (chunk_tx, chunks) = async_channel::bounded(CHUNKS_IN_FLIGHT);
        let (tx, outcome) = async_channel::bounded(1);
        let key = self.key.clone();
        let index = xxhash_rust::xxh3::xxh3_64(address.as_bytes()) as usize;
        let tx_lost = tx.clone();
        let started = self.workers.run(index, move |local| {
            let executor = local.clone();
            executor
                .spawn(async move {
                    let ended = attempt(&address, &key, &local, &req, chunk_tx).await;
                    let _ = tx.send(ended).await;
                })
                .detach();
        });
        if let Err(err) = started {
            let lost = run::RunOutcome::not_run(Code::Internal, err.to_string());
            let _ = tx_lost.try_send(lost);
        }
        Attempt { chunks, outcome }
    }
}

async fn client(
    address: &name::Name,
    key: &[u8],
    local: &workers::Local,
) -> Result<fleet_capnp::agent::Client, error::Error> {
    let known = CLIENTS.with_borrow(|clients| clients.get(address).cloned());
    if let Some(client) = known {
        return Ok(client);
    }
    let client: fleet_capnp::agent::Client = fleet_link::connect(address, key, local).await?;
    CLIENTS.with_borrow_mut(|clients| clients.insert(address.clone(), client.clone()));
    Ok(client)
}

fn forget(address: &name::Name) {
    CLIENTS.with_borrow_mut(|clients| clients.remove(address));
}

async fn attempt(
    address: &name::Name,
    key: &[u8],
    local: &workers::Local,
    req: &run::RunRequest,
    tx: async_channel::Sender<Vec<u8>>,
) -> run::RunOutcome {
    let client = match client(address, key, local).await {
        Ok(client) => client,
        Err(err) => return run::RunOutcome::not_run(Code::NoBackend, err.to_string()),
    };
    match call(&client, req, tx).await {
        Ok(outcome) => outcome,
        Err(err) => {
            forget(address);
            let mut lost = run::RunOutcome::not_run(Code::AgentLost, err.to_string());
            lost.ran = true;
            lost
        }
    }
}

async fn call(
    client: &fleet_capnp::agent::Client,
    req: &run::RunRequest,
    tx: async_channel::Sender<Vec<u8>>,
) -> Result<run::RunOutcome, error::Error> {
    let mut message = client.run_request();
    run::write_request(req, message.get().init_req());
    let offset = RefCell::new(0);
    message.get().set_sink(new_client(Sink { tx, offset }));
    let response = message.send().promise.await?;
    run::read_outcome(response.get()?.get_outcome()?)
}
