//! The carrier: carries routers' calls to the platform's store from a machine that still reaches it.
//!
//! It passes bytes and knows nothing of what they say.

use std::{cell::Cell, net::SocketAddr, rc::Rc, time::Duration};

use crate::{
    error, logging, platform,
    transport::{
        h1::{accept, conn, dial},
        timers,
    },
};

/// Longest wait for the store; less than a router waits for its call.
const CONNECT_LIMIT: Duration = Duration::from_millis(250);

/// Connections carried at once; each router uses a handful.
const MOST: usize = 512;

/// Runs a carrier with the settings file at `path` until it is told to stop.
///
/// # Errors
///
/// An error that names the setting, file or socket that failed.
pub fn run(path: &str, log: &str) -> Result<(), error::Error> {
    let settings = platform::settings::read_carrier(path)?;
    let _writer = logging::start_bounded(log);
    let executor = Rc::new(smol::LocalExecutor::new());
    smol::block_on(executor.run(serve(settings, executor.clone())))
}

async fn serve(
    settings: platform::settings::CarrierSettings,
    executor: Rc<smol::LocalExecutor<'static>>,
) -> Result<(), error::Error> {
    let listener = async_net::TcpListener::bind(settings.fleet_listen).await?;
    let timers = timers::Timers::default();
    let carried = Rc::new(Cell::new(0));
    tracing::info!(vm = %settings.vm, store = %settings.store, "carrier: started");
    loop {
        let stream = accept::next(&listener, "carrier", &timers).await;
        if carried.get() >= MOST {
            tracing::warn!(carried = MOST, "carrier: too many connections, one refused");
            continue;
        }
        let task = carry(stream, settings.store, timers.clone(), carried.clone());
        executor.spawn(task).detach();
    }
}

async fn carry(
    stream: async_net::TcpStream,
    store: SocketAddr,
    timers: timers::Timers,
    carried: Rc<Cell<usize>>,
) {
    carried.set(carried.get() + 1);
    if let Err(err) = pass(&stream, store, &timers).await {
        tracing::info!(%err, "carrier: a connection ended");
    }
    carried.set(carried.get() - 1);
}

async fn pass(
    stream: &async_net::TcpStream,
    store: SocketAddr,
    timers: &timers::Timers,
) -> std::io::Result<()> {
    dial::detect_dead_peer(stream)?;
    let conn: conn::Conn = dial::connect(store, CONNECT_LIMIT, timers).await?;
    let there = conn.socket();
    let up = smol::io::copy(stream.clone(), there.clone());
    let down = smol::io::copy(there.clone(), stream.clone());
    // Either end closes both: no call goes on without its answer.
    smol::future::or(up, down).await?;
    Ok(())
}
