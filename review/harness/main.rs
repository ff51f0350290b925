//! Plays the cases of the review against the gateways of the deploy file.
//!
//! `harness CASE RECORD` exits with 1 if the rule was broken, 0 if it held and 2 if the case could not
//! run. With `TROUBLE=0` in the environment it leaves the disruption out.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    process::ExitCode,
    sync::{Arc, Mutex},
    thread,
    time::Duration,
};

mod client;
mod fleet;
mod http;
mod json;
mod lost_answers;
mod poison;
mod record;
mod rejection_twice;
mod releases;
mod silent_store;
mod store;
mod taken_away;
mod worker;

/// Longest time that a case takes; the bound is 120 seconds.
const MAX_TIME: Duration = Duration::from_secs(118);

/// What all cases use.
pub struct Setup {
    /// The store.
    pub store: store::Store,
    /// What was sent, answered and run.
    pub record: record::Record,
    /// How often a request ran, by its id.
    pub runs: Arc<Mutex<BTreeMap<String, u32>>>,
    /// Whether the disruption is played.
    pub has_trouble: bool,
    folder: fleet::Folder,
}

impl Setup {
    /// Starts a gateway.
    pub fn start_gateway(&self, node: &str) -> Option<fleet::Gateway> {
        self.start_gateway_at(node, self.store.address)
    }

    /// Starts a gateway that calls the store at an address of its own.
    pub fn start_gateway_at(&self, node: &str, store: SocketAddr) -> Option<fleet::Gateway> {
        let gateway = fleet::start_gateway(node, store, &self.folder.0);
        if gateway.is_none() {
            self.record.say("the gateway did not get ready");
        }
        gateway
    }

    /// Path of a file in the temporary folder.
    pub fn path(&self, name: &str) -> String {
        self.folder.0.join(name).to_string_lossy().into_owned()
    }

    /// Writes the operator's configuration: four routes, two services and one tenant.
    pub fn publish(&self, version: u64, prepaid: u64) {
        self.publish_with(version, prepaid, "portal");
    }

    /// Writes the configuration; the route of status requests leads to `status_service`.
    pub fn publish_with(&self, version: u64, prepaid: u64, status_service: &str) {
        let route = |path: &str, kind: &str, service: &str, rest: &str| {
            format!(
                "{{\"name\":\"r-{path}\",\"host\":\"desk.example\",\"path_prefix\":\"/{path}/\",\
                 \"kind\":\"{kind}\",\"service\":\"{service}\",\"public\":false,{rest}}}"
            )
        };
        let stream = "\"session_affinity\":true,\"target_gap_ms\":400,\"target_latency_ms\":500";
        let routes = [
            route(
                "brief",
                "streaming",
                "model",
                &format!(
                    "\"timeout_ms\":12000,\"priority\":1,\"max_attempts\":1,\"stream_resume\":false,{stream}"
                ),
            ),
            route(
                "book",
                "non_idempotent",
                "portal",
                "\"timeout_ms\":800,\"target_latency_ms\":300,\"priority\":2,\"max_attempts\":1",
            ),
            route(
                "status",
                "idempotent",
                status_service,
                "\"timeout_ms\":800,\"target_latency_ms\":300,\"priority\":2,\"max_attempts\":2",
            ),
        ];
        let configuration = format!(
            "{{\"version\":{version},\"routes\":[{}],\"services\":[\
             {{\"name\":\"model\",\"health_check\":\"/health\",\"max_connections\":370,\
             \"engine\":{{\"slots\":64,\"kv_capacity_tokens\":400328,\"stride\":6}}}},\
             {{\"name\":\"portal\",\"health_check\":\"/health\",\"max_connections\":110}},\
             {{\"name\":\"archive\",\"health_check\":\"/health\",\"max_connections\":110}}],\
             \"limits\":{{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\
             \"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}},\
             \"tenants\":[{{\"name\":\"desk\",\"api_keys\":[\"{}\"],\"priority\":1,\
             \"prepaid\":{prepaid}}}]}}",
            routes.join(","),
            client::KEY,
        );
        self.store.put("op/config", &configuration);
    }
}

fn main() -> ExitCode {
    let args: Vec<String> = std::env::args().collect();
    if let [_, role, id, log] = &args[..]
        && role == "stream-worker"
    {
        taken_away::run_worker(id, log);
        return ExitCode::SUCCESS;
    }
    let (Some(case), Some(path)) = (args.get(1), args.get(2)) else {
        eprintln!("usage: harness CASE RECORD");
        return ExitCode::from(2);
    };
    let setup = Setup {
        store: store::Store::start(),
        record: record::Record::create(path),
        runs: Arc::default(),
        has_trouble: std::env::var("TROUBLE").as_deref() != Ok("0"),
        folder: fleet::Folder::create(),
    };
    thread::spawn(|| {
        thread::sleep(MAX_TIME);
        eprintln!("the case took too long");
        fleet::kill_all();
        std::process::exit(2);
    });
    setup.publish(1, 1_000_000_000);
    let held = match case.as_str() {
        "lost-answers" => lost_answers::play(&setup),
        "poison" => poison::play(&setup),
        "rejection-twice" => rejection_twice::play(&setup),
        "releases" => releases::play(&setup),
        "silent-store" => silent_store::play(&setup),
        "taken-away" => taken_away::play(&setup),
        _ => None,
    };
    match held {
        Some(true) => {
            setup.record.say("the rule held");
            ExitCode::SUCCESS
        }
        Some(false) => {
            setup.record.say("the rule was broken");
            ExitCode::from(1)
        }
        None => {
            setup.record.say("the case could not run");
            ExitCode::from(2)
        }
    }
}
