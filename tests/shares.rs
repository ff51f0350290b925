//! Shares of budgets against random orders of grants, gifts, losses and spending.

use std::time::Duration;

use fulmarproxy::{
    coordination::{retry_window, share},
    state::share_ledger::{Holding, ShareLedger},
};

const PREPAID: u64 = 100_000;
const ROUTERS: usize = 4;

/// One router, as far as its tokens go.
#[derive(Clone, Default)]
struct Router {
    share: share::Share,
    running: Vec<u64>,
    incarnation: u64,
}

#[derive(Clone, Copy, PartialEq)]
enum Wrong {
    Nothing,
    /// A gift whose answer is lost stays with the giver too.
    KeepsGifts,
    /// A holder's entry counts what others gave it back to the ledger only once it is spent.
    ForgetsGiven,
}

struct World {
    ledger: ShareLedger,
    routers: Vec<Router>,
    spent: u64,
    wrong: Wrong,
}

impl World {
    fn new(wrong: Wrong) -> Self {
        Self {
            ledger: ShareLedger::default(),
            routers: vec![Router::default(); ROUTERS],
            spent: 0,
            wrong,
        }
    }

    fn fill(&mut self, at: usize, needed: u64, answered: bool, now: Duration) {
        let key = format!("{at}/{}", self.routers[at].incarnation);
        let router = &mut self.routers[at];
        let holding = Holding {
            granted: router.share.granted(),
            spent: router.share.spent(),
        };
        self.ledger.holders.insert(key.clone(), holding);
        let free = PREPAID - self.ledger.granted().min(PREPAID);
        let granted = router.share.refill_size(PREPAID, free, needed, now);
        self.ledger.holders.get_mut(&key).unwrap().granted += granted as i64;
        if answered {
            router.share.grant(granted);
        }
    }

    fn draw(&mut self, from: usize, to: usize, needed: u64, answered: bool, now: Duration) {
        let mut giver = self.routers[from].share.clone();
        let given = giver.give(needed, needed, now);
        if answered || self.wrong != Wrong::KeepsGifts {
            self.routers[from].share = giver;
        }
        if answered || self.wrong == Wrong::KeepsGifts {
            self.routers[to].share.receive(given);
        }
    }

    fn step(&mut self, rng: &mut fastrand::Rng, now: Duration) {
        let at = rng.usize(..ROUTERS);
        let other = rng.usize(..ROUTERS);
        let tokens = rng.u64(1..3000);
        let answered = rng.u8(..4) > 0;
        match rng.u8(..12) {
            0..3 => self.fill(at, tokens, answered, now),
            3..6 if at != other => self.draw(other, at, tokens, answered, now),
            6..9 if self.routers[at].share.reserve(tokens, now) => {
                self.routers[at].running.push(tokens);
            }
            9 | 10 => {
                if let Some(reserved) = self.routers[at].running.pop() {
                    let spent = rng.u64(..=reserved);
                    self.routers[at].share.settle(reserved, spent);
                    self.spent += spent;
                }
            }
            11 if rng.u8(..8) == 0 => self.restart(at, answered),
            _ => (),
        }
    }

    /// A process ends: by itself, with its tokens given back, or killed.
    fn restart(&mut self, at: usize, gracefully: bool) {
        let router = &mut self.routers[at];
        let key = format!("{at}/{}", router.incarnation);
        // What runs at a kill may have been spent in full.
        for reserved in std::mem::take(&mut router.running) {
            router.share.settle(reserved, reserved);
            self.spent += reserved;
        }
        if gracefully {
            router.share.release();
            let granted = match self.wrong {
                Wrong::ForgetsGiven => router.share.granted().min(router.share.spent() as i64),
                _ => router.share.granted(),
            };
            self.ledger.close(&key, granted);
            // The answer was lost, and the closing is tried again.
            assert!(!self.ledger.close(&key, granted));
        }
        router.share = share::Share::default();
        router.incarnation += 1;
    }
}

fn overspent(seed: u64, wrong: Wrong) -> bool {
    let mut rng = fastrand::Rng::with_seed(seed);
    let mut world = World::new(wrong);
    for step in 0..2000 {
        world.step(&mut rng, Duration::from_millis(step * 5));
        if world.spent > PREPAID {
            return true;
        }
    }
    false
}

#[test]
fn no_order_of_events_overspends() {
    for seed in 0..500 {
        assert!(!overspent(seed, Wrong::Nothing), "seed {seed}");
    }
}

