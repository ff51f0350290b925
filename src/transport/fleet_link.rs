//! Connections between members: Cap'n Proto RPC behind a proof of the fleet key.

use std::{sync::Arc, time::Duration};

use async_net::{TcpListener, TcpStream};
use capnp::capability::Client;
use capnp_rpc::{RpcSystem, rpc_twoparty_capnp::Side, twoparty::VatNetwork};
use futures::{AsyncReadExt, io};

use crate::{
    error, fleet_capnp,
    transport::{counting_stream, handshake, timers, workers},
};

const CONNECT_LIMIT: Duration = Duration::from_secs(2);

/// Key that all members of the fleet share.
pub type FleetKey = Arc<[u8]>;

fn network(
    stream: TcpStream,
    side: Side,
) -> Box<VatNetwork<io::BufReader<io::ReadHalf<counting_stream::CountingStream<TcpStream>>>>> {
    let (reader, writer) = counting_stream::CountingStream::new(stream).split();
    Box::new(VatNetwork::new(
        io::BufReader::new(reader),
        io::BufWriter::new(writer),
        side,
        capnp::message::ReaderOptions::new(),
    ))
}

/// Makes a bound socket ready for [`serve`].
///
/// # Errors
///
/// [`error::Error::Io`] when the socket cannot be used.
pub fn into_async_listener(listener: std::net::TcpListener) -> Result<TcpListener, error::Error> {
    listener.set_nonblocking(true)?;
    Ok(TcpListener::try_from(listener)?)
}

/// Accepts connections for ever and offers each the capability that `offer` makes.
///
/// `offer` runs on the worker that serves the connection.
pub async fn serve<F>(listener: TcpListener, key: FleetKey, workers: workers::Workers, offer: F)
where
    F: Fn(&workers::WorkerExecutor) -> Client + Clone + Send + 'static,
{
    let mut next = 0;
    loop {
        let (stream, peer) = match listener.accept().await {
            Ok(accepted) => accepted,
            Err(err) => {
                tracing::warn!("link: accept failed: {err}.");
                smol::Timer::after(Duration::from_millis(50)).await;
                continue;
            }
        };
        next += 1;
        let key = key.clone();
        let offer = offer.clone();
        let served = workers.run(next, move |local| {
            let executor = local.clone();
            executor
                .spawn(async move {
                    if let Err(err) = serve_one(stream, &key, offer(&local)).await {
                        tracing::debug!("link: connection from {peer} ended: {err}.");
                    }
                })
                .detach();
        });
        if served.is_err() {
            return;
        }
    }
}

async fn serve_one(mut stream: TcpStream, key: &[u8], offer: Client) -> Result<(), error::Error> {
    stream.set_nodelay(true)?;
    let peer = stream.peer_addr()?.to_string();
    handshake::listen(&mut stream, key, &peer, &timers::Timers::default()).await?;
    RpcSystem::new(network(stream, Side::Server), Some(offer)).await?;
    Ok(())
}

/// Connects to a member; returns its capability and the work that carries the connection.
///
/// Must be called on a worker.
///
/// # Errors
///
/// [`error::Error::Io`] when the address cannot be reached within 2 s,
/// [`error::Error::Handshake`] when it does not hold the key.
pub async fn connect(
    address: &str,
    key: &[u8],
    timers: &timers::Timers,
) -> Result<(Client, impl Future<Output = ()> + 'static), error::Error> {
    let dialled = timers
        .within(CONNECT_LIMIT, TcpStream::connect(address))
        .await;
    let mut stream = dialled.unwrap_or_else(|| Err(std::io::ErrorKind::TimedOut.into()))?;
    stream.set_nodelay(true)?;
    handshake::dial(&mut stream, key, address, timers).await?;
    let mut system = RpcSystem::new(network(stream, Side::Client), None);
    let client: fleet_capnp::agent::Client = system.bootstrap(Side::Server);
    let address = address.to_owned();
    let carry = async move {
        if let Err(err) = system.await {
            tracing::debug!("link: connection to {address} ended: {err}.");
        }
    };
    Ok((client.client, carry))
}
