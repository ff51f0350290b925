//! Messages about one attempt at a request between a router and an agent, and their encoding.

use std::time;

use crate::{
    code::Code,
    error,
    protocol::{fleet_capnp, wire::read_name},
    state::{member, name, receipt},
};

/// An attempt that a router asks an agent to run at its backend server.
#[derive(Clone, Debug)]
pub struct RunRequest {
    /// Request id, the same for all attempts of the request.
    pub id: name::Name,
    /// Number of the attempt.
    pub attempt: u32,
    /// Incarnation of the router that pays, as the holder of a share of the budget.
    pub holder: member::Incarnation,
    /// Incarnation of the agent that the attempt is for.
    pub agent: member::Incarnation,
    /// Configuration version that the router follows; an agent that has seen a newer one refuses.
    pub config: u64,
    /// Workspace of the caller.
    pub workspace: name::Name,
    /// Budget that pays.
    pub budget: name::Name,
    /// Route that the caller named.
    pub route: name::Name,
    /// Service that the backend server belongs to.
    pub service: name::Name,
    /// Tokens reserved for the request, the most that the attempt may be charged.
    pub bound: u64,
    /// Time left until the caller's deadline.
    pub deadline: time::Duration,
    /// Priority of the request; attempts with a smaller number run first.
    pub priority: u8,
    /// Number of the last receipt that the holder has stored durably; the agent may discard the
    /// receipts up to it.
    pub acked: u64,
    /// Idempotency key; empty when none was given.
    pub key: name::Name,
    /// Hash of the workspace and the body, which tells whether two requests are the same.
    pub fingerprint: u64,
    /// Request body for the backend server.
    pub body: Vec<u8>,
    /// Path of a call to a plain service; empty for a call to a model.
    pub path: String,
    /// HTTP method of a call to a plain service.
    pub method: String,
    /// Whether the response is streamed.
    pub stream: bool,
    /// Whether the attempt must run alone at the backend server, since a crash was seen while the
    /// request was running.
    pub solo: bool,
    /// Hash of the prompt's prefix; zero when unknown.
    pub prefix: u64,
    /// Whether the call may run again after a failure that leaves open whether it ran.
    pub idempotent: bool,
}

/// The result of an attempt.
#[derive(Clone, Debug)]
pub struct RunOutcome {
    /// [`Code::Ok`] when the whole answer was sent.
    pub code: Code,
    /// Whether the attempt may have run.
    pub ran: bool,
    /// Receipt of the charge, if the agent has numbered one.
    pub receipt: Option<receipt::Receipt>,
    /// Details of a failure, for the log and the caller.
    pub message: String,
    /// Newest configuration version that the agent has seen.
    pub config: u64,
    /// Suggested delay before a retry; zero for none.
    pub retry_after: time::Duration,
    /// HTTP status that the backend server returned.
    pub status: u16,
    /// Length of the whole answer in bytes, by which the router detects a truncated one.
    pub length: u64,
}

impl RunOutcome {
    /// Returns the result of an attempt that certainly did not run.
    ///
    /// ```
    /// use fulmarproxy::{code::Code, protocol::run};
    /// assert!(!run::RunOutcome::not_run(Code::Draining, "leaving").ran);
    /// ```
    pub fn not_run(code: Code, message: impl Into<String>) -> Self {
        Self {
            code,
            ran: false,
            receipt: None,
            message: message.into(),
            config: 0,
            retry_after: time::Duration::ZERO,
            status: 0,
            length: 0,
        }
    }
}

/// Encodes a request.
pub fn write_request(req: &RunRequest, mut to: fleet_capnp::run_request::Builder<'_>) {
    to.set_id(&*req.id);
    to.set_attempt(req.attempt);
    to.set_holder(req.holder);
    to.set_agent(req.agent);
    to.set_config(req.config);
    to.set_workspace(&*req.workspace);
    to.set_budget(&*req.budget);
    to.set_route(&*req.route);
    to.set_service(&*req.service);
    to.set_bound(req.bound);
    to.set_deadline_ms(req.deadline.as_millis() as u64);
    to.set_priority(req.priority);
    to.set_acked(req.acked);
    to.set_key(&*req.key);
    to.set_fingerprint(req.fingerprint);
    to.set_body(&req.body);
    to.set_path(&*req.path);
    to.set_method(&*req.method);
    to.set_stream(req.stream);
    to.set_solo(req.solo);
    to.set_prefix(req.prefix);
    to.set_idempotent(req.idempotent);
}

