//! Which releases of each service are in use, as far as a gateway knows.
//!
//! A record in the platform's store names the releases at which streams may have begun. A gateway
//! begins no stream at a release that the record does not name. So when a read of the record, made
//! after a stream broke off, names one release of a service, the stream began there, whichever gateway
//! began it and whether that one still runs.
//!
//! Handles releases that return after they were gone, records that vanish because the store came back
//! from an old copy, and gateways that have been cut off from the store for long.

use std::{collections::HashMap, time::Duration};

use crate::state::{name, release};

/// Time without a listed server after which a release's record is closed. It must be far longer than a
/// stream lasts, and than regions lose each other, with servers that one of them still uses.
pub const CLOSE_AFTER: Duration = Duration::from_secs(4 * 3600);

/// Time between the two steps of closing a record, for gateways that have read the record before.
pub const CLOSE_DELAY: Duration = Duration::from_secs(60);

/// Time without a listed server, or without a confirmed list, after which a gateway no longer counts on
/// what it knows of a record, well before another gateway closes it.
const MAX_UNLISTED: Duration = Duration::from_secs(2 * 3600);

/// A release's record as it was read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Recorded {
    /// The release.
    pub release: release::Release,
    /// Whether a gateway has begun to close the record. It is no record for streams to come.
    pub is_closing: bool,
}

/// The next step to close the record of an unused release.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Closing {
    /// Mark the record as closing.
    Mark,
    /// Wait; a gateway that uses the release again writes the record anew meanwhile.
    Wait,
    /// Delete the record if it is unchanged.
    Delete,
}

#[derive(Clone, Copy, Debug, Default)]
struct Known {
    /// Era of the store in which the record is known to exist.
    recorded_in: Option<u64>,
    /// Last time at which a server of the release was listed; `None` when none ever was.
    listed_at: Option<Duration>,
    /// Time at which the release became known.
    known_since: Duration,
    /// Revision of the record that is closing, and the time at which it was first seen.
    closing: Option<(u64, Duration)>,
}

impl Known {
    fn is_listed(&self, now: Duration) -> bool {
        self.listed_at.is_some_and(|at| now <= at + MAX_UNLISTED)
    }

    fn is_unused(&self, now: Duration) -> bool {
        let last_seen = self.known_since.max(self.listed_at.unwrap_or_default());
        now >= last_seen + CLOSE_AFTER
    }
}

/// The releases that a gateway knows of.
#[derive(Debug, Default)]
pub struct Releases {
    known: HashMap<release::Release, Known>,
}

impl Releases {
    /// Records the releases of all servers in the list, which the store has confirmed.
    ///
    /// ```
    /// use std::time::Duration;
    /// use fulmarproxy::{coordination::releases, state::release::Release};
    /// let mut known = releases::Releases::default();
    /// let (old, new) = (Release::new("model", "v1"), Release::new("model", "v2"));
    /// known.record_listed([old.clone()], Duration::ZERO);
    /// assert!(!known.is_mixed("model") && !known.is_recorded(&old, 0, Duration::ZERO));
    /// known.record_written(&[old.clone()], 0);
    /// assert!(known.is_recorded(&old, 0, Duration::ZERO));
    /// known.record_listed([old, new.clone()], Duration::ZERO);
    /// assert!(known.is_mixed("model") && !known.is_recorded(&new, 0, Duration::ZERO));
    /// ```
    pub fn record_listed(
        &mut self,
        listed: impl IntoIterator<Item = release::Release>,
        now: Duration,
    ) {
        for release in listed {
            let known = self.entry(release, now);
            // Another gateway may have closed the record meanwhile.
            if !known.is_listed(now) {
                known.recorded_in = None;
            }
            known.listed_at = Some(now);
        }
    }

    /// Records a whole read of the record, which the store answered in `era`.
    pub fn record_read(&mut self, read: &[Recorded], era: u64, now: Duration) {
        // What was recorded in an earlier era is to be recorded again.
        let earlier = |recorded_in: &u64| *recorded_in != era;
        for known in self.known.values_mut() {
            known.recorded_in = known.recorded_in.filter(earlier);
        }
        for recorded in read {
            let known = self.entry(recorded.release.clone(), now);
            known.recorded_in = Some(era).filter(|_| !recorded.is_closing);
        }
    }

    /// Records that the records of these releases were written in `era`.
    pub fn record_written(&mut self, written: &[release::Release], era: u64) {
        for release in written {
            if let Some(known) = self.known.get_mut(release) {
                known.recorded_in = Some(era);
            }
        }
    }

