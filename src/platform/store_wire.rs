//! JSON messages of the platform's key-value store, in which values are base64-encoded.

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
pub struct WireApplied {
    pub revision: u64,
}

#[derive(Deserialize)]
pub struct WireLease {
    pub lease: u64,
    pub ttl_ms: u64,
}

#[derive(Serialize)]
pub struct WireCondition<'a> {
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
    pub expected_revision: Vec<WireCondition<'a>>,
    pub puts: Vec<WirePut<'a>>,
    pub remove: &'a [String],
}

/// Percent-encodes a key for a query string.
pub fn percent_encode(key: &str) -> String {
    let is_literal = |b: u8| b.is_ascii_alphanumeric() || b"-_./".contains(&b);
    let encode = |b: u8| match is_literal(b) {
        true => char::from(b).to_string(),
        false => format!("%{b:02X}"),
    };
    key.bytes().map(encode).collect()
}

/// Decodes an item that the store returned in an era.
///
/// # Errors
///
/// A message with the key of the value that is not valid base64.
pub fn decode_item(wire: WireItem, era: u64) -> Result<Item, String> {
    let value = base64::engine::general_purpose::STANDARD.decode(&wire.value);
    let value = value.map_err(|err| format!("the value of {} is not base64: {err}", wire.key))?;
    Ok(Item {
        key: wire.key,
        value,
        revision: wire.revision,
        era,
    })
}

/// Decodes a change that a watch reports.
///
/// # Errors
///
/// As for [`decode_item`].
pub fn decode_change(wire: WireItem, era: u64) -> Result<Change, String> {
    match wire.deleted {
        true => Ok(Change::Deleted(wire.key)),
        false => decode_item(wire, era).map(Change::Written),
    }
}
