//! Which routers were in the list of members, and when. Tells which of them cannot have written
//! anything to the store for a while.

use std::{collections::HashMap, time::Duration};

/// Time to live of a router's entry in the list of members; longer than usual outages of the store.
pub const LEASE_TTL: Duration = Duration::from_secs(20);

/// Time for which a holder must have been missing from the list to have written nothing lately. It
/// exceeds the lease, the age of the list and the greatest age of a copy of the store.
const ABSENCE_TIME: Duration = Duration::from_secs(45);

/// Greatest age of the last list from which absence is concluded: a few intervals of reading it.
const MAX_LIST_AGE: Duration = Duration::from_secs(15);

/// Time after its return for which a router may be taken for absent by others.
const RETURN_TIME: Duration = super::ledger_plan::MAX_COPY_AGE;

/// Whether a holder, `vm/incarnation`, is another router that is gone: it is not `listed`, or the VM
/// runs another incarnation.
///
/// The entry of a killed router stays listed until its lease ends. While two incarnations of a VM
/// are listed, both count as gone, since the list doesn't tell which of them came later.
///
/// ```
/// use fulmarproxy::coordination::presence::is_gone;
/// let listed = ["b/2".to_owned(), "b/3".to_owned(), "c/1".to_owned()];
/// assert!(!is_gone("a/2", "a/2", listed.iter()));
/// assert!(is_gone("a/1", "a/2", listed.iter()), "this VM runs a/2");
/// assert!(is_gone("b/2", "a/2", listed.iter()), "b/3 may run now");
/// assert!(is_gone("d/1", "a/2", listed.iter()));
/// assert!(!is_gone("c/1", "a/2", listed.iter()));
/// ```
pub fn is_gone<'a>(holder: &str, own: &str, mut listed: impl Iterator<Item = &'a String>) -> bool {
    if holder == own {
        return false;
    }
    let mut is_listed = false;
    let has_other = vm(own) == vm(holder)
        || listed.any(|other| {
            is_listed |= other == holder;
            other != holder && vm(other) == vm(holder)
        });
    has_other || !is_listed
}

/// The VM of a holder.
///
/// ```
/// assert_eq!(fulmarproxy::coordination::presence::vm("a/2"), "a");
/// ```
pub fn vm(holder: &str) -> &str {
    holder.split('/').next().unwrap_or(holder)
}

/// When routers were in the list of members.
#[derive(Debug, Default)]
pub struct Presence {
    first_list_at: Option<Duration>,
    last_list_at: Option<Duration>,
    last_listed: HashMap<String, Duration>,
    /// Time at which this router's lease was granted or renewed last.
    last_renewed: Option<Duration>,
    /// Time at which this router was listed again after its lease had ended.
    returned_at: Option<Duration>,
}

impl Presence {
    /// Records a list of the other routers' holders.
    pub fn record_list<'a>(&mut self, holders: impl Iterator<Item = &'a String>, now: Duration) {
        self.first_list_at.get_or_insert(now);
        self.last_list_at = Some(now);
        for holder in holders {
            self.last_listed.insert(holder.clone(), now);
        }
        if self.last_listed.len() > 4096 {
            self.last_listed.retain(|_, at| now < *at + ABSENCE_TIME);
        }
    }

    /// Records that this router's lease was granted or renewed.
    pub fn record_renewal(&mut self, now: Duration) {
        if self.has_lapsed(now) {
            self.returned_at = Some(now);
        }
        self.last_renewed = Some(now);
    }

    fn has_lapsed(&self, now: Duration) -> bool {
        let renewed = self.last_renewed;
        renewed.is_some_and(|renewed| now >= renewed + LEASE_TTL)
    }

    /// Whether this router was missing from the list until lately, so that others may take it for
    /// absent.
    ///
    /// ```
    /// use std::time::Duration;
    /// let mut presence = fulmarproxy::coordination::presence::Presence::default();
    /// presence.record_renewal(Duration::ZERO);
    /// assert!(!presence.is_returning(Duration::from_secs(19)));
    /// presence.record_renewal(Duration::from_secs(60));
    /// assert!(presence.is_returning(Duration::from_secs(61)));
    /// assert!(!presence.is_returning(Duration::from_secs(70)));
    /// ```
    pub fn is_returning(&self, now: Duration) -> bool {
        let returned = self.returned_at;
        self.has_lapsed(now) || returned.is_some_and(|at| now < at + RETURN_TIME)
    }

    /// Whether a holder had been missing for so long before `at` that it had written nothing to the
    /// store lately.
    ///
    /// ```
    /// use std::time::Duration;
    /// let mut presence = fulmarproxy::coordination::presence::Presence::default();
    /// let seconds = Duration::from_secs;
    /// let old = "a/1".to_owned();
    /// presence.record_list([&old].into_iter(), seconds(0));
    /// presence.record_list([].into_iter(), seconds(50));
    /// assert!(presence.was_absent("a/1", seconds(52)));
    /// assert!(!presence.was_absent("a/1", seconds(99)), "no list was read meanwhile");
    /// ```
    pub fn was_absent(&self, holder: &str, at: Duration) -> bool {
        let since = self.last_listed.get(holder).copied();
        let (Some(since), Some(read)) = (since.or(self.first_list_at), self.last_list_at) else {
            return false;
        };
        // Lists that were read after `at` may be those of a store that forgot its members.
        let read = read.min(at);
        read >= since + ABSENCE_TIME && at <= read + MAX_LIST_AGE
    }
}
