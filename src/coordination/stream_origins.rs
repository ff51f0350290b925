//! Notes of the release that began each stream.
//!
//! A caller that takes a broken stream up again may do so at any gateway. The gateway that relayed the
//! first event keeps a note, and sends copies to a few others, which all gateways find by rendezvous
//! hashing of the stream. While a service has one release only, and the record of releases is complete,
//! that one says where its streams began, and no copies are sent.
//!
//! Handles gateways that die with their notes, and streams under one id that began at two releases,
//! which can't be resumed at all.

use std::{
    collections::{HashMap, VecDeque},
    time::Duration,
};

use serde::{Deserialize, Serialize};

use crate::{
    coordination::rendezvous,
    state::{name, release},
};

/// Time for which a note is kept.
const NOTE_TTL: Duration = Duration::from_secs(300);

/// Maximum number of notes.
const MAX_NOTES: usize = 1 << 16;

/// Gateways that get copies of a note.
pub const COPIES: usize = 3;

/// Where a stream began.
#[derive(Clone, Debug, Deserialize, PartialEq, Eq, Serialize)]
pub struct Note {
    /// Hash of the caller and of the id under which it names the stream.
    pub stream: u64,
    /// Release that brought its first event; `None` when it is uncertain.
    pub release: Option<release::Release>,
}

/// Notes of one gateway.
#[derive(Debug, Default)]
pub struct StreamOrigins {
    releases: HashMap<u64, Option<release::Release>>,
    /// Streams in the order of their notes.
    order: VecDeque<(Duration, u64)>,
    /// Streams, by service, of whose notes no copies have been sent.
    uncopied: HashMap<name::Name, Vec<u64>>,
}

impl StreamOrigins {
    /// Notes the release that began a stream here, or that this is uncertain.
    pub fn record_begun(
        &mut self,
        stream: u64,
        service: &name::Name,
        release: Option<release::Release>,
        now: Duration,
    ) {
        self.merge(&[Note { stream, release }], now);
        let uncopied = self.uncopied.entry(service.clone()).or_default();
        uncopied.push(stream);
        if uncopied.len() > MAX_NOTES {
            let releases = &self.releases;
            uncopied.retain(|stream| releases.contains_key(stream));
        }
    }

    /// Adds notes of another gateway.
    ///
    /// ```
    /// use std::time::Duration;
    /// use fulmarproxy::{coordination::stream_origins, state::release::Release};
    /// let note = |software: &str| stream_origins::Note {
    ///     stream: 7, release: Some(Release::new("model", software)),
    /// };
    /// let mut origins = stream_origins::StreamOrigins::default();
    /// origins.merge(&[note("v1"), note("v1")], Duration::ZERO);
    /// assert_eq!(origins.note(7), Some(note("v1")));
    /// origins.merge(&[note("v2")], Duration::ZERO);
    /// assert_eq!(origins.note(7).unwrap().release, None);
    /// assert_eq!(origins.note(8), None);
    /// ```
    pub fn merge(&mut self, notes: &[Note], now: Duration) {
        for Note { stream, release } in notes {
            match self.releases.get_mut(stream) {
                Some(known) if known != release => *known = None,
                Some(_) => (),
                None => {
                    self.releases.insert(*stream, release.clone());
                    self.order.push_back((now, *stream));
                }
            }
        }
        while let Some((noted_at, stream)) = self.order.front().copied()
            && (self.order.len() > MAX_NOTES || now > noted_at + NOTE_TTL)
        {
            self.order.pop_front();
            self.releases.remove(&stream);
        }
    }

    /// The note of a stream; `None` when there is none.
    pub fn note(&self, stream: u64) -> Option<Note> {
        let release = self.releases.get(&stream)?.clone();
        Some(Note { stream, release })
    }

    /// Takes up to `max` notes of which copies must be sent: those of streams whose service
    /// `needs_copies`, since the record can't say where they began.
    ///
    /// ```
    /// use std::time::Duration;
    /// use fulmarproxy::{coordination::stream_origins, state::release::Release};
    /// let mut origins = stream_origins::StreamOrigins::default();
    /// let release = Some(Release::new("model", "v1"));
    /// origins.record_begun(7, &"model".into(), release, Duration::ZERO);
    /// assert!(origins.take_uncopied(10, |_| false).is_empty());
    /// assert_eq!(origins.take_uncopied(10, |_| true).len(), 1);
    /// assert!(origins.take_uncopied(10, |_| true).is_empty());
    /// ```
    pub fn take_uncopied(&mut self, max: usize, needs_copies: impl Fn(&str) -> bool) -> Vec<Note> {
        let mut taken = Vec::new();
        for (service, streams) in &mut self.uncopied {
            if !needs_copies(service) {
                continue;
            }
            // The newest streams are the likeliest to be resumed.
            let from = streams.len().saturating_sub(max - taken.len());
            let notes = streams.split_off(from).into_iter().filter_map(|stream| {
                let release = self.releases.get(&stream)?.clone();
                Some(Note { stream, release })
            });
            taken.extend(notes);
        }
        taken
    }
}

/// VM of a gateway's name, `vm/incarnation`.
fn vm(gateway: &str) -> &str {
    gateway.split('/').next().unwrap_or_default()
}

/// Ranks gateways for the notes of a stream, all but `own`. The name of the VM ranks them, so that a
/// gateway that is restarted keeps its place. Of several names for one VM, one counts.
///
/// ```
/// use fulmarproxy::coordination::stream_origins;
/// let ranked = stream_origins::rank(7, "a/1", [("a/1", 1), ("b/1", 2), ("c/1", 3), ("b/2", 4)]);
/// assert_eq!(ranked.len(), 2);
/// assert!(ranked.contains(&4) && ranked.contains(&3));
/// ```
pub fn rank<'a, T>(
    stream: u64,
    own: &str,
    gateways: impl IntoIterator<Item = (&'a str, T)>,
) -> Vec<T> {
    let gateways = gateways.into_iter().filter(|(name, _)| vm(name) != vm(own));
    let mut ranked: Vec<_> = gateways.collect();
    ranked.sort_by_key(|(name, _)| {
        let weight = rendezvous::weight(vm(name), stream);
        (std::cmp::Reverse(weight), std::cmp::Reverse(*name))
    });
    ranked.dedup_by_key(|(name, _)| vm(name));
    ranked.into_iter().map(|(_, value)| value).collect()
}
