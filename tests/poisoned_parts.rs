//! Random days on which requests with one part in their prompts, or one request, crash servers, with
//! many gateways on a virtual clock.
//!
//! `POISONED_PARTS=100..200 cargo test --test poisoned_parts` plays other seeds, and so does
//! `POISONED_REQUESTS`.

mod common;

use std::{cmp::Reverse, collections::BinaryHeap, time::Duration};

use fulmarproxy::coordination::{
    rendezvous, suspect_keys::Keys, suspect_turns::Turn, suspects::Suspects,
};

/// Crashes after which the platform counts further runs, of requests with a part and of one request,
/// and how many of these it allows when sent later than this after the last of them.
const COUNTED_CRASHES: usize = 5;
const COUNTED_CRASHES_OF_REQUEST: usize = 3;
const SETTLE_TIME: u64 = 3000;
const ALLOWED_RUNS: usize = 3;

/// Length of a day, in milliseconds as all times here.
const DAY: u64 = 60_000;
const MODEL_SERVERS: usize = 9;
const RESTART_TIME: u64 = 3000;
const POISON: u64 = 999;

/// Time for which a request waits for another one with the same key, and between its questions.
const TURN_WAIT: u64 = 750;
const TURN_CHECK: u64 = 5;

/// What differs between days.
#[derive(Debug)]
struct Day {
    gateways: usize,
    /// Milliseconds between requests, on average.
    sound_gap: u64,
    poison_gap: u64,
    /// Requests with the poisoned part that come at a time.
    burst: u64,
    /// Place of the poisoned part among the shared ones.
    place: usize,
    /// Numbers of different parts in the first and second place.
    firsts: u64,
    seconds: u64,
    /// Delay until other gateways know what one knows.
    tell_delay: u64,
    /// Milliseconds between failures of several servers at once, on average; 0 for none.
    failure_gap: u64,
    servers: usize,
    /// Servers to which one arrival of a request may be sent.
    max_runs: usize,
    /// Whether one request is poisoned instead of a part, among plain requests without parts.
    is_request: bool,
}

impl Day {
    fn random(rng: &mut fastrand::Rng) -> Self {
        Self {
            gateways: *rng.choice(&[3, 5, 12]).unwrap(),
            sound_gap: rng.u64(15..60),
            poison_gap: rng.u64(100..2500),
            burst: *rng.choice(&[1, 1, 1, 4]).unwrap(),
            place: rng.usize(..3),
            firsts: rng.u64(1..8),
            seconds: rng.u64(10..200),
            tell_delay: rng.u64(5..150),
            failure_gap: *rng.choice(&[0, 4000, 12_000]).unwrap(),
            servers: MODEL_SERVERS,
            max_runs: 1,
            is_request: false,
        }
    }

    /// A day of plain requests, many of which are alike, at few servers.
    fn random_of_request(rng: &mut fastrand::Rng) -> Self {
        Self {
            poison_gap: rng.u64(30..2500),
            burst: *rng.choice(&[1, 1, 2, 4]).unwrap(),
            servers: rng.usize(3..7),
            max_runs: rng.usize(1..4),
            is_request: true,
            ..Self::random(rng)
        }
    }

    fn counted_crashes(&self) -> usize {
        match self.is_request {
            true => COUNTED_CRASHES_OF_REQUEST,
            false => COUNTED_CRASHES,
        }
    }
}

/// A request that came to a gateway.
#[derive(Clone, Debug)]
struct Arrival {
    keys: Keys,
    is_poisoned: bool,
    gateway: usize,
    /// Servers to which it was sent.
    tried: Vec<usize>,
    /// When it came.
    at: u64,
}

#[derive(Clone, Debug)]
struct Request {
    arrival: Arrival,
    server: usize,
    isolation: Option<u64>,
    is_suspect: bool,
    sent: u64,
    number: u64,
}

#[derive(Debug)]
enum Event {
    Arrival {
        is_poisoned: bool,
    },
    /// A request has run to its end, or crashes its server.
    End(u64),
    /// Some servers end for another reason.
    Failure,
    Noticed {
        request: Request,
    },
    /// A request that waits for another one asks again.
    Waited(Arrival),
    Tell {
        from: usize,
        to: usize,
    },
}

