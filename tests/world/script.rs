//! Parses the scenario language: one statement per line, `#` starts a comment.

use std::time::Duration;

/// A VM of the scenario's fleet.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Vm {
    /// Name, which is also the host of its address.
    pub name: String,
    /// Availability zone, such as `vestland-a`.
    pub zone: String,
    /// Process that runs on the VM.
    pub role: Role,
}

/// The kind of process that runs on a VM.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Role {
    /// A router.
    Router,
    /// An agent with a model engine.
    Engine {
        /// Service that the agent registers.
        service: String,
        /// Most requests that the engine runs concurrently.
        slots: u32,
    },
    /// An agent with a plain service, which generates no tokens.
    Plain {
        /// Service that the agent registers.
        service: String,
    },
}

/// A request that a caller sends.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Request {
    /// Name of the request in the scenario.
    pub label: String,
    /// VM of the router that receives the request.
    pub to: String,
    /// Workspace of the caller; its budget has the same name.
    pub workspace: String,
    /// Route that the request names.
    pub route: String,
    /// Most tokens of the answer; zero for a call to a plain service.
    pub tokens: u64,
    /// Whether the answer is streamed.
    pub stream: bool,
    /// Idempotency key.
    pub key: Option<String>,
    /// Whether the request crashes every engine that runs it.
    pub crashing: bool,
}

/// An event of a scenario.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// A caller sends a request.
    Send(Request),
    /// A caller sends an earlier request (label) again, to a router (VM).
    Resend(String, String),
    /// All messages from the first VM to the second are lost.
    CutOneWay(String, String),
    /// All messages between two VMs are lost.
    CutBothWays(String, String),
    /// Messages between two VMs are delivered again.
    Heal(String, String),
    /// All faults of the network and the platform end.
    HealAll,
    /// Connections that are open between two VMs deliver nothing more; new ones work.
    FreezeConnections(String, String),
    /// Messages from the first VM to the second are delayed.
    SlowLink(String, String, Duration),
    /// Every call to a VM is delivered twice.
    RepeatCalls(String),
    /// The store and the list of VMs are unreachable.
    StoreDown,
    /// The store answers again, without added latency.
    StoreUp,
    /// The store answers each call with this added latency.
    StoreSlow(Duration),
    /// The replies to the next writes of a VM are lost, after the writes took effect.
    LoseReplies(u32, String),
    /// The store watches of a VM deliver no more events, while its calls are answered.
    MuteWatches(String),
    /// The process on a VM stops executing, while time passes.
    Pause(String),
    /// A paused process continues.
    Resume(String),
    /// A VM fails and leaves the list of VMs.
    Kill(String),
    /// A VM fails and a new one takes its name and address.
    Replace(String),
    /// A process is asked to shut down gracefully.
    Stop(String),
    /// A backend server is drained: it takes no new work before it leaves.
    Drain(String),
    /// An engine crashes with open streams and restarts.
    CrashEngine(String),
    /// An operator publishes a new prepaid total of a budget.
    TopUp(String, u64, String),
    /// An expectation is checked at this time.
    Expect(Expectation),
}

/// An expectation that a scenario states.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Expectation {
    /// The request ran exactly once and was answered whole.
    AnsweredOnce(String),
    /// At least one send of the request was answered whole.
    Answered(String),
    /// The request was sent and every send was refused.
    Refused(String),
    /// The request did not run at any engine.
    NotRun(String),
    /// Number of runs of the request.
    Ran(String, Relation, u64),
    /// Tokens that engines processed for a budget.
    Spent(String, Relation, u64),
    /// Number of whole answers to all requests.
    AllAnswered(Relation, u64),
    /// Number of refusals of all requests.
    AllRefused(Relation, u64),
    /// Tokens of a budget that the ledger has granted to no holder.
    Free(String, Relation, u64),
    /// Configuration version that a router follows.
    Version(String, Relation, u64),
    /// Every holder that no longer runs is closed in the store.
    Settled,
}

/// How a measured number must compare with the wanted one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Relation {
    /// At most.
    AtMost,
    /// At least.
    AtLeast,
    /// Equal.
    Equal,
}

impl Relation {
    /// Whether the measured number satisfies the relation.
    pub fn holds(self, found: u64, wanted: u64) -> bool {
        match self {
            Self::AtMost => found <= wanted,
            Self::AtLeast => found >= wanted,
            Self::Equal => found == wanted,
        }
    }
}

/// An action, its time and its line in the scenario file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Step {
    /// Time of the action; [`Duration::MAX`] for expectations checked after the end.
    pub at: Duration,
    /// Line number in the file, from 1.
    pub line_number: usize,
    /// Text of the line without its comment.
    pub text: String,
    /// Action.
    pub action: Action,
}

