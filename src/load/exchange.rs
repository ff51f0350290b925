//! Sends one request with its retries, as a caller of the fleet does.

use std::time::{Duration, Instant};

use futures::AsyncReadExt;
use serde::Deserialize;
use trillium_client::{Client, Conn};

use crate::{
    load::{answer, options, plan},
    transport::timers,
};

const READ_BUFFER_BYTES: usize = 4 * 1024;
const CHAT_PATH: &str = "/v1/chat/completions";
const INITIAL_BACKOFF: Duration = Duration::from_millis(50);
const MAX_BACKOFF: Duration = Duration::from_secs(2);

/// Error in the body of a refusal by the fleet.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Deserialize)]
pub struct Refusal {
    /// Number of the result code; 0 when the body has none.
    #[serde(default)]
    pub code: u16,
    /// Name of the result code.
    #[serde(default)]
    pub name: String,
    /// Whether the request may have run: `not run` or `may have run`.
    #[serde(default)]
    pub run: String,
}

/// How one attempt ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AttemptEnd {
    /// With a whole answer.
    Whole(answer::WholeAnswer),
    /// With an answer that has a fault.
    Broken(answer::Fault),
    /// With a refusal.
    Refused(Refusal),
    /// Without an answer, after a timeout or a broken connection.
    Failed,
}

/// One attempt at a request.
#[derive(Clone, Debug)]
pub struct Attempt {
    /// How it ended.
    pub end: AttemptEnd,
    /// HTTP status; 0 when no answer came.
    pub status: u16,
    /// Request id in the headers of the answer.
    pub id: Option<String>,
    /// Pause that the answer asks for before a retry.
    retry_after: Option<Duration>,
}

/// A request after its last attempt.
#[derive(Clone, Debug)]
pub struct Outcome {
    /// The request as planned.
    pub planned: plan::PlannedRequest,
    /// All attempts; the last one decides the outcome.
    pub attempts: Vec<Attempt>,
    /// Time from the planned start to the end of the last attempt.
    pub latency: Duration,
    /// Time from the planned start to the first token of the last attempt.
    pub first_token: Option<Duration>,
    /// Times between the tokens of the last attempt.
    pub between_tokens: Vec<Duration>,
    /// How much later than planned the request was sent.
    pub lateness: Duration,
}

/// Sends the requests of a load.
pub struct Sender {
    /// Options of the load.
    pub options: options::Options,
    /// HTTP client that all requests share.
    pub client: Client,
    /// Timers for the timeout of attempts.
    pub timers: timers::Timers,
    /// Time at which the load started.
    pub start: Instant,
}

impl Attempt {
    fn failed() -> Self {
        Self {
            end: AttemptEnd::Failed,
            status: 0,
            id: None,
            retry_after: None,
        }
    }

    /// Whether the request is retried after this attempt, if retries are left.
    fn is_retryable(&self) -> bool {
        match self.end {
            AttemptEnd::Whole(_) => false,
            AttemptEnd::Broken(_) | AttemptEnd::Failed => true,
            AttemptEnd::Refused(_) => self.status >= 500 || self.status == 429,
        }
    }
}

impl Outcome {
    /// The last attempt.
    pub fn last(&self) -> &Attempt {
        self.attempts.last().expect("each request has an attempt")
    }
}

impl Sender {
    /// Sends a request until it gets a whole answer or a final refusal, or no retries are left.
    pub async fn send(&self, planned: plan::PlannedRequest) -> Outcome {
        let planned_start = self.start + planned.send_at;
        let mut outcome = Outcome {
            lateness: planned_start.elapsed(),
            latency: Duration::ZERO,
            first_token: None,
            between_tokens: Vec::new(),
            attempts: Vec::new(),
            planned,
        };
        let mut rng = fastrand::Rng::with_seed(self.options.seed ^ outcome.planned.number);
        for number in 0..=self.options.retries {
            outcome.first_token = None;
            outcome.between_tokens.clear();
            let attempt = self.send_attempt(&mut outcome, number);
            let attempt = self.timers.within(self.options.timeout, attempt).await;
            let attempt = attempt.unwrap_or_else(Attempt::failed);
            let pause = attempt.retry_after;
            let retry = attempt.is_retryable() && number < self.options.retries;
            outcome.attempts.push(attempt);
            if !retry {
                break;
            }
            smol::Timer::after(pause.unwrap_or_else(|| backoff(&mut rng, number))).await;
        }
        outcome.latency = planned_start.elapsed();
        outcome
    }

