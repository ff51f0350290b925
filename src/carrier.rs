//! The carrier: a TCP proxy through which routers reach the platform's store when a network
//! partition separates them from it, but not from the carrier's VM.
//!
//! It forwards bytes in both directions without parsing them. Beside that it reports the load of the
//! backend server on its VM to gateways that subscribe to it ([`loads`]).

use std::{cell::Cell, net::SocketAddr, rc::Rc, time::Duration};

use crate::{
    error, logging, platform,
    transport::{
        admin,
        h1::{accept, conn, dial, fault},
        signals, timers,
    },
};

pub mod loads;
pub mod metrics_page;
pub mod report_reader;

/// Time limit for connecting to the store; shorter than a router waits for its call.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);

/// Maximum number of connections at a time; each router uses only a few.
const MAX_CONNECTIONS: usize = 512;

/// Runs a carrier with the settings file at `path`; `log` is the log filter.
///
/// It runs until a signal tells it to stop. Calls that it forwards are then cut, and the gateways
/// make them again through another carrier. SIGHUP has it read the settings again.
///
/// # Errors
///
/// An error that names the setting, file or socket that failed.
pub fn run(path: &str, log: &str) -> Result<(), error::Error> {
    let settings = platform::settings::read_carrier(path)?;
    let _writer = logging::start_lossy(log);
    let recorder = admin::install_recorder()?;
    let executor = Rc::new(smol::LocalExecutor::new());
    let signals = signals::listen()?;
    smol::block_on(executor.run(async {
        let listener = async_net::TcpListener::bind(settings.fleet_listen).await?;
        let fleet = listener.local_addr()?;
        tracing::info!(vm = %settings.vm, %fleet, store = %settings.store, "carrier: started");
        let store = Rc::new(Cell::new(settings.store));
        let app = Rc::new(Cell::new(settings.app));
        let reporting = loads::serve(
            settings.loads_listen,
            app.clone(),
            timers::Timers::default(),
            log_listening(&settings),
        );
        executor.spawn(reporting).detach();
        let admin_listen = settings.admin_listen;
        let merging = admin::merge_samples(recorder.clone(), timers::Timers::default());
        executor.spawn(merging).detach();
        let page = metrics_page::serve(admin_listen, recorder, timers::Timers::default());
        executor.spawn(page).detach();
        let serving = serve(listener, store.clone(), executor.clone());
        let handling = handle_signals(&signals, path, settings, &store, &app);
        smol::future::or(serving, handling).await;
        Ok(())
    }))
}

/// Returns a function that logs where subscriptions are taken, and for which backend server.
fn log_listening(
    settings: &platform::settings::CarrierSettings,
) -> impl FnOnce(SocketAddr) + use<> {
    let (app, service) = (settings.app, settings.service.clone());
    move |loads| tracing::info!(%loads, ?app, ?service, "loads: taking subscriptions")
}

/// Reloads the settings when a signal says so; returns when one says to stop.
async fn handle_signals(
    signals: &signals::Signals,
    path: &str,
    mut settings: platform::settings::CarrierSettings,
    store: &Cell<SocketAddr>,
    app: &Cell<Option<SocketAddr>>,
) {
    while let signals::Signal::Reload = signals.next().await {
        match platform::settings::read_carrier(path) {
            Ok(read) => {
                store.set(read.store);
                app.set(read.app);
                tracing::info!(store = %read.store, "carrier: settings reloaded on SIGHUP");
                settings = read;
            }
            Err(err) => {
                tracing::warn!(%err, "carrier: settings not reloaded, keeping the old ones");
            }
        }
    }
    tracing::info!(vm = %settings.vm, "carrier: stopped");
}

async fn serve(
    listener: async_net::TcpListener,
    store: Rc<Cell<SocketAddr>>,
    executor: Rc<smol::LocalExecutor<'static>>,
) {
    let timers = timers::Timers::default();
    let open_connections = Rc::new(Cell::new(0));
    loop {
        let stream = accept::next(&listener, "carrier", &timers).await;
        if open_connections.get() >= MAX_CONNECTIONS {
            tracing::warn!(
                carried = MAX_CONNECTIONS,
                "carrier: connection refused, too many are open"
            );
            continue;
        }
        let task = handle_connection(
            stream,
            store.get(),
            timers.clone(),
            open_connections.clone(),
        );
        executor.spawn(task).detach();
    }
}

async fn handle_connection(
    stream: async_net::TcpStream,
    store: SocketAddr,
    timers: timers::Timers,
    open_connections: Rc<Cell<usize>>,
) {
    open_connections.set(open_connections.get() + 1);
    if let Err(err) = forward(&stream, store, &timers).await {
        tracing::info!(%err, "carrier: connection failed");
    }
    open_connections.set(open_connections.get() - 1);
}

async fn forward(
    stream: &async_net::TcpStream,
    store: SocketAddr,
    timers: &timers::Timers,
) -> Result<(), fault::Fault> {
    dial::detect_dead_peer(stream)?;
    let conn: conn::Conn = dial::connect(store, CONNECT_TIMEOUT, timers).await?;
    let store_stream = conn.socket();
    let upload = copy(stream.clone(), store_stream.clone());
    let download = copy(store_stream, stream.clone());
    // When one side closes, both connections are closed: a call whose answer can't be forwarded is
    // of no use.
    smol::future::or(upload, download).await?;
    Ok(())
}

/// Copies bytes until the source ends. [`conn::Conn::fill`] gives other connections a turn, also while both sides
/// are always ready.
async fn copy(from: async_net::TcpStream, to: async_net::TcpStream) -> Result<(), fault::Fault> {
    let mut reader = conn::Conn::new(from);
    let mut writer = conn::Conn::new(to);
    while reader.fill().await? {
        writer.write(reader.unread()).await?;
        reader.consume(reader.unread().len());
    }
    Ok(())
}
