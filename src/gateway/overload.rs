//! Measures the lag of the gateway's event loop and the use of its link, has streams and calls to peers
//! take the lag into account, refuses new requests while it is too high, and keeps the gateway out of
//! rotation while its load is.

pub mod load_exchange;

use std::{
    cell::{Cell, RefCell},
    net::SocketAddr,
    rc::Rc,
    time::Duration,
};

use metrics::{counter, gauge};

use crate::{
    code::Code,
    coordination::{
        configuration::staleness::Outdated,
        overload::{
            batching, lag, late_timeouts, link_use, own_delay, peer_load, refusing, rotation,
        },
    },
    gateway::{admission::Admitted, core, refusal::Refusal, request_error},
    transport::traffic,
};

/// Minimum time between two log lines of one kind.
const LOG_INTERVAL: Duration = Duration::from_secs(5);

/// Minimum time between two log lines about a high delay at the own VM, well under the time within which a
/// configuration must be in force.
const DELAY_LOG_INTERVAL: Duration = Duration::from_secs(1);

/// State of a gateway's overload control.
#[derive(Default)]
pub struct Overload {
    lag: RefCell<lag::Lag>,
    late_timeouts: RefCell<late_timeouts::LateTimeouts>,
    refusing: RefCell<refusing::Refusing>,
    peer_loads: RefCell<peer_load::PeerLoads>,
    link_use: RefCell<link_use::LinkUse>,
    rotation: RefCell<rotation::Rotation>,
    /// When peers were last told whether this gateway is out of rotation.
    announced_at: Cell<Duration>,
    /// Whether the last exchange of loads was slow or failed. Then several peers are asked soon, so that it is
    /// known whether the peer is to blame or the own VM.
    is_suspicious: Cell<bool>,
    /// Time of the last exchange of loads with a peer that this gateway began.
    exchanged_at: Cell<Duration>,
    /// Factor of the time to the next one, so that gateways do not exchange loads at the same time.
    jitter: Cell<f64>,
    /// Notified at the end of a pause, in which the events of all paused streams are collected.
    pause_ended: event_listener::Event,
    /// Whether a pause is running.
    is_pausing: Cell<bool>,
    /// Time of the last log line about collecting events.
    collecting_logged_at: Cell<Option<Duration>>,
    /// Time of the last log line about a high delay at the own VM.
    own_delay_logged_at: Cell<Option<Duration>>,
    /// Time of the last log line about refusing requests.
    refusing_logged_at: Cell<Option<Duration>>,
}

impl Overload {
    /// Records a tick at `now` that came `late` after its time.
    pub fn record_tick(&self, late: Duration, now: Duration) {
        if self.lag.borrow_mut().record(late, now) {
            counter!("fulmar_gateway_freezes_total").increment(1);
            let late_ms = late.as_millis() as u64;
            tracing::info!(late_ms, "overload: the process stood still");
        }
        let (lag, room) = (self.lag(), self.room(now));
        self.refusing.borrow_mut().adjust(lag, room, now);
    }

    /// Part of the gateways with known loads that have room; none when no load is known.
    pub fn room(&self, now: Duration) -> f64 {
        self.peer_loads.borrow().room(now).unwrap_or(0.0)
    }

    /// Load of this gateway, whose link has this bandwidth in bytes per second; 1 and more is too much.
    pub fn load(&self, bandwidth: u64) -> f64 {
        let of_lag = self.refusing.borrow().busy(self.lag());
        of_lag.max(self.link_use.borrow().load(bandwidth))
    }

    /// Whether the gateway takes no new connections because of its load.
    pub fn is_out(&self) -> bool {
        self.rotation.borrow().is_out()
    }

    /// Records the load that another gateway reported.
    pub fn record_report(&self, report: peer_load::Report, now: Duration) {
        self.peer_loads.borrow_mut().record(report, now);
    }

    /// Lag of the event loop.
    pub fn lag(&self) -> Duration {
        self.lag.borrow().sustained()
    }