    /// Sends the request once and reads the answer.
    async fn send_attempt(&self, outcome: &mut Outcome, number: u32) -> Attempt {
        let mut conn = self.build_request(&outcome.planned, number);
        if (&mut conn).await.is_err() {
            return Attempt::failed();
        }
        let status = conn.status().map_or(0, |status| status as u16);
        let headers = conn.response_headers();
        let id = headers.get_str("x-request-id").map(str::to_owned);
        let seconds = headers.get_str("retry-after").and_then(|s| s.parse().ok());
        let end = match status {
            200 => self.read_answer(&mut conn, outcome).await,
            _ => read_refusal(&mut conn).await,
        };
        Attempt {
            end,
            status,
            id,
            retry_after: seconds.map(Duration::from_secs),
        }
    }

    /// Builds the request of an attempt; `number` counts the attempts from 0.
    ///
    /// The fleet gets an idempotency key, the same for all attempts, when retries are enabled.
    fn build_request(&self, planned: &plan::PlannedRequest, number: u32) -> Conn {
        let options = &self.options;
        let targets = &options.targets;
        let turn = planned.number as usize + number as usize;
        let target = match (&options.compare, planned.destination) {
            (Some(engine), plan::Destination::Engine) => engine,
            // The engine gets the odd request numbers and the fleet the even ones. Without the
            // division, these would skip every second target when the number of targets is even.
            (Some(_), plan::Destination::Fleet) => &targets[(turn / 2) % targets.len()],
            (None, _) => &targets[turn % targets.len()],
        };
        let url = format!("{target}{CHAT_PATH}");
        let conn = self.client.post(url).with_body(planned.body(options));
        let conn = conn.with_request_header("content-type", "application/json");
        let name = format!("load-{}-{}", options.seed, planned.number);
        match planned.destination {
            plan::Destination::Engine => conn.with_request_header("x-request-id", name),
            plan::Destination::Fleet => {
                let key = format!("Bearer {}", options.keys[planned.key].name);
                let conn = conn.with_request_header("authorization", key);
                match options.retries {
                    0 => conn,
                    _ => conn.with_request_header("idempotency-key", name),
                }
            }
        }
    }

    async fn read_answer(&self, conn: &mut Conn, outcome: &mut Outcome) -> AttemptEnd {
        let planned_start = self.start + outcome.planned.send_at;
        let mut reader = answer::Reader::new(self.options.stream);
        let mut body = conn.response_body();
        let mut buffer = vec![0; READ_BUFFER_BYTES];
        let mut last = None;
        let broken = loop {
            match body.read(&mut buffer).await {
                Ok(0) => break false,
                Err(_) => break true,
                Ok(count) => {
                    let tokens = reader.push(&buffer[..count]);
                    record_token_times(outcome, planned_start, &mut last, tokens);
                }
            }
        };
        match reader.finish(broken) {
            Ok(whole) => AttemptEnd::Whole(whole),
            Err(fault) => AttemptEnd::Broken(fault),
        }
    }
}

/// Records the arrival of tokens; `last` is the time of the previous token.
fn record_token_times(
    outcome: &mut Outcome,
    planned_start: Instant,
    last: &mut Option<Instant>,
    tokens: u64,
) {
    for _ in 0..tokens {
        let now = Instant::now();
        match last.replace(now) {
            Some(before) => outcome.between_tokens.push(now - before),
            None => outcome.first_token = Some(now - planned_start),
        }
    }
}

/// Reads the body of an answer whose status is not 200.
async fn read_refusal(conn: &mut Conn) -> AttemptEnd {
    #[derive(Deserialize)]
    struct Body {
        error: Refusal,
    }
    let Ok(bytes) = conn.response_body().read_bytes().await else {
        return AttemptEnd::Failed;
    };
    let body = serde_json::from_slice::<Body>(&bytes);
    AttemptEnd::Refused(body.map_or_else(|_| Refusal::default(), |body| body.error))
}

/// Pause before a retry: doubles with each attempt up to a maximum, times a random factor from 0.5
/// to 1.5.
fn backoff(rng: &mut fastrand::Rng, number: u32) -> Duration {
    let upper = INITIAL_BACKOFF * 2_u32.saturating_pow(number);
    upper.min(MAX_BACKOFF).mul_f64(0.5 + rng.f64())
}
