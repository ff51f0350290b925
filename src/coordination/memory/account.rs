//! Account of the memory that requests and responses hold in a process.
//!
//! Every holding is charged for the capacity of its buffer. When the account runs short, the client that has
//! kept the most bytes waiting for the longest time is ended first.

use std::{collections::BTreeMap, time::Duration};

/// Size up to which a holding may use the whole account, in bytes. Larger ones leave a part of it free, so
/// that ordinary requests are still served beside large ones.
pub const SMALL_BYTES: usize = 64 * 1024;

/// Part of the account that only small holdings may use: a fourth.
const SMALL_SHARE: usize = 4;

/// Time added to that since a client's last byte. Among clients that send, the largest is ended first.
const IDLE_FLOOR: Duration = Duration::from_millis(50);

/// What a holding contains.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// Head or body of a request.
    Request,
    /// Response or event of a server.
    Response,
}

impl Kind {
    /// All kinds.
    pub const ALL: [Self; 2] = [Self::Request, Self::Response];

    /// Name in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::Request => "request",
            Self::Response => "response",
        }
    }
}

/// Whom a holding waits for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// The caller, who sends its request or takes its response. Such a holding may be ended.
    Caller,
    /// A server or this process.
    Server,
}

#[derive(Debug)]
struct Holding {
    kind: Kind,
    phase: Phase,
    bytes: usize,
    /// Time at which the client last sent or took bytes.
    progressed: Duration,
    /// Whether the last charge was refused. The client cannot make progress then.
    is_paused: bool,
    is_ended: bool,
}

/// Memory of a process that requests and responses hold.
#[derive(Debug)]
pub struct Account {
    limit: usize,
    total: usize,
    holdings: BTreeMap<u64, Holding>,
    next_id: u64,
}

impl Account {
    /// Creates an account of `limit` bytes.
    pub fn new(limit: usize) -> Self {
        Self {
            limit,
            total: 0,
            holdings: BTreeMap::new(),
            next_id: 0,
        }
    }

    /// Changes the limit. What is held stays held.
    pub fn set_limit(&mut self, limit: usize) {
        self.limit = limit;
    }

    /// Limit in bytes.
    pub fn limit(&self) -> usize {
        self.limit
    }

    /// Largest holding that is granted when nothing else is held, in bytes.
    ///
    /// ```
    /// use fulmarproxy::coordination::memory::account::Account;
    /// assert_eq!(Account::new(1 << 20).largest(), 768 << 10);
    /// ```
    pub fn largest(&self) -> usize {
        self.limit - self.limit / SMALL_SHARE
    }

    /// Bytes held in total.
    pub fn total(&self) -> usize {
        self.total
    }

    /// Bytes held of one kind. Takes time in proportion to the number of holdings.
    pub fn held(&self, kind: Kind) -> usize {
        let of_kind = self.holdings.values().filter(|it| it.kind == kind);
        of_kind.map(|it| it.bytes).sum()
    }

    /// Opens an empty holding and returns its id.
    pub fn open(&mut self, kind: Kind, phase: Phase, now: Duration) -> u64 {
        let id = self.next_id;
        self.next_id += 1;
        let holding = Holding {
            kind,
            phase,
            bytes: 0,
            progressed: now,
            is_paused: false,
            is_ended: false,
        };
        self.holdings.insert(id, holding);
        id
    }

    /// Changes a holding to `bytes`; returns false when the account is short of them. The holding then stays as it is,
    /// and its client does not count as slow until a charge succeeds.
    ///
    /// ```
    /// use std::time::Duration;
    /// use fulmarproxy::coordination::memory::account::{Account, Kind, Phase};
    /// let mut account = Account::new(1 << 20);
    /// let large = account.open(Kind::Request, Phase::Caller, Duration::ZERO);
    /// assert!(!account.charge(large, 900 << 10, Duration::ZERO), "a fourth is for small ones");
    /// assert!(account.charge(large, 700 << 10, Duration::ZERO));
    /// let small = account.open(Kind::Request, Phase::Caller, Duration::ZERO);
    /// assert!(account.charge(small, 60 << 10, Duration::ZERO));
    /// account.close(large);
    /// assert_eq!(account.total(), 60 << 10);
    /// ```
    pub fn charge(&mut self, id: u64, bytes: usize, now: Duration) -> bool {
        let Some(holding) = self.holdings.get_mut(&id) else {
            return false;
        };
        if bytes > holding.bytes {
            let reserved = match bytes <= SMALL_BYTES {
                true => 0,
                false => self.limit / SMALL_SHARE,
            };
            let others = self.total - holding.bytes;
            if others.saturating_add(bytes) > self.limit - reserved {
                holding.is_paused = true;
                return false;
            }
        }
        if std::mem::take(&mut holding.is_paused) {
            holding.progressed = now;
        }
        self.total = self.total - holding.bytes + bytes;
        holding.bytes = bytes;
        true
    }

    /// Records that the client of a holding sent or took bytes.
    pub fn record_progress(&mut self, id: u64, now: Duration) {
        if let Some(holding) = self.holdings.get_mut(&id) {
            holding.progressed = now;
        }
    }

