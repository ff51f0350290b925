//! Notices crashes of backend servers, and exchanges with the other gateways which requests were
//! running at them.
//!
//! Counts go to the other gateways by [`peer_rpc`]. Those of requests that are refused are also
//! written to the store, under this gateway's lease, for the time after a restart of all gateways.

use std::{io::ErrorKind, net::SocketAddr, rc::Rc, time::Duration};

use metrics::counter;

use crate::{
    coordination::{response_end::Probe, suspect, suspect_keys, suspect_turns, suspects},
    gateway::{connections, core, crash_notes, exchange, peer_rpc, server_conn},
    platform::store,
    state::server,
    transport::h1::dial,
};

/// Prefix of the keys of refused requests in the store.
const PREFIX: &str = "fulmar/crashes/";

/// Time limit for the connection that tells whether a server still runs.
const PROBE_TIMEOUT: Duration = Duration::from_millis(200);

/// Interval at which counts that did not fit into one message are sent, and reads of them repeated.
const RESEND_INTERVAL: Duration = Duration::from_millis(500);

/// Longest delay, per gateway in the fleet, after which counts are sent. Many gateways see the same
/// crash, and each has many counts at that moment; a delay spreads the calls and joins the counts.
const TELL_DELAY: Duration = Duration::from_millis(2);

/// Number of gateways that are told at a time.
const TOLD_AT_A_TIME: usize = 8;

/// Number of gateways that tell their counts to one that has started.
const ASKED_AT_START: u32 = 2;

/// Marks a request that was running at crashes as one that runs at a server, for as long as it lives.
pub struct IsolationGuard<'a> {
    gw: &'a core::Gateway,
    server: &'a server::Server,
    keys: &'a suspect_keys::Keys,
    /// Key for which others run elsewhere.
    isolation: u64,
    has_turn: bool,
}

impl<'a> IsolationGuard<'a> {
    /// Marks the request if it is isolated. The guard must live until its crash is recorded, if
    /// there is one.
    pub fn new(
        gw: &'a core::Gateway,
        server: &'a server::Server,
        keys: &'a suspect_keys::Keys,
    ) -> Option<Self> {
        let now = gw.now();
        let mut suspects = gw.crash_notes.suspects.borrow_mut();
        let isolation = suspects.isolation_key(keys, now)?;
        let has_turn = suspects.begin_turn(keys, &server.id, now);
        suspects.begin_run(&server.id, isolation);
        Some(Self {
            gw,
            server,
            keys,
            isolation,
            has_turn,
        })
    }
}

impl Drop for IsolationGuard<'_> {
    fn drop(&mut self) {
        let mut suspects = self.gw.crash_notes.suspects.borrow_mut();
        suspects.end_run(&self.server.id, self.isolation);
        if self.has_turn {
            suspects.end_turn(self.keys);
            self.gw.crash_notes.turns.notify(usize::MAX);
        }
    }
}

/// Whether a request must not be sent because servers crashed each time that it, or others with a
/// part of its prompt, ran. One gateway lets requests through from time to time, as trials.
pub fn refuses(gw: &core::Gateway, keys: &suspect_keys::Keys) -> bool {
    let suspects = gw.crash_notes.suspects.borrow();
    suspects.refuses(keys, gw.now(), |key| peer_rpc::ranks_first(gw, key))
}

/// When a request may be sent that was running at crashes before.
pub fn turn(gw: &core::Gateway, keys: &suspect_keys::Keys) -> suspect_turns::Turn {
    let suspects = gw.crash_notes.suspects.borrow();
    suspects.turn(keys, gw.now(), |service| peer_rpc::ranks_first(gw, service))
}

/// Tries to connect to a server that has ended a connection. The connection serves the next request.
///
/// # Errors
///
/// What the attempt met instead.
pub async fn probe(
    gw: &core::Gateway,
    server: &server::Server,
) -> Result<server_conn::ServerConn, Probe> {
    match dial::connect(server.address, PROBE_TIMEOUT, &gw.timers).await {
        Ok(conn) => {
            counter!("fulmar_gateway_connections_total").increment(1);
            Ok(server_conn::ServerConn::new(conn))
        }
        Err(err) if err.kind() == ErrorKind::ConnectionRefused => Err(Probe::Refused),
        Err(err) => {
            let id = &server.id;
            tracing::info!(%id, %err, "crashes: unknown whether a server has ended");
            Err(Probe::Silent)
        }
    }
}

/// Records that the process of a server has ended, if it is listed.
pub fn record_ended(gw: &core::Gateway, server: &server::Server) {
    if gw.directory.borrow().servers.contains_key(&server.id) {
        gw.ended_servers.borrow_mut().record(server, gw.now());
    }
}

