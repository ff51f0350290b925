//! The platform's key-value service.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use metrics::counter;
use serde::Serialize;
use trillium_client::Client;

use crate::{error, protocol::kv, transport::http};

const CALL_LIMIT: Duration = Duration::from_secs(2);

/// Key of the configuration's head.
pub const HEAD_KEY: &str = "fulmar/config/head";

/// Prefix of the configuration's chunks, by digest.
pub const CHUNK_PREFIX: &str = "fulmar/config/chunk/";

/// Prefix of the ledger buckets, by number.
pub const LEDGER_PREFIX: &str = "fulmar/ledger/";

/// Prefix of the holder records, by incarnation.
pub const HOLDER_PREFIX: &str = "fulmar/holder/";

/// Prefix of the agent registers, by service.
pub const AGENTS_PREFIX: &str = "fulmar/agents/";

/// Key of the list of fenced holders.
pub const FENCES_KEY: &str = "fulmar/fences";

/// Prefix of the claims of calls that must not be repeated.
pub const CLAIM_PREFIX: &str = "fulmar/claim/";

/// Prefix of the order leases, by pool.
pub const ORDER_PREFIX: &str = "fulmar/order/";

/// A connection to the key-value service.
#[derive(Clone, Debug)]
pub struct Store {
    client: Client,
    url: Arc<str>,
}

/// What a conditional write found.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Put {
    /// The write took effect, at this revision.
    Written(u64),
    /// The key had changed; this is what it holds now.
    Conflict(Option<kv::KeyValue>),
}

impl Store {
    /// Makes a client of the service at `url`.
    ///
    /// ```
    /// let store = fulmarproxy::transport::store::Store::new("http://127.0.0.1:2379");
    /// assert_eq!(store.url(), "http://127.0.0.1:2379");
    /// ```
    pub fn new(url: &str) -> Self {
        Self {
            client: http::client(CALL_LIMIT),
            url: url.trim_end_matches('/').into(),
        }
    }

    /// Address of the service.
    pub fn url(&self) -> &str {
        &self.url
    }

    async fn call<Q: Serialize, A: serde::de::DeserializeOwned>(
        &self,
        call: &'static str,
        path: &str,
        body: &Q,
    ) -> Result<A, error::Error> {
        counter!("fulmar_store_calls", "call" => call).increment(1);
        let url = format!("{}{path}", self.url);
        let answer = http::post(&self.client, call, &url, body).await;
        answer.map_err(|err| {
            counter!("fulmar_store_errors", "call" => call).increment(1);
            error::Error::Store {
                call,
                message: err.to_string(),
            }
        })
    }

    /// Reads one key.
    ///
    /// # Errors
    ///
    /// [`error::Error::Store`] when the service cannot be reached.
    pub async fn get(&self, key: &str) -> Result<Option<kv::KeyValue>, error::Error> {
        let req = kv::RangeRequest {
            key: key.into(),
            range_end: None,
        };
        let answer: kv::RangeResponse = self.call("get", "/v3/kv/range", &req).await?;
        Ok(answer.kvs.into_iter().next())
    }

    /// Reads all keys with a prefix; also returns the revision of the read.
    ///
    /// # Errors
    ///
    /// [`error::Error::Store`] when the service cannot be reached.
    pub async fn list(&self, prefix: &str) -> Result<(Vec<kv::KeyValue>, u64), error::Error> {
        let req = kv::RangeRequest {
            key: prefix.into(),
            range_end: Some(kv::prefix_end(prefix)),
        };
        let answer: kv::RangeResponse = self.call("list", "/v3/kv/range", &req).await?;
        Ok((answer.kvs, answer.header.revision.0))
    }

