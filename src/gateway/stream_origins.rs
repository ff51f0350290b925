//! Finds out which release began a stream that a caller takes up again, and notes it for streams that
//! begin here.

use std::{cell::RefCell, net::SocketAddr, rc::Rc, time::Duration};

use futures::{StreamExt, stream::FuturesUnordered};
use metrics::counter;

use crate::{
    coordination::{
        crashes,
        origin_search::{self, Origin, Step},
        stream_origins,
    },
    gateway::{core, directory, peer_rpc, releases},
    state::{name, release, server},
};

/// Time for which notes are collected before copies are sent.
const COPY_DELAY: Duration = Duration::from_millis(50);

/// Maximum number of notes in one message, which must not exceed the size limit of messages.
const MAX_COPIED: usize = 60;

/// Time limit for a read of the record of releases.
const RECORD_TIMEOUT: Duration = Duration::from_millis(300);

/// Notes of streams.
#[derive(Default)]
pub struct StreamNotes {
    /// Where streams began.
    pub origins: RefCell<stream_origins::StreamOrigins>,
    /// Notified when there may be notes to copy.
    changed: event_listener::Event,
}

/// Hash of a stream: of its caller's workspace and of the id of the request that brings its first event.
pub fn stream_key(workspace: Option<&name::Name>, request: &str) -> u64 {
    let workspace = workspace.map_or("", |workspace| workspace);
    crashes::fingerprint(workspace, &[request.as_bytes()])
}

/// Starts the task that sends copies of notes.
pub fn start(gw: &Rc<core::Gateway>) {
    let copying = gw.clone();
    gw.spawn(async move {
        loop {
            let noted = copying.stream_notes.changed.listen();
            let is_mixed = copying.release_notes.changed.listen();
            let notes = take_uncopied(&copying);
            if notes.is_empty() {
                smol::future::or(noted, is_mixed).await;
            } else {
                send_copies(&copying, notes);
            }
            copying.timers.sleep(COPY_DELAY).await;
        }
    });
}

fn take_uncopied(gw: &core::Gateway) -> Vec<stream_origins::Note> {
    let known = gw.release_notes.known.borrow();
    let mut origins = gw.stream_notes.origins.borrow_mut();
    let is_complete = releases::is_complete(gw);
    origins.take_uncopied(MAX_COPIED, |service| {
        !is_complete || known.is_mixed(service)
    })
}

/// Sends copies of notes to the gateways that rank first for them. Those that don't answer get none.
fn send_copies(gw: &Rc<core::Gateway>, notes: Vec<stream_origins::Note>) {
    let mut by_peer: Vec<(SocketAddr, Vec<_>)> = Vec::new();
    for note in notes {
        let ranked = ranked_peers(gw, note.stream);
        let responsive = ranked
            .into_iter()
            .filter(|peer| peer_rpc::is_responsive(gw, *peer));
        for peer in responsive.take(stream_origins::COPIES) {
            match by_peer.iter_mut().find(|(known, _)| *known == peer) {
                Some((_, notes)) => notes.push(note.clone()),
                None => by_peer.push((peer, vec![note.clone()])),
            }
        }
    }
    for (peer, notes) in by_peer {
        let sending = gw.clone();
        gw.spawn(async move {
            counter!("fulmar_gateway_stream_notes_total").increment(notes.len() as u64);
            exchange(&sending, peer, notes, Vec::new()).await;
        });
    }
}

fn ranked_peers(gw: &core::Gateway, stream: u64) -> Vec<SocketAddr> {
    let peers = gw.peers.borrow();
    let peers = peers.iter().map(|(peer, address)| (&**peer, *address));
    stream_origins::rank(stream, &gw.holder(), peers)
}

/// Notes that a server brought the first event of a stream; returns what is known of its release.
pub fn record_begun(gw: &core::Gateway, stream: u64, server: &server::Server) -> Origin {
    // Another process may have taken the server's id since the request was sent.
    let is_certain = directory::runs_listed_software(gw, server);
    let release = server.release();
    let noted = is_certain.then(|| release.clone());
    let mut origins = gw.stream_notes.origins.borrow_mut();
    origins.record_begun(stream, &server.service, noted, gw.now());
    drop(origins);
    if !releases::is_complete(gw) || gw.release_notes.known.borrow().is_mixed(&server.service) {
        gw.stream_notes.changed.notify(usize::MAX);
    }
    match is_certain {
        true => Origin::Release(release),
        false => Origin::Lost,
    }
}

/// Finds out which release began a stream of one of these services, and counts how.
pub async fn find(gw: &Rc<core::Gateway>, stream: u64, services: &[name::Name]) -> Origin {
    let is_mixed = {
        let known = gw.release_notes.known.borrow();
        services.iter().any(|service| known.is_mixed(service))
    };
    let own = gw.stream_notes.origins.borrow().note(stream);
    let mut search = origin_search::Search::new(own, ranked_peers(gw, stream), is_mixed);
    let (origin, by) = loop {
        match search.next_step() {
            Step::ReadRecord => search.add_record(only_release(gw, services).await),
            Step::Ask(peers) => ask(gw, stream, &peers, &mut search).await,
            Step::Done(origin, by) => break (origin, by),
        }
    };
    counter!("fulmar_gateway_stream_origins_total", "by" => by).increment(1);
    if let Origin::Release(release) = &origin {
        // The caller may take the stream up again here.
        let release = Some(release.clone());
        let note = stream_origins::Note { stream, release };
        gw.stream_notes
            .origins
            .borrow_mut()
            .merge(&[note], gw.now());
    }
    origin
}

/// Asks gateways for the note of a stream, until one has it.
async fn ask(
    gw: &core::Gateway,
    stream: u64,
    peers: &[SocketAddr],
    search: &mut origin_search::Search<SocketAddr>,
) {
    let asking = peers
        .iter()
        .map(|peer| exchange(gw, *peer, Vec::new(), vec![stream]));
    let mut answers: FuturesUnordered<_> = asking.collect();
    while let Some(answer) = answers.next().await {
        let note = answer.map(|notes| notes.into_iter().find(|note| note.stream == stream));
        if search.add_answer(note) {
            return;
        }
    }
}

/// The only release of services according to the store; `None` when it did not answer in time.
async fn only_release(
    gw: &core::Gateway,
    services: &[name::Name],
) -> Option<Option<release::Release>> {
    let reading = releases::only_release(gw, services);
    match gw.timers.within(RECORD_TIMEOUT, reading).await? {
        Ok(release) => Some(release),
        Err(err) => {
            counter!("fulmar_gateway_store_failures_total", "part" => "releases").increment(1);
            tracing::info!(%err, "streams: cannot read the record of releases");
            None
        }
    }
}

/// Sends notes to a gateway, and asks for others; `None` when it did not answer.
async fn exchange(
    gw: &core::Gateway,
    peer: SocketAddr,
    notes: Vec<stream_origins::Note>,
    wanted: Vec<u64>,
) -> Option<Vec<stream_origins::Note>> {
    match peer_rpc::exchange_origins(gw, peer, notes, wanted).await {
        Ok(known) => Some(known),
        Err(cause) => {
            counter!("fulmar_gateway_peer_failures_total").increment(1);
            tracing::info!(%peer, cause, "streams: a router did not answer");
            None
        }
    }
}