    /// Records whom a holding waits for from now on. One that was chosen to be ended, and was complete before that
    /// happened, is not ended.
    pub fn set_phase(&mut self, id: u64, phase: Phase, now: Duration) {
        if let Some(holding) = self.holdings.get_mut(&id) {
            holding.is_ended = false;
            holding.phase = phase;
            holding.progressed = now;
        }
    }

    /// Whether a holding was chosen to be ended.
    pub fn is_ended(&self, id: u64) -> bool {
        self.holdings.get(&id).is_some_and(|it| it.is_ended)
    }

    /// Closes a holding and releases its bytes.
    pub fn close(&mut self, id: u64) {
        if let Some(holding) = self.holdings.remove(&id) {
            self.total -= holding.bytes;
        }
    }

    /// Chooses the holding to end when the account is short: the one with the largest product of its bytes and
    /// the time since its client last sent or took some. Returns its id, kind and bytes.
    ///
    /// `None` when no holding waits for its caller, or when one that was chosen before is not closed yet.
    ///
    /// ```
    /// use std::time::Duration;
    /// use fulmarproxy::coordination::memory::account::{Account, Kind, Phase};
    /// let mut account = Account::new(1 << 20);
    /// let [slow, quick, running] = [0, 900, 0].map(|millis| {
    ///     account.open(Kind::Request, Phase::Caller, Duration::from_millis(millis))
    /// });
    /// account.set_phase(running, Phase::Server, Duration::ZERO);
    /// for id in [slow, quick, running] {
    ///     assert!(account.charge(id, 100_000, Duration::ZERO));
    /// }
    /// let now = Duration::from_secs(1);
    /// assert_eq!(account.end_one(now), Some((slow, Kind::Request, 100_000)));
    /// assert_eq!(account.end_one(now), None, "its bytes are about to be released");
    /// account.close(slow);
    /// assert_eq!(account.end_one(now), Some((quick, Kind::Request, 100_000)));
    /// ```
    pub fn end_one(&mut self, now: Duration) -> Option<(u64, Kind, usize)> {
        if self.holdings.values().any(|it| it.is_ended) {
            return None;
        }
        let waiting = self.holdings.iter_mut();
        let waiting = waiting.filter(|(_, it)| it.phase == Phase::Caller && it.bytes > 0);
        let (id, chosen) = waiting.max_by_key(|(_, it)| {
            let idle = match it.is_paused {
                true => IDLE_FLOOR,
                false => now.saturating_sub(it.progressed) + IDLE_FLOOR,
            };
            it.bytes as u128 * idle.as_micros()
        })?;
        chosen.is_ended = true;
        Some((*id, chosen.kind, chosen.bytes))
    }
}

#[cfg(test)]
mod tests {
    use std::time::Duration;

    use quickcheck::quickcheck;

    use super::{Account, Kind, Phase};

    const LIMIT: usize = 1 << 20;

    quickcheck! {
        /// Guards against bytes that are counted twice, never released, or admitted beyond the limit, in any
        /// order of charges, ends and dropped tasks.
        fn the_account_balances(steps: Vec<(u8, u8, u32)>) -> bool {
            let mut account = Account::new(LIMIT);
            let mut open: Vec<(u64, usize)> = Vec::new();
            let mut balances = true;
            for (at, (action, pick, bytes)) in steps.into_iter().enumerate() {
                let now = Duration::from_millis(at as u64 * 10);
                let picked = usize::from(pick) % open.len().max(1);
                match action % 6 {
                    0 => open.push((account.open(Kind::Request, Phase::Caller, now), 0)),
                    1 if !open.is_empty() => account.close(open.swap_remove(picked).0),
                    2 if !open.is_empty() => account.set_phase(open[picked].0, Phase::Server, now),
                    3 => {
                        let ended = account.end_one(now);
                        let held = ended.map(|(id, _, bytes)| open.contains(&(id, bytes)));
                        balances &= held.unwrap_or(true);
                    }
                    _ if !open.is_empty() => {
                        let bytes = bytes as usize % (LIMIT + LIMIT / 8);
                        if account.charge(open[picked].0, bytes, now) {
                            open[picked].1 = bytes;
                        }
                    }
                    _ => (),
                }
                let held: usize = open.iter().map(|(_, bytes)| bytes).sum();
                balances &= account.total() == held && held <= LIMIT;
                balances &= account.held(Kind::Request) == held;
            }
            for (id, _) in open {
                account.close(id);
            }
            balances && account.total() == 0
        }
    }

    /// Guards against a crowd that stalls with its bodies and starves those that send: each charge succeeds
    /// after as many ends as it needs, and no small body that sends is ended while a stalled one is left.
    #[test]
    fn stalled_bodies_give_way_to_ordinary_ones() {
        let mut account = Account::new(LIMIT);
        let stalled: Vec<_> = (0..40)
            .map(|_| {
                let id = account.open(Kind::Request, Phase::Caller, Duration::ZERO);
                account.charge(id, LIMIT / 40, Duration::ZERO);
                id
            })
            .collect();
        for round in 1..=100 {
            let now = Duration::from_millis(round * 20);
            let ordinary = account.open(Kind::Request, Phase::Caller, now);
            while !account.charge(ordinary, 8 * 1024, now) {
                let (ended, ..) = account.end_one(now).unwrap();
                assert!(stalled.contains(&ended), "an ordinary body was ended");
                account.close(ended);
            }
            account.close(ordinary);
        }
    }
}
