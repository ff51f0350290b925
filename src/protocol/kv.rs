//! Requests and responses of the key-value service, a subset of etcd v3's JSON gateway.

use base64::{Engine, engine::general_purpose::STANDARD};
use serde::{Deserialize, Deserializer, Serialize, Serializer, de};

use crate::error;

/// Bytes, encoded as base64 text in JSON.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Bytes(pub Vec<u8>);

impl Serialize for Bytes {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.serialize_str(&STANDARD.encode(&self.0))
    }
}

impl<'de> Deserialize<'de> for Bytes {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let text = String::deserialize(deserializer)?;
        STANDARD.decode(text).map(Self).map_err(de::Error::custom)
    }
}

impl From<&str> for Bytes {
    fn from(text: &str) -> Self {
        Self(text.as_bytes().to_vec())
    }
}

/// A 64-bit number, written as decimal text as the gateway does. A plain JSON number is read too.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Number(pub u64);

impl Serialize for Number {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.collect_str(&self.0)
    }
}

impl<'de> Deserialize<'de> for Number {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        struct Visitor;

        impl de::Visitor<'_> for Visitor {
            type Value = Number;

            fn expecting(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
                f.write_str("a number or its decimal text")
            }

            fn visit_u64<E: de::Error>(self, value: u64) -> Result<Number, E> {
                Ok(Number(value))
            }

            fn visit_str<E: de::Error>(self, value: &str) -> Result<Number, E> {
                value.parse().map(Number).map_err(E::custom)
            }
        }

        deserializer.deserialize_any(Visitor)
    }
}

/// Header of every response.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Header {
    /// Revision of the whole store at the time of the response.
    #[serde(default)]
    pub revision: Number,
}

/// A key with its value and revisions.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct KeyValue {
    /// Key.
    pub key: Bytes,
    /// Value.
    #[serde(default)]
    pub value: Bytes,
    /// Revision of the write that created the key; a key that was deleted and written again has a
    /// new one.
    #[serde(default)]
    pub create_revision: Number,
    /// Revision of the last write.
    #[serde(default)]
    pub mod_revision: Number,
    /// Lease that the key is attached to, so that it is deleted when the lease ends; zero for none.
    #[serde(default)]
    pub lease: Number,
}

/// Reads one key, or all keys from `key` up to, but not including, `range_end`.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct RangeRequest {
    /// First key.
    pub key: Bytes,
    /// First key after the range; `None` for a single key.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub range_end: Option<Bytes>,
}

/// Response to a range request.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct RangeResponse {
    /// Header.
    #[serde(default)]
    pub header: Header,
    /// Keys found, in ascending order.
    #[serde(default)]
    pub kvs: Vec<KeyValue>,
}

/// Condition of a transaction: the key's `mod_revision` equals the given one.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Compare {
    /// Key whose revision is compared.
    pub key: Bytes,
    /// What is compared; always `MOD`, the `mod_revision`.
    pub target: String,
    /// Comparison operator; always `EQUAL`.
    pub result: String,
    /// Expected revision; zero when the key must not exist.
    pub mod_revision: Number,
}

/// Writes one key.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct PutRequest {
    /// Key.
    pub key: Bytes,
    /// Value.
    pub value: Bytes,
    /// Lease that the key is attached to, so that it is deleted when the lease ends; zero for none.
    #[serde(default)]
    pub lease: Number,
}

/// Deletes one key, or all keys from `key` up to, but not including, `range_end`.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct DeleteRequest {
    /// First key.
    pub key: Bytes,
    /// First key after the range; `None` for a single key.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub range_end: Option<Bytes>,
}

/// One operation of a transaction.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Operation {
    /// Writes a key.
    RequestPut(PutRequest),
    /// Reads keys.
    RequestRange(RangeRequest),
    /// Deletes keys.
    RequestDeleteRange(DeleteRequest),
}