    /// Records that a peer did not answer a call that was made at `start` with a time limit. Returns
    /// whether this counts against the peer, rather than against a loop that was late itself.
    pub fn is_peer_timeout(
        &self,
        peer: SocketAddr,
        start: Duration,
        now: Duration,
        limit: Duration,
    ) -> bool {
        let late = self.lag.borrow().worst_since(start, now);
        let counts = self.late_timeouts.borrow_mut().record(peer, limit, late);
        if !counts {
            counter!("fulmar_gateway_late_timeouts_total", "call" => "peer").increment(1);
            let late_ms = late.as_millis() as u64;
            tracing::info!(%peer, late_ms, "overload: no answer while the own loop was late");
        }
        counts
    }

    /// Has peers asked soon whether the own VM is slow.
    pub fn suspect_own_delay(&self) {
        self.is_suspicious.set(true);
    }

    /// Records that a peer answered.
    pub fn record_peer_answer(&self, peer: SocketAddr) {
        self.late_timeouts.borrow_mut().record_answer(peer);
    }
}

/// Starts the task that measures the lag.
pub fn start(gw: &Rc<core::Gateway>) {
    let measuring = gw.clone();
    gw.spawn(async move {
        loop {
            let due = measuring.now() + lag::TICK;
            measuring.timers.sleep(lag::TICK).await;
            let now = measuring.now();
            measuring.overload.record_tick(now.saturating_sub(due), now);
            update_own_delay(&measuring, now);
            update_rotation(&measuring, now);
            load_exchange::exchange_loads(&measuring);
        }
    });
}

/// Computes the delay at the own VM, and logs a high one with what distinguishes its causes: the link, the event
/// loop, or peers.
fn update_own_delay(gw: &core::Gateway, now: Duration) {
    let own_delay = gw.round_trips.update();
    let overload = &gw.overload;
    let logged_at = &overload.own_delay_logged_at;
    if own_delay < own_delay::SLOW || !is_log_due(logged_at, DELAY_LOG_INTERVAL, now) {
        return;
    }
    let rates = overload.link_use.borrow().rates();
    let age_ms = |confirmed_at: Duration| now.saturating_sub(confirmed_at).as_millis() as u64;
    tracing::info!(
        own_delay_ms = own_delay.as_millis() as u64,
        lag_ms = overload.lag().as_millis() as u64,
        received_per_s = rates.received as u64,
        sent_per_s = rates.sent as u64,
        config_age_ms = age_ms(gw.config_confirmed_at.get()),
        servers_age_ms = age_ms(gw.servers_confirmed_at.get()),
        in_flight = gw.in_flight.get(),
        "overload: calls to all peers are slow"
    );
}

/// Decides whether the gateway is in rotation, from its load and from the loads of others.
pub fn update_rotation(gw: &Rc<core::Gateway>, now: Duration) {
    let overload = &gw.overload;
    let traffic::Totals { received, sent } = traffic::totals();
    let sample = link_use::Sample { received, sent };
    overload.link_use.borrow_mut().record(sample, now);
    let peer_load::Recent { known, room } = overload.peer_loads.borrow().recent(now);
    let out = overload.peer_loads.borrow().out(now);
    let signs = rotation::Signs {
        load: overload.load(gw.link()),
        room,
        is_stale: gw.is_stale(),
        fleet: gw.router_count(),
        known,
        out,
    };
    let Some(change) = overload.rotation.borrow_mut().tick(signs, now) else {
        let announced_at = overload.announced_at.get();
        if overload.is_out() && now >= announced_at + rotation::ANNOUNCE_INTERVAL {
            load_exchange::announce(gw, now);
        }
        return;
    };
    load_exchange::announce(gw, now);
    let load = signs.load;
    let rates = overload.link_use.borrow().rates();
    let (received_per_s, sent_per_s) = (rates.received as u64, rates.sent as u64);
    let own_delay_ms = gw.round_trips.delay().as_millis() as u64;
    let lag_ms = overload.lag().as_millis() as u64;
    match change {
        rotation::Change::Left => {
            counter!("fulmar_gateway_rotation_exits_total").increment(1);
            tracing::info!(
                load,
                received_per_s,
                sent_per_s,
                own_delay_ms,
                lag_ms,
                room,
                known,
                out,
                "overload: takes no new connections"
            );
        }
        rotation::Change::Returned(after) => {
            let after_ms = after.as_millis() as u64;
            tracing::info!(
                load,
                received_per_s,
                sent_per_s,
                own_delay_ms,
                lag_ms,
                room,
                known,
                after_ms,
                "overload: takes new connections again"
            );
        }
    }
}