struct World {
    day: Day,
    rng: fastrand::Rng,
    now: u64,
    queue: BinaryHeap<Reverse<(u64, u64)>>,
    events: std::collections::HashMap<u64, Event>,
    scheduled: u64,
    gateways: Vec<Suspects>,
    told: Vec<Vec<u64>>,
    telling: Vec<Vec<bool>>,
    servers_up_at: Vec<u64>,
    running: Vec<Request>,
    poison_crashes: Vec<u64>,
    poison_sent: Vec<u64>,
    /// Times of sound requests, their first parts, and whether they were sent.
    sound: Vec<(u64, u64, bool)>,
}

fn time(millis: u64) -> Duration {
    // Gateways have been running for a while.
    Duration::from_millis(1_000_000 + millis)
}

impl World {
    fn new(seed: u64, day: impl Fn(&mut fastrand::Rng) -> Day) -> Self {
        let mut rng = fastrand::Rng::with_seed(seed);
        let day = day(&mut rng);
        let (count, servers) = (day.gateways, day.servers);
        let mut world = Self {
            day,
            rng,
            now: 0,
            queue: BinaryHeap::new(),
            events: Default::default(),
            scheduled: 0,
            gateways: (0..count).map(|_| Suspects::default()).collect(),
            told: vec![vec![0; count]; count],
            telling: vec![vec![false; count]; count],
            servers_up_at: vec![0; servers],
            running: Vec::new(),
            poison_crashes: Vec::new(),
            poison_sent: Vec::new(),
            sound: Vec::new(),
        };
        world.schedule(0, Event::Arrival { is_poisoned: false });
        world.schedule(10_000, Event::Arrival { is_poisoned: true });
        if world.day.failure_gap > 0 {
            world.schedule(0, Event::Failure);
        }
        world
    }

    fn schedule(&mut self, after: u64, event: Event) {
        self.scheduled += 1;
        self.queue.push(Reverse((self.now + after, self.scheduled)));
        self.events.insert(self.scheduled, event);
    }

    /// A random time with this mean.
    fn gap(&mut self, mean: u64) -> u64 {
        (-(1.0 - self.rng.f64()).ln() * mean as f64) as u64
    }