    /// Reads several keys in one call; a key that does not exist is left out.
    ///
    /// # Errors
    ///
    /// [`error::Error::Store`] when the service cannot be reached.
    pub async fn get_many(
        &self,
        keys: &[String],
    ) -> Result<BTreeMap<String, kv::KeyValue>, error::Error> {
        let read = |key: &String| {
            kv::Operation::RequestRange(kv::RangeRequest {
                key: key.as_str().into(),
                range_end: None,
            })
        };
        let req = kv::TxnRequest {
            success: keys.iter().map(read).collect(),
            ..Default::default()
        };
        let answer: kv::TxnResponse = self.call("get", "/v3/kv/txn", &req).await?;
        let found = answer
            .responses
            .into_iter()
            .filter_map(|r| r.response_range);
        let kvs = found.flat_map(|range| range.kvs);
        Ok(kvs
            .map(|kv| (String::from_utf8_lossy(&kv.key.0).into_owned(), kv))
            .collect())
    }

    /// Writes a key if its last revision is still `expected`; zero: if it does not exist.
    ///
    /// # Errors
    ///
    /// [`error::Error::Store`] when no answer came: the write may have taken effect.
    pub async fn put_if(
        &self,
        key: &str,
        value: &impl Serialize,
        expected: u64,
        lease: u64,
    ) -> Result<Put, error::Error> {
        let value = serde_json::to_vec(value).map_err(|err| error::Error::Store {
            call: "put",
            message: format!("{key}: {err}"),
        })?;
        let req = kv::TxnRequest {
            compare: vec![kv::Compare {
                key: key.into(),
                target: "MOD".to_owned(),
                result: "EQUAL".to_owned(),
                mod_revision: kv::Number(expected),
            }],
            success: vec![kv::Operation::RequestPut(kv::PutRequest {
                key: key.into(),
                value: kv::Bytes(value),
                lease: kv::Number(lease),
            })],
            failure: vec![kv::Operation::RequestRange(kv::RangeRequest {
                key: key.into(),
                range_end: None,
            })],
        };
        let answer: kv::TxnResponse = self.call("put", "/v3/kv/txn", &req).await?;
        if answer.succeeded {
            return Ok(Put::Written(answer.header.revision.0));
        }
        let range = answer
            .responses
            .into_iter()
            .next()
            .and_then(|r| r.response_range);
        Ok(Put::Conflict(
            range.and_then(|range| range.kvs.into_iter().next()),
        ))
    }

    /// Deletes a key if its last revision is still `expected`; tells whether it did.
    ///
    /// # Errors
    ///
    /// [`error::Error::Store`] when no answer came: the deletion may have taken effect.
    pub async fn delete_if(&self, key: &str, expected: u64) -> Result<bool, error::Error> {
        let req = kv::TxnRequest {
            compare: vec![kv::Compare {
                key: key.into(),
                target: "MOD".to_owned(),
                result: "EQUAL".to_owned(),
                mod_revision: kv::Number(expected),
            }],
            success: vec![kv::Operation::RequestDeleteRange(kv::DeleteRequest {
                key: key.into(),
                range_end: None,
            })],
            failure: Vec::new(),
        };
        let answer: kv::TxnResponse = self.call("delete", "/v3/kv/txn", &req).await?;
        Ok(answer.succeeded)
    }

    /// Asks for a lease of `ttl` seconds and returns its id.
    ///
    /// # Errors
    ///
    /// [`error::Error::Store`] when the service cannot be reached.
    pub async fn grant_lease(&self, ttl: u64) -> Result<u64, error::Error> {
        let req = kv::LeaseRequest {
            id: kv::Number(0),
            ttl: kv::Number(ttl),
        };
        let answer: kv::LeaseResponse = self.call("lease", "/v3/lease/grant", &req).await?;
        Ok(answer.id.0)
    }

    /// Keeps a lease alive; returns false when it is gone.
    ///
    /// # Errors
    ///
    /// [`error::Error::Store`] when the service cannot be reached.
    pub async fn keep_lease(&self, id: u64) -> Result<bool, error::Error> {
        let req = kv::LeaseRequest {
            id: kv::Number(id),
            ttl: kv::Number(0),
        };
        let answer: kv::KeepAliveLine = self.call("keep", "/v3/lease/keepalive", &req).await?;
        Ok(answer.result.ttl.0 > 0)
    }
}
