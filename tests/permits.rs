//! Random days on which servers name limits to gateways that start, end, freeze and lose each other,
//! on a virtual clock.
//!
//! `PERMITS=100..200 cargo test --test permits` plays other seeds.

mod common;

use std::{collections::BTreeMap, time::Duration};

use fulmarproxy::coordination::{
    permit_issuer::{self, Grant, PermitIssuer},
    permits::{Permit, Permits},
    router_count::RouterCount,
    server_limits::ServerLimits,
};

/// Times in milliseconds: a day, its steps, the window in which requests are counted, and the time
/// after a disruption of a gateway, and after a server first named its limit, from which they are.
const DAY: u64 = 60_000;
const STEP: u64 = 5;
const WINDOW: u64 = 4000;
const SETTLE_TIME: u64 = 3000;

/// Time after an answer with the limit from which a gateway's requests count.
const TOLD_TIME: u64 = 500;

/// Times of the fleet list: between two reads, and until the entry of a gateway that ended is gone.
const LIST_INTERVAL: u64 = 5000;
const LEASE_TTL: u64 = 20_000;

/// Time limit of a question, and time for which a gateway that did not answer is not asked.
const CALL_TIMEOUT: u64 = 250;
const UNRESPONSIVE_TIME: u64 = 2000;

/// Time after which a gateway asks again that got no answer.
const RETRY_DELAY: Duration = Duration::from_millis(250);

/// A deliberate fault of the gateways, which the check must detect.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Fault {
    None,
    /// Each gateway issues its own permits for the whole limit.
    OwnLimit,
    /// A gateway whose list has lost entries issues the whole limit.
    AloneTakesAll,
}

#[derive(Debug)]
struct Gateway {
    name: String,
    limits: ServerLimits,
    permits: Permits,
    issuer: PermitIssuer,
    /// Other gateways as last listed.
    peers: Vec<String>,
    routers: RouterCount,
    next_list: u64,
    started: u64,
    frozen_until: u64,
    cut_until: u64,
    disturbed: u64,
    unresponsive: BTreeMap<String, u64>,
    /// When the server first answered with its limit.
    told: Option<u64>,
    requests_per_s: f64,
}

impl Gateway {
    fn new(name: String, now: u64, requests_per_s: f64) -> Self {
        Self {
            name,
            limits: ServerLimits::default(),
            permits: Permits::default(),
            issuer: PermitIssuer::default(),
            peers: Vec::new(),
            routers: RouterCount::default(),
            next_list: now,
            started: now,
            frozen_until: 0,
            cut_until: 0,
            disturbed: now,
            unresponsive: BTreeMap::new(),
            told: None,
            requests_per_s,
        }
    }

    fn runs(&self, now: u64) -> bool {
        now >= self.frozen_until
    }

    fn answers(&self, now: u64) -> bool {
        self.runs(now) && now >= self.cut_until
    }

    /// Time since the process started, as its clock tells.
    fn clock(&self, now: u64) -> Duration {
        Duration::from_millis(now - self.started)
    }
}

/// An answer to a question that is on its way.
#[derive(Debug)]
struct Reply {
    to: String,
    at: u64,
    grant: Option<Grant>,
    from: String,
}

struct World {
    rng: fastrand::Rng,
    fault: Fault,
    gateways: Vec<Gateway>,
    /// Entries of the store: gateway, and the time at which the entry ends.
    listed: BTreeMap<String, u64>,
    replies: Vec<Reply>,
    /// Answers of the server: when, and for whom.
    answers: Vec<(u64, String)>,
    limit: f64,
    store_down_until: u64,
    /// Arrivals at the server that count.
    counted: Vec<u64>,
    arrivals: usize,
    started: usize,
}

const SERVER: u64 = 7;

impl World {
    fn new(seed: u64, fault: Fault) -> Self {
        let mut rng = fastrand::Rng::with_seed(seed);
        let count = *rng.choice(&[1, 2, 5, 5, 12, 40]).unwrap();
        let limit = *rng.choice(&[0.3, 1.0, 1.4, 5.0, 30.0]).unwrap();
        let mut world = Self {
            rng,
            fault,
            gateways: Vec::new(),
            listed: BTreeMap::new(),
            replies: Vec::new(),
            answers: Vec::new(),
            limit,
            store_down_until: 0,
            counted: Vec::new(),
            arrivals: 0,
            started: 0,
        };
        (0..count).for_each(|_| world.start(0));
        world
    }

    fn start(&mut self, now: u64) {
        self.started += 1;
        let name = format!("entry-{}", self.started);
        let requests_per_s = self.rng.f64() * *self.rng.choice(&[2.0, 20.0, 60.0]).unwrap();
        let gateway = Gateway::new(name, now, requests_per_s);
        self.gateways.push(gateway);
    }

