//! Subscribes to the loads of backend servers at the carriers on their VMs, and keeps what arrives.
//!
//! Datagrams are read ten times a second, all that have arrived in one turn, since wake-ups are what a
//! gateway has least of. Their ages include the time until then.

use std::{io, net::SocketAddr, rc::Rc, time::Duration};

use metrics::{counter, gauge};

use crate::{
    coordination::placing::{load_sources, load_subscribers, server_load},
    gateway::core,
    protocol::load_datagram,
    state::name,
};

/// Interval at which datagrams are read while there are subscriptions.
const READ_INTERVAL: Duration = Duration::from_millis(100);

/// Interval at which the carriers are chosen, and at which datagrams are read without subscriptions. It
/// grows with the number of engines, since choosing among 12,000 each second would take some percent of
/// a small gateway's processor time.
const UPDATE_INTERVAL: Duration = Duration::from_secs(1);

/// Number of engines for which the interval grows once more; see [`UPDATE_INTERVAL`].
const ENGINES_PER_INTERVAL: usize = 1000;

/// Datagrams handled in one turn; 128 carriers send 512 a second at most.
const MAX_READS: u32 = 128;

/// Receive buffer of the socket in bytes, which the kernel doubles. It holds some 150 datagrams with the
/// kernel's overhead; the default would let a sender fill 200 KB of a small VM.
const RECEIVE_BUFFER: usize = 64 * 1024;

/// Interval at which the number of servers with a load is logged when it has changed.
const LOG_INTERVAL: Duration = Duration::from_secs(10);

/// Delay before the socket is opened again.
const RETRY_DELAY: Duration = Duration::from_secs(5);

/// Starts the task that subscribes. `listen` is the address of its socket, `carrier_port` the port at
/// which carriers take subscriptions.
pub fn start(gw: &Rc<core::Gateway>, listen: SocketAddr, carrier_port: u16) {
    let running = gw.clone();
    gw.spawn(async move {
        let socket = loop {
            match open(listen) {
                Ok(socket) => break socket,
                Err(err) => {
                    tracing::warn!(%err, %listen, "loads: cannot open the socket; retrying");
                    running.timers.sleep(RETRY_DELAY).await;
                }
            }
        };
        run(&running, &socket, carrier_port).await;
    });
}

fn open(listen: SocketAddr) -> io::Result<std::net::UdpSocket> {
    let socket = std::net::UdpSocket::bind(listen)?;
    socket.set_nonblocking(true)?;
    socket2::SockRef::from(&socket).set_recv_buffer_size(RECEIVE_BUFFER)?;
    Ok(socket)
}

async fn run(gw: &core::Gateway, socket: &std::net::UdpSocket, carrier_port: u16) {
    // Another run of this gateway at the same address must not take the loads of this one's clock.
    let nonce = fastrand::u32(..);
    let (mut update_at, mut log_at, mut logged) = (Duration::ZERO, Duration::ZERO, (0, 0));
    loop {
        receive(gw, socket, nonce, carrier_port);
        let now = gw.now();
        if now >= update_at {
            let (engines, counts) = update(gw, now);
            update_at = now + UPDATE_INTERVAL * (1 + engines / ENGINES_PER_INTERVAL) as u32;
            if now >= log_at && counts != logged {
                (log_at, logged) = (now + LOG_INTERVAL, counts);
                let (carriers, known) = counts;
                tracing::info!(carriers, known, "loads: servers whose load is known");
            }
        }
        subscribe(gw, socket, nonce, carrier_port, now);
        let is_idle = gw.load_sources.borrow().count() == 0;
        let wait = if is_idle {
            UPDATE_INTERVAL
        } else {
            READ_INTERVAL
        };
        gw.timers.sleep(wait).await;
    }
}