/// Whether the connection is closed after a response, so that its caller connects to another gateway.
pub fn closes_connection(gw: &core::Gateway, now: Duration) -> bool {
    let overload = &gw.overload;
    let chance = overload
        .rotation
        .borrow()
        .close_chance(overload.load(gw.link()), now);
    let closes = chance > 0.0 && fastrand::f64() < chance;
    if closes {
        counter!("fulmar_gateway_connections_shed_total").increment(1);
    }
    closes
}

/// Updates the gauges that are computed on request.
pub fn update_gauges(gw: &core::Gateway) {
    let overload = &gw.overload;
    gauge!("fulmar_gateway_lag_seconds").set(overload.lag().as_secs_f64());
    gauge!("fulmar_gateway_load").set(overload.load(gw.link()));
    let rates = overload.link_use.borrow().rates();
    for (direction, rate) in [("received", rates.received), ("sent", rates.sent)] {
        gauge!("fulmar_gateway_link_bytes_per_second", "direction" => direction).set(rate);
    }
    gauge!("fulmar_gateway_own_delay_seconds").set(gw.round_trips.delay().as_secs_f64());
    gauge!("fulmar_gateway_out_of_rotation").set(f64::from(u8::from(overload.is_out())));
    gauge!("fulmar_gateway_refusal_pressure").set(overload.refusing.borrow().pressure());
    gauge!("fulmar_gateway_room").set(overload.room(gw.now()));
}

/// Waits while events of a stream are collected, if the gateway is busy. All streams that wait go on at
/// the same time, so that they share one timer and one wake-up. Returns whether it waited.
pub async fn collect_events(gw: &Rc<core::Gateway>) -> bool {
    let overload = &gw.overload;
    let lag = overload.lag();
    let Some(pause) = batching::pause(gw.pass_time(), lag) else {
        return false;
    };
    counter!("fulmar_gateway_stream_pauses_total").increment(1);
    let pause_ended = overload.pause_ended.listen();
    if !overload.is_pausing.replace(true) {
        log_collecting(gw, lag, pause);
        let pausing = gw.clone();
        gw.spawn(async move {
            pausing.timers.sleep(pause).await;
            pausing.overload.is_pausing.set(false);
            pausing.overload.pause_ended.notify(usize::MAX);
        });
    }
    pause_ended.await;
    true
}

/// Logs that events are collected, unless it was logged a moment ago.
fn log_collecting(gw: &core::Gateway, lag: Duration, pause: Duration) {
    if !is_log_due(&gw.overload.collecting_logged_at, LOG_INTERVAL, gw.now()) {
        return;
    }
    let (lag_ms, pause_ms) = (lag.as_millis() as u64, pause.as_millis() as u64);
    let in_flight = gw.in_flight.get();
    tracing::info!(
        lag_ms,
        pause_ms,
        in_flight,
        "overload: events of streams are collected"
    );
}

/// Whether a log line of a kind may be written; notes the time if it may.
fn is_log_due(logged_at: &Cell<Option<Duration>>, interval: Duration, now: Duration) -> bool {
    let is_due = logged_at.get().is_none_or(|at| now >= at + interval);
    if is_due {
        logged_at.set(Some(now));
    }
    is_due
}

