//! Cap'n Proto encoding of the calls between routers and agents.

use std::time;

use capnp::{primitive_list, text_list};

use crate::{
    code::Code,
    coordination::roster,
    error,
    protocol::{fleet_capnp, messages, run},
    state::{member, name},
};

/// Decodes a name.
///
/// # Errors
///
/// [`error::Error::Rpc`] when the text is not UTF-8.
pub fn read_name(reader: capnp::text::Reader<'_>) -> Result<name::Name, error::Error> {
    Ok(name::Name::from(
        reader.to_str().map_err(capnp::Error::from)?,
    ))
}

/// Encodes a list of numbers, such as incarnations or prefix hashes.
pub fn write_u64_list(numbers: &[member::Incarnation], mut to: primitive_list::Builder<'_, u64>) {
    for (index, number) in numbers.iter().enumerate() {
        to.set(index as u32, *number);
    }
}

/// Decodes a list of numbers, such as incarnations or prefix hashes.
pub fn read_u64_list(from: primitive_list::Reader<'_, u64>) -> Vec<member::Incarnation> {
    from.iter().collect()
}

fn write_names(names: &[name::Name], mut to: text_list::Builder<'_>) {
    for (index, name) in names.iter().enumerate() {
        to.set(index as u32, &**name);
    }
}

fn read_names(from: text_list::Reader<'_>) -> Result<Vec<name::Name>, error::Error> {
    from.iter().map(|name| read_name(name?)).collect()
}

/// Encodes versions.
pub fn write_versions(versions: messages::Versions, mut to: fleet_capnp::versions::Builder<'_>) {
    to.set_config(versions.config);
    to.set_fences(versions.fences);
}

/// Decodes versions.
pub fn read_versions(from: fleet_capnp::versions::Reader<'_>) -> messages::Versions {
    messages::Versions {
        config: from.get_config(),
        fences: from.get_fences(),
    }
}

/// Encodes a load.
pub fn write_load(load: roster::Load, mut to: fleet_capnp::load::Builder<'_>) {
    to.set_running(load.running);
    to.set_queued(load.queued);
    to.set_slots(load.slots);
    to.set_draining(load.draining);
    to.set_down(load.down);
}

/// Decodes a load.
pub fn read_load(from: fleet_capnp::load::Reader<'_>) -> roster::Load {
    roster::Load {
        running: from.get_running(),
        queued: from.get_queued(),
        slots: from.get_slots(),
        draining: from.get_draining(),
        down: from.get_down(),
    }
}

fn write_crashes(
    crashes: &[messages::CrashReport],
    mut to: capnp::struct_list::Builder<'_, fleet_capnp::crash::Owned>,
) {
    for (index, crash) in crashes.iter().enumerate() {
        let mut to = to.reborrow().get(index as u32);
        to.set_fingerprint(crash.fingerprint);
        to.set_count(crash.count);
        to.set_age_ms(crash.age.as_millis() as u64);
    }
}

fn read_crashes(
    from: capnp::struct_list::Reader<'_, fleet_capnp::crash::Owned>,
) -> Vec<messages::CrashReport> {
    let read = |crash: fleet_capnp::crash::Reader<'_>| messages::CrashReport {
        fingerprint: crash.get_fingerprint(),
        count: crash.get_count(),
        age: time::Duration::from_millis(crash.get_age_ms()),
    };
    from.iter().map(read).collect()
}

/// Encodes a heartbeat.
pub fn write_heartbeat(
    heartbeat: &messages::AgentBeat,
    mut to: fleet_capnp::agent_beat::Builder<'_>,
) {
    run::write_member(&heartbeat.member, to.reborrow().init_member());
    to.set_service(&*heartbeat.service);
    write_load(heartbeat.load, to.reborrow().init_load());
    write_versions(heartbeat.versions, to.reborrow().init_versions());
    write_names(
        &heartbeat.models,
        to.reborrow().init_models(heartbeat.models.len() as u32),
    );
    write_crashes(
        &heartbeat.crashes,
        to.reborrow().init_crashes(heartbeat.crashes.len() as u32),
    );
    write_u64_list(
        &heartbeat.prefixes,
        to.init_prefixes(heartbeat.prefixes.len() as u32),
    );
}