#[test]
fn the_check_finds_wrong_rules() {
    for wrong in [Wrong::KeepsGifts, Wrong::ForgetsGiven] {
        assert!((0..500).any(|seed| overspent(seed, wrong)));
    }
}

#[test]
fn a_budget_that_runs_out_strands_little() {
    let mut share = share::Share::default();
    let mut free = PREPAID;
    let mut now = Duration::ZERO;
    let mut writes = 0;
    // One request of 500 tokens each 50 ms: the budget lasts ten seconds.
    loop {
        now += Duration::from_millis(50);
        if !share.reserve(500, now) {
            let granted = share.refill_size(PREPAID, free, 500, now);
            free -= granted;
            share.grant(granted);
            writes += 1;
            if !share.reserve(500, now) {
                break;
            }
        }
        share.settle(500, 500);
    }
    assert_eq!(share.spent(), PREPAID);
    assert!(writes <= 40, "{writes} writes for 200 requests");
}

#[test]
fn the_repeats_of_all_routers_stay_within_the_allowance() {
    let allowance = retry_window::Allowance {
        window: Duration::from_secs(10),
        per_request: 0.2,
        slack: 50.0,
    };
    let service = "plain".into();
    let mut routers: Vec<retry_window::RetryWindows> = (0..5).map(|_| Default::default()).collect();
    let mut rng = fastrand::Rng::with_seed(7);
    let mut requests: Vec<Duration> = Vec::new();
    let mut taken: Vec<Duration> = Vec::new();
    for millis in 0..30_000 {
        let now = Duration::from_millis(millis);
        let router = &mut routers[rng.usize(..5)];
        if millis % 10 == 0 {
            router.count_request(&service, now);
            requests.push(now);
        }
        if router.take_retry(&service, allowance, 5, now) {
            taken.push(now);
        }
        let since = now.saturating_sub(allowance.window);
        let count = |times: &[Duration]| times.iter().filter(|time| **time > since).count() as f64;
        let most = count(&requests) * allowance.per_request + allowance.slack;
        assert!(count(&taken) <= most, "at {now:?}");
    }
    assert!(taken.len() > 300, "repeats are made at all");
}

/// A workspace that asks for its usual: a day of 50 s at 1/1.3 of its budget.
struct Day {
    home: share::Share,
    granted: u64,
    refused: u32,
}

const BUDGET: u64 = 1_000_000;
const TOKENS: u64 = 600;
const EVERY: Duration = Duration::from_millis(39);
const LOOK_EVERY: Duration = Duration::from_millis(500);

impl Day {
    /// Plays up to `until`; the store is away for 7 s from `outage` on.
    fn play(until: Duration, outage: Duration) -> Self {
        let mut day = Self {
            home: share::Share::default(),
            granted: 0,
            refused: 0,
        };
        let (mut now, mut look) = (Duration::ZERO, Duration::ZERO);
        while now < until {
            let is_away = now >= outage && now < outage + share::RESERVE_TIME;
            if now >= look && !is_away {
                day.fill(0, now);
                look += LOOK_EVERY;
            }
            if day.home.available() < TOKENS && !is_away {
                day.fill(TOKENS, now);
            }
            match day.home.reserve(TOKENS, now) {
                true => day.home.settle(TOKENS, TOKENS),
                false => day.refused += 1,
            }
            now += EVERY;
        }
        day
    }

    fn fill(&mut self, needed: u64, now: Duration) {
        let free = share::grantable(BUDGET) - self.granted;
        let tokens = self.home.refill_size(BUDGET, free, needed, now);
        self.granted += tokens;
        self.home.grant(tokens);
    }
}

const NEVER: Duration = Duration::from_secs(1000);

#[test]
fn a_reserve_lasts_most_of_an_outage_early_in_the_day() {
    let seconds = Duration::from_secs;
    let day = Day::play(seconds(25), seconds(11));
    let during = (share::RESERVE_TIME.as_millis() / EVERY.as_millis()) as u32;
    assert!(
        day.refused * 2 < during,
        "{} of {during} were refused",
        day.refused
    );
}

/// The platform charges nothing for up to 3 in 100 of a budget that are out of reach.
#[test]
fn a_holder_that_is_killed_late_takes_little_with_it() {
    for second in 43..60 {
        let day = Day::play(Duration::from_secs(second), NEVER);
        let lost = day.home.available();
        assert!(lost * 100 <= BUDGET * 3, "{lost} lost after {second} s");
        assert_eq!(day.refused, 0);
    }
}