    fn run(mut self, is_calm: bool) -> Self {
        for now in (0..DAY).step_by(STEP as usize) {
            if !is_calm && self.rng.u32(..400) == 0 {
                self.disturb(now);
            }
            self.list(now);
            self.deliver(now);
            for number in 0..self.gateways.len() {
                self.send(number, now);
            }
        }
        self
    }

    fn disturb(&mut self, now: u64) {
        let number = self.rng.usize(..self.gateways.len());
        let until = now + self.rng.u64(500..8000);
        let gateway = &mut self.gateways[number];
        gateway.disturbed = gateway.disturbed.max(until);
        match self.rng.u8(..5) {
            0 => gateway.frozen_until = gateway.frozen_until.max(until),
            1 => gateway.cut_until = gateway.cut_until.max(until),
            2 => {
                // A process that is killed stays listed; its VM starts another one.
                self.gateways.remove(number);
                self.start(now);
            }
            3 => {
                let gone = self.gateways.remove(number);
                self.listed.remove(&gone.name);
                self.start(now);
            }
            _ => self.store_down_until = now + self.rng.u64(1000..25_000),
        }
    }

    /// Gateways renew their entries and read those of the others.
    fn list(&mut self, now: u64) {
        let is_down = now < self.store_down_until;
        self.listed.retain(|_, until| now < *until);
        for gateway in &mut self.gateways {
            if now < gateway.next_list || !gateway.answers(now) || is_down {
                continue;
            }
            let interval = match now - gateway.started {
                0..700 => 700,
                700..3000 => 1500,
                _ => LIST_INTERVAL,
            };
            gateway.next_list = now + interval;
            self.listed.insert(gateway.name.clone(), now + LEASE_TTL);
            let others = self.listed.keys().filter(|name| **name != gateway.name);
            gateway.peers = others.cloned().collect();
            let count = gateway.peers.len() + 1;
            let clock = gateway.clock(now);
            gateway.routers.record(count, clock);
        }
    }

    fn deliver(&mut self, now: u64) {
        let (due, later) = std::mem::take(&mut self.replies)
            .into_iter()
            .partition(|reply| reply.at <= now);
        self.replies = later;
        let due: Vec<Reply> = due;
        for reply in due {
            let Some(to) = self.gateways.iter_mut().find(|it| it.name == reply.to) else {
                continue;
            };
            let grant = reply.grant.filter(|_| to.answers(now));
            if grant.is_none() {
                to.unresponsive.insert(reply.from, now + UNRESPONSIVE_TIME);
            }
            let refused = Grant {
                permits: 0,
                retry_after: RETRY_DELAY,
            };
            let clock = to.clock(now);
            to.permits
                .record_grant(SERVER, grant.unwrap_or(refused), clock);
        }
        let limit = self.limit;
        let (due, later) = std::mem::take(&mut self.answers)
            .into_iter()
            .partition(|(at, _)| *at <= now);
        self.answers = later;
        let due: Vec<(u64, String)> = due;
        for (_, name) in due {
            let to = self.gateways.iter_mut().find(|it| it.name == name);
            if let Some(to) = to.filter(|to| to.answers(now)) {
                let clock = to.clock(now);
                to.limits.record(SERVER, Some(limit), clock);
                to.told.get_or_insert(now);
            }
        }
    }

    fn issue(&mut self, number: usize, wanted: u32, now: u64) -> Grant {
        let gateway = &mut self.gateways[number];
        let clock = gateway.clock(now);
        let fleet = permit_issuer::Fleet {
            peers: gateway.peers.iter().map(String::as_str),
            routers: gateway.routers,
        };
        let share = match self.fault {
            Fault::OwnLimit => 1.0,
            Fault::AloneTakesAll if gateway.peers.is_empty() => 1.0,
            _ => permit_issuer::share(SERVER, &gateway.name, fleet),
        };
        match share > 0.0 {
            true => gateway
                .issuer
                .issue(SERVER, self.limit * share, wanted, clock),
            false => Grant {
                permits: 0,
                retry_after: RETRY_DELAY,
            },
        }
    }