    fn run(mut self) -> Self {
        while let Some(Reverse((at, number))) = self.queue.pop() {
            if at > DAY {
                break;
            }
            self.now = at;
            let event = self.events.remove(&number).unwrap();
            self.handle(event);
        }
        self
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrival { is_poisoned } => {
                let (mean, count) = match is_poisoned {
                    true => (self.day.poison_gap, self.day.burst),
                    false => (self.day.sound_gap, 1),
                };
                (0..count).for_each(|_| self.arrive(is_poisoned));
                let gap = self.gap(mean * count);
                self.schedule(gap, Event::Arrival { is_poisoned });
            }
            Event::End(number) => self.end(number),
            Event::Failure => {
                for _ in 0..self.rng.usize(1..5) {
                    let server = self.rng.usize(..self.day.servers);
                    self.crash(server);
                }
                let gap = self.gap(self.day.failure_gap);
                self.schedule(gap, Event::Failure);
            }
            Event::Noticed { request } => {
                let (sent, now) = (time(request.sent), time(self.now));
                let arrival = request.arrival.clone();
                let known = &mut self.gateways[arrival.gateway];
                known.record_crash(&arrival.keys, request.server as u64, sent, now);
                self.end_turn(&request);
                self.tell(arrival.gateway);
                if arrival.tried.len() < self.day.max_runs {
                    self.send(arrival);
                }
            }
            Event::Waited(arrival) => self.send(arrival),
            Event::Tell { from, to } => {
                self.telling[from][to] = false;
                let after = self.told[from][to];
                let (reports, covered) =
                    self.gateways[from].changes_after(after, 100, time(self.now));
                self.told[from][to] = covered;
                for report in reports {
                    self.gateways[to].merge(&report, time(self.now));
                }
                if covered < self.gateways[from].last_change() {
                    self.tell(from);
                }
            }
        }
    }

    fn tell(&mut self, from: usize) {
        for to in 0..self.day.gateways {
            let is_due = self.gateways[from].last_change() > self.told[from][to];
            if to != from && is_due && !self.telling[from][to] {
                self.telling[from][to] = true;
                let delay = self.rng.u64(1..=self.day.tell_delay);
                self.schedule(delay, Event::Tell { from, to });
            }
        }
    }

    fn arrive(&mut self, is_poisoned: bool) {
        let number = self.scheduled + 1;
        let first = self.rng.u64(..self.day.firsts);
        let mut parts = vec![first, 100 + self.rng.u64(..self.day.seconds)];
        if is_poisoned {
            parts.insert(self.day.place, POISON);
        }
        let keys = match self.day.is_request {
            // Some plain requests come once, and others again and again.
            true if is_poisoned => Keys::new("plain", [], POISON),
            true if first == 0 => Keys::new("plain", [], 1_000_000 + number),
            true => Keys::new("plain", [], first),
            false => Keys::new("model", parts, 1_000_000 + number),
        };
        let gateway = self.rng.usize(..self.day.gateways);
        let arrival = Arrival {
            keys,
            is_poisoned,
            gateway,
            tried: Vec::new(),
            at: self.now,
        };
        if !is_poisoned {
            let is_elsewhere = matches!(self.turn(&arrival), Turn::Elsewhere | Turn::Never);
            let is_refused = self.refuses(&arrival) || is_elsewhere;
            self.sound.push((self.now, first, !is_refused));
        }
        self.send(arrival);
    }

    fn refuses(&self, arrival: &Arrival) -> bool {
        let is_own = |key| key as usize % self.day.gateways == arrival.gateway;
        self.gateways[arrival.gateway].refuses(&arrival.keys, time(self.now), is_own)
    }

    fn turn(&self, arrival: &Arrival) -> Turn {
        let is_own = |key| key as usize % self.day.gateways == arrival.gateway;
        self.gateways[arrival.gateway].turn(&arrival.keys, time(self.now), is_own)
    }

    fn wait(&mut self, arrival: Arrival) {
        if self.now < arrival.at + TURN_WAIT {
            self.schedule(TURN_CHECK, Event::Waited(arrival));
        }
    }

    /// Sends a request to a server, unless it is refused or none is up.
    fn send(&mut self, mut arrival: Arrival) {
        let number = self.scheduled + 1;
        let now = time(self.now);
        if self.refuses(&arrival) {
            return;
        }
        match self.turn(&arrival) {
            Turn::Now => (),
            Turn::Later => return self.wait(arrival),
            Turn::Elsewhere | Turn::Never => return,
        }
        let known = &mut self.gateways[arrival.gateway];
        known.begin_trial(&arrival.keys, now);
        let isolation = known.isolation_key(&arrival.keys, now);
        let name = |server: usize| format!("i-{server}");
        let up = (0..self.day.servers).filter(|server| self.servers_up_at[*server] <= self.now);
        let up: Vec<usize> = up.collect();
        let untried = up.iter().copied();
        let untried = untried.filter(|server| !arrival.tried.contains(server));
        let untried: Vec<usize> = untried.collect();
        let apart = untried.iter().copied();
        let apart = apart.filter(|server| known.is_apart(&name(*server), isolation));
        let apart: Vec<usize> = apart.collect();
        if apart.is_empty() && known.runs_alone(&arrival.keys, now) {
            self.wait(arrival);
            return;
        }
        let choices = [apart, untried, up];
        let choices = choices.into_iter().find(|servers| !servers.is_empty());
        let Some(choices) = choices else { return };
        let chosen = match isolation {
            Some(key) => {
                let weight = |server: &usize| rendezvous::weight(&name(*server), key);
                choices.iter().copied().max_by_key(weight)
            }
            None => self.rng.choice(choices.iter().copied()),
        };
        let Some(server) = chosen else { return };
        let is_suspect = known.begin_turn(&arrival.keys, &name(server), now);
        if let Some(key) = isolation {
            known.begin_run(&name(server).into(), key);
        }
        if arrival.is_poisoned {
            self.poison_sent.push(self.now);
        }
        arrival.tried.push(server);
        let took = match arrival.is_poisoned {
            true => self.rng.u64(20..500),
            false => self.rng.u64(100..900),
        };
        self.running.push(Request {
            arrival,
            server,
            isolation,
            is_suspect,
            sent: self.now,
            number,
        });
        self.schedule(took, Event::End(number));
    }

    fn end(&mut self, number: u64) {
        let Some(at) = self.running.iter().position(|it| it.number == number) else {
            return;
        };
        if self.running[at].arrival.is_poisoned {
            let server = self.running[at].server;
            self.poison_crashes.push(self.now);
            self.crash(server);
            return;
        }
        let request = self.running.swap_remove(at);
        self.end_isolation(&request);
        self.end_turn(&request);
        let arrival = request.arrival;
        let known = &mut self.gateways[arrival.gateway];
        known.record_success(&arrival.keys, time(self.now));
        self.tell(arrival.gateway);
    }

    fn end_turn(&mut self, request: &Request) {
        if request.is_suspect {
            self.gateways[request.arrival.gateway].end_turn(&request.arrival.keys);
        }
    }

    fn end_isolation(&mut self, request: &Request) {
        if let Some(key) = request.isolation {
            let server = format!("i-{}", request.server);
            self.gateways[request.arrival.gateway].end_run(&server, key);
        }
    }

    fn crash(&mut self, server: usize) {
        self.servers_up_at[server] = self.now + RESTART_TIME;
        let (ended, running) = std::mem::take(&mut self.running)
            .into_iter()
            .partition(|request| request.server == server);
        self.running = running;
        let ended: Vec<Request> = ended;
        for request in ended {
            self.end_isolation(&request);
            let delay = self.rng.u64(1..40);
            self.schedule(delay, Event::Noticed { request });
        }
    }

    /// Poisoned requests that were sent when the platform counts them.
    fn late_runs(&self) -> usize {
        let Some(last) = self.poison_crashes.get(self.day.counted_crashes() - 1) else {
            return 0;
        };
        let sent = self.poison_sent.iter();
        sent.filter(|at| **at > last + SETTLE_TIME).count()
    }

    /// Sound requests with a first part that the poisoned ones have, and how many of them were sent,
    /// from the time at which the platform counts them.
    fn sound_requests(&self) -> (usize, usize) {
        let count = self.poison_crashes.len().min(self.day.counted_crashes());
        let from = self.poison_crashes[..count]
            .last()
            .map_or(DAY, |last| last + 2 * SETTLE_TIME);
        let counted = self.sound.iter().filter(|(at, ..)| *at >= from);
        let counted: Vec<_> = counted.collect();
        let sent = counted.iter().filter(|(_, _, is_sent)| *is_sent).count();
        (counted.len(), sent)
    }
}

fn play(seed: u64, day: impl Fn(&mut fastrand::Rng) -> Day) -> Result<(), String> {
    let world = World::new(seed, day).run();
    let (late, (sound, sent)) = (world.late_runs(), world.sound_requests());
    let crashes = world.poison_crashes.len();
    let story = format!(
        "seed {seed}: {crashes} crashes, {late} runs too late, {sent} of {sound} sound requests \
         sent; {:?}",
        world.day
    );
    println!("{story}");
    match late > ALLOWED_RUNS || 2 * sent < sound {
        true => Err(story),
        false => Ok(()),
    }
}

/// Guards against parts that go on to crash servers, and against refusing sound requests for them.
#[test]
fn poisoned_parts_are_stopped_and_sound_requests_are_served() {
    common::seeds::play("POISONED_PARTS", "0..40", |seed| play(seed, Day::random));
}

/// Guards against a request that ends all servers of a small service, and then all of them again.
#[test]
fn poisoned_requests_are_stopped_before_they_end_a_service_again() {
    common::seeds::play("POISONED_REQUESTS", "0..40", |seed| {
        play(seed, Day::random_of_request)
    });
}
