//! A caller's question, free of HTTP.

use std::sync::Arc;

use crate::{
    code::Code,
    router::{Router, config_sync, exchange, request},
};

/// What a caller sent.
#[derive(Clone, Debug, Default)]
pub struct Ask {
    /// Value of the `Authorization` header.
    pub authorization: Option<String>,
    /// Value of the `Idempotency-Key` header.
    pub key: Option<String>,
    /// HTTP method.
    pub method: String,
    /// Path and query.
    pub path: String,
    /// Body.
    pub body: Vec<u8>,
}

impl Router {
    /// Checks a question and runs it until its answer begins.
    ///
    /// # Errors
    ///
    /// A refusal that tells whether the request may have run.
    pub async fn ask(
        self: &Arc<Self>,
        ask: &Ask,
    ) -> Result<(request::Request, exchange::Answer), request::Refusal> {
        if config_sync::is_isolated(self) {
            let message = "the router has been cut off from the store and all peers for long";
            return Err(request::Refusal::not_run(Code::StaleConfig, message));
        }
        let in_force = self.config();
        let workspace = request::workspace_of(&in_force, ask.authorization.as_deref())?;
        let mut rng = self.runtime.rng();
        let req = request::read(&in_force, &workspace, ask, rng.u128(..))?;
        let started = exchange::start(self, &req).await;
        let answer = started.map_err(|mut refusal| {
            refusal.key = req.must_claim().then(|| req.key.clone());
            refusal
        })?;
        Ok((req, answer))
    }
}