/// A parsed scenario.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Script {
    /// Seed of all random numbers.
    pub seed: u64,
    /// Budgets and their prepaid totals in tokens.
    pub budgets: Vec<(String, u64)>,
    /// VMs of the fleet.
    pub vms: Vec<Vm>,
    /// Delay after which a change of the list of VMs is visible to its readers.
    pub list_lag: Duration,
    /// Steps in the order of their times.
    pub steps: Vec<Step>,
    /// Time at which the scenario ends and its faults are healed.
    pub end: Duration,
}

/// An error in a line of a scenario.
#[derive(Clone, Debug)]
pub struct SyntaxError {
    /// Line number, from 1.
    pub line: usize,
    /// Description of the error.
    pub message: String,
}

/// A parsed value, or the description of an error in its line.
type Parsed<T> = Result<T, String>;

/// Parses a scenario.
pub fn parse(text: &str) -> Result<Script, SyntaxError> {
    let mut script = Script {
        seed: 1,
        list_lag: Duration::from_secs(1),
        end: Duration::from_secs(60),
        ..Script::default()
    };
    for (index, line) in text.lines().enumerate() {
        let line_number = index + 1;
        let code = line.split('#').next().unwrap_or_default();
        let words: Vec<_> = code.split_whitespace().collect();
        let read = parse_line(&mut script, &words, line_number, code.trim());
        read.map_err(|message| SyntaxError {
            line: line_number,
            message,
        })?;
    }
    script.steps.sort_by_key(|step| step.at);
    Ok(script)
}

fn parse_line(script: &mut Script, words: &[&str], line_number: usize, text: &str) -> Parsed<()> {
    let text = text.to_owned();
    match words {
        [] => {}
        ["seed", seed] => script.seed = parse_number(seed)?,
        ["budget", name, total] => script
            .budgets
            .push(((*name).to_owned(), parse_number(total)?)),
        ["list", "lags", list_lag] => script.list_lag = parse_time(list_lag)?,
        ["router", name, "in", zone] => script.vms.push(new_vm(name, zone, Role::Router)),
        ["agent", name, "in", zone, "serves", service, rest @ ..] => {
            let role = parse_agent_role(service, rest)?;
            script.vms.push(new_vm(name, zone, role));
        }
        ["run", "until", end] => script.end = parse_time(end)?,
        ["at", at, action @ ..] => {
            let (at, action) = (parse_time(at)?, parse_action(action)?);
            script.steps.push(Step {
                at,
                line_number,
                text,
                action,
            });
        }
        ["from", from, "to", to, "every", period, "send", rest @ ..] => {
            let request = parse_request(rest)?;
            let (mut at, to, period) = (parse_time(from)?, parse_time(to)?, parse_time(period)?);
            let mut count = 0;
            // `every` expands to one numbered request per period.
            while at < to {
                count += 1;
                let label = format!("{}-{count}", request.label);
                let key = request.key.as_ref().map(|key| format!("{key}-{count}"));
                let action = Action::Send(Request {
                    label,
                    key,
                    ..request.clone()
                });
                script.steps.push(Step {
                    at,
                    line_number,
                    text: text.clone(),
                    action,
                });
                at += period.max(Duration::from_millis(1));
            }
        }
        ["expect", rest @ ..] => {
            let action = Action::Expect(parse_expectation(rest)?);
            let at = Duration::MAX;
            script.steps.push(Step {
                at,
                line_number,
                text,
                action,
            });
        }
        other => return Err(format!("unknown statement {:?}", other.join(" "))),
    }
    Ok(())
}

fn new_vm(name: &str, zone: &str, role: Role) -> Vm {
    Vm {
        name: name.to_owned(),
        zone: zone.to_owned(),
        role,
    }
}

fn parse_agent_role(service: &str, words: &[&str]) -> Parsed<Role> {
    let service = service.to_owned();
    match words {
        [] => Ok(Role::Engine { service, slots: 8 }),
        ["slots", slots] => Ok(Role::Engine {
            service,
            slots: parse_number(slots)? as u32,
        }),
        ["plain"] => Ok(Role::Plain { service }),
        other => Err(format!("unknown words {:?}", other.join(" "))),
    }
}