/// Decodes a heartbeat.
///
/// # Errors
///
/// [`error::Error::Rpc`] when the message is malformed.
pub fn read_heartbeat(
    from: fleet_capnp::agent_beat::Reader<'_>,
) -> Result<messages::AgentBeat, error::Error> {
    Ok(messages::AgentBeat {
        member: run::read_member(from.get_member()?)?,
        service: read_name(from.get_service()?)?,
        load: read_load(from.get_load()?),
        versions: read_versions(from.get_versions()?),
        models: read_names(from.get_models()?)?,
        crashes: read_crashes(from.get_crashes()?),
        prefixes: read_u64_list(from.get_prefixes()?),
    })
}

/// Encodes a gossip message.
pub fn write_gossip(gossip: &messages::Gossip, mut to: fleet_capnp::gossip::Builder<'_>) {
    run::write_member(&gossip.member, to.reborrow().init_member());
    write_versions(gossip.versions, to.reborrow().init_versions());
    let mut seen = to.reborrow().init_seen(gossip.seen.len() as u32);
    for (index, entry) in gossip.seen.iter().enumerate() {
        let mut to = seen.reborrow().get(index as u32);
        to.set_age_ms(entry.age.as_millis() as u64);
        write_heartbeat(&entry.beat, to.init_beat());
    }
    write_crashes(
        &gossip.crashes,
        to.reborrow().init_crashes(gossip.crashes.len() as u32),
    );
    write_u64_list(&gossip.fenced, to.init_fenced(gossip.fenced.len() as u32));
}

/// Decodes a gossip message.
///
/// # Errors
///
/// [`error::Error::Rpc`] when the message is malformed.
pub fn read_gossip(
    from: fleet_capnp::gossip::Reader<'_>,
) -> Result<messages::Gossip, error::Error> {
    let mut seen = Vec::new();
    for entry in from.get_seen()?.iter() {
        seen.push(messages::Seen {
            beat: read_heartbeat(entry.get_beat()?)?,
            age: time::Duration::from_millis(entry.get_age_ms()),
        });
    }
    Ok(messages::Gossip {
        member: run::read_member(from.get_member()?)?,
        versions: read_versions(from.get_versions()?),
        seen,
        crashes: read_crashes(from.get_crashes()?),
        fenced: read_u64_list(from.get_fenced()?),
    })
}

/// Encodes an order.
pub fn write_order(order: &messages::Order, mut to: fleet_capnp::order::Builder<'_>) {
    to.set_pool(&*order.pool);
    to.set_fencing(order.fencing);
    to.set_action(&*order.action);
    to.set_subject(&*order.subject);
    to.set_version(&*order.version);
    to.set_checked(order.checked);
}

/// Decodes an order.
///
/// # Errors
///
/// [`error::Error::Rpc`] when the message is malformed.
pub fn read_order(from: fleet_capnp::order::Reader<'_>) -> Result<messages::Order, error::Error> {
    Ok(messages::Order {
        pool: read_name(from.get_pool()?)?,
        fencing: from.get_fencing(),
        action: read_name(from.get_action()?)?.to_string(),
        subject: read_name(from.get_subject()?)?.to_string(),
        version: read_name(from.get_version()?)?.to_string(),
        checked: from.get_checked(),
    })
}

/// Encodes the result of an order.
pub fn write_order_result(
    result: &messages::OrderResult,
    mut to: fleet_capnp::order_result::Builder<'_>,
) {
    to.set_code(result.code as u16);
    to.set_newest(result.newest);
    to.set_message(&*result.message);
}

/// Decodes the result of an order. A code that this version does not know becomes
/// [`Code::Internal`].
///
/// # Errors
///
/// [`error::Error::Rpc`] when the message is malformed.
pub fn read_order_result(
    from: fleet_capnp::order_result::Reader<'_>,
) -> Result<messages::OrderResult, error::Error> {
    Ok(messages::OrderResult {
        code: Code::from_number(from.get_code()).unwrap_or(Code::Internal),
        newest: from.get_newest(),
        message: read_name(from.get_message()?)?.to_string(),
    })
}
