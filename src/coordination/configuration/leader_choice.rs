//! Which member of its group a gateway asks to confirm what it knows.

use std::{collections::HashMap, time::Duration};

use derive_more::Display;

use crate::state::name;

/// Time for which a member that failed is not asked again; doubled with each failure in a row. The
/// longest is the time to live of a member's entry, after which a dead member is no longer listed.
const RETRY_DELAY: Duration = Duration::from_secs(5);
const MAX_RETRY_DELAY: Duration = Duration::from_secs(20);

/// Members whose knowledge was outdated after which no others are asked: the store is down, and they
/// know no more.
const MAX_OUTDATED: usize = 2;

/// Why a member does not lead.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum Failure {
    /// It did not answer in time, or closed the connection.
    #[display("no_answer")]
    NoAnswer,
    /// What it knows is too old to confirm anything.
    #[display("outdated")]
    Outdated,
    /// It knows another era of the store.
    #[display("other_era")]
    OtherEra,
}

struct Failed {
    until: Duration,
    delay: Duration,
    failure: Failure,
}

/// Members that failed to confirm what this gateway knows.
#[derive(Default)]
pub struct LeaderChoice {
    failed: HashMap<name::Name, Failed>,
}

impl LeaderChoice {
    /// The member to ask, `None` when this gateway leads the group itself. `group` is in the order in
    /// which members lead.
    ///
    /// ```
    /// use std::time::Duration;
    /// use fulmarproxy::coordination::configuration::leader_choice::{Failure, LeaderChoice};
    /// let group = ["a".into(), "b".into(), "c".into()];
    /// let seconds = Duration::from_secs;
    /// let mut choice = LeaderChoice::default();
    /// assert_eq!(choice.leader(&group, "b", seconds(1)), Some("a".into()));
    /// assert_eq!(choice.leader(&group, "a", seconds(1)), None);
    /// choice.record_failure(&"a".into(), Failure::NoAnswer, seconds(1));
    /// assert_eq!(choice.leader(&group, "c", seconds(2)), Some("b".into()));
    /// assert_eq!(choice.leader(&group, "b", seconds(2)), None);
    /// assert_eq!(choice.leader(&group, "b", seconds(6)), Some("a".into()));
    /// ```
    pub fn leader(&self, group: &[name::Name], own: &str, now: Duration) -> Option<name::Name> {
        let before = group.iter().take_while(|member| ***member != *own);
        let mut outdated = 0;
        for member in before {
            let failed = self.failed.get(member);
            let Some(failed) = failed.filter(|failed| now < failed.until) else {
                return Some(member.clone());
            };
            outdated += usize::from(failed.failure == Failure::Outdated);
            if outdated == MAX_OUTDATED {
                return None;
            }
        }
        None
    }

    /// Records that a member does not lead; returns the time until which it is not asked.
    ///
    /// ```
    /// use std::time::Duration;
    /// use fulmarproxy::coordination::configuration::leader_choice::{Failure, LeaderChoice};
    /// let seconds = Duration::from_secs;
    /// let mut choice = LeaderChoice::default();
    /// assert_eq!(choice.record_failure(&"a".into(), Failure::NoAnswer, seconds(1)), seconds(6));
    /// assert_eq!(choice.record_failure(&"a".into(), Failure::NoAnswer, seconds(6)), seconds(16));
    /// choice.record_success(&"a".into());
    /// assert_eq!(choice.record_failure(&"a".into(), Failure::NoAnswer, seconds(20)), seconds(25));
    /// ```
    pub fn record_failure(
        &mut self,
        member: &name::Name,
        failure: Failure,
        now: Duration,
    ) -> Duration {
        let earlier = self.failed.get(member);
        let delay = match earlier {
            Some(earlier) if failure == Failure::NoAnswer => earlier.delay * 2,
            _ => RETRY_DELAY,
        };
        let delay = delay.min(MAX_RETRY_DELAY);
        let until = now + delay;
        let failed = Failed {
            until,
            delay,
            failure,
        };
        self.failed.insert(member.clone(), failed);
        until
    }

    /// Records that a member confirmed what this gateway knows.
    pub fn record_success(&mut self, member: &name::Name) {
        self.failed.remove(member);
    }

    /// Forgets the failures of members that are no longer in the group.
    pub fn retain(&mut self, group: &[name::Name]) {
        self.failed.retain(|member, _| group.contains(member));
    }
}
