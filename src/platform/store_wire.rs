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

/// Decodes an item that the store returned in an era. A value that is not base64 is read as an empty
/// one, so that it hides no other item of the same response.
pub fn decode_item(wire: WireItem, era: u64) -> Item {
    let decoded = base64::engine::general_purpose::STANDARD.decode(&wire.value);
    let value = decoded.unwrap_or_else(|err| {
        metrics::counter!("fulmar_gateway_unreadable_values_total").increment(1);
        tracing::warn!(key = wire.key, %err, "store: a value is not base64, read as empty");
        Vec::new()
    });
    Item {
        key: wire.key,
        value,
        revision: wire.revision,
        era,
    }
}

/// Decodes a change that a watch reports.
pub fn decode_change(wire: WireItem, era: u64) -> Change {
    match wire.deleted {
        true => Change::Deleted(wire.key),
        false => Change::Written(decode_item(wire, era)),
    }
}
