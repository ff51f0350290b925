//! Connections to other members, kept on the workers and opened when first used.

use std::{cell::RefCell, collections::HashMap};

use capnp::{capability::FromClientHook, private::capability::ClientHook};
use xxhash_rust::xxh3;

use crate::{
    error,
    state::name,
    transport::{fleet_link, timers, workers},
};

thread_local! {
    static CLIENTS: RefCell<HashMap<name::Name, Box<dyn ClientHook>>> = RefCell::default();
}

/// Opens connections that prove the fleet key.
#[derive(Clone)]
pub struct Dialler {
    workers: workers::Workers,
    key: fleet_link::FleetKey,
    timers: timers::Timers,
}

impl Dialler {
    /// Opens connections on `workers` that prove `key`.
    pub fn new(
        workers: workers::Workers,
        key: fleet_link::FleetKey,
        timers: timers::Timers,
    ) -> Self {
        Self {
            workers,
            key,
            timers,
        }
    }

    /// Runs `work` with the capability at an address, on the worker that owns the address.
    ///
    /// The connection is closed when `work` returns false.
    pub fn start<C, F, W>(&self, address: name::Name, work: F)
    where
        C: FromClientHook + 'static,
        F: FnOnce(Result<C, error::Error>) -> W + Send + 'static,
        W: Future<Output = bool>,
    {
        let index = xxh3::xxh3_64(address.as_bytes()) as usize;
        let dialler = self.clone();
        let started = self.workers.run(index, move |local| {
            let executor = local.clone();
            executor
                .spawn(async move {
                    let client = dialler.client(&address, &local).await;
                    if !work(client).await {
                        CLIENTS.with_borrow_mut(|clients| clients.remove(&address));
                    }
                })
                .detach();
        });
        if let Err(err) = started {
            tracing::error!("link: {err}.");
        }
    }

    /// Runs `work` with the capability at an address and returns its result.
    ///
    /// # Errors
    ///
    /// What `work` returns, or [`error::Error::Io`] when the address cannot be reached.
    pub async fn call<C, T, F, W>(&self, address: name::Name, work: F) -> Result<T, error::Error>
    where
        C: FromClientHook + 'static,
        T: Send + 'static,
        F: FnOnce(C) -> W + Send + 'static,
        W: Future<Output = Result<T, error::Error>>,
    {
        let (tx, rx) = async_channel::bounded(1);
        self.start(address, move |client| async move {
            let result = match client {
                Ok(client) => work(client).await,
                Err(err) => Err(err),
            };
            let keep = result.is_ok();
            let _ = tx.send(result).await;
            keep
        });
        let gone = |_| error::Error::Io(std::io::ErrorKind::NotConnected.into());
        rx.recv().await.map_err(gone)?
    }

    async fn client<C: FromClientHook>(
        &self,
        address: &name::Name,
        local: &workers::Local,
    ) -> Result<C, error::Error> {
        let known = CLIENTS.with_borrow(|clients| clients.get(address).map(|hook| hook.add_ref()));
        if let Some(hook) = known {
            return Ok(C::new(hook));
        }
        let client: C = fleet_link::connect(address, &self.key, local, &self.timers).await?;
        let hook = client.as_client_hook().add_ref();
        CLIENTS.with_borrow_mut(|clients| clients.insert(address.clone(), hook));
        Ok(client)
    }
}
