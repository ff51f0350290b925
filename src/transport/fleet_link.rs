//! Connections between members: Cap'n Proto RPC, after both ends have proved the fleet key.

use std::{sync::Arc, time::Duration};

use async_net::{TcpListener, TcpStream};
use capnp::capability::Client;
use capnp_rpc::{RpcSystem, rpc_twoparty_capnp::Side, twoparty::VatNetwork};
use futures::{AsyncReadExt, io};

use crate::{
    error, fleet_capnp,
    transport::{counting_stream, handshake, timers, workers},
};

/// Limit on opening the TCP connection; the handshake has a limit of its own.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);

/// Secret key that all members of the fleet share.
pub type FleetKey = Arc<[u8]>;

/// Makes the Cap'n Proto network of one connection, with buffers and counted bytes.
fn vat_network(
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

/// Converts a bound socket to the form that [`serve`] needs.
///
/// # Errors
///
/// [`error::Error::Io`] when the socket cannot be used.
pub fn into_async_listener(listener: std::net::TcpListener) -> Result<TcpListener, error::Error> {
    listener.set_nonblocking(true)?;
    Ok(TcpListener::try_from(listener)?)
}

/// Accepts connections until the workers have stopped, and spreads them over the workers in turn.
///
/// Each peer that proves the key gets the bootstrap capability that `make_bootstrap` creates;
/// `make_bootstrap` runs on the worker that serves the connection.
pub async fn serve<F>(
    listener: TcpListener,
    key: FleetKey,
    workers: workers::Workers,
    make_bootstrap: F,
) where
    F: Fn(&workers::WorkerExecutor) -> Client + Clone + Send + 'static,
{
    let mut next_worker = 0;
    loop {
        let (stream, peer) = match listener.accept().await {
            Ok(accepted) => accepted,
            Err(err) => {
                tracing::warn!("link: cannot accept a connection: {err}.");
                smol::Timer::after(Duration::from_millis(50)).await;
                continue;
            }
        };
        next_worker += 1;
        let key = key.clone();
        let make_bootstrap = make_bootstrap.clone();
        let served = workers.run(next_worker, move |local| {
            let executor = local.clone();
            executor
                .spawn(async move {
                    if let Err(err) = serve_one(stream, &key, make_bootstrap(&local)).await {
                        tracing::debug!("link: connection from {peer} failed: {err}.");
                    }
                })
                .detach();
        });
        if served.is_err() {
            return;
        }
    }
}

async fn serve_one(
    mut stream: TcpStream,
    key: &[u8],
    bootstrap: Client,
) -> Result<(), error::Error> {
    stream.set_nodelay(true)?;
    let peer = stream.peer_addr()?.to_string();
    handshake::listen(&mut stream, key, &peer, &timers::Timers::default()).await?;
    RpcSystem::new(vat_network(stream, Side::Server), Some(bootstrap)).await?;
    Ok(())
}

/// Connects to a member; returns its bootstrap capability and the future that drives the
/// connection.
///
/// Must be called on a worker, since the connection cannot move to another thread.
///
/// # Errors
///
/// [`error::Error::Io`] when the address cannot be reached within 2 s,
/// [`error::Error::Handshake`] when the peer does not hold the key.
pub async fn connect(
    address: &str,
    key: &[u8],
    timers: &timers::Timers,
) -> Result<(Client, impl Future<Output = ()> + 'static), error::Error> {
    let connected = timers
        .within(CONNECT_TIMEOUT, TcpStream::connect(address))
        .await;
    let mut stream = connected.unwrap_or_else(|| Err(std::io::ErrorKind::TimedOut.into()))?;
    stream.set_nodelay(true)?;
    handshake::dial(&mut stream, key, address, timers).await?;
    let mut system = RpcSystem::new(vat_network(stream, Side::Client), None);
    let client: fleet_capnp::agent::Client = system.bootstrap(Side::Server);
    let address = address.to_owned();
    let driver = async move {
        if let Err(err) = system.await {
            tracing::debug!("link: connection to {address} failed: {err}.");
        }
    };
    Ok((client.client, driver))
}
