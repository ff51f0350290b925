//! The router's side of fleet calls.

use std::{rc::Rc, sync::Arc};

use crate::{
    coordination::roster,
    protocol::{fleet_capnp, run},
    router::Router,
};

/// Serves one connection.
pub struct Service {
    router: Arc<Router>,
}

impl Service {
    /// Serves calls to `router`.
    pub fn new(router: Arc<Router>) -> Self {
        Self { router }
    }
}

impl fleet_capnp::router::Server for Service {
    async fn beat(
        self: Rc<Self>,
        params: fleet_capnp::router::BeatParams,
        mut results: fleet_capnp::router::BeatResults,
    ) -> Result<(), capnp::Error> {
        let beat = params.get()?.get_beat()?;
        let member = run::read_member(beat.get_member()?);
        let member = member.map_err(|err| capnp::Error::failed(err.to_string()))?;
        let load = beat.get_load()?;
        let load = roster::Load {
            running: load.get_running(),
            queued: load.get_queued(),
            slots: load.get_slots(),
            draining: load.get_draining(),
        };
        let service = beat.get_service()?.to_str()?.into();
        let now = self.router.timers.now();
        self.router
            .roster
            .lock()
            .unwrap()
            .beat(member, service, load, now);
        let version = self.router.config().config.version;
        results.get().init_versions().set_config(version);
        Ok(())
    }

    async fn status(
        self: Rc<Self>,
        _params: fleet_capnp::router::StatusParams,
        mut results: fleet_capnp::router::StatusResults,
    ) -> Result<(), capnp::Error> {
        results.get().set_json(&*self.router.status());
        Ok(())
    }
}