/// A transaction: all conditions are checked and one list of operations runs, atomically.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct TxnRequest {
    /// Conditions, all of which must hold.
    #[serde(default)]
    pub compare: Vec<Compare>,
    /// Operations that run when all conditions hold.
    #[serde(default)]
    pub success: Vec<Operation>,
    /// Operations that run when a condition does not hold.
    #[serde(default)]
    pub failure: Vec<Operation>,
}

/// Result of one operation of a transaction.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct OperationResponse {
    /// Result of a range operation; `None` for other operations.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub response_range: Option<RangeResponse>,
}

/// Response to a transaction.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct TxnResponse {
    /// Header.
    #[serde(default)]
    pub header: Header,
    /// Whether all conditions held.
    #[serde(default)]
    pub succeeded: bool,
    /// Results, in the order of the operations.
    #[serde(default)]
    pub responses: Vec<OperationResponse>,
}

/// Grants a lease, or renews one with a keep-alive.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct LeaseRequest {
    /// Lease id; zero in a grant lets the service choose one.
    #[serde(rename = "ID", default)]
    pub id: Number,
    /// Time to live in seconds; ignored by a keep-alive.
    #[serde(rename = "TTL", default)]
    pub ttl: Number,
}

/// Response to a lease request; a time to live of zero means that the lease is gone.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct LeaseResponse {
    /// Lease id.
    #[serde(rename = "ID", default)]
    pub id: Number,
    /// Time to live in seconds.
    #[serde(rename = "TTL", default)]
    pub ttl: Number,
}

/// Opens a watch.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct WatchRequest {
    /// The watch to create.
    pub create_request: WatchCreate,
}

/// Keys that a watch covers.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct WatchCreate {
    /// First key.
    pub key: Bytes,
    /// First key after the range; `None` for a single key.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub range_end: Option<Bytes>,
    /// Revision of the first change to report; zero for changes from now on.
    #[serde(default)]
    pub start_revision: Number,
}

/// One line of the response stream of a watch.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct WatchLine {
    /// The changes, in the `result` wrapper that the gateway puts around streamed messages.
    #[serde(default)]
    pub result: WatchResult,
}

/// Changes that a watch reports.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct WatchResult {
    /// Header.
    #[serde(default)]
    pub header: Header,
    /// Changes, oldest first.
    #[serde(default)]
    pub events: Vec<Event>,
}

/// A change of one key.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Event {
    /// `DELETE` for a deletion; empty for a write.
    #[serde(rename = "type", default)]
    pub kind: String,
    /// The key after the change; a deleted key has no value.
    pub kv: KeyValue,
}

/// Returns the first key after all keys that start with `prefix`, for use as a `range_end`.
///
/// ```
/// use fulmarproxy::protocol::kv;
/// assert_eq!(kv::prefix_end("ab"), kv::Bytes::from("ac"));
/// ```
pub fn prefix_end(prefix: &str) -> Bytes {
    let mut end = prefix.as_bytes().to_vec();
    while let Some(last) = end.last_mut() {
        if *last < u8::MAX {
            *last += 1;
            return Bytes(end);
        }
        end.pop();
    }
    Bytes(vec![0])
}

/// Parses the JSON value of a key.
///
/// # Errors
///
/// [`error::Error::StoreValue`], which names the key, when the value does not parse.
///
/// ```
/// use fulmarproxy::protocol::kv;
/// let kv = kv::KeyValue { key: "n".into(), value: "7".into(), ..Default::default() };
/// assert_eq!(kv::decode::<u64>(&kv).unwrap(), 7);
/// ```
pub fn decode<T: de::DeserializeOwned>(kv: &KeyValue) -> Result<T, error::Error> {
    serde_json::from_slice(&kv.value.0).map_err(|source| error::Error::StoreValue {
        key: String::from_utf8_lossy(&kv.key.0).into_owned(),
        source,
    })
}

/// Response to a keep-alive. Keep-alive is a streaming call, so the gateway wraps its response like
/// a line of a stream.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct KeepAliveLine {
    /// The renewed lease.
    #[serde(default)]
    pub result: LeaseResponse,
}
