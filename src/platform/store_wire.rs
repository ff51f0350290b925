//! Messages of the store as they stand on the wire.

use base64::Engine as _;
use serde::{Deserialize, Serialize};

use crate::platform::store::{Change, Item};

#[derive(Deserialize)]
pub struct WireItem {
    pub key: String,
    #[serde(default)]
    pub value: String,
    #[serde(default)]
    pub revision: u64,
    #[serde(default)]
    pub deleted: bool,
}

#[derive(Deserialize)]
pub struct WirePage {
    pub items: Vec<WireItem>,
    #[serde(default)]
    pub has_more: bool,
    pub store_revision: u64,
}

#[derive(Deserialize)]
pub struct WireEvents {
    pub events: Vec<WireItem>,
    pub store_revision: u64,
}

#[derive(Deserialize)]
pub struct WireConflict {
    pub items: Vec<WireItem>,
}

#[derive(Deserialize)]
pub struct WireDone {
    pub revision: u64,
}

#[derive(Deserialize)]
pub struct WireLease {
    pub lease: u64,
    pub ttl_ms: u64,
}

#[derive(Serialize)]
pub struct WireExpected<'a> {
    pub key: &'a str,
    pub revision: u64,
}

#[derive(Serialize)]
pub struct WirePut<'a> {
    pub key: &'a str,
    pub value: String,
    pub lease: u64,
}

#[derive(Serialize)]
pub struct WireWrite<'a> {
    pub expected_revision: Vec<WireExpected<'a>>,
    pub puts: Vec<WirePut<'a>>,
    pub remove: &'a [String],
}

/// A key as it stands in a query.
pub fn encoded(key: &str) -> String {
    let keep = |b: u8| b.is_ascii_alphanumeric() || b"-_./".contains(&b);
    let encode = |b: u8| match keep(b) {
        true => char::from(b).to_string(),
        false => format!("%{b:02X}"),
    };
    key.bytes().map(encode).collect()
}

/// Decodes an item.
///
/// # Errors
///
/// A message that names the key whose value does not decode.
pub fn item(wire: WireItem) -> Result<Item, String> {
    let value = base64::engine::general_purpose::STANDARD.decode(&wire.value);
    let value = value.map_err(|err| format!("the value of {} is not base64: {err}", wire.key))?;
    Ok(Item {
        key: wire.key,
        value,
        revision: wire.revision,
    })
}

/// Decodes a change that a watch saw.
///
/// # Errors
///
/// As for [`item`].
pub fn change(wire: WireItem) -> Result<Change, String> {
    match wire.deleted {
        true => Ok(Change::Deleted(wire.key)),
        false => item(wire).map(Change::Written),
    }
}
