//! Reads callers' requests within the limits on size, time and memory.

use std::time::Duration;

use crate::{
    coordination::{
        limits::{body_pace, callers::State},
        memory::{
            account::{Kind, Phase},
            growth,
        },
    },
    gateway::{caller_slots, core, memory},
    transport::h1::{body, conn, fault, head},
};

/// Size of a head up to which the memory planned for its connection suffices, in bytes.
const CONNECTION_HEAD_BYTES: usize = 16 * 1024;

/// Missing bytes of a body from which on its pace is checked, in bytes.
const PACED_BYTES: u64 = 64 * 1024;

/// Limits on a caller's requests and connection.
pub struct Limits {
    /// Maximum size of a head, in bytes.
    pub max_header_bytes: usize,
    /// Maximum size of a body, in bytes.
    pub max_body_bytes: usize,
    /// Time for a request, from its first byte to its last.
    pub header_timeout: Duration,
    /// Time between two requests.
    pub idle_timeout: Duration,
}

/// A whole request, and the memory that it holds.
pub struct ReceivedRequest {
    /// Head.
    pub head: head::RequestHead,
    /// Whole body.
    pub body: Vec<u8>,
    /// Memory of the request, to be kept for as long as the body.
    pub holding: memory::Holding,
}

/// Reads a request; `None` when the caller closed the connection before it.
///
/// # Errors
///
/// [`fault::Fault`] names what the request violates, or that memory is short.
pub async fn read(
    gw: &core::Gateway,
    slot: &caller_slots::CallerSlot,
    conn: &mut conn::Conn,
    limits: &Limits,
) -> Result<Option<ReceivedRequest>, fault::Fault> {
    let deadline = gw.now() + limits.header_timeout;
    let holding = gw.memory.open(Kind::Request, Phase::Caller);
    slot.set_state(State::Head);
    let received = |len: usize| match len <= CONNECTION_HEAD_BYTES || holding.try_charge(len) {
        true => Ok(()),
        false => Err(holding.no_memory()),
    };
    let head = head::read_request_counted(conn, limits.max_header_bytes, received).await?;
    let Some(head) = head else {
        return Ok(None);
    };
    let framing = body::request_framing(&head.headers)?;
    if head.headers.all("Host").count() > 1 {
        return Err(fault::Fault::Malformed("host"));
    }
    let mut body = body::Body::new(framing);
    let max_capacity = body.max_capacity(limits.max_body_bytes)?;
    if head.headers.has_token("Expect", "100-continue") {
        conn.write(b"HTTP/1.1 100 Continue\r\n\r\n").await?;
    }
    slot.set_state(State::Body);
    let mut whole = Vec::new();
    let reading = async {
        loop {
            match body.copy_buffered(conn, &mut whole, limits.max_body_bytes)? {
                body::Needed::Nothing => return Ok(()),
                body::Needed::Capacity => {
                    let capacity =
                        growth::capacity(whole.capacity(), whole.len() + 1, max_capacity);
                    holding.charge(capacity).await?;
                    whole.reserve_exact(capacity - whole.len());
                }
                body::Needed::Turn => smol::future::yield_now().await,
                body::Needed::Bytes => {
                    fill(gw, &mut body, conn, deadline).await?;
                    holding.record_progress();
                }
            }
        }
    };
    smol::future::or(reading, async { Err(holding.ended().await) }).await?;
    slot.set_state(State::Busy);
    holding.set_phase(Phase::Server);
    Ok(Some(ReceivedRequest {
        head,
        body: whole,
        holding,
    }))
}

/// Reads more bytes of a body; fails as soon as its rest cannot arrive in time over the link of the VM.
async fn fill(
    gw: &core::Gateway,
    body: &mut body::Body,
    conn: &mut conn::Conn,
    deadline: Duration,
) -> Result<(), fault::Fault> {
    let missing = body.missing().unwrap_or(0);
    if missing < PACED_BYTES {
        return body.fill(conn).await;
    }
    let left = deadline.saturating_sub(gw.now());
    let pause = body_pace::longest_pause(missing, left, gw.link());
    let too_slow = fault::Fault::TooSlow("the rest of the body");
    let Some(pause) = pause else {
        return Err(too_slow);
    };
    let filled = gw.timers.within(pause, body.fill(conn)).await;
    filled.unwrap_or(Err(too_slow))
}
