//! Has requests to plain services wait while too many are sent at a time, and refuses those that can't be
//! served before their deadlines.

use std::{rc::Rc, sync::Arc, time::Duration};

use crate::{
    code::Code,
    coordination::limits::{retry_after, service_queue},
    gateway::{
        admission::Admitted, core, directory, refusal::Refusal, relay, request_error, request_log,
    },
    state::server,
};

/// Has a request to a plain service wait until it may be sent. It holds no tokens meanwhile.
///
/// # Errors
///
/// A refusal if it can't be served before its deadline.
pub async fn enter(
    gw: &Rc<core::Gateway>,
    req: &mut Admitted,
    log: &request_log::RequestLog,
) -> Result<(), Refusal> {
    if req.service.engine.is_some() {
        return Ok(());
    }
    let service = &req.service.name;
    let entering = queue_request(gw, req, None);
    let servers = || servers_number(gw, service);
    let entered = gw.plain_queues.enter(service, &entering, servers).await;
    let slot = entered.map_err(|drain_time| refusal(gw, req, drain_time))?;
    if log.is_sampled() && !slot.waited().is_zero() {
        let (limit, running, waiting) = gw.plain_queues.counts(service);
        let (id, waited_ms) = (&log.id, slot.waited().as_millis() as u64);
        let freed = slot.freed_server();
        let freed = freed.as_deref();
        tracing::info!(
            id,
            waited_ms,
            freed,
            limit,
            running,
            waiting,
            "request: waited for room"
        );
    }
    req.slot = Some(slot);
    Ok(())
}

/// Has a request wait before another attempt, unless it holds tokens. `sends_left` is the number of attempts that
/// are left, this one among them.
///
/// # Errors
///
/// As for [`enter`]; if the request may have run, an error that does not state otherwise.
pub async fn enter_again(
    gw: &Rc<core::Gateway>,
    req: &Admitted,
    sends_left: u32,
    stream: &relay::EventStream,
) -> Result<(), request_error::RequestError> {
    let Some(slot) = &req.slot else {
        return Ok(());
    };
    let servers = || servers_number(gw, &req.service.name);
    let entered = slot
        .enter_again(&queue_request(gw, req, Some(sends_left)), servers)
        .await;
    entered.map_err(|drain_time| {
        if stream.is_started || stream.meter.may_have_run() {
            return request_error::final_error(stream, NO_TIME);
        }
        refusal(gw, req, drain_time).into()
    })
}

/// Records that a server has answered with `status` that a request did not run there.
pub fn record_rejection(gw: &core::Gateway, req: &Admitted, server: &server::Server, status: u16) {
    let Some(slot) = &req.slot else {
        return;
    };
    let ready = ready_servers(gw, &req.service.name);
    let is_leaving = gw.announcements.borrow().is_leaving(server, gw.now());
    let takes_work = !is_leaving && ready.iter().any(|it| it.id == server.id);
    if service_queue::is_full(status, takes_work) {
        slot.record_rejection(&server.id, status, service_queue::servers_number(&ready));
    }
}

const NO_TIME: &str = "the requests that wait for the service take longer than the time left";

fn refusal(gw: &core::Gateway, req: &Admitted, drain_time: Duration) -> Refusal {
    let left = req.time_left(gw.now());
    let after = retry_after::retry_after(drain_time, left, fastrand::f64());
    let (drain_ms, left_ms) = (drain_time.as_millis(), left.as_millis());
    let message = format!("{NO_TIME} ({drain_ms} ms, {left_ms} ms are left)");
    Refusal::new(Code::Overloaded, message).retry_after(after)
}

fn ready_servers(gw: &core::Gateway, service: &str) -> Vec<Arc<server::Server>> {
    let mut servers = directory::servers_of(gw, service);
    servers.retain(|server| server.takes_work);
    servers
}

fn servers_number(gw: &core::Gateway, service: &str) -> u64 {
    service_queue::servers_number(&ready_servers(gw, service))
}

fn queue_request(
    gw: &core::Gateway,
    req: &Admitted,
    repeats_left: Option<u32>,
) -> service_queue::Request {
    let now = gw.now();
    service_queue::Request {
        may_run_twice: req.route.kind.is_retryable(),
        repeats_left,
        target: req.route.target_latency,
        waited: Duration::ZERO,
        deadline: now + req.time_left(now),
    }
}
