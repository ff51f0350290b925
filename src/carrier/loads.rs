//! Sends the load of the backend server on the carrier's VM to the gateways that subscribed to it.
//!
//! Without subscribers the server's report is not read. Nothing here affects the bytes that the carrier
//! forwards: what fails is logged and tried again.

use std::{
    cell::{Cell, RefCell},
    net::SocketAddr,
    rc::Rc,
    time::Duration,
};

use metrics::{counter, gauge};

use crate::{
    carrier::report_reader,
    coordination::placing::{engine_load, load_subscribers},
    protocol::load_datagram,
    transport::timers,
};

/// Interval at which the report is read while there are subscribers.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(250);

/// Datagrams read in one interval; the rest is read in the next one or dropped by the kernel. Gateways
/// send one in 3 s each, so 512 of them send 43.
const MAX_READS: u32 = 256;

/// Delay before the socket is opened again, or read again after a failure.
const RETRY_DELAY: Duration = Duration::from_secs(2);

/// State of the sending of loads.
struct Loads {
    socket: async_net::UdpSocket,
    app: Rc<Cell<Option<SocketAddr>>>,
    timers: timers::Timers,
    subscribers: RefCell<load_subscribers::LoadSubscribers>,
    subscribed: event_listener::Event,
    is_full: Cell<bool>,
}

/// Serves subscriptions at `listen` and never returns. `app` is the address of the backend server;
/// there are no loads while it is `None`.
///
/// `bound` is called with the address of the socket when it is open.
pub async fn serve(
    listen: SocketAddr,
    app: Rc<Cell<Option<SocketAddr>>>,
    timers: timers::Timers,
    bound: impl FnOnce(SocketAddr),
) {
    let socket = loop {
        match async_net::UdpSocket::bind(listen).await {
            Ok(socket) => break socket,
            Err(err) => {
                tracing::warn!(%err, %listen, "loads: cannot open the socket; retrying");
                timers.sleep(RETRY_DELAY).await;
            }
        }
    };
    if let Ok(address) = socket.local_addr() {
        bound(address);
    }
    let loads = Loads {
        socket,
        app,
        timers,
        subscribers: RefCell::default(),
        subscribed: event_listener::Event::new(),
        is_full: Cell::new(false),
    };
    smol::future::or(loads.receive(), loads.send()).await;
}

impl Loads {
    /// Takes subscriptions as they arrive: the ages of loads are counted from their arrival.
    async fn receive(&self) {
        // One byte more than the longest datagram, so that longer ones show.
        let mut buf = [0; load_datagram::MAX_LEN + 1];
        let (mut interval_end, mut reads) = (Duration::ZERO, 0);
        loop {
            let (len, address) = match self.socket.recv_from(&mut buf).await {
                Ok(received) => received,
                Err(err) => {
                    tracing::warn!(%err, "loads: cannot read the socket; retrying");
                    self.timers.sleep(RETRY_DELAY).await;
                    continue;
                }
            };
            let now = self.timers.now();
            self.take_subscription(&buf[..len], address, now);
            if now >= interval_end {
                (interval_end, reads) = (now + SAMPLE_INTERVAL, 0);
            }
            reads += 1;
            if reads >= MAX_READS {
                self.timers.sleep(interval_end - now).await;
            }
        }
    }

    fn take_subscription(&self, bytes: &[u8], address: SocketAddr, now: Duration) {
        let outcome = match load_datagram::decode_subscription(bytes) {
            None => "malformed",
            Some(subscription) => {
                let mut subscribers = self.subscribers.borrow_mut();
                match subscribers.subscribe(address, subscription, now) {
                    load_subscribers::Subscribed::New => {
                        let count = subscribers.count(now);
                        tracing::info!(gateway = %address, count, "loads: gateway subscribed");
                        self.is_full.set(false);
                        self.subscribed.notify(usize::MAX);
                        "new"
                    }
                    load_subscribers::Subscribed::Renewed => "renewed",
                    load_subscribers::Subscribed::Full => {
                        if !self.is_full.replace(true) {
                            let count = load_subscribers::MAX_SUBSCRIBERS;
                            tracing::warn!(gateway = %address, count, "loads: too many subscribers");
                        }
                        "refused"
                    }
                }
            }
        };
        counter!("fulmar_carrier_subscriptions_total", "outcome" => outcome).increment(1);
    }

