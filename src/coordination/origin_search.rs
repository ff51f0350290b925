//! Finds out which release began a stream that a caller takes up again, step by step.
//!
//! A wrong answer would join what two releases write, so only these count: the gateway's own note, a read
//! of the record that names one release, or the note of another gateway. That a gateway knows one
//! release only is none: it may be cut off, or have just started.

use crate::{coordination::stream_origins, state::release};

/// Gateways that are asked first: those that got copies of the note, also if the lists of gateways differ
/// by one.
const ASKED_FIRST: usize = stream_origins::COPIES + 1;

/// Gateways that are asked when none of those knows the stream. In a small fleet these are all others.
const ASKED_NEXT: usize = 8;

/// What is known of the release that began a stream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Origin {
    /// The stream has not begun.
    NotBegun,
    /// This release brought its first event.
    Release(release::Release),
    /// It can't be found out any more.
    Lost,
    /// It may be found out later: the store or a gateway did not answer.
    Unknown,
}

impl From<stream_origins::Note> for Origin {
    fn from(note: stream_origins::Note) -> Self {
        note.release.map_or(Self::Lost, Self::Release)
    }
}

/// What to do next.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Step<P> {
    /// Read the record of releases.
    ReadRecord,
    /// Ask these gateways for the note.
    Ask(Vec<P>),
    /// The search has ended; the text names the source.
    Done(Origin, &'static str),
}

/// A search for the release that began one stream; `P` is the address of a gateway.
#[derive(Debug)]
pub struct Search<P> {
    found: Option<(Origin, &'static str)>,
    /// Gateways that are still to be asked, in rounds.
    rounds: Vec<Vec<P>>,
    reads_record: bool,
    /// Whether all that may know the stream have answered so far.
    is_complete: bool,
}

impl<P> Search<P> {
    /// Starts a search. `own` is the note of this gateway, `ranked` are the others in the order of their
    /// rank for the stream. With `is_mixed` this gateway knows several releases of the service, and
    /// the record can't answer.
    ///
    /// ```
    /// use fulmarproxy::{coordination::origin_search::{Origin, Search, Step}, state::release::Release};
    /// let release = Release::new("model", "v1");
    /// let mut search = Search::new(None, vec!["b"], false);
    /// assert_eq!(search.next_step(), Step::ReadRecord);
    /// search.add_record(Some(None));
    /// assert_eq!(search.next_step(), Step::Ask(vec!["b"]));
    /// search.add_answer(Some(None));
    /// assert_eq!(search.next_step(), Step::Done(Origin::Lost, "nobody"));
    /// ```
    pub fn new(own: Option<stream_origins::Note>, ranked: Vec<P>, is_mixed: bool) -> Self {
        let mut first = ranked;
        let mut next = first.split_off(first.len().min(ASKED_FIRST));
        let is_complete = next.len() <= ASKED_NEXT;
        next.truncate(ASKED_NEXT);
        Self {
            found: own.map(|note| (note.into(), "own_note")),
            rounds: vec![next, first],
            reads_record: !is_mixed,
            is_complete,
        }
    }

    /// The next step; each is returned once.
    pub fn next_step(&mut self) -> Step<P> {
        if let Some((origin, by)) = self.found.take() {
            return Step::Done(origin, by);
        }
        if std::mem::take(&mut self.reads_record) {
            return Step::ReadRecord;
        }
        while let Some(round) = self.rounds.pop() {
            if !round.is_empty() {
                return Step::Ask(round);
            }
        }
        match self.is_complete {
            true => Step::Done(Origin::Lost, "nobody"),
            false => Step::Done(Origin::Unknown, "no_answer"),
        }
    }

    /// Adds the only release that a read of the record names, if it names one; `None` when it could not
    /// be read.
    pub fn add_record(&mut self, only: Option<Option<release::Release>>) {
        match only {
            Some(Some(release)) => self.found = Some((Origin::Release(release), "record")),
            Some(None) => (),
            None => self.is_complete = false,
        }
    }

    /// Adds the note of a gateway, if it has one; `None` when it did not answer. Returns whether the
    /// search has ended.
    pub fn add_answer(&mut self, note: Option<Option<stream_origins::Note>>) -> bool {
        match note {
            Some(Some(note)) => self.found = Some((note.into(), "peer")),
            Some(None) => (),
            None => self.is_complete = false,
        }
        self.found.is_some()
    }
}
