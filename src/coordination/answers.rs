//! Answers that an agent keeps, so that a caller can come back for the rest or for the whole.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use crate::state::name;

/// Time that a request runs on with nobody reading its answer; longer than it takes a router to
/// notice a silent connection.
pub const UNREAD_GRACE: Duration = Duration::from_secs(15);

/// Time for which a router asks for the rest of an answer.
pub const RESUME_TIMEOUT: Duration = Duration::from_secs(10);

/// The same for a request with an idempotency key, whose caller may come back to any router.
pub const KEYED_UNREAD_GRACE: Duration = Duration::from_secs(30);

/// Longest time that a finished answer with an idempotency key is kept.
pub const KEYED_RETENTION: Duration = Duration::from_secs(600);

/// Bytes that an answer may be ahead of the reader that is furthest.
pub const READ_AHEAD_BYTES: u64 = 256 << 10;

/// Bytes behind the furthest reader that stay readable for a resumed connection.
pub const RESUME_BYTES: u64 = 1 << 20;

/// Longest answer that is kept whole for repeats of its key, in bytes.
pub const KEYED_ANSWER_BYTES: u64 = 4 << 20;

/// An idempotency key within its workspace.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Key {
    /// Workspace of the caller.
    pub workspace: name::Name,
    /// Key that the caller gave.
    pub key: name::Name,
}

/// What to do with an arriving request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum BeginOutcome {
    /// Run it; its answer is being kept.
    Run,
    /// Send the answer that is kept under this request id.
    Join(name::Name),
    /// Refuse it: the key came with another body before.
    KeyReused,
    /// Refuse it: the memory for answers is full.
    MemoryFull,
}

/// What a reader finds at its offset.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Read<E> {
    /// The next bytes.
    Data(Vec<u8>),
    /// Nothing yet.
    Wait,
    /// The answer has ended, and this is how.
    End(E),
    /// The answer or this part of it is not kept.
    Gone,
}

#[derive(Debug)]
struct Kept<E> {
    key: Option<Key>,
    fingerprint: u64,
    base: u64,
    data: Vec<u8>,
    furthest: u64,
    readers: u32,
    unread_since: Duration,
    cancelled: bool,
    end: Option<E>,
    ended_at: Duration,
}

impl<E> Kept<E> {
    fn length(&self) -> u64 {
        self.base + self.data.len() as u64
    }

    fn is_abandoned(&self, now: Duration) -> bool {
        let grace = if self.key.is_some() {
            KEYED_UNREAD_GRACE
        } else {
            UNREAD_GRACE
        };
        let waited = now.saturating_sub(self.unread_since) >= grace;
        self.end.is_none() && self.readers == 0 && (self.cancelled || waited)
    }

    /// Drops bytes that no reader can ask for again.
    fn trim(&mut self) -> usize {
        if self.key.is_some() && self.length() <= KEYED_ANSWER_BYTES {
            return 0;
        }
        let from = self.furthest.saturating_sub(RESUME_BYTES);
        let dropped = from.saturating_sub(self.base) as usize;
        if dropped < self.data.len() / 2 {
            return 0;
        }
        self.data.drain(..dropped);
        self.base = from;
        dropped
    }
}

/// Answers by request id and by idempotency key, in bounded memory.
#[derive(Debug)]
pub struct Answers<E> {
    limit: usize,
    bytes: usize,
    kept: BTreeMap<name::Name, Kept<E>>,
    by_key: BTreeMap<Key, name::Name>,
    running: BTreeSet<name::Name>,
    /// Finished answers by the time of their end: without a key, and with one.
    ended: [BTreeSet<(Duration, name::Name)>; 2],
}

impl<E: Clone> Answers<E> {
    /// Keeps at most about `limit` bytes of answers.
    ///
    /// ```
    /// use std::time::Duration;
    /// use fulmarproxy::coordination::answers;
    /// let mut kept = answers::Answers::new(1 << 20);
    /// let begin = kept.begin(&"r1".into(), None, 1, Duration::ZERO);
    /// assert_eq!(begin, answers::BeginOutcome::Run);
    /// kept.append("r1", b"hi");
    /// kept.finish("r1", true, false, Duration::ZERO);
    /// assert_eq!(kept.read("r1", 0), answers::Read::Data(b"hi".to_vec()));
    /// assert_eq!(kept.read("r1", 2), answers::Read::End(true));
    /// ```
    pub fn new(limit: usize) -> Self {
        Self {
            limit,
            bytes: 0,
            kept: BTreeMap::new(),
            by_key: BTreeMap::new(),
            running: BTreeSet::new(),
            ended: Default::default(),
        }
    }

    /// Decides what to do with a request.
    pub fn begin(
        &mut self,
        id: &name::Name,
        key: Option<Key>,
        fingerprint: u64,
        now: Duration,
    ) -> BeginOutcome {
        let known = key.as_ref().and_then(|key| self.by_key.get(key)).cloned();
        if let Some(first) = known.filter(|first| self.kept.contains_key(first)) {
            return match self.kept[&first].fingerprint == fingerprint {
                true => BeginOutcome::Join(first),
                false => BeginOutcome::KeyReused,
            };
        }
        if self.kept.get(id).is_some_and(|kept| kept.end.is_none()) {
            return BeginOutcome::Join(id.clone());
        }
        self.remove(id);
        self.evict();
        if self.bytes >= self.limit {
            return BeginOutcome::MemoryFull;
        }
        if let Some(key) = &key {
            self.by_key.insert(key.clone(), id.clone());
        }
        let kept = Kept {
            key,
            fingerprint,
            base: 0,
            data: Vec::new(),
            furthest: 0,
            readers: 0,
            unread_since: now,
            cancelled: false,
            end: None,
            ended_at: Duration::ZERO,
        };
        self.kept.insert(id.clone(), kept);
        self.running.insert(id.clone());
        BeginOutcome::Run
    }