    /// Reads the report and sends the load while there are subscribers.
    async fn send(&self) {
        let mut reader: Option<report_reader::ReportReader> = None;
        let mut load = engine_load::EngineLoad::default();
        let mut is_missing = false;
        loop {
            let subscribed = self.subscribed.listen();
            let count = self.subscribers.borrow_mut().count(self.timers.now());
            gauge!("fulmar_carrier_subscribers").set(count as f64);
            let Some(app) = self.app.get().filter(|_| count > 0) else {
                // The connection stays open, since a new one would cost.
                load = engine_load::EngineLoad::default();
                self.timers.within(RETRY_DELAY, subscribed).await;
                continue;
            };
            let began = self.timers.now();
            let mut current = match reader.take() {
                Some(reader) if reader.address() == app => reader,
                _ => {
                    load = engine_load::EngineLoad::default();
                    report_reader::ReportReader::new(app, self.timers.clone())
                }
            };
            match current.read().await {
                Ok((sample, at)) => {
                    if std::mem::take(&mut is_missing) {
                        tracing::info!(%app, "loads: backend server reports again");
                    }
                    self.take_sample(&mut load, sample, at, app).await;
                }
                Err(missing) => report_missing(&missing, app, &mut is_missing),
            }
            reader = Some(current);
            let took = self.timers.now().saturating_sub(began);
            self.timers
                .sleep(SAMPLE_INTERVAL.saturating_sub(took))
                .await;
        }
    }

    async fn take_sample(
        &self,
        load: &mut engine_load::EngineLoad,
        sample: engine_load::Sample,
        at: Duration,
        app: SocketAddr,
    ) {
        let observed = load.observe(sample, at);
        let outcome = match observed {
            engine_load::Observed::Used => "used",
            engine_load::Observed::Restarted => "restarted",
            engine_load::Observed::HeldBack => "held_back",
        };
        counter!("fulmar_carrier_reports_total", "outcome" => outcome).increment(1);
        let Some(current) = load.current() else {
            return;
        };
        if observed == engine_load::Observed::Restarted {
            let started_unix_ms = current.started_unix_ms;
            tracing::info!(%app, started_unix_ms, "loads: another process of the backend server");
        }
        let (reported, started) = (current.reported, current.started_unix_ms);
        let now = self.timers.now();
        let due = self
            .subscribers
            .borrow_mut()
            .take_due(&reported, started, now);
        for due in due {
            let datagram = load_datagram::encode_load(&load_datagram::Load {
                subscription: due.subscription,
                held: due.held,
                age: now.saturating_sub(current.at),
                port: app.port(),
                started_unix_ms: started,
                reported,
            });
            match self.socket.send_to(&datagram, due.address).await {
                Ok(_) => counter!("fulmar_carrier_loads_sent_total").increment(1),
                Err(err) => {
                    // The gateway gets the next one, or its subscription expires.
                    counter!("fulmar_carrier_load_failures_total").increment(1);
                    tracing::debug!(%err, gateway = %due.address, "loads: cannot send");
                }
            }
        }
    }
}

/// Counts a missing report and logs the first one after a valid one.
fn report_missing(missing: &report_reader::Missing, app: SocketAddr, is_missing: &mut bool) {
    let outcome = match missing {
        report_reader::Missing::Waiting => return,
        report_reader::Missing::Unreachable(_) => "unreachable",
        report_reader::Missing::Invalid(_) => "invalid",
    };
    counter!("fulmar_carrier_reports_total", "outcome" => outcome).increment(1);
    if !std::mem::replace(is_missing, true) {
        tracing::warn!(%app, cause = %missing, "loads: no report of the backend server");
    }
}