fn parse_action(words: &[&str]) -> Parsed<Action> {
    let owned = |text: &&str| (*text).to_owned();
    Ok(match words {
        ["send" | "call", rest @ ..] => Action::Send(parse_request(rest)?),
        ["resend", label, "to", vm] => Action::Resend(owned(label), owned(vm)),
        ["cut", one, "from", other] => Action::CutBothWays(owned(one), owned(other)),
        ["cut", from, "to", to] => Action::CutOneWay(owned(from), owned(to)),
        ["heal", "all"] => Action::HealAll,
        ["heal", one, "from", other] => Action::Heal(owned(one), owned(other)),
        ["freeze", one, "with", other] => Action::FreezeConnections(owned(one), owned(other)),
        ["slow", from, "to", to, "by", delay] => {
            Action::SlowLink(owned(from), owned(to), parse_time(delay)?)
        }
        ["repeat", "calls", "to", vm] => Action::RepeatCalls(owned(vm)),
        ["store", "down"] => Action::StoreDown,
        ["store", "up"] => Action::StoreUp,
        ["store", "slow", delay] => Action::StoreSlow(parse_time(delay)?),
        ["lose", count, "replies", "to", vm] => {
            Action::LoseReplies(parse_number(count)? as u32, owned(vm))
        }
        ["mute", "watches", "of", vm] => Action::MuteWatches(owned(vm)),
        ["pause", vm] => Action::Pause(owned(vm)),
        ["resume", vm] => Action::Resume(owned(vm)),
        ["kill", vm] => Action::Kill(owned(vm)),
        ["replace", vm] => Action::Replace(owned(vm)),
        ["stop", vm] => Action::Stop(owned(vm)),
        ["drain", vm] => Action::Drain(owned(vm)),
        ["crash", vm] => Action::CrashEngine(owned(vm)),
        ["top", "up", budget, "to", total, "by", operator] => {
            Action::TopUp(owned(budget), parse_number(total)?, owned(operator))
        }
        ["expect", rest @ ..] => Action::Expect(parse_expectation(rest)?),
        other => return Err(format!("unknown action {:?}", other.join(" "))),
    })
}

fn parse_request(words: &[&str]) -> Parsed<Request> {
    let [label, "to", to, "as", workspace, route, rest @ ..] = words else {
        return Err("expected NAME to ROUTER as WORKSPACE ROUTE ...".to_owned());
    };
    let mut request = Request {
        label: (*label).to_owned(),
        to: (*to).to_owned(),
        workspace: (*workspace).to_owned(),
        route: (*route).to_owned(),
        tokens: 0,
        stream: false,
        key: None,
        crashing: false,
    };
    let mut rest = rest;
    loop {
        rest = match rest {
            [] => return Ok(request),
            [tokens, "tokens", rest @ ..] => {
                request.tokens = parse_number(tokens)?;
                rest
            }
            ["streamed", rest @ ..] => {
                request.stream = true;
                rest
            }
            ["key", key, rest @ ..] => {
                request.key = Some((*key).to_owned());
                rest
            }
            ["crashing", rest @ ..] => {
                request.crashing = true;
                rest
            }
            other => return Err(format!("unknown words {:?}", other.join(" "))),
        };
    }
}

fn parse_expectation(words: &[&str]) -> Parsed<Expectation> {
    let owned = |text: &&str| (*text).to_owned();
    Ok(match words {
        ["settled"] => Expectation::Settled,
        ["spent", budget, relation, wanted] => Expectation::Spent(
            owned(budget),
            parse_relation(relation)?,
            parse_number(wanted)?,
        ),
        ["free", budget, relation, wanted] => Expectation::Free(
            owned(budget),
            parse_relation(relation)?,
            parse_number(wanted)?,
        ),
        ["answered", relation, wanted] => {
            Expectation::AllAnswered(parse_relation(relation)?, parse_number(wanted)?)
        }
        ["refused", relation, wanted] => {
            Expectation::AllRefused(parse_relation(relation)?, parse_number(wanted)?)
        }
        [label, "answered", "once"] => Expectation::AnsweredOnce(owned(label)),
        [label, "answered"] => Expectation::Answered(owned(label)),
        [label, "refused"] => Expectation::Refused(owned(label)),
        [label, "not", "run"] => Expectation::NotRun(owned(label)),
        [label, "ran", relation, wanted] => Expectation::Ran(
            owned(label),
            parse_relation(relation)?,
            parse_number(wanted)?,
        ),
        [vm, "version", relation, wanted] => {
            Expectation::Version(owned(vm), parse_relation(relation)?, parse_number(wanted)?)
        }
        other => return Err(format!("unknown expectation {:?}", other.join(" "))),
    })
}

fn parse_relation(text: &str) -> Parsed<Relation> {
    match text {
        "<=" => Ok(Relation::AtMost),
        ">=" => Ok(Relation::AtLeast),
        "=" => Ok(Relation::Equal),
        other => Err(format!("expected <=, >= or =, found {other:?}")),
    }
}

fn parse_number(text: &str) -> Parsed<u64> {
    text.parse()
        .map_err(|_| format!("{text:?} is not a number"))
}

fn parse_time(text: &str) -> Parsed<Duration> {
    if let Some(ms) = text.strip_suffix("ms") {
        return parse_number(ms).map(Duration::from_millis);
    }
    let seconds = text
        .strip_suffix('s')
        .ok_or_else(|| format!("{text:?} is not a time in s or ms"))?;
    parse_number(seconds).map(Duration::from_secs)
}
