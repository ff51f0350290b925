//! Answers that an agent buffers in memory.
//!
//! A router whose connection broke can resume an answer at an offset, and a caller who repeats a
//! request with the same idempotency key gets the answer of the first one.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use crate::state::name;

/// Largest part of an answer that is read at once, in bytes. Routers hold several parts of each answer; a router takes
/// the next one after it has confirmed the one before, so that 64 KiB carry 1.3 MB/s at a round trip of 50 ms.
pub const MAX_PART_BYTES: usize = 64 * 1024;

/// Time for which a request without an idempotency key keeps running while nobody reads its answer.
/// Longer than a router takes to notice a silent connection. A finished answer is kept as long.
pub const UNREAD_GRACE: Duration = Duration::from_secs(15);

/// Time after which a router gives up resuming an answer.
pub const RESUME_TIMEOUT: Duration = Duration::from_secs(10);

/// Time for which a request with an idempotency key keeps running while nobody reads its answer.
/// Longer than [`UNREAD_GRACE`] because its caller may return through any router.
pub const KEYED_UNREAD_GRACE: Duration = Duration::from_secs(30);

/// Maximum time for which a finished answer with an idempotency key is kept.
pub const KEYED_RETENTION: Duration = Duration::from_secs(600);

/// Number of bytes that may be read from the backend server ahead of the furthest reader.
pub const MAX_READ_AHEAD_BYTES: u64 = 256 << 10;

/// Number of bytes behind the furthest reader that are kept for connections that resume.
pub const RESUME_BYTES: u64 = 1 << 20;

/// Maximum size of an answer that is kept whole for later requests with its idempotency key, in
/// bytes.
pub const MAX_KEYED_ANSWER_BYTES: u64 = 4 << 20;

/// An idempotency key, which is unique within its workspace.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Key {
    /// Workspace of the caller.
    pub workspace: name::Name,
    /// Idempotency key that the caller sent.
    pub key: name::Name,
}

/// What to do with an arriving request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum BeginOutcome {
    /// Run the request; its answer is buffered from now on.
    Run,
    /// Send the answer that is kept, or still running, under this request id.
    Join(name::Name),
    /// Refuse the request: its idempotency key was used with another body before.
    KeyReused,
    /// Refuse the request: the memory for answers is full.
    MemoryFull,
}

/// Result of reading at an offset.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Read<E> {
    /// The next bytes.
    Data(Vec<u8>),
    /// There are no further bytes yet.
    Wait,
    /// The answer has ended, in this way.
    End(E),
    /// The answer, or the part at this offset, is not kept.
    Gone,
}

#[derive(Debug)]
struct BufferedAnswer<E> {
    key: Option<Key>,
    fingerprint: u64,
    /// Offset of the first byte in `data`.
    data_offset: u64,
    data: Vec<u8>,
    /// Largest offset that a reader has asked for.
    furthest_read: u64,
    readers: u32,
    /// When a reader last left, or when the request began.
    unread_since: Duration,
    cancelled: bool,
    end: Option<E>,
    ended_at: Duration,
}

impl<E> BufferedAnswer<E> {
    /// Length of the answer so far, with the bytes that were dropped.
    fn length(&self) -> u64 {
        self.data_offset + self.data.len() as u64
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

    /// Drops bytes that are too far behind the furthest reader; returns how many. Waits until at
    /// least half of the data can go, so that the rest is seldom copied.
    fn trim(&mut self) -> usize {
        if self.key.is_some() && self.length() <= MAX_KEYED_ANSWER_BYTES {
            return 0;
        }
        let start = self.furthest_read.saturating_sub(RESUME_BYTES);
        let dropped = start.saturating_sub(self.data_offset) as usize;
        if dropped < self.data.len() / 2 {
            return 0;
        }
        self.data.drain(..dropped);
        self.data_offset = start;
        dropped
    }
}

/// Buffered answers by request id and by idempotency key, in bounded memory.
#[derive(Debug)]
pub struct Answers<E> {
    limit: usize,
    bytes: usize,
    kept: BTreeMap<name::Name, BufferedAnswer<E>>,
    by_key: BTreeMap<Key, name::Name>,
    running: BTreeSet<name::Name>,
    /// Finished answers by the time of their end: first those without a key, then those with one.
    ended: [BTreeSet<(Duration, name::Name)>; 2],
}

impl<E: Clone> Answers<E> {
    /// Creates a buffer for about `limit` bytes of answers.
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

