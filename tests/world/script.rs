//! The scenario language: one statement a line, `#` begins a comment.

use std::time::Duration;

/// A VM that the scenario names.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Vm {
    /// Name.
    pub name: String,
    /// Availability zone.
    pub zone: String,
    /// What runs there.
    pub role: Role,
}

/// What runs on a VM.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Role {
    /// A router.
    Router,
    /// An agent beside an engine.
    Engine {
        /// Service.
        service: String,
        /// Requests that the engine runs at once.
        slots: u32,
    },
    /// An agent beside a plain service.
    Plain {
        /// Service.
        service: String,
    },
}

/// What a caller sends.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Send {
    /// Name in the scenario.
    pub label: String,
    /// Router asked.
    pub to: String,
    /// Workspace; its budget has the same name.
    pub workspace: String,
    /// Route.
    pub route: String,
    /// Tokens asked for; zero for a plain call.
    pub tokens: u64,
    /// Whether the answer is streamed.
    pub stream: bool,
    /// Idempotency key.
    pub key: Option<String>,
    /// Whether it crashes each engine that runs it.
    pub crashing: bool,
}

/// Something that happens.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// A caller sends a request.
    Send(Send),
    /// A caller sends an earlier request again, to another router.
    Resend(String, String),
    /// Messages are lost, one way.
    Cut(String, String),
    /// Messages are lost, both ways.
    CutBoth(String, String),
    /// Messages pass again, both ways.
    Heal(String, String),
    /// Every fault of network and platform ends.
    HealAll,
    /// Open connections go silent; new ones work.
    Freeze(String, String),
    /// Messages are delayed, one way.
    Slow(String, String, Duration),
    /// Calls are delivered twice.
    Repeat(String),
    /// The store is unreachable.
    StoreDown,
    /// The store answers again at its usual pace.
    StoreUp,
    /// The store answers late.
    StoreSlow(Duration),
    /// Replies to writes are lost after the writes took effect.
    Lose(u32, String),
    /// Watches report nothing more.
    Mute(String),
    /// A process stands still.
    Pause(String),
    /// A process goes on.
    Resume(String),
    /// A VM is lost.
    Kill(String),
    /// A VM is lost and another one takes its name and address.
    Replace(String),
    /// A process is asked to end.
    Stop(String),
    /// A backend server is about to leave.
    Drain(String),
    /// An engine dies with its streams open and starts again.
    Crash(String),
    /// An operator publishes a new total of a budget.
    TopUp(String, u64, String),
    /// Something must hold now.
    Expect(Expect),
}

/// What must hold.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Expect {
    /// One run, one whole answer.
    AnsweredOnce(String),
    /// At least one whole answer.
    Answered(String),
    /// Every answer was a refusal.
    Refused(String),
    /// It did not run.
    NotRun(String),
    /// Runs.
    Ran(String, Relation, u64),
    /// Tokens that engines made for a budget.
    Spent(String, Relation, u64),
    /// Whole answers in all.
    AllAnswered(Relation, u64),
    /// Refusals in all.
    AllRefused(Relation, u64),
    /// Tokens of a budget that no holder has.
    Free(String, Relation, u64),
    /// Configuration version of a router.
    Version(String, Relation, u64),
    /// Nothing is held by holders that have ended.
    Settled,
}

/// How two numbers must compare.
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
    /// Compares.
    pub fn holds(self, found: u64, wanted: u64) -> bool {
        match self {
            Self::AtMost => found <= wanted,
            Self::AtLeast => found >= wanted,
            Self::Equal => found == wanted,
        }
    }
}

/// An action and its place.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Step {
    /// Time.
    pub at: Duration,
    /// Line of the file.
    pub line: usize,
    /// Text of the line.
    pub text: String,
    /// Action.
    pub action: Action,
}

/// A whole scenario.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Script {
    /// Seed of all random numbers.
    pub seed: u64,
    /// Budgets and their prepaid totals.
    pub budgets: Vec<(String, u64)>,
    /// VMs.
    pub vms: Vec<Vm>,
    /// Age of the list of VMs.
    pub lag: Duration,
    /// Steps in the order of their times.
    pub steps: Vec<Step>,
    /// Time of the end.
    pub end: Duration,
}