    /// Requests of a gateway's callers that would go to the server.
    fn send(&mut self, number: usize, now: u64) {
        let gateway = &self.gateways[number];
        if !gateway.runs(now) {
            return;
        }
        let mean = gateway.requests_per_s * STEP as f64 / 1000.0;
        let mut requests = mean as usize + usize::from(self.rng.f64() < mean.fract());
        while requests > 0 {
            requests -= 1;
            let gateway = &mut self.gateways[number];
            let clock = gateway.clock(now);
            if gateway.limits.limit(SERVER).is_none() {
                self.arrive(number, now);
                continue;
            }
            if gateway.permits.opens_at(SERVER, clock).is_some() {
                return;
            }
            match gateway.permits.take(SERVER, clock) {
                Permit::Taken => self.arrive(number, now),
                Permit::Ask(wanted) => self.ask(number, wanted, now),
            }
        }
    }

    fn ask(&mut self, number: usize, wanted: u32, now: u64) {
        let gateway = &self.gateways[number];
        let responsive = gateway.peers.iter().map(String::as_str);
        let responsive = responsive.filter(|peer| {
            let until = gateway.unresponsive.get(*peer);
            until.is_none_or(|until| now >= *until)
        });
        let issuer = match self.fault {
            Fault::OwnLimit => None,
            _ => permit_issuer::issuer(SERVER, &gateway.name, responsive),
        };
        let (to, from) = (gateway.name.clone(), issuer.map(str::to_owned));
        let Some(from) = from else {
            let grant = self.issue(number, wanted, now);
            let gateway = &mut self.gateways[number];
            let clock = gateway.clock(now);
            gateway.permits.record_grant(SERVER, grant, clock);
            if gateway.permits.take_held(SERVER, clock) {
                self.arrive(number, now);
            }
            return;
        };
        let can_call = now >= gateway.cut_until;
        let asked = self.gateways.iter().position(|it| it.name == from);
        let asked = asked.filter(|asked| can_call && self.gateways[*asked].answers(now));
        let grant = asked.map(|asked| self.issue(asked, wanted, now));
        let took = match grant {
            Some(_) => self.rng.u64(1..10),
            None => CALL_TIMEOUT,
        };
        self.replies.push(Reply {
            to,
            at: now + took,
            grant,
            from,
        });
    }

    fn arrive(&mut self, number: usize, now: u64) {
        let gateway = &self.gateways[number];
        let is_calm = now >= gateway.disturbed + SETTLE_TIME;
        let is_told = gateway.told.is_some_and(|told| now >= told + TOLD_TIME);
        self.arrivals += 1;
        if is_calm && is_told && now >= SETTLE_TIME {
            self.counted.push(now);
        }
        let at = now + self.rng.u64(20..600);
        self.answers.push((at, gateway.name.clone()));
    }

    /// The most requests that count in one window.
    fn most_in_window(&self) -> usize {
        let within = |first: &u64| {
            let from = self.counted.partition_point(|at| at < first);
            self.counted.partition_point(|at| *at < first + WINDOW) - from
        };
        self.counted.iter().map(within).max().unwrap_or(0)
    }
}

fn play(seed: u64, fault: Fault) -> Result<(), String> {
    let world = World::new(seed, fault).run(false);
    let most = world.most_in_window();
    let allowed = (1.5 * world.limit * WINDOW as f64 / 1000.0) as usize + 5;
    let (count, limit, arrivals) = (world.gateways.len(), world.limit, world.arrivals);
    let story = format!(
        "seed {seed}: {most} in a window, {allowed} allowed, {count} gateways, limit {limit}, \
         {arrivals} arrivals"
    );
    println!("{story}");
    match most > allowed {
        true => Err(story),
        false => Ok(()),
    }
}

#[test]
fn a_limit_is_kept_by_gateways_that_come_and_go() {
    common::seeds::play("PERMITS", "0..60", |seed| play(seed, Fault::None));
}

#[test]
fn the_world_detects_each_fault() {
    for fault in [Fault::OwnLimit, Fault::AloneTakesAll] {
        let found = (0..200).any(|seed| play(seed, fault).is_err());
        assert!(found, "{fault:?}");
    }
}

/// Guards against a limit that is kept because most of what the server takes is lost.
#[test]
fn most_of_a_limit_is_used_when_callers_ask_for_more() {
    for seed in 0..60 {
        let mut world = World::new(seed, Fault::None);
        for gateway in &mut world.gateways {
            gateway.requests_per_s = gateway.requests_per_s.max(10.0);
        }
        let wanted: f64 = world.gateways.iter().map(|it| it.requests_per_s).sum();
        if wanted < 2.0 * world.limit {
            continue;
        }
        let world = world.run(true);
        let taken = world.limit * DAY as f64 / 1000.0;
        let (used, count) = (world.arrivals as f64, world.gateways.len());
        println!("seed {seed}: {used} of {taken}, {count} gateways");
        assert!(used >= taken / 2.0, "seed {seed}: {used} of {taken}");
    }
}
