//! Client of the platform's key-value service, and the keys that the fleet uses there.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use futures::{future::BoxFuture, stream::BoxStream};
use metrics::counter;
use serde::Serialize;
use trillium_client::Client;

use crate::{
    error,
    protocol::kv,
    state::{ledger, member},
    transport::http,
};

const CALL_TIMEOUT: Duration = Duration::from_secs(2);

/// Limit on the keys that one call reads. With its default settings, the service accepts up to 128
/// operations in a transaction.
pub const MAX_KEYS_PER_CALL: usize = 100;

/// Key of the head of the configuration, which lists its chunks.
pub const HEAD_KEY: &str = "fulmar/config/head";

/// Prefix of the chunks of the configuration; their digest follows.
pub const CHUNK_PREFIX: &str = "fulmar/config/chunk/";

/// Prefix of the ledger buckets; their number follows.
pub const LEDGER_PREFIX: &str = "fulmar/ledger/";

/// Returns the key of the ledger bucket that holds a budget.
///
/// ```
/// assert!(fulmarproxy::transport::store::ledger_key("desk").starts_with("fulmar/ledger/"));
/// ```
pub fn ledger_key(budget: &str) -> String {
    bucket_key(ledger::bucket_of(budget))
}

/// Returns the key of the ledger bucket with a number.
///
/// ```
/// assert_eq!(fulmarproxy::transport::store::bucket_key(7), "fulmar/ledger/007");
/// ```
pub fn bucket_key(bucket: u64) -> String {
    format!("{LEDGER_PREFIX}{bucket:03}")
}

/// Prefix of the holder records; the incarnation of the holder follows.
pub const HOLDER_PREFIX: &str = "fulmar/holder/";

/// Returns the key of a holder's record.
///
/// ```
/// assert_eq!(fulmarproxy::transport::store::holder_key(7), "fulmar/holder/7");
/// ```
pub fn holder_key(holder: member::Incarnation) -> String {
    format!("{HOLDER_PREFIX}{holder}")
}

/// Prefix of the registries of agents; the name of their service follows.
pub const AGENTS_PREFIX: &str = "fulmar/agents/";

/// Key of the list of fenced holders.
pub const FENCES_KEY: &str = "fulmar/fences";

/// Prefix of the claims, which keep a call with an idempotency key from being run twice.
pub const CLAIM_PREFIX: &str = "fulmar/claim/";

/// Prefix of the leases for orders; the name of the pool follows.
pub const ORDER_PREFIX: &str = "fulmar/order/";

/// A call to the key-value service.
#[derive(Clone, Debug)]
pub enum Call {
    /// Reads one key or a range of keys.
    Range(kv::RangeRequest),
    /// Runs a transaction: comparisons, and operations that depend on their result.
    Txn(kv::TxnRequest),
    /// Creates a lease.
    LeaseGrant(kv::LeaseRequest),
    /// Renews a lease.
    LeaseKeepAlive(kv::LeaseRequest),
}

/// Reply of the key-value service.
#[derive(Clone, Debug)]
pub enum Reply {
    /// To [`Call::Range`].
    Range(kv::RangeResponse),
    /// To [`Call::Txn`].
    Txn(kv::TxnResponse),
    /// To [`Call::LeaseGrant`] and [`Call::LeaseKeepAlive`].
    Lease(kv::LeaseResponse),
}

/// Changes that a watch reports; the stream ends when the watch is lost.
pub type Watch = BoxStream<'static, Result<kv::WatchResult, error::Error>>;

/// Client of the key-value service, with function values that tests can replace.
#[derive(Clone)]
pub struct Store {
    /// Makes a call. After an error, it is unknown whether a write took effect.
    pub execute: Arc<dyn Fn(Call) -> BoxFuture<'static, Result<Reply, error::Error>> + Send + Sync>,
    /// Opens a watch.
    pub open_watch: Arc<dyn Fn(kv::WatchCreate) -> Watch + Send + Sync>,
}

/// Result of a conditional write.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Put {
    /// The write took effect, at this revision.
    Written(u64),
    /// The key had changed since the expected revision; its current value, if it exists.
    Conflict(Option<kv::KeyValue>),
}

