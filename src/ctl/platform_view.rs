//! Shows a fleet of gateways on the platform, as its store and the gateways themselves describe it.

use std::{net::SocketAddr, time::Duration};

use serde_json::{Value, json};

use crate::{
    coordination::budgets::share,
    error,
    gateway::{fleet, ledger, peer_messages, peer_rpc},
    platform::{configuration, servers, store},
    state::share_ledger,
    transport::{h1::dial, timers},
};

/// Time limit for one gateway to answer.
const MEMBER_TIMEOUT: Duration = Duration::from_secs(2);

/// What to show.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum View {
    /// Gateways, each with its status, which contains the configuration version in force.
    Members,
    /// Backend servers.
    Servers,
    /// Budgets, each with the shares of its holders.
    Budgets,
}

/// Reads one view; each row is a JSON object. An entry that cannot be read or a gateway that does
/// not answer gives a row with a `problem`.
///
/// # Errors
///
/// [`error::Error::Store`] when the store cannot be read, [`error::Error::StoreValue`] when the
/// configuration does not parse.
pub async fn read(view: View, address: SocketAddr) -> Result<Vec<Value>, error::Error> {
    let timers = timers::Timers::default();
    let route = store::RouteCallbacks {
        next_address: Box::new(move || address),
        record_outcome: Box::new(|_, _| ()),
    };
    let store = store::Store::new(route, timers.clone());
    match view {
        View::Members => members(&store, &timers).await,
        View::Servers => backend_servers(&store).await,
        View::Budgets => budgets(&store).await,
    }
}

/// Reads the items under a prefix. Data that is a few seconds old suffices.
async fn read_prefix(store: &store::Store, prefix: &str) -> Result<Vec<store::Item>, error::Error> {
    let read = store.range(prefix, true).await;
    let read = read.map_err(|err| error::Error::Store {
        call: "range",
        message: err.to_string(),
    })?;
    Ok(read.items)
}

async fn members(
    store: &store::Store,
    timers: &timers::Timers,
) -> Result<Vec<Value>, error::Error> {
    let mut rows = Vec::new();
    for item in read_prefix(store, fleet::PREFIX).await? {
        let Some((holder, address)) = fleet::decode(&item) else {
            rows.push(json!({"member": item.key, "problem": "the entry is not readable"}));
            continue;
        };
        let answer = timers
            .within(MEMBER_TIMEOUT, gateway_status(address, timers))
            .await;
        rows.push(
            match answer.unwrap_or_else(|| Err("no answer in time".to_owned())) {
                Ok(status) => json!({"member": holder, "address": address, "status": status}),
                Err(problem) => json!({"member": holder, "address": address, "problem": problem}),
            },
        );
    }
    Ok(rows)
}

/// Asks a gateway for its status.
async fn gateway_status(address: SocketAddr, timers: &timers::Timers) -> Result<Value, String> {
    let conn = dial::connect(address, MEMBER_TIMEOUT, timers).await;
    let mut conn = conn.map_err(|err| err.to_string())?;
    let answer = peer_rpc::post(&mut conn, address, &peer_messages::Call::Status).await;
    let answer = answer.map_err(|err| err.to_string())?;
    serde_json::from_slice(&answer).map_err(|err| err.to_string())
}

async fn backend_servers(store: &store::Store) -> Result<Vec<Value>, error::Error> {
    let items = read_prefix(store, servers::PREFIX).await?;
    let row = |item: &store::Item| match servers::decode(&item.key, &item.value) {
        Some(server) => json!({
            "server": &*server.id, "service": &*server.service, "address": server.address,
            "zone": &*server.zone, "slots": server.slots, "takes_work": server.takes_work,
        }),
        None => json!({"server": item.key, "problem": "the entry is not readable"}),
    };
    Ok(items.iter().map(row).collect())
}

async fn budgets(store: &store::Store) -> Result<Vec<Value>, error::Error> {
    let items = read_prefix(store, configuration::PREFIX).await?;
    let configuration = items.iter().find(|item| item.key == configuration::KEY);
    let deployment = match configuration {
        Some(item) => configuration::decode(&item.value)?,
        None => return Ok(Vec::new()),
    };
    let ledgers = read_prefix(store, ledger::PREFIX).await?;
    let mut workspaces: Vec<_> = deployment.workspaces.values().collect();
    workspaces.sort_by_key(|workspace| workspace.name.clone());
    let mut rows = Vec::new();
    for workspace in workspaces {
        let Some(prepaid) = workspace.prepaid_tokens else {
            continue;
        };
        let key = format!("{}{}", ledger::PREFIX, workspace.name);
        let item = ledgers.iter().find(|item| item.key == key);
        let ledger = item.map_or_else(
            || Ok(share_ledger::ShareLedger::default()),
            |item| serde_json::from_slice(&item.value),
        );
        rows.push(match ledger {
            Ok(ledger) => budget_row(&workspace.name, prepaid, &ledger),
            Err(err) => json!({"budget": &*workspace.name, "problem": err.to_string()}),
        });
    }
    Ok(rows)
}

fn budget_row(workspace: &str, prepaid: u64, ledger: &share_ledger::ShareLedger) -> Value {
    let granted = ledger.granted();
    json!({
        "budget": workspace,
        "prepaid": prepaid,
        "free": share::grantable(prepaid).saturating_sub(granted),
        "spent_by_closed": ledger.closed_total(),
        "set_aside": ledger.set_aside,
        "in_doubt": ledger.in_doubt,
        "settled_era": ledger.settled_era,
        "holders": ledger.holders,
    })
}
