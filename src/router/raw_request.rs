//! A caller's request before it is parsed, independent of the HTTP server.

use std::sync::Arc;

use crate::{
    code::Code,
    router::{Router, config_sync, dispatch, memory, request},
};

/// The parts of an HTTP request that the router uses, as the caller sent them.
#[derive(Clone, Debug, Default)]
pub struct RawRequest {
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
    /// Memory of the caller's request and connection; `None` for a request that came over none.
    pub caller: Option<Arc<memory::CallerMemory>>,
}

impl Router {
    /// Authenticates and parses a request, then runs it until the first part of its answer arrives.
    ///
    /// # Errors
    ///
    /// A refusal, which states whether the request may have run.
    pub async fn start_request(
        self: &Arc<Self>,
        raw: &RawRequest,
    ) -> Result<(request::Request, dispatch::Answer), request::Refusal> {
        if config_sync::is_isolated(self) {
            let message = "the router has been cut off from the store and all peers for long";
            return Err(request::Refusal::not_run(Code::StaleConfig, message));
        }
        let in_force = self.config();
        let workspace = request::authenticate(&in_force, raw.authorization.as_deref())?;
        let mut rng = self.runtime.rng();
        let mut req = request::parse(&in_force, &workspace, raw, rng.u128(..))?;
        req.caller.clone_from(&raw.caller);
        let started = dispatch::start(self, &req).await;
        let answer = started.map_err(|mut refusal| {
            refusal.key = req.must_claim().then(|| req.key.clone());
            refusal
        })?;
        Ok((req, answer))
    }
}