impl Store {
    /// Makes a client of the service at an `http://` address.
    ///
    /// ```
    /// fulmarproxy::transport::store::Store::over_http("http://127.0.0.1:2379");
    /// ```
    pub fn over_http(url: &str) -> Self {
        let url: Arc<str> = url.trim_end_matches('/').into();
        let (client, streaming) = (http::client(CALL_TIMEOUT), http::streaming_client());
        let watch_url = format!("{url}/v3/watch");
        Self {
            execute: Arc::new(move |call| Box::pin(execute(client.clone(), url.clone(), call))),
            open_watch: Arc::new(move |watch| {
                http::post_for_stream(
                    streaming.clone(),
                    watch_url.clone(),
                    kv::WatchRequest {
                        create_request: watch,
                    },
                )
            }),
        }
    }

    async fn range(&self, req: kv::RangeRequest) -> Result<kv::RangeResponse, error::Error> {
        match self.execute_counted("range", Call::Range(req)).await? {
            Reply::Range(reply) => Ok(reply),
            _ => Err(unexpected_reply("range")),
        }
    }

    async fn txn(
        &self,
        name: &'static str,
        req: kv::TxnRequest,
    ) -> Result<kv::TxnResponse, error::Error> {
        match self.execute_counted(name, Call::Txn(req)).await? {
            Reply::Txn(reply) => Ok(reply),
            _ => Err(unexpected_reply(name)),
        }
    }

    async fn lease(
        &self,
        name: &'static str,
        call: Call,
    ) -> Result<kv::LeaseResponse, error::Error> {
        match self.execute_counted(name, call).await? {
            Reply::Lease(reply) => Ok(reply),
            _ => Err(unexpected_reply(name)),
        }
    }

    /// Makes a call and counts it, and its error, in the metrics under `name`.
    async fn execute_counted(&self, name: &'static str, call: Call) -> Result<Reply, error::Error> {
        counter!("fulmar_store_calls", "call" => name).increment(1);
        let reply = (self.execute)(call).await;
        if reply.is_err() {
            counter!("fulmar_store_errors", "call" => name).increment(1);
        }
        reply
    }