    /// Begins an answer, or finds the one that the request is to get instead.
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
        let kept = BufferedAnswer {
            key,
            fingerprint,
            data_offset: 0,
            data: Vec::new(),
            furthest_read: 0,
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

    /// Appends bytes to a running answer.
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
        kept.is_none_or(|kept| kept.length() < kept.furthest_read + MAX_READ_AHEAD_BYTES)
    }

    /// Ends an answer. With `keep_key`, later requests with its idempotency key get this answer;
    /// otherwise the key is free again.
    pub fn finish(&mut self, id: &str, end: E, keep_key: bool, now: Duration) {
        let Some((id, kept)) = self.kept.get_key_value(id) else {
            return;
        };
        let id = id.clone();
        if let Some(key) = kept.key.clone().filter(|_| !keep_key) {
            self.by_key.remove(&key);
        }
        if let Some(kept) = self.kept.get_mut(&id) {
            kept.end = Some(end);
            kept.key = kept.key.take().filter(|_| keep_key);
            kept.ended_at = now;
            self.ended[usize::from(kept.key.is_some())].insert((now, id.clone()));
        }
        self.running.remove(&id);
        self.evict();
    }

    /// Reads the answer of a request from `offset` on, at most [`MAX_PART_BYTES`] of it.
    pub fn read(&mut self, id: &str, offset: u64) -> Read<E> {
        let Some(kept) = self.kept.get_mut(id) else {
            return Read::Gone;
        };
        if offset < kept.data_offset || offset > kept.length() {
            return Read::Gone;
        }
        kept.furthest_read = kept.furthest_read.max(offset);
        let data = &kept.data[(offset - kept.data_offset) as usize..];
        match &kept.end {
            _ if !data.is_empty() => Read::Data(data[..data.len().min(MAX_PART_BYTES)].to_vec()),
            Some(end) => Read::End(end.clone()),
            None => Read::Wait,
        }
    }

    /// Adds a reader; returns false when the answer is not kept.
    pub fn attach(&mut self, id: &str) -> bool {
        let kept = self.kept.get_mut(id);
        kept.map(|kept| kept.readers += 1).is_some()
    }

    /// Removes a reader.
    pub fn detach(&mut self, id: &str, now: Duration) {
        if let Some(kept) = self.kept.get_mut(id) {
            kept.readers = kept.readers.saturating_sub(1);
            kept.unread_since = now;
        }
    }

    /// Marks an answer whose caller won't return. The request is cancelled once nobody reads the
    /// answer.
    pub fn cancel(&mut self, id: &str) {
        if let Some(kept) = self.kept.get_mut(id) {
            kept.cancelled = true;
        }
    }

    /// Whether a running request has no reader and is to be cancelled.
    pub fn is_abandoned(&self, id: &str, now: Duration) -> bool {
        let kept = self.kept.get(id);
        kept.is_some_and(|kept| kept.is_abandoned(now))
    }

    /// Running requests that have no reader and are to be cancelled.
    pub fn abandoned(&self, now: Duration) -> Vec<name::Name> {
        let abandoned = |id: &&name::Name| self.is_abandoned(id, now);
        self.running.iter().filter(abandoned).cloned().collect()
    }

    /// Whether a request is running.
    pub fn is_running(&self, id: &str) -> bool {
        self.kept.get(id).is_some_and(|kept| kept.end.is_none())
    }

    /// Number of answers that are running or being read.
    pub fn active(&self) -> usize {
        let active = |kept: &&BufferedAnswer<E>| kept.end.is_none() || kept.readers > 0;
        self.kept.values().filter(active).count()
    }

    /// Number of buffered bytes.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// Drops finished answers that nobody reads and whose retention is over.
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

    /// Drops finished answers that nobody reads while the memory is full: first those without a
    /// key, each kind oldest first.
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
