//! Why a request got no complete response of a server, and the refusal that its caller gets.

use std::time::Duration;

use metrics::counter;

use crate::{
    code::Code,
    coordination::{limits::retry_after, placing::timeliness},
    gateway::{admission::UNAVAILABLE_RETRY_AFTER, choosing, core, refusal::Refusal, relay},
};

/// Why no complete response of a server was relayed.
pub enum RequestError {
    /// The gateway responds itself.
    Refuse(Refusal),
    /// A part of the response may have been sent. Closing the connection is the only way to tell
    /// the caller that the response is incomplete.
    Aborted(String),
}

impl From<Refusal> for RequestError {
    fn from(refusal: Refusal) -> Self {
        Self::Refuse(refusal)
    }
}

const CRASH_MESSAGE: &str =
    "backend servers crashed each time that the request, or others with a part of its prompt, ran";

const HELD_MESSAGE: &str =
    "backend servers crashed while the request ran; it is tried at another router";

const CLOSED_MESSAGE: &str = "the backend servers take no requests for now";

const NO_SERVER_MESSAGE: &str = "no backend server is available";

/// Cause of the refusal of a request whose deadline has passed before it is sent.
pub const LATE_MESSAGE: &str = "the deadline has passed";

/// Cause of the refusal of a request while what is known of the store is too old to act on.
pub const STALE_MESSAGE: &str =
    "this gateway is too slow to learn of changes of the configuration in time";

/// Cause of the refusal of a request while a change is known for too long that has not arrived.
pub const BEHIND_MESSAGE: &str =
    "this gateway does not have a change yet that is in force at others";

/// Refusal of a request that crashes backend servers. Its status invites no repeat.
pub fn crash_refusal() -> Refusal {
    Refusal::new(Code::CrashSuspect, CRASH_MESSAGE).with_status(502)
}

/// Error for a request that is not sent.
pub fn unplaced_error(
    gw: &core::Gateway,
    stream: &relay::EventStream,
    unplaced: choosing::Unplaced,
    left: Duration,
) -> RequestError {
    match unplaced {
        choosing::Unplaced::Refused if stream.is_started => {
            RequestError::Aborted(CRASH_MESSAGE.to_owned())
        }
        choosing::Unplaced::Held => held_error(stream),
        choosing::Unplaced::AllClosed(opens_at) => closed_error(gw, stream, opens_at),
        choosing::Unplaced::Late(late) => {
            counter!("fulmar_gateway_late_refusals_total").increment(1);
            busy_refusal(left, &late).into()
        }
        choosing::Unplaced::StreamLost(cause) if stream.meter.may_have_run() => {
            final_error(stream, cause)
        }
        choosing::Unplaced::NoServer => final_error(stream, NO_SERVER_MESSAGE),
        choosing::Unplaced::Refused | choosing::Unplaced::StreamLost(_) => {
            unsent_refusal(gw, &unplaced, left).into()
        }
    }
}

/// Refusal of a request that no server can begin to answer in time, and which was not sent.
fn busy_refusal(left: Duration, late: &timeliness::Late) -> Refusal {
    let timeliness::Late {
        server,
        expected,
        running,
        slots,
        unread_tokens,
        report_age,
    } = late;
    let (expected_ms, left_ms) = (expected.as_millis(), left.as_millis());
    let age_ms = report_age.as_millis();
    let message = format!(
        "no backend server can begin to answer within the {left_ms} ms left: {server} takes {expected_ms} ms, \
         with {running:.0} requests for {slots} slots and {unread_tokens:.0} tokens to read, {age_ms} ms ago"
    );
    let over = expected.saturating_sub(left);
    let after = retry_after::retry_after(over, left, fastrand::f64());
    Refusal::new(Code::ServersBusy, message).retry_after(after)
}

/// Refusal of a request that is not sent, when it was not sent before either.
pub fn unsent_refusal(
    gw: &core::Gateway,
    unplaced: &choosing::Unplaced,
    left: Duration,
) -> Refusal {
    match unplaced {
        choosing::Unplaced::Refused => crash_refusal(),
        choosing::Unplaced::Held => held_refusal(),
        choosing::Unplaced::AllClosed(opens_at) => closed_refusal(gw, *opens_at),
        choosing::Unplaced::Late(late) => busy_refusal(left, late),
        choosing::Unplaced::StreamLost(cause) => Refusal::new(Code::StreamLost, *cause),
        choosing::Unplaced::NoServer => no_backend_refusal(NO_SERVER_MESSAGE),
    }
}

/// Refusal of a request whose deadline has passed before it was sent.
pub fn late_refusal() -> Refusal {
    no_backend_refusal(LATE_MESSAGE)
}

fn held_refusal() -> Refusal {
    Refusal::new(Code::CrashSuspect, HELD_MESSAGE)
        .with_status(503)
        .retry_after(UNAVAILABLE_RETRY_AFTER)
}

fn closed_refusal(gw: &core::Gateway, opens_at: Duration) -> Refusal {
    let after = opens_at.saturating_sub(gw.now());
    Refusal::new(Code::BackendsClosed, CLOSED_MESSAGE).retry_after(after)
}

fn no_backend_refusal(cause: &str) -> Refusal {
    Refusal::new(Code::NoBackend, cause).retry_after(UNAVAILABLE_RETRY_AFTER)
}

/// Error for a request that was running at crashes and is not sent while others like it run.
fn held_error(stream: &relay::EventStream) -> RequestError {
    if stream.is_started || stream.meter.may_have_run() {
        return final_error(stream, HELD_MESSAGE);
    }
    counter!("fulmar_gateway_crash_holds_total").increment(1);
    held_refusal().into()
}

/// Error for a request that is not retried any more: a refusal or, if a part of a stream has been
/// relayed, an aborted response.
pub fn final_error(stream: &relay::EventStream, cause: &str) -> RequestError {
    if stream.is_started {
        return RequestError::Aborted(cause.to_owned());
    }
    let refusal = match stream.meter.may_have_run() {
        true => Refusal::new(Code::BackendFailed, cause),
        false => no_backend_refusal(cause),
    };
    refusal.into()
}

/// Error for a request while what is known of the store is too old to act on.
pub fn stale_error(stream: &relay::EventStream, refusal: Refusal) -> RequestError {
    match stream.is_started || stream.meter.may_have_run() {
        true => final_error(stream, &refusal.message),
        false => refusal.into(),
    }
}

/// Error for a request when the servers that it could use have named a time, the earliest of which
/// is `opens_at`.
pub fn closed_error(
    gw: &core::Gateway,
    stream: &relay::EventStream,
    opens_at: Duration,
) -> RequestError {
    if stream.is_started || stream.meter.may_have_run() {
        return final_error(stream, CLOSED_MESSAGE);
    }
    closed_refusal(gw, opens_at).into()
}
