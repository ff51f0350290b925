//! RPC calls to routers: the client, and the server that a router runs.

use std::{rc::Rc, sync::Arc};

use futures::future::BoxFuture;

use crate::{
    error,
    protocol::{fleet_capnp, messages, wire},
};

/// Handles the calls to a router; returns `None` to a call for another incarnation of the router.
pub type Handler = Arc<
    dyn Fn(messages::RouterCall) -> BoxFuture<'static, Option<messages::RouterReply>> + Send + Sync,
>;

/// Serves the calls on one connection.
pub struct Server {
    handler: Handler,
}

impl Server {
    /// Makes a server that passes calls to `handler`.
    pub fn new(handler: Handler) -> Self {
        Self { handler }
    }

    async fn handle(
        &self,
        call: messages::RouterCall,
    ) -> Result<messages::RouterReply, capnp::Error> {
        let reply = (self.handler)(call).await;
        reply.ok_or_else(|| capnp::Error::failed("another router is meant".to_owned()))
    }
}

/// Fails a call whose handler returned a reply of another type.
fn unexpected_reply<T>() -> Result<T, capnp::Error> {
    Err(capnp::Error::failed("unexpected reply".to_owned()))
}

/// Makes a call to a router.
///
/// # Errors
///
/// [`error::Error::Rpc`] when the connection is lost.
pub async fn call(
    client: &fleet_capnp::router::Client,
    call: messages::RouterCall,
) -> Result<messages::RouterReply, error::Error> {
    match call {
        messages::RouterCall::Beat(heartbeat) => {
            let mut message = client.beat_request();
            wire::write_heartbeat(&heartbeat, message.get().init_beat());
            let response = message.send().promise.await?;
            let results = response.get()?;
            Ok(messages::RouterReply::Beat {
                versions: wire::read_versions(results.get_versions()?),
                fenced: wire::read_u64_list(results.get_fenced()?),
            })
        }
        messages::RouterCall::Draw {
            giver,
            asker,
            budget,
            received,
            wanted,
        } => {
            let mut message = client.draw_request();
            let mut params = message.get();
            params.set_giver(giver);
            params.set_asker(asker);
            params.set_budget(&*budget);
            params.set_received(received);
            params.set_wanted(wanted);
            let response = message.send().promise.await?;
            let results = response.get()?;
            let (given, free) = (results.get_given(), results.get_free());
            Ok(messages::RouterReply::Drawn { given, free })
        }
        messages::RouterCall::Gossip(gossip) => {
            let mut message = client.gossip_request();
            wire::write_gossip(&gossip, message.get().init_gossip());
            let response = message.send().promise.await?;
            let gossip = wire::read_gossip(response.get()?.get_gossip()?)?;
            Ok(messages::RouterReply::Gossip(gossip))
        }
        messages::RouterCall::Config { after } => {
            let mut message = client.config_request();
            message.get().set_after(after);
            let response = message.send().promise.await?;
            let results = response.get()?;
            let (version, set) = (results.get_version(), results.get_set()?.to_vec());
            Ok(messages::RouterReply::Config { version, set })
        }
        messages::RouterCall::Flows {
            router,
            revision,
            closing,
        } => {
            let mut message = client.flows_request();
            message.get().set_router(router);
            message.get().set_revision(revision);
            wire::write_u64_list(&closing, message.get().init_closing(closing.len() as u32));
            let response = message.send().promise.await?;
            let record = response.get()?.get_record()?.to_vec();
            Ok(messages::RouterReply::Flows(record))
        }
        messages::RouterCall::Status => {
            let response = client.status_request().send().promise.await?;
            let json = wire::read_name(response.get()?.get_json()?)?;
            Ok(messages::RouterReply::Status(json.to_string()))
        }
    }
}

impl fleet_capnp::router::Server for Server {
    async fn beat(
        self: Rc<Self>,
        params: fleet_capnp::router::BeatParams,
        mut results: fleet_capnp::router::BeatResults,
    ) -> Result<(), capnp::Error> {
        let heartbeat =
            wire::read_heartbeat(params.get()?.get_beat()?).map_err(error::Error::into_rpc)?;
        match self.handle(messages::RouterCall::Beat(heartbeat)).await? {
            messages::RouterReply::Beat { versions, fenced } => {
                wire::write_versions(versions, results.get().init_versions());
                wire::write_u64_list(&fenced, results.get().init_fenced(fenced.len() as u32));
                Ok(())
            }
            _ => unexpected_reply(),
        }
    }

    async fn draw(
        self: Rc<Self>,
        params: fleet_capnp::router::DrawParams,
        mut results: fleet_capnp::router::DrawResults,
    ) -> Result<(), capnp::Error> {
        let params = params.get()?;
        let call = messages::RouterCall::Draw {
            giver: params.get_giver(),
            asker: params.get_asker(),
            budget: params.get_budget()?.to_str()?.into(),
            received: params.get_received(),
            wanted: params.get_wanted(),
        };
        match self.handle(call).await? {
            messages::RouterReply::Drawn { given, free } => {
                results.get().set_given(given);
                results.get().set_free(free);
                Ok(())
            }
            _ => unexpected_reply(),
        }
    }

    async fn gossip(
        self: Rc<Self>,
        params: fleet_capnp::router::GossipParams,
        mut results: fleet_capnp::router::GossipResults,
    ) -> Result<(), capnp::Error> {
        let gossip = wire::read_gossip(params.get()?.get_gossip()?);
        let gossip = gossip.map_err(error::Error::into_rpc)?;
        match self.handle(messages::RouterCall::Gossip(gossip)).await? {
            messages::RouterReply::Gossip(gossip) => {
                wire::write_gossip(&gossip, results.get().init_gossip());
                Ok(())
            }
            _ => unexpected_reply(),
        }
    }

    async fn config(
        self: Rc<Self>,
        params: fleet_capnp::router::ConfigParams,
        mut results: fleet_capnp::router::ConfigResults,
    ) -> Result<(), capnp::Error> {
        let after = params.get()?.get_after();
        match self.handle(messages::RouterCall::Config { after }).await? {
            messages::RouterReply::Config { version, set } => {
                results.get().set_version(version);
                results.get().set_set(&set);
                Ok(())
            }
            _ => unexpected_reply(),
        }
    }

    async fn flows(
        self: Rc<Self>,
        params: fleet_capnp::router::FlowsParams,
        mut results: fleet_capnp::router::FlowsResults,
    ) -> Result<(), capnp::Error> {
        let params = params.get()?;
        let call = messages::RouterCall::Flows {
            router: params.get_router(),
            revision: params.get_revision(),
            closing: wire::read_u64_list(params.get_closing()?),
        };
        match self.handle(call).await? {
            messages::RouterReply::Flows(record) => {
                results.get().set_record(&record);
                Ok(())
            }
            _ => unexpected_reply(),
        }
    }

    async fn status(
        self: Rc<Self>,
        _params: fleet_capnp::router::StatusParams,
        mut results: fleet_capnp::router::StatusResults,
    ) -> Result<(), capnp::Error> {
        match self.handle(messages::RouterCall::Status).await? {
            messages::RouterReply::Status(json) => {
                results.get().set_json(&*json);
                Ok(())
            }
            _ => unexpected_reply(),
        }
    }
}