/// A line that does not parse.
#[derive(Clone, Debug)]
pub struct SyntaxError {
    /// Line.
    pub line: usize,
    /// What is wrong.
    pub message: String,
}

type Parsed<T> = Result<T, String>;

/// Reads a scenario.
pub fn parse(text: &str) -> Result<Script, SyntaxError> {
    let mut script = Script {
        seed: 1,
        lag: Duration::from_secs(1),
        end: Duration::from_secs(60),
        ..Script::default()
    };
    for (index, line) in text.lines().enumerate() {
        let line_number = index + 1;
        let code = line.split('#').next().unwrap_or_default();
        let words: Vec<_> = code.split_whitespace().collect();
        let read = read_line(&mut script, &words, line_number, code.trim());
        read.map_err(|message| SyntaxError {
            line: line_number,
            message,
        })?;
    }
    script.steps.sort_by_key(|step| step.at);
    Ok(script)
}

fn read_line(script: &mut Script, words: &[&str], line: usize, text: &str) -> Parsed<()> {
    let text = text.to_owned();
    match words {
        [] => {}
        ["seed", seed] => script.seed = number(seed)?,
        ["budget", name, total] => script.budgets.push(((*name).to_owned(), number(total)?)),
        ["list", "lags", lag] => script.lag = time(lag)?,
        ["router", name, "in", zone] => script.vms.push(vm(name, zone, Role::Router)),
        ["agent", name, "in", zone, "serves", service, rest @ ..] => {
            let role = agent_role(service, rest)?;
            script.vms.push(vm(name, zone, role));
        }
        ["run", "until", end] => script.end = time(end)?,
        ["at", at, action @ ..] => {
            let (at, action) = (time(at)?, action_of(action)?);
            script.steps.push(Step {
                at,
                line,
                text,
                action,
            });
        }
        ["from", from, "to", to, "every", period, "send", rest @ ..] => {
            let send = send_of(rest)?;
            let (mut at, to, period) = (time(from)?, time(to)?, time(period)?);
            let mut count = 0;
            while at < to {
                count += 1;
                let label = format!("{}-{count}", send.label);
                let key = send.key.as_ref().map(|key| format!("{key}-{count}"));
                let action = Action::Send(Send {
                    label,
                    key,
                    ..send.clone()
                });
                script.steps.push(Step {
                    at,
                    line,
                    text: text.clone(),
                    action,
                });
                at += period.max(Duration::from_millis(1));
            }
        }
        ["expect", rest @ ..] => {
            let action = Action::Expect(expect_of(rest)?);
            let at = Duration::MAX;
            script.steps.push(Step {
                at,
                line,
                text,
                action,
            });
        }
        other => return Err(format!("unknown statement {:?}", other.join(" "))),
    }
    Ok(())
}

fn vm(name: &str, zone: &str, role: Role) -> Vm {
    Vm {
        name: name.to_owned(),
        zone: zone.to_owned(),
        role,
    }
}

fn agent_role(service: &str, words: &[&str]) -> Parsed<Role> {
    let service = service.to_owned();
    match words {
        [] => Ok(Role::Engine { service, slots: 8 }),
        ["slots", slots] => Ok(Role::Engine {
            service,
            slots: number(slots)? as u32,
        }),
        ["plain"] => Ok(Role::Plain { service }),
        other => Err(format!("unknown words {:?}", other.join(" "))),
    }
}

