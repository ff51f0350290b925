//! Reads the bodies of callers' requests in pieces, within the limits on size, time and memory.

use std::{sync::Arc, time::Duration};

use futures::AsyncReadExt;

use crate::{
    code::Code,
    coordination::{
        limits::{callers::State, json_values},
        memory::{
            account::{Kind, Phase},
            growth,
        },
    },
    router::{
        Router, caller_conn,
        dispatch::BUSY_RETRY_AFTER,
        memory::{self, Signal},
        request::{CHAT_PATH, Refusal},
    },
};

/// Time within which a caller must send its request body.
const BODY_TIMEOUT: Duration = Duration::from_secs(20);

/// Copies of a body that exist at most while it is parsed, encoded and sent to an agent, besides the one that was read.
const COPIES: usize = 6;

/// Copies of them that exist while it is parsed: two trees of values, and the text for the model, whose buffer may have twice
/// its length.
const PARSED_COPIES: usize = 4;

/// Copies that remain while the answer arrives: that of the request, for another attempt, and one that is being sent.
const KEPT_COPIES: usize = 2;

/// Memory of a body while it is parsed, encoded and sent, in bytes. Only bodies of the chat API are parsed.
fn whole_memory(bytes: &[u8], capacity: usize, is_parsed: bool) -> usize {
    let sent = bytes.len() * COPIES;
    let parsed = match is_parsed {
        true => json_values::memory(bytes).saturating_add(bytes.len() * PARSED_COPIES),
        false => 0,
    };
    // The values are gone when the request is encoded and sent.
    sent.max(parsed).saturating_add(capacity)
}

/// A whole body, and the memory that it holds.
pub struct ReceivedBody {
    /// Bytes of the body.
    pub bytes: Vec<u8>,
    /// Charge for them and their copies.
    pub holding: memory::Holding,
}

/// Reads the body of a request.
///
/// # Errors
///
/// A refusal that states that the request did not run: the body is too large, took too long, or there is no memory.
pub async fn read(
    router: &Router,
    slot: &caller_conn::Slot,
    conn: &mut trillium::Conn,
) -> Result<ReceivedBody, Refusal> {
    let end = Arc::new(Signal::default());
    let holding = router.memory.open(Kind::Request, Phase::Caller, end);
    // A body that fits into no account of this size would be refused again and again.
    let largest = router.memory.largest();
    let max_bytes = router.settings.max_body_bytes.min(largest / (1 + COPIES));
    let is_parsed = conn.path() == CHAT_PATH;
    let announced = conn.request_headers().get_str("content-length");
    let announced = announced.and_then(|length| length.parse::<u64>().ok());
    if announced.is_some_and(|length| length > max_bytes as u64) {
        return Err(too_large(max_bytes));
    }
    slot.set_state(State::Body);
    let max = announced.map_or(max_bytes, |length| length as usize);
    let reading = read_pieces(conn, &holding, max, max_bytes);
    let ended = async {
        holding.ended().await;
        Err(no_memory())
    };
    let timers = &router.runtime.timers;
    let read = timers
        .within(BODY_TIMEOUT, smol::future::or(reading, ended))
        .await;
    let bytes = read.unwrap_or_else(|| {
        let message = format!("the body took longer than {} s", BODY_TIMEOUT.as_secs());
        Err(Refusal::not_run(Code::BadRequest, message))
    })?;
    slot.set_state(State::Busy);
    holding.set_phase(Phase::Server);
    let whole = whole_memory(&bytes, bytes.capacity(), is_parsed);
    if whole > largest {
        let message = "the body has more JSON values than the memory of the router allows";
        return Err(Refusal::not_run(Code::TooLarge, message));
    }
    holding.charge(whole).await.map_err(|_| no_memory())?;
    Ok(ReceivedBody { bytes, holding })
}

/// Reads a body of at most `max_bytes`, for which `max` bytes are expected at most.
async fn read_pieces(
    conn: &mut trillium::Conn,
    holding: &memory::Holding,
    max: usize,
    max_bytes: usize,
) -> Result<Vec<u8>, Refusal> {
    let mut body = conn.request_body();
    let mut bytes = Vec::new();
    // Beyond the last expected byte a piece is read, too, to find the end of the body or its excess.
    let mut piece = [0; 4096];
    loop {
        let read = body.read(&mut piece).await;
        let read = read.map_err(|err| Refusal::not_run(Code::BadRequest, err.to_string()))?;
        if read == 0 {
            return Ok(bytes);
        }
        let needed = bytes.len() + read;
        if needed > max_bytes {
            return Err(too_large(max_bytes));
        }
        if needed > bytes.capacity() {
            let capacity = growth::capacity(bytes.capacity(), needed, max);
            holding.charge(capacity).await.map_err(|_| no_memory())?;
            bytes.reserve_exact(capacity - bytes.len());
        }
        bytes.extend_from_slice(&piece[..read]);
        holding.record_progress();
    }
}

/// Reduces the charge of a request whose answer has begun.
pub fn keep(holding: &memory::Holding, len: usize) {
    holding.try_charge(len * KEPT_COPIES);
}

fn too_large(max_bytes: usize) -> Refusal {
    let message = format!("the body is larger than {max_bytes} bytes");
    Refusal::not_run(Code::TooLarge, message)
}

/// The refusal of a request for which there is no memory.
pub fn no_memory() -> Refusal {
    let refusal = Refusal::not_run(Code::Overloaded, "the memory for requests is used up");
    refusal.retry_after(BUSY_RETRY_AFTER)
}