/// What decides whether a new request is refused because the gateway is too busy.
#[derive(Clone, Copy, Debug)]
pub struct Estimate {
    /// Lag of the event loop.
    pub lag: Duration,
    /// Lag that is tolerated; `None` while no route is in use.
    pub limit: Option<Duration>,
    /// Part of the gateways with known loads that have room.
    pub room: f64,
    /// How much is refused, from 0 to 1.
    pub pressure: f64,
    /// Probability that the request is refused because others have room.
    pub chance: f64,
    /// Whether it is refused because it can't be answered before its deadline.
    pub misses_deadline: bool,
}

/// Computes on what the refusal of a request is based; changes nothing.
pub fn estimate(gw: &core::Gateway, req: &Admitted) -> Estimate {
    let (overload, now) = (&gw.overload, gw.now());
    let new = described(req, now);
    let (lag, room) = (overload.lag(), overload.room(now));
    let mut refusing = overload.refusing.borrow().clone();
    refusing.record_request(new.target, now);
    Estimate {
        lag,
        limit: refusing.limit(),
        room,
        pressure: refusing.pressure(),
        chance: refusing.chance(&new, room),
        // With this draw no request belongs to the part that is refused because others have room.
        misses_deadline: refusing.decide(&new, lag, room, 1.0).is_some(),
    }
}

fn described(req: &Admitted, now: Duration) -> refusing::Request {
    refusing::Request {
        target: req.route.target_latency,
        is_stream: req.route.kind.is_stream(),
        time_left: req.time_left(now),
    }
}

fn busy_refusal(lag: Duration, reason: refusing::Reason) -> Refusal {
    let lag_ms = lag.as_millis() as u64;
    let message = format!("this gateway is {lag_ms} ms late with its work ({reason})");
    Refusal::new(Code::GatewayBusy, message)
}

impl Estimate {
    /// The refusal that the request certainly gets, if any.
    pub fn certain_refusal(&self) -> Option<Refusal> {
        let refuses = self.misses_deadline;
        refuses.then(|| busy_refusal(self.lag, refusing::Reason::Deadline))
    }
}

/// Returns a refusal if the gateway is too busy for a new request, of which nothing was reserved or sent.
pub fn refusal(gw: &core::Gateway, req: &Admitted) -> Option<Refusal> {
    let (overload, now) = (&gw.overload, gw.now());
    let new = described(req, now);
    let (lag, room) = (overload.lag(), overload.room(now));
    let mut refusing = overload.refusing.borrow_mut();
    refusing.record_request(new.target, now);
    let reason = refusing.decide(&new, lag, room, fastrand::f64())?;
    counter!("fulmar_gateway_busy_refusals_total", "reason" => reason.to_string()).increment(1);
    let lag_ms = lag.as_millis() as u64;
    if is_log_due(&overload.refusing_logged_at, LOG_INTERVAL, now) {
        let limit_ms = refusing.limit().map(|limit| limit.as_millis() as u64);
        let (pressure, in_flight) = (refusing.pressure(), gw.in_flight.get());
        tracing::info!(
            %reason, lag_ms, limit_ms, pressure, room, in_flight,
            "overload: new requests are refused"
        );
    }
    let after = refusing::retry_after(new.time_left, fastrand::f64());
    Some(busy_refusal(lag, reason).retry_after(after))
}

/// Returns a refusal if what this gateway knows of the store is too old to act on.
pub fn stale_refusal(gw: &core::Gateway) -> Option<Refusal> {
    let outdated = gw.outdated()?;
    let message = match outdated {
        Outdated::Stale => request_error::STALE_MESSAGE,
        Outdated::Behind => request_error::BEHIND_MESSAGE,
    };
    counter!("fulmar_gateway_busy_refusals_total", "reason" => outdated.to_string()).increment(1);
    let refusal = Refusal::new(Code::StaleConfig, message);
    Some(refusal.retry_after(refusing::retry_after(Duration::MAX, fastrand::f64())))
}