fn action_of(words: &[&str]) -> Parsed<Action> {
    let own = |text: &&str| (*text).to_owned();
    Ok(match words {
        ["send" | "call", rest @ ..] => Action::Send(send_of(rest)?),
        ["resend", label, "to", vm] => Action::Resend(own(label), own(vm)),
        ["cut", one, "from", other] => Action::CutBoth(own(one), own(other)),
        ["cut", from, "to", to] => Action::Cut(own(from), own(to)),
        ["heal", "all"] => Action::HealAll,
        ["heal", one, "from", other] => Action::Heal(own(one), own(other)),
        ["freeze", one, "with", other] => Action::Freeze(own(one), own(other)),
        ["slow", from, "to", to, "by", delay] => Action::Slow(own(from), own(to), time(delay)?),
        ["repeat", "calls", "to", vm] => Action::Repeat(own(vm)),
        ["store", "down"] => Action::StoreDown,
        ["store", "up"] => Action::StoreUp,
        ["store", "slow", delay] => Action::StoreSlow(time(delay)?),
        ["lose", count, "replies", "to", vm] => Action::Lose(number(count)? as u32, own(vm)),
        ["mute", "watches", "of", vm] => Action::Mute(own(vm)),
        ["pause", vm] => Action::Pause(own(vm)),
        ["resume", vm] => Action::Resume(own(vm)),
        ["kill", vm] => Action::Kill(own(vm)),
        ["replace", vm] => Action::Replace(own(vm)),
        ["stop", vm] => Action::Stop(own(vm)),
        ["drain", vm] => Action::Drain(own(vm)),
        ["crash", vm] => Action::Crash(own(vm)),
        ["top", "up", budget, "to", total, "by", operator] => {
            Action::TopUp(own(budget), number(total)?, own(operator))
        }
        ["expect", rest @ ..] => Action::Expect(expect_of(rest)?),
        other => return Err(format!("unknown action {:?}", other.join(" "))),
    })
}

fn send_of(words: &[&str]) -> Parsed<Send> {
    let [label, "to", to, "as", workspace, route, rest @ ..] = words else {
        return Err("expected NAME to ROUTER as WORKSPACE ROUTE ...".to_owned());
    };
    let mut send = Send {
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
            [] => return Ok(send),
            [tokens, "tokens", rest @ ..] => {
                send.tokens = number(tokens)?;
                rest
            }
            ["streamed", rest @ ..] => {
                send.stream = true;
                rest
            }
            ["key", key, rest @ ..] => {
                send.key = Some((*key).to_owned());
                rest
            }
            ["crashing", rest @ ..] => {
                send.crashing = true;
                rest
            }
            other => return Err(format!("unknown words {:?}", other.join(" "))),
        };
    }
}

fn expect_of(words: &[&str]) -> Parsed<Expect> {
    let own = |text: &&str| (*text).to_owned();
    Ok(match words {
        ["settled"] => Expect::Settled,
        ["spent", budget, is, n] => Expect::Spent(own(budget), relation(is)?, number(n)?),
        ["free", budget, is, n] => Expect::Free(own(budget), relation(is)?, number(n)?),
        ["answered", is, n] => Expect::AllAnswered(relation(is)?, number(n)?),
        ["refused", is, n] => Expect::AllRefused(relation(is)?, number(n)?),
        [label, "answered", "once"] => Expect::AnsweredOnce(own(label)),
        [label, "answered"] => Expect::Answered(own(label)),
        [label, "refused"] => Expect::Refused(own(label)),
        [label, "not", "run"] => Expect::NotRun(own(label)),
        [label, "ran", is, n] => Expect::Ran(own(label), relation(is)?, number(n)?),
        [vm, "version", is, n] => Expect::Version(own(vm), relation(is)?, number(n)?),
        other => return Err(format!("unknown expectation {:?}", other.join(" "))),
    })
}

fn relation(text: &str) -> Parsed<Relation> {
    match text {
        "<=" => Ok(Relation::AtMost),
        ">=" => Ok(Relation::AtLeast),
        "=" => Ok(Relation::Equal),
        other => Err(format!("expected <=, >= or =, found {other:?}")),
    }
}

fn number(text: &str) -> Parsed<u64> {
    text.parse().map_err(|_| format!("{text:?} is no number"))
}

fn time(text: &str) -> Parsed<Duration> {
    if let Some(ms) = text.strip_suffix("ms") {
        return number(ms).map(Duration::from_millis);
    }
    let seconds = text
        .strip_suffix('s')
        .ok_or_else(|| format!("{text:?} is no time"))?;
    number(seconds).map(Duration::from_secs)
}
