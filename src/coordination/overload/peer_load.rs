//! How busy other gateways are, and which part of them has room.
//!
//! Handles fleets of a few to hundreds of gateways. Each gateway asks one other at random at a time, so
//! that it knows a sample; a gateway that is asked gets the load of the one that asks.

use std::{collections::HashMap, time::Duration};

use serde::{Deserialize, Serialize};

use crate::state::name;

/// Load from which on a gateway has no room, relative to the one at which it refuses requests.
const MAX_ROOM_LOAD: f64 = 0.7;

/// Load from which on a gateway asks others often, since it may soon refuse requests.
const MIN_BUSY_LOAD: f64 = 0.5;

/// Time between two exchanges of a gateway that has too much load, of one that is busy, and of one that
/// is not. The first decides whether it leaves the rotation, by loads of the last second.
pub const OVERLOADED_INTERVAL: Duration = Duration::from_millis(250);
const BUSY_INTERVAL: Duration = Duration::from_secs(1);
const IDLE_INTERVAL: Duration = Duration::from_secs(5);

/// Time after which a load is unknown. Four exchanges of a gateway that is not busy, two made and two
/// received, take place meanwhile on average.
const VALIDITY: Duration = Duration::from_secs(10);

/// Age up to which a load is recent. When the load of all gateways rises at once, older ones still show
/// room that is gone.
const RECENT: Duration = Duration::from_secs(1);

/// Maximum number of loads that are kept.
const MAX_KNOWN: usize = 64;

/// Gateways with recent loads.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Recent {
    /// Their number.
    pub known: usize,
    /// Part of them that has room; 0 when none is known.
    pub room: f64,
}

/// How busy a gateway is.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Report {
    /// Name of the gateway's run, `vm/incarnation`.
    pub gateway: name::Name,
    /// Load; 1 and more is too much.
    pub load: f64,
    /// Whether the gateway takes no new connections because of its load.
    #[serde(default)]
    pub is_out: bool,
}

/// Loads of other gateways.
#[derive(Debug, Default)]
pub struct PeerLoads {
    /// Last report by gateway, with the time at which it arrived.
    known: HashMap<name::Name, (Report, Duration)>,
}

impl PeerLoads {
    /// Records a report. One that is not valid makes the gateway's load unknown.
    ///
    /// ```
    /// use std::time::Duration;
    /// use fulmarproxy::coordination::overload::peer_load::{PeerLoads, Report};
    /// let mut loads = PeerLoads::default();
    /// assert_eq!(loads.room(Duration::ZERO), None);
    /// for (gateway, load) in [("a/1", 0.1), ("b/2", 1.5), ("c/3", -1.0)] {
    ///     let gateway = gateway.into();
    ///     loads.record(Report { gateway, load, is_out: load > 1.0 }, Duration::ZERO);
    /// }
    /// assert_eq!(loads.room(Duration::from_secs(9)), Some(0.5));
    /// assert_eq!(loads.room(Duration::from_secs(11)), None);
    /// let recent = loads.recent(Duration::ZERO);
    /// assert_eq!((recent.known, recent.room), (2, 0.5));
    /// assert_eq!(loads.out(Duration::from_secs(9)), 1);
    /// assert_eq!(loads.recent(Duration::from_secs(9)).known, 0);
    /// loads.forget("b/2");
    /// assert_eq!(loads.room(Duration::ZERO), Some(1.0));
    /// ```
    pub fn record(&mut self, report: Report, now: Duration) {
        if !report.load.is_finite() || report.load < 0.0 {
            self.forget(&report.gateway);
            return;
        }
        self.known
            .retain(|_, (_, at)| now < at.saturating_add(VALIDITY));
        if self.known.len() >= MAX_KNOWN && !self.known.contains_key(&report.gateway) {
            let oldest = self.known.iter().min_by_key(|(_, (_, at))| *at);
            if let Some(oldest) = oldest.map(|(gateway, _)| gateway.clone()) {
                self.known.remove(&oldest);
            }
        }
        self.known.insert(report.gateway.clone(), (report, now));
    }

    /// Makes the load of a gateway unknown, because it did not answer.
    pub fn forget(&mut self, gateway: &str) {
        self.known.remove(gateway);
    }

    /// Part of the gateways with known loads that have room; `None` when no load is known.
    pub fn room(&self, now: Duration) -> Option<f64> {
        let (count, with_room) = count(self.valid(now, VALIDITY));
        (count > 0).then(|| with_room as f64 / count as f64)
    }

    /// What the recent loads show.
    pub fn recent(&self, now: Duration) -> Recent {
        let (known, with_room) = count(self.valid(now, RECENT));
        let room = with_room as f64 / known.max(1) as f64;
        Recent { known, room }
    }

    /// Number of gateways that are out of rotation, among those with known loads.
    pub fn out(&self, now: Duration) -> usize {
        let valid = self.valid(now, VALIDITY);
        valid.filter(|report| report.is_out).count()
    }

    fn valid(&self, now: Duration, max_age: Duration) -> impl Iterator<Item = &Report> {
        let known = self.known.values();
        let valid = known.filter(move |(_, at)| now < at.saturating_add(max_age));
        valid.map(|(report, _)| report)
    }
}

/// Number of reports, and of those with room.
fn count<'a>(reports: impl Iterator<Item = &'a Report>) -> (usize, usize) {
    reports.fold((0, 0), |(count, with_room), report| {
        let has_room = report.load < MAX_ROOM_LOAD;
        (count + 1, with_room + usize::from(has_room))
    })
}

/// Time from one exchange to the next of a gateway with this load.
///
/// ```
/// use fulmarproxy::coordination::overload::peer_load;
/// assert_eq!(peer_load::interval(1.2).as_millis(), 250);
/// assert_eq!(peer_load::interval(0.6).as_secs(), 1);
/// assert_eq!(peer_load::interval(0.1).as_secs(), 5);
/// ```
pub fn interval(load: f64) -> Duration {
    match load {
        1.0.. => OVERLOADED_INTERVAL,
        MIN_BUSY_LOAD.. => BUSY_INTERVAL,
        _ => IDLE_INTERVAL,
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Guards against memory that grows with what other processes report.
    #[test]
    fn the_number_of_known_loads_is_bounded() {
        let mut loads = PeerLoads::default();
        for number in 0..1000_u32 {
            let report = Report {
                gateway: format!("vm/{number}").into(),
                load: 0.0,
                is_out: false,
            };
            loads.record(report, Duration::from_millis(number.into()));
        }
        assert_eq!(loads.known.len(), MAX_KNOWN);
    }
}