/// Chooses the carriers; returns the number of engines among which it chose, and the numbers of
/// carriers and of servers whose load is known.
fn update(gw: &core::Gateway, now: Duration) -> (usize, (usize, usize)) {
    let mut sources = gw.load_sources.borrow_mut();
    let mut engines = Vec::new();
    if let Some(deployment) = gw.deployment() {
        let services = deployment.services.values();
        let used =
            services.filter(|service| service.engine.is_some() && sources.uses(&service.name, now));
        let used: Vec<_> = used.map(|service| &service.name).collect();
        if !used.is_empty() {
            let directory = gw.directory.borrow();
            let listed = directory.servers.values();
            let listed = listed.filter(|server| used.contains(&&server.service));
            engines.extend(listed.cloned());
        }
    }
    let engine_count = engines.len();
    sources.update(engines, gw.incarnation, now);
    let placement = gw.placement.borrow();
    let known = sources
        .servers()
        .filter(|server| placement.reported_load(server, now).is_some());
    let counts = (sources.count(), known.count());
    gauge!("fulmar_gateway_load_carriers").set(counts.0 as f64);
    gauge!("fulmar_gateway_loads_known").set(counts.1 as f64);
    (engine_count, counts)
}

fn subscribe(
    gw: &core::Gateway,
    socket: &std::net::UdpSocket,
    nonce: u32,
    carrier_port: u16,
    now: Duration,
) {
    let due = gw.load_sources.borrow_mut().take_due(now);
    if due.is_empty() {
        return;
    }
    let datagram = load_datagram::encode_subscription(&load_subscribers::Subscription {
        nonce,
        sent_at_ms: now.as_millis() as u64,
    });
    for ip in due {
        let outcome = match socket.send_to(&datagram, (ip, carrier_port)) {
            Ok(_) => "sent",
            Err(err) => {
                // It is sent again with the next renewal.
                tracing::debug!(%err, %ip, "loads: cannot subscribe");
                "failed"
            }
        };
        counter!("fulmar_gateway_load_subscriptions_total", "outcome" => outcome).increment(1);
    }
}

/// Handles the datagrams that have arrived.
fn receive(gw: &core::Gateway, socket: &std::net::UdpSocket, nonce: u32, carrier_port: u16) {
    // One byte more than the longest datagram, so that longer ones show.
    let mut buf = [0; load_datagram::MAX_LEN + 1];
    for _ in 0..MAX_READS {
        let (len, address) = match socket.recv_from(&mut buf) {
            Ok(received) => received,
            Err(err) if err.kind() == io::ErrorKind::WouldBlock => return,
            Err(err) => {
                counter!("fulmar_gateway_load_reports_total", "outcome" => "socket").increment(1);
                tracing::debug!(%err, "loads: cannot read the socket");
                return;
            }
        };
        let outcome = match address.port() == carrier_port {
            true => take(gw, &buf[..len], address, nonce),
            false => "unknown_sender",
        };
        counter!("fulmar_gateway_load_reports_total", "outcome" => outcome).increment(1);
    }
}

/// Takes a datagram; returns what became of it.
fn take(gw: &core::Gateway, bytes: &[u8], address: SocketAddr, nonce: u32) -> &'static str {
    let now = gw.now();
    let Some(load) = load_datagram::decode_load(bytes) else {
        return "malformed";
    };
    if load.subscription.nonce != nonce {
        return "other_subscriber";
    }
    let Some(age) = load.age_at(now) else {
        return "malformed";
    };
    let sources = gw.load_sources.borrow();
    let server = match sources.server(address.ip(), load.port, load.started_unix_ms) {
        Ok(server) => server,
        Err(load_sources::Unusable::UnknownSender) => return "unknown_sender",
        Err(load_sources::Unusable::Unlisted) => return "unlisted",
        Err(load_sources::Unusable::FormerProcess) => return "former_process",
    };
    let tokens_per_event = tokens_per_event(gw, &server.service);
    let mut placement = gw.placement.borrow_mut();
    let (started, reported) = (load.started_unix_ms, load.reported);
    match placement.record_report(server, started, reported, age, tokens_per_event, now) {
        server_load::Recorded::Kept => "kept",
        server_load::Recorded::Superseded => "superseded",
        server_load::Recorded::TooOld => "too_old",
    }
}

/// Output tokens in an event of a service's streams; 1 when the service is not configured any more.
fn tokens_per_event(gw: &core::Gateway, service: &name::Name) -> u64 {
    let deployment = gw.deployment();
    let service = deployment.as_ref().and_then(|it| it.services.get(service));
    let engine = service.and_then(|service| service.engine.as_ref());
    engine.map_or(1, |engine| engine.tokens_per_event)
}