/// Whether a server that has ended a connection has crashed: it refuses connections, and nothing said
/// before that it would leave. Serves to count the requests that crash servers; whether a response is
/// complete is another question.
pub async fn has_crashed(gw: &core::Gateway, server: &server::Server) -> bool {
    match probe(gw, server).await {
        Ok(conn) => {
            connections::keep(gw, server, conn, None);
            return false;
        }
        Err(Probe::Refused) => (),
        Err(_) => return false,
    }
    record_ended(gw, server);
    let directory = gw.directory.borrow();
    let listed = directory.servers.get(&server.id);
    let is_listed = listed.is_some_and(|it| it.takes_work);
    is_listed && !gw.announcements.borrow().is_leaving(server, gw.now())
}

/// Records that a server crashed while it ran a request that was sent at `sent`, whose keys become
/// suspects.
pub fn record_crash(
    gw: &Rc<core::Gateway>,
    server: &server::Server,
    req: &exchange::OutgoingRequest,
    sent: Duration,
) {
    let (id, keys, now) = (&server.id, &req.keys, gw.now());
    let mut suspects = gw.crash_notes.suspects.borrow_mut();
    let was_refused = suspects.refused_key(keys, now).is_some();
    let crashes = suspects.record_crash(keys, suspects::server_number(server), sent, now);
    let refused = suspects.refused_key(keys, now);
    drop(suspects);
    if crashes == 0 {
        return;
    }
    counter!("fulmar_gateway_crash_suspects_total").increment(1);
    let whole = keys.as_slice().last();
    let parts: Vec<_> = req
        .parts
        .iter()
        .map(|part| format!("{:x}", part.id))
        .collect();
    let (request, parts) = (&req.id, parts.join(","));
    tracing::info!(%id, whole, request, parts, crashes, "crashes: a server ended while it ran a request");
    gw.crash_notes.changed.notify(usize::MAX);
    if let Some(key) = refused.filter(|_| !was_refused) {
        let is_whole = whole == Some(&key);
        counter!("fulmar_gateway_crash_refusals_total", "by" => if is_whole { "whole" } else { "part" })
            .increment(1);
        tracing::warn!(
            key,
            is_whole,
            request,
            parts,
            "crashes: requests are refused from now on"
        );
        let storing = gw.clone();
        let put = (format!("{PREFIX}{key:016x}"), Vec::new());
        gw.spawn(async move { store_refused(&storing, vec![put], Vec::new()).await });
    }
}

/// Records that a request ran to its end, which clears its keys in the whole fleet.
pub fn record_success(gw: &Rc<core::Gateway>, keys: &suspect_keys::Keys) {
    let mut suspects = gw.crash_notes.suspects.borrow_mut();
    let cleared = suspects.record_success(keys, gw.now());
    drop(suspects);
    if cleared.is_empty() {
        return;
    }
    counter!("fulmar_gateway_crash_clearances_total").increment(cleared.len() as u64);
    gw.crash_notes.changed.notify(usize::MAX);
    let refused = cleared
        .iter()
        .filter(|(_, crashes)| *crashes >= suspect::REFUSAL_THRESHOLD);
    let deletes: Vec<_> = refused
        .map(|(key, crashes)| {
            tracing::info!(key, crashes, "crashes: cleared, a request ran to its end");
            format!("{PREFIX}{key:016x}")
        })
        .collect();
    if !deletes.is_empty() {
        let storing = gw.clone();
        gw.spawn(async move { store_refused(&storing, Vec::new(), deletes).await });
    }
}

/// Stores which keys are refused, for gateways that start when no other runs.
async fn store_refused(gw: &core::Gateway, puts: Vec<(String, Vec<u8>)>, deletes: Vec<String>) {
    let Some(lease) = gw.lease.get() else {
        tracing::info!("crashes: refused requests not stored, no lease");
        return;
    };
    let write = store::Write {
        puts,
        deletes,
        lease,
        ..store::Write::default()
    };
    match gw.store.write(&write).await {
        Ok(store::WriteOutcome::Applied(_)) => (),
        Ok(outcome) => tracing::info!(?outcome, "crashes: refused requests not stored"),
        Err(err) => {
            counter!("fulmar_gateway_store_failures_total", "part" => "crashes").increment(1);
            tracing::info!(%err, "crashes: refused requests not stored");
        }
    }
}

