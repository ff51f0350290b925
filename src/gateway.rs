//! A gateway: a router that sends callers' requests directly to backend servers.
//!
//! The platform's store holds the configuration, the list of backend servers and the ledgers of
//! budgets. The main modules, each of which uses only those listed after it, are [`pages`], [`explaining`], [`explanation`], [`front`],
//! [`request_reading`], [`request`], [`admission`], [`forwarding`], [`plain_room`], [`request_log`],
//! [`request_error`], [`relay`], [`held`], [`choosing`], [`server_limits`], [`response_end`],
//! [`crash_reports`], [`exchange`], [`connections`], [`meter`], [`reserving`], [`replenishing`], [`budget`], [`budget_homes`], [`ledger`],
//! [`config_sync`], [`upkeep`], [`directory`], [`releases`], [`stream_origins`], [`watching`], [`load_reports`],
//! [`peer_serving`], [`peer_rpc`], [`peer_messages`], [`permit_issuing`], [`fleet`], [`overload`], [`dialling`], [`core`],
//! [`watch_notes`], [`memory`], [`caller_slots`], [`plain_queues`], [`second_conn`] and [`server_conn`].

use std::rc::Rc;

use crate::{
    error, logging, platform,
    transport::{self, admin},
};

pub mod admission;
pub mod budget;
pub mod budget_homes;
pub mod caller_slots;
pub mod choosing;
pub mod config_sync;
pub mod connections;
pub mod core;
pub mod crash_notes;
pub mod crash_reports;
pub mod dialling;
pub mod directory;
pub mod era_notes;
pub mod exchange;
pub mod explaining;
pub mod explanation;
pub mod fleet;
pub mod forwarding;
pub mod front;
pub mod held;
pub mod ledger;
pub mod load_reports;
pub mod memory;
pub mod meter;
pub mod overload;
pub mod pages;
pub mod peer_messages;
pub mod peer_rpc;
pub mod peer_serving;
pub mod permit_issuing;
pub mod plain_queues;
pub mod plain_room;
pub mod refusal;
pub mod relay;
pub mod releases;
pub mod replenishing;
pub mod request;
pub mod request_error;
pub mod request_log;
pub mod request_reading;
pub mod reserving;
pub mod response_end;
pub mod rollback;
pub mod second_conn;
pub mod server_conn;
pub mod server_limits;
pub mod share_log;
mod signals;
pub mod stream_origins;
pub mod upkeep;
pub mod watch_notes;
pub mod watching;

/// Runs a gateway with the settings file at `path` until a signal tells it to stop.
///
/// `log` is the log filter.
///
/// # Errors
///
/// An error that names the setting, file or socket that failed.
pub fn run(path: &str, log: &str) -> Result<(), error::Error> {
    let settings = platform::settings::read(path)?;
    let _writer = logging::start_lossy(log);
    let recorder = admin::install_recorder()?;
    let executor = Rc::new(smol::LocalExecutor::new());
    let gateway = core::Gateway::new(settings, executor.clone());
    smol::block_on(executor.run(serve(gateway, path, recorder)))
}

async fn serve(
    gw: Rc<core::Gateway>,
    path: &str,
    recorder: metrics_exporter_prometheus::PrometheusHandle,
) -> Result<(), error::Error> {
    let signals = transport::signals::listen()?;
    let settings = gw.settings();
    let listener = front::bind(settings.listen).await?;
    let front = listener.local_addr()?;
    gw.spawn(admin::merge_samples(recorder.clone(), gw.timers.clone()));
    let (ready, admin) = pages::start(&gw, recorder).await?;
    let fleet = budget::start(&gw).await?;
    replenishing::start(&gw);
    config_sync::start(&gw);
    directory::start(&gw);
    watching::start(&gw);
    fleet::start(&gw, fleet);
    rollback::start(&gw);
    crash_reports::start(&gw);
    server_limits::start(&gw);
    releases::start(&gw);
    stream_origins::start(&gw);
    let loads = settings.loads_listen();
    load_reports::start(&gw, loads, loads.port());
    overload::start(&gw);
    upkeep::start(&gw);
    front::start(&gw, listener);
    request_log::start(&gw);
    share_log::start(&gw);
    let vm = &settings.vm;
    let incarnation = gw.incarnation;
    tracing::info!(%vm, incarnation, %front, %ready, %fleet, %admin, "gateway: started");
    signals::handle_until_stop(&gw, path, &signals).await;
    gw.watch_notes.close_calls();
    front::drain(&gw).await;
    ledger::close(&gw).await;
    fleet::unregister(&gw).await;
    front::finish_late_requests(&gw).await;
    tracing::info!(%vm, "gateway: stopped");
    Ok(())
}
