//! Membership of the routers: each keeps an entry under a lease in the store and reads the entries
//! of the others.

use std::{collections::HashMap, net::SocketAddr, rc::Rc, time::Duration};

use metrics::{counter, gauge};

use crate::{coordination::presence, gateway::core, platform::store};

/// Prefix of the keys of the routers' entries.
pub const PREFIX: &str = "fulmar/routers/";

/// Interval at which the lease is renewed and the list is read.
const RENEW_INTERVAL: Duration = Duration::from_secs(5);

/// First intervals, which are shorter: all routers start at the same time and would otherwise miss
/// each other until the second round.
const STARTUP_INTERVALS: [Duration; 2] = [Duration::from_millis(700), Duration::from_millis(1500)];

/// Starts the task that renews this router's entry and reads those of the others. `address` is where
/// this router listens for the others.
pub fn start(gw: &Rc<core::Gateway>, address: SocketAddr) {
    let keeping = gw.clone();
    gw.spawn(async move {
        let mut startup_intervals = STARTUP_INTERVALS.into_iter();
        loop {
            if let Err(err) = refresh(&keeping, address).await {
                counter!("fulmar_gateway_store_failures_total", "part" => "fleet").increment(1);
                tracing::warn!(%err, "fleet: failed to renew the entry or read the others");
            }
            let wait = startup_intervals.next().unwrap_or(RENEW_INTERVAL);
            // An era of the store begins without the entries under leases.
            let era_began = keeping.store.wait_for_era_after(keeping.store.era());
            keeping.timers.within(wait, era_began).await;
        }
    });
}

async fn refresh(gw: &core::Gateway, address: SocketAddr) -> Result<(), store::StoreError> {
    if let Some(id) = gw.lease.get()
        && !gw.store.renew_lease(id).await?
    {
        tracing::warn!(lease = id, "fleet: lease expired");
        gw.lease.set(None);
    }
    if gw.lease.get().is_none() {
        gw.lease.set(register(gw, address).await?);
    }
    if gw.lease.get().is_some() {
        gw.presence.borrow_mut().record_renewal(gw.now());
    }
    let read = gw.store.range(PREFIX, true).await?;
    let own = format!("{PREFIX}{}", gw.holder());
    let others = read.items.iter().filter(|item| item.key != own);
    let peers: HashMap<String, SocketAddr> = others.filter_map(decode).collect();
    gauge!("fulmar_gateway_peers").set(peers.len() as f64);
    gw.set_peers(peers);
    Ok(())
}

/// Writes this router's entry under a new lease and returns the lease.
async fn register(
    gw: &core::Gateway,
    address: SocketAddr,
) -> Result<Option<u64>, store::StoreError> {
    let lease = gw.store.grant_lease(presence::LEASE_TTL).await?;
    let key = format!("{PREFIX}{}", gw.holder());
    let value = address.to_string();
    let write = store::Write {
        puts: vec![(key, value.into_bytes())],
        lease: lease.id,
        ..store::Write::default()
    };
    let written = gw.store.write(&write).await?;
    Ok(matches!(written, store::WriteOutcome::Applied(_)).then_some(lease.id))
}

/// Decodes an entry into the router's name (`vm/incarnation`) and the address of its fleet
/// listener; `None` when the entry does not parse.
pub fn decode(item: &store::Item) -> Option<(String, SocketAddr)> {
    let holder = item.key.strip_prefix(PREFIX)?;
    let address = std::str::from_utf8(&item.value).ok()?.parse().ok()?;
    Some((holder.to_owned(), address))
}

/// Deletes this router's entry, at shutdown.
pub async fn unregister(gw: &core::Gateway) {
    let write = store::Write {
        deletes: vec![format!("{PREFIX}{}", gw.holder())],
        ..store::Write::default()
    };
    if let Err(err) = gw.store.write(&write).await {
        tracing::warn!(%err, "fleet: failed to delete the entry, it expires with its lease");
    }
}