/// Starts the tasks that exchange counts with the other gateways.
pub fn start(gw: &Rc<core::Gateway>) {
    let reading = gw.clone();
    gw.spawn(async move {
        while let Err(err) = read_refused(&reading).await {
            counter!("fulmar_gateway_store_failures_total", "part" => "crashes").increment(1);
            tracing::info!(%err, "crashes: cannot read the refused requests");
            reading.timers.sleep(RESEND_INTERVAL).await;
        }
    });
    let asking = gw.clone();
    gw.spawn(async move {
        while asking.peers.borrow().is_empty() {
            asking.timers.sleep(RESEND_INTERVAL).await;
        }
        let peers: Vec<SocketAddr> = asking.peers.borrow().values().copied().collect();
        // Gateways that were killed stay listed for a while.
        let mut answered = 0;
        for peer in peers {
            if let Some(reports) = send(&asking, peer, Vec::new()).await {
                asking.crash_notes.merge(&reports, asking.now());
                answered += 1;
            }
            if answered == ASKED_AT_START {
                return;
            }
        }
    });
    let telling = gw.clone();
    gw.spawn(async move {
        loop {
            let changed = telling.crash_notes.changed.listen();
            let is_complete = tell_peers(&telling).await;
            let has_changed = match is_complete {
                true => {
                    changed.await;
                    true
                }
                false => {
                    let wait = resend_wait(&telling);
                    telling.timers.within(wait, changed).await.is_some()
                }
            };
            if has_changed {
                let most = TELL_DELAY * u32::try_from(telling.router_count()).unwrap_or(u32::MAX);
                telling.timers.sleep(most.mul_f64(fastrand::f64())).await;
            }
        }
    });
}

/// Time until counts may be sent to a gateway that does not know them yet.
fn resend_wait(gw: &core::Gateway) -> Duration {
    let next_due = gw.crash_notes.resending.borrow().next_due();
    next_due.map_or(RESEND_INTERVAL, |due| due.saturating_sub(gw.now()))
}

async fn read_refused(gw: &core::Gateway) -> Result<(), store::StoreError> {
    let read = gw.store.range(PREFIX, true).await?;
    let refused = read.items.iter().filter_map(|item| {
        let key = item.key.strip_prefix(PREFIX)?;
        let key = u64::from_str_radix(key, 16).ok()?;
        Some(suspect::Report::refused(key))
    });
    let refused: Vec<_> = refused.collect();
    gw.crash_notes.merge(&refused, gw.now());
    Ok(())
}

/// Sends counts to the gateways that don't know them yet and are due; returns whether all know them.
async fn tell_peers(gw: &Rc<core::Gateway>) -> bool {
    let reports = &gw.crash_notes;
    let last = reports.suspects.borrow().last_change();
    if last == 0 {
        return true;
    }
    let peers = gw.peers.borrow().clone();
    let mut told = reports.told.borrow().clone();
    told.retain(|holder, _| peers.contains_key(holder));
    let change_told = |holder: &String| told.get(holder).copied().unwrap_or(0);
    {
        let mut resending = reports.resending.borrow_mut();
        resending.retain(|holder| peers.contains_key(holder));
    }
    let is_due = |holder: &str| reports.resending.borrow().is_due(holder, gw.now());
    let behind = peers
        .iter()
        .filter(|(holder, _)| change_told(holder) < last && is_due(holder));
    let tell = async |(holder, address): (&String, &SocketAddr)| {
        let (changes, covered) = {
            let suspects = reports.suspects.borrow();
            suspects.changes_after(change_told(holder), crash_notes::MAX_REPORTS, gw.now())
        };
        if !changes.is_empty() {
            let answered = send(gw, *address, changes).await;
            let mut resending = reports.resending.borrow_mut();
            resending.record(holder, answered.is_some(), gw.now());
            drop(resending);
            answered?;
        }
        Some((holder.clone(), covered))
    };
    let behind: Vec<_> = behind.collect();
    let mut answers = Vec::new();
    for peers in behind.chunks(TOLD_AT_A_TIME) {
        answers.extend(futures::future::join_all(peers.iter().copied().map(&tell)).await);
    }
    told.extend(answers.into_iter().flatten());
    let is_current = |holder: &String| told.get(holder).is_some_and(|change| *change >= last);
    let is_complete = peers.keys().all(is_current);
    *reports.told.borrow_mut() = told;
    is_complete
}

/// Sends counts to a gateway and returns those that it knows; `None` when it did not answer.
async fn send(
    gw: &core::Gateway,
    peer: SocketAddr,
    reports: Vec<suspect::Report>,
) -> Option<Vec<suspect::Report>> {
    match peer_rpc::exchange_crashes(gw, peer, reports).await {
        Ok(reports) => Some(reports),
        Err(cause) => {
            counter!("fulmar_gateway_peer_failures_total").increment(1);
            tracing::info!(%peer, cause, "crashes: a router did not answer");
            None
        }
    }
}