    /// Watches one key, or all keys with a prefix, for changes from `start_revision` on.
    pub fn watch(&self, key: &str, is_prefix: bool, start_revision: u64) -> Watch {
        counter!("fulmar_store_calls", "call" => "watch").increment(1);
        (self.open_watch)(kv::WatchCreate {
            key: key.into(),
            range_end: is_prefix.then(|| kv::prefix_end(key)),
            start_revision: kv::Number(start_revision),
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
        let reply = self.range(req).await?;
        Ok(reply.kvs.into_iter().next())
    }

    /// Reads all keys with a prefix; also returns the revision of the store at the read.
    ///
    /// # Errors
    ///
    /// [`error::Error::Store`] when the service cannot be reached.
    pub async fn list(&self, prefix: &str) -> Result<(Vec<kv::KeyValue>, u64), error::Error> {
        let req = kv::RangeRequest {
            key: prefix.into(),
            range_end: Some(kv::prefix_end(prefix)),
        };
        let reply = self.range(req).await?;
        Ok((reply.kvs, reply.header.revision.0))
    }

    /// Reads several keys, up to [`MAX_KEYS_PER_CALL`] in one call. Keys that do not exist are left
    /// out.
    ///
    /// # Errors
    ///
    /// [`error::Error::Store`] when the service cannot be reached.
    pub async fn get_many(
        &self,
        keys: &[String],
    ) -> Result<BTreeMap<String, kv::KeyValue>, error::Error> {
        let mut found = BTreeMap::new();
        for keys in keys.chunks(MAX_KEYS_PER_CALL) {
            found.extend(self.get_batch(keys).await?);
        }
        Ok(found)
    }

    /// Reads keys in one transaction.
    async fn get_batch(
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
        let reply = self.txn("get", req).await?;
        let found = reply.responses.into_iter().filter_map(|r| r.response_range);
        let kvs = found.flat_map(|range| range.kvs);
        Ok(kvs
            .map(|kv| (String::from_utf8_lossy(&kv.key.0).into_owned(), kv))
            .collect())
    }

    /// Writes a key if its revision is still `expected_revision`; with zero, if it does not exist.
    /// The key is attached to `lease`, unless that is zero.
    ///
    /// # Errors
    ///
    /// [`error::Error::Store`] when there is no reply: the write may have taken effect.
    pub async fn put_if(
        &self,
        key: &str,
        value: &impl Serialize,
        expected_revision: u64,
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
                mod_revision: kv::Number(expected_revision),
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
        let reply = self.txn("put", req).await?;
        if reply.succeeded {
            return Ok(Put::Written(reply.header.revision.0));
        }
        let range = reply
            .responses
            .into_iter()
            .next()
            .and_then(|r| r.response_range);
        Ok(Put::Conflict(
            range.and_then(|range| range.kvs.into_iter().next()),
        ))
    }

    /// Deletes a key if its revision is still `expected_revision`; returns whether it did.
    ///
    /// # Errors
    ///
    /// [`error::Error::Store`] when there is no reply: the deletion may have taken effect.
    pub async fn delete_if(&self, key: &str, expected_revision: u64) -> Result<bool, error::Error> {
        let req = kv::TxnRequest {
            compare: vec![kv::Compare {
                key: key.into(),
                target: "MOD".to_owned(),
                result: "EQUAL".to_owned(),
                mod_revision: kv::Number(expected_revision),
            }],
            success: vec![kv::Operation::RequestDeleteRange(kv::DeleteRequest {
                key: key.into(),
                range_end: None,
            })],
            failure: Vec::new(),
        };
        let reply = self.txn("delete", req).await?;
        Ok(reply.succeeded)
    }

    /// Creates a lease of `ttl` seconds and returns its id.
    ///
    /// # Errors
    ///
    /// [`error::Error::Store`] when the service cannot be reached.
    pub async fn grant_lease(&self, ttl: u64) -> Result<u64, error::Error> {
        let req = kv::LeaseRequest {
            id: kv::Number(0),
            ttl: kv::Number(ttl),
        };
        let reply = self.lease("lease_grant", Call::LeaseGrant(req)).await?;
        Ok(reply.id.0)
    }

    /// Renews a lease; returns false when it has expired.
    ///
    /// # Errors
    ///
    /// [`error::Error::Store`] when the service cannot be reached.
    pub async fn keep_lease(&self, id: u64) -> Result<bool, error::Error> {
        let req = kv::LeaseRequest {
            id: kv::Number(id),
            ttl: kv::Number(0),
        };
        let reply = self.lease("lease_keep", Call::LeaseKeepAlive(req)).await?;
        Ok(reply.ttl.0 > 0)
    }
}

fn unexpected_reply(call: &'static str) -> error::Error {
    error::Error::Store {
        call,
        message: "the reply does not match the call".to_owned(),
    }
}

/// Makes a call over HTTP.
async fn execute(client: Client, url: Arc<str>, call: Call) -> Result<Reply, error::Error> {
    match call {
        Call::Range(req) => {
            let reply = post(&client, "range", &url, "/v3/kv/range", &req).await?;
            Ok(Reply::Range(reply))
        }
        Call::Txn(req) => {
            let reply = post(&client, "txn", &url, "/v3/kv/txn", &req).await?;
            Ok(Reply::Txn(reply))
        }
        Call::LeaseGrant(req) => {
            let reply = post(&client, "lease_grant", &url, "/v3/lease/grant", &req).await?;
            Ok(Reply::Lease(reply))
        }
        Call::LeaseKeepAlive(req) => {
            let path = "/v3/lease/keepalive";
            let line: kv::KeepAliveLine = post(&client, "lease_keep", &url, path, &req).await?;
            Ok(Reply::Lease(line.result))
        }
    }
}

async fn post<Q: Serialize, A: serde::de::DeserializeOwned>(
    client: &Client,
    call: &'static str,
    url: &str,
    path: &str,
    body: &Q,
) -> Result<A, error::Error> {
    let reply = http::post(client, call, &format!("{url}{path}"), body).await;
    reply.map_err(|err| error::Error::Store {
        call,
        message: err.to_string(),
    })
}
