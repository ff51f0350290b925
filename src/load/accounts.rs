//! Readings of the counts of engines and of the prepaid and billed tokens of budgets.

use std::collections::{BTreeMap, HashMap};

use serde::Deserialize;
use trillium_client::Client;

use crate::{
    coordination::config_chunks,
    error,
    protocol::kv,
    state::{config, holder_record, name, object_set},
    transport::{http, store},
};

/// Counts of all engines together.
#[derive(Clone, Debug, Default)]
pub struct EngineCounts {
    /// Tokens of all runs.
    pub tokens: u64,
    /// Tokens by request id.
    pub tokens_by_id: HashMap<String, u64>,
    /// Runs by request id.
    pub runs: HashMap<String, u64>,
    /// Number of engines that did not answer.
    pub silent_engines: u64,
}

/// Tokens of one budget.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Budget {
    /// Tokens prepaid.
    pub prepaid: u64,
    /// Tokens billed.
    pub billed: u64,
}

/// Budgets, and the API keys that draw on them.
#[derive(Clone, Debug, Default)]
pub struct Budgets {
    /// Budgets by name.
    pub by_name: BTreeMap<name::Name, Budget>,
    /// Budget names by the SHA-256 digest of an API key, in lower-case hexadecimal digits.
    by_key_digest: HashMap<String, name::Name>,
}

/// The part of an engine's `/counts` that is read here.
#[derive(Deserialize)]
struct CountsResponse {
    tokens: u64,
    #[serde(default)]
    tokens_by_id: HashMap<String, u64>,
    #[serde(default)]
    runs: HashMap<String, u64>,
}

/// Reads and adds up the counts of engines. An engine that does not answer is logged and counted.
pub async fn read_engines(client: &Client, urls: &[String]) -> EngineCounts {
    let mut engines = EngineCounts::default();
    for url in urls {
        let url = format!("{url}/counts");
        match http::get::<CountsResponse>(client, "counts", &url).await {
            Ok(counts) => engines.add(counts),
            Err(err) => {
                eprintln!("fulmar-load: {err}.");
                engines.silent_engines += 1;
            }
        }
    }
    engines
}

impl EngineCounts {
    fn add(&mut self, counts: CountsResponse) {
        self.tokens += counts.tokens;
        for (id, tokens) in counts.tokens_by_id {
            *self.tokens_by_id.entry(id).or_default() += tokens;
        }
        for (id, runs) in counts.runs {
            *self.runs.entry(id).or_default() += runs;
        }
    }
}

/// Reads the published budgets, and what is billed to them according to all holder records.
///
/// # Errors
///
/// [`error::Error::Store`] when the store cannot be reached.
pub async fn read_budgets(url: &str) -> Result<Budgets, error::Error> {
    let store = store::Store::over_http(url);
    let mut budgets = Budgets::default();
    if let Some(head) = store.get(store::HEAD_KEY).await? {
        let head: config::Head = kv::decode(&head)?;
        let key = |digest: &String| format!("{}{digest}", store::CHUNK_PREFIX);
        let keys: Vec<_> = head.chunks.values().map(key).collect();
        for chunk in store.get_many(&keys).await?.values() {
            budgets.add_published(&kv::decode(chunk)?);
        }
    }
    let (records, _) = store.list(store::HOLDER_PREFIX).await?;
    for record in &records {
        budgets.add_bill(&kv::decode(record)?);
    }
    Ok(budgets)
}

impl Budgets {
    /// Adds the budgets and API keys of a published set of objects.
    pub fn add_published(&mut self, set: &object_set::ObjectSet) {
        for (name, budget) in &set.budgets {
            self.by_name.entry(name.clone()).or_default().prepaid = budget.prepaid_tokens;
        }
        for workspace in set.workspaces.values() {
            for key in &workspace.keys {
                let key = key.to_ascii_lowercase();
                self.by_key_digest.insert(key, workspace.budget.clone());
            }
        }
    }

    /// Adds the tokens that one holder has billed.
    pub fn add_bill(&mut self, record: &holder_record::HolderRecord) {
        for (name, figures) in &record.budgets {
            self.by_name.entry(name.clone()).or_default().billed += figures.spent;
        }
    }

    /// The budget that an API key draws on.
    pub fn budget_of_key(&self, key: &str) -> Option<name::Name> {
        self.by_key_digest
            .get(&config_chunks::sha256_hex(key.as_bytes()))
            .cloned()
    }

    /// Tokens billed to all budgets together.
    ///
    /// ```
    /// assert_eq!(fulmarproxy::load::accounts::Budgets::default().total_billed(), 0);
    /// ```
    pub fn total_billed(&self) -> u64 {
        self.by_name.values().map(|budget| budget.billed).sum()
    }
}