/// Decodes a request.
///
/// # Errors
///
/// [`error::Error::Rpc`] when the message is malformed.
pub fn read_request(
    from: fleet_capnp::run_request::Reader<'_>,
) -> Result<RunRequest, error::Error> {
    Ok(RunRequest {
        id: read_name(from.get_id()?)?,
        attempt: from.get_attempt(),
        holder: from.get_holder(),
        agent: from.get_agent(),
        config: from.get_config(),
        workspace: read_name(from.get_workspace()?)?,
        budget: read_name(from.get_budget()?)?,
        route: read_name(from.get_route()?)?,
        service: read_name(from.get_service()?)?,
        bound: from.get_bound(),
        deadline: time::Duration::from_millis(from.get_deadline_ms()),
        priority: from.get_priority(),
        acked: from.get_acked(),
        key: read_name(from.get_key()?)?,
        fingerprint: from.get_fingerprint(),
        body: from.get_body()?.to_vec(),
        path: read_name(from.get_path()?)?.to_string(),
        method: read_name(from.get_method()?)?.to_string(),
        stream: from.get_stream(),
        solo: from.get_solo(),
        prefix: from.get_prefix(),
        idempotent: from.get_idempotent(),
    })
}

/// Encodes a receipt.
pub fn write_receipt(receipt: &receipt::Receipt, mut to: fleet_capnp::receipt::Builder<'_>) {
    to.set_number(receipt.number);
    to.set_request(&*receipt.request);
    to.set_budget(&*receipt.budget);
    to.set_tokens(receipt.tokens);
    to.set_ran(receipt.ran);
}

/// Decodes a receipt.
///
/// # Errors
///
/// [`error::Error::Rpc`] when the message is malformed.
pub fn read_receipt(
    from: fleet_capnp::receipt::Reader<'_>,
) -> Result<receipt::Receipt, error::Error> {
    Ok(receipt::Receipt {
        number: from.get_number(),
        request: read_name(from.get_request()?)?,
        budget: read_name(from.get_budget()?)?,
        tokens: from.get_tokens(),
        ran: from.get_ran(),
    })
}

/// Encodes an outcome.
pub fn write_outcome(outcome: &RunOutcome, mut to: fleet_capnp::run_outcome::Builder<'_>) {
    to.set_code(outcome.code as u16);
    to.set_ran(outcome.ran);
    to.set_message(&*outcome.message);
    to.set_config(outcome.config);
    to.set_retry_after_ms(outcome.retry_after.as_millis() as u64);
    to.set_status(outcome.status);
    to.set_length(outcome.length);
    if let Some(receipt) = &outcome.receipt {
        write_receipt(receipt, to.init_receipt());
    }
}

/// Decodes an outcome. A code that this version does not know becomes [`Code::Internal`].
///
/// # Errors
///
/// [`error::Error::Rpc`] when the message is malformed.
pub fn read_outcome(
    from: fleet_capnp::run_outcome::Reader<'_>,
) -> Result<RunOutcome, error::Error> {
    let receipt = match from.has_receipt() {
        true => Some(read_receipt(from.get_receipt()?)?),
        false => None,
    };
    Ok(RunOutcome {
        code: Code::from_number(from.get_code()).unwrap_or(Code::Internal),
        ran: from.get_ran(),
        receipt,
        message: read_name(from.get_message()?)?.to_string(),
        config: from.get_config(),
        retry_after: time::Duration::from_millis(from.get_retry_after_ms()),
        status: from.get_status(),
        length: from.get_length(),
    })
}

/// Decodes a member.
///
/// # Errors
///
/// [`error::Error::Rpc`] when the message is malformed.
pub fn read_member(from: fleet_capnp::member::Reader<'_>) -> Result<member::Member, error::Error> {
    Ok(member::Member {
        name: read_name(from.get_name()?)?,
        incarnation: from.get_incarnation(),
        address: read_name(from.get_address()?)?,
        region: read_name(from.get_region()?)?,
        zone: read_name(from.get_zone()?)?,
    })
}

/// Encodes a member.
pub fn write_member(member: &member::Member, mut to: fleet_capnp::member::Builder<'_>) {
    to.set_name(&*member.name);
    to.set_incarnation(member.incarnation);
    to.set_address(&*member.address);
    to.set_region(&*member.region);
    to.set_zone(&*member.zone);
}