    /// Records that a release's record was closed.
    pub fn record_closed(&mut self, release: &release::Release) {
        self.known.remove(release);
    }

    /// Whether a stream may begin at a release: its record exists in the store's era.
    pub fn is_recorded(&self, release: &release::Release, era: u64, now: Duration) -> bool {
        let known = self.known.get(release);
        known.is_some_and(|known| known.is_listed(now) && known.recorded_in == Some(era))
    }

    /// Releases whose records must be written in this era.
    ///
    /// Those that are not listed any more are written too, because streams may have begun at them.
    pub fn unrecorded(&self, era: u64, now: Duration) -> Vec<release::Release> {
        let unrecorded = self.known.iter().filter(|(_, known)| {
            known.recorded_in != Some(era)
                && (known.is_listed(now) || known.recorded_in.is_some() && !known.is_unused(now))
        });
        unrecorded.map(|(release, _)| release.clone()).collect()
    }

    /// Releases that no server has run for so long that their records can be closed.
    ///
    /// ```
    /// use std::time::Duration;
    /// use fulmarproxy::{coordination::releases, state::release::Release};
    /// let mut known = releases::Releases::default();
    /// known.record_listed([Release::new("model", "v1")], Duration::ZERO);
    /// assert!(known.unused(Duration::from_secs(60)).is_empty());
    /// assert_eq!(known.unused(releases::CLOSE_AFTER).len(), 1);
    /// ```
    pub fn unused(&self, now: Duration) -> Vec<release::Release> {
        let unused = self.known.iter().filter(|(_, known)| known.is_unused(now));
        unused.map(|(release, _)| release.clone()).collect()
    }

    /// The next step to close the record of an unused release, which was read at this revision.
    ///
    /// ```
    /// use std::time::Duration;
    /// use fulmarproxy::{coordination::releases::{self, Closing}, state::release::Release};
    /// let (mut known, old) = (releases::Releases::default(), Release::new("model", "v1"));
    /// known.record_listed([old.clone()], Duration::ZERO);
    /// let now = releases::CLOSE_AFTER;
    /// assert_eq!(known.closing_step(&old, 5, false, now), Closing::Mark);
    /// assert_eq!(known.closing_step(&old, 6, true, now), Closing::Wait);
    /// let later = now + releases::CLOSE_DELAY;
    /// assert_eq!(known.closing_step(&old, 6, true, later), Closing::Delete);
    /// assert_eq!(known.closing_step(&old, 9, true, later), Closing::Wait, "it was written anew");
    /// ```
    pub fn closing_step(
        &mut self,
        release: &release::Release,
        revision: u64,
        is_closing: bool,
        now: Duration,
    ) -> Closing {
        if !is_closing {
            return Closing::Mark;
        }
        let known = self.entry(release.clone(), now);
        match known.closing {
            Some((seen, at)) if seen == revision && now >= at + CLOSE_DELAY => Closing::Delete,
            Some((seen, _)) if seen == revision => Closing::Wait,
            _ => {
                known.closing = Some((revision, now));
                Closing::Wait
            }
        }
    }

    /// Whether several releases of a service are known, so that where a stream began must be noted.
    pub fn is_mixed(&self, service: &str) -> bool {
        let of_service = self.known.keys().filter(|it| &*it.service == service);
        of_service.count() > 1
    }

    fn entry(&mut self, release: release::Release, now: Duration) -> &mut Known {
        self.known.entry(release).or_insert(Known {
            known_since: now,
            ..Known::default()
        })
    }
}

/// The only release of these services in a read of the record; `None` when there are several or none.
///
/// ```
/// use fulmarproxy::{coordination::releases, state::release::Release};
/// let recorded = |software: &str| releases::Recorded {
///     release: Release::new("model", software), is_closing: false,
/// };
/// let only = releases::only_release(&[recorded("v1")], &["model".into()]);
/// assert_eq!(only, Some(Release::new("model", "v1")));
/// let read = [recorded("v1"), recorded("v2")];
/// assert_eq!(releases::only_release(&read, &["model".into()]), None);
/// ```
pub fn only_release(read: &[Recorded], services: &[name::Name]) -> Option<release::Release> {
    let mut of_services = read
        .iter()
        .filter(|recorded| services.contains(&recorded.release.service));
    let only = of_services.next()?;
    of_services.next().is_none().then(|| only.release.clone())
}