    /// Whether an answer is kept under a key.
    pub fn contains_key(&self, key: &Key) -> bool {
        self.by_key.contains_key(key)
    }

    /// Adds bytes to a running answer.
    pub fn append(&mut self, id: &str, data: &[u8]) {
        let Some(kept) = self.kept.get_mut(id) else {
            return;
        };
        kept.data.extend_from_slice(data);
        self.bytes += data.len();
        self.bytes -= kept.trim();
        self.evict();
    }

    /// Whether more bytes may be read from the backend server now.
    pub fn has_room(&self, id: &str) -> bool {
        let kept = self.kept.get(id);
        kept.is_none_or(|kept| kept.length() < kept.furthest + READ_AHEAD_BYTES)
    }

    /// Ends an answer; `repeat` tells whether its key now stands for this answer.
    pub fn finish(&mut self, id: &str, end: E, repeat: bool, now: Duration) {
        let Some((id, kept)) = self.kept.get_key_value(id) else {
            return;
        };
        let id = id.clone();
        if let Some(key) = kept.key.clone().filter(|_| !repeat) {
            self.by_key.remove(&key);
        }
        if let Some(kept) = self.kept.get_mut(&id) {
            kept.end = Some(end);
            kept.key = kept.key.take().filter(|_| repeat);
            kept.ended_at = now;
            self.ended[usize::from(kept.key.is_some())].insert((now, id.clone()));
        }
        self.running.remove(&id);
        self.evict();
    }

    /// Reads from an answer.
    pub fn read(&mut self, id: &str, offset: u64) -> Read<E> {
        let Some(kept) = self.kept.get_mut(id) else {
            return Read::Gone;
        };
        if offset < kept.base || offset > kept.length() {
            return Read::Gone;
        }
        kept.furthest = kept.furthest.max(offset);
        let data = &kept.data[(offset - kept.base) as usize..];
        match &kept.end {
            _ if !data.is_empty() => Read::Data(data.to_vec()),
            Some(end) => Read::End(end.clone()),
            None => Read::Wait,
        }
    }

    /// Counts a reader; false when the answer is not kept.
    pub fn attach(&mut self, id: &str) -> bool {
        let kept = self.kept.get_mut(id);
        kept.map(|kept| kept.readers += 1).is_some()
    }

    /// Counts a reader less.
    pub fn detach(&mut self, id: &str, now: Duration) {
        if let Some(kept) = self.kept.get_mut(id) {
            kept.readers = kept.readers.saturating_sub(1);
            kept.unread_since = now;
        }
    }

    /// Marks an answer that nobody will come back for; others that read it are not cut off.
    pub fn cancel(&mut self, id: &str) {
        if let Some(kept) = self.kept.get_mut(id) {
            kept.cancelled = true;
        }
    }

    /// Whether a request runs for nobody and is to be cancelled.
    pub fn is_abandoned(&self, id: &str, now: Duration) -> bool {
        let kept = self.kept.get(id);
        kept.is_some_and(|kept| kept.is_abandoned(now))
    }

    /// Requests that run for nobody and are to be cancelled.
    pub fn abandoned(&self, now: Duration) -> Vec<name::Name> {
        let abandoned = |id: &&name::Name| self.is_abandoned(id, now);
        self.running.iter().filter(abandoned).cloned().collect()
    }

    /// Whether a request runs.
    pub fn is_running(&self, id: &str) -> bool {
        self.kept.get(id).is_some_and(|kept| kept.end.is_none())
    }

    /// Answers that run or are being read.
    pub fn active(&self) -> usize {
        let active = |kept: &&Kept<E>| kept.end.is_none() || kept.readers > 0;
        self.kept.values().filter(active).count()
    }

    /// Bytes kept.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// Drops finished answers that are past their time.
    pub fn expire(&mut self, now: Duration) {
        for (ended, limit) in [(0, UNREAD_GRACE), (1, KEYED_RETENTION)] {
            let past = |(at, _): &&(Duration, name::Name)| now.saturating_sub(*at) >= limit;
            let past = self.ended[ended].iter().take_while(past);
            let unread = past.filter(|(_, id)| self.is_unread(id));
            let ids: Vec<_> = unread.map(|(_, id)| id.clone()).collect();
            for id in ids {
                self.remove(&id);
            }
        }
    }

    fn is_unread(&self, id: &str) -> bool {
        self.kept.get(id).is_none_or(|kept| kept.readers == 0)
    }

    /// Drops the oldest finished answers while the memory is full.
    fn evict(&mut self) {
        while self.bytes > self.limit {
            let mut oldest = self.ended.iter().flatten();
            let oldest = oldest.find(|(_, id)| self.is_unread(id));
            let Some((_, id)) = oldest.cloned() else {
                return;
            };
            self.remove(&id);
        }
    }

    fn remove(&mut self, id: &str) {
        let Some((id, kept)) = self.kept.remove_entry(id) else {
            return;
        };
        self.bytes -= kept.data.len();
        self.running.remove(&id);
        self.ended[usize::from(kept.key.is_some())].remove(&(kept.ended_at, id));
        if let Some(key) = kept.key {
            self.by_key.remove(&key);
        }
    }
}
