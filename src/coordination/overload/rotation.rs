//! When a gateway asks the platform for no new connections for a while, and which connections it closes.
//!
//! Handles gateways to which the platform assigns more callers than their link or processor can serve,
//! while others have room. The platform assigns connections by a hash of the caller, so callers that are
//! refused may come back to the same gateway; a gateway that is not ready gets no new connections at all.

use std::time::Duration;

/// Time for which the load must be too high before the gateway leaves. Longer than the age of the loads
/// of others that count, so that a load that rises everywhere at once shows in them.
const HIGH_TIME: Duration = Duration::from_millis(1250);

/// Time for which the load must be low before it returns.
const LOW_TIME: Duration = Duration::from_millis(500);

/// Minimum time out of rotation. The platform notices a change after two probes, one second apart.
const MIN_TIME_OUT: Duration = Duration::from_secs(3);

/// Maximum time out of rotation while the load is low. The minimum doubles up to it when a gateway has to
/// leave again soon after its return: the same callers would come back each time.
const MAX_TIME_OUT: Duration = Duration::from_secs(30);

/// Time after a return within which leaving again counts as soon.
const REPEAT_TIME: Duration = Duration::from_secs(30);

/// Load from which on a gateway leaves. It does not return with more, however busy others are.
const FULL_LOAD: f64 = 1.0;

/// Load below which a gateway returns.
const RETURN_LOAD: f64 = 0.5;

/// Time out of rotation before connections are closed. Until the platform has noticed, their callers would
/// connect to the same gateway.
const CLOSE_DELAY: Duration = Duration::from_secs(2);

/// Load down to which connections are closed while the gateway is out of rotation.
const CLOSE_LOAD: f64 = 0.6;

/// Part of the known gateways that must have room, for a gateway to leave the rotation.
const MIN_ROOM: f64 = 0.5;

/// Part of the known gateways that must have room, for a gateway to stay out.
const MIN_ROOM_TO_STAY: f64 = 0.25;

/// Gateways of which one at most may be out of rotation. The platform penalizes fleets that are not
/// ready for an eighth of the time.
const FLEET_PER_OUT: f64 = 8.0;

/// Peers to which a gateway announces that it left or returned, at most.
pub const MAX_TOLD: usize = 32;

/// Time after which a gateway that is out announces it again. Loads are known for twice as long.
pub const ANNOUNCE_INTERVAL: Duration = Duration::from_secs(5);

/// Gateways whose loads must be known. A gateway with a full link gets few replies: 2 to 9 loads of 30
/// were known to one.
const MIN_KNOWN: usize = 2;

/// Largest chance that a connection is closed after a response. Most callers send a few requests a
/// second on a connection, and the load falls about a second after connections were closed.
const MAX_CLOSE_CHANCE: f64 = 0.5;

/// What a gateway knows of itself and of others.
#[derive(Clone, Copy, Debug)]
pub struct Signs {
    /// Its own load; 1 and more is too much.
    pub load: f64,
    /// Part of the gateways with recent loads that have room.
    pub room: f64,
    /// Whether its own VM is so slow that what it knows of the store is too old to act on.
    pub is_stale: bool,
    /// Gateways in the fleet, including this one.
    pub fleet: usize,
    /// Gateways with recent loads.
    pub known: usize,
    /// Gateways that announced that they are out of rotation.
    pub out: usize,
}

/// A change of the state.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Change {
    /// The gateway leaves the rotation.
    Left,
    /// It returns after this time.
    Returned(Duration),
}

/// Whether a gateway is out of rotation because of its load.
#[derive(Debug, Default)]
pub struct Rotation {
    /// Since when the gateway is out of rotation.
    out_since: Option<Duration>,
    /// Since when the load has called for the other state.
    changing_since: Option<Duration>,
    /// Minimum time out of rotation, of the last time or this one.
    min_time_out: Duration,
    returned_at: Option<Duration>,
}

impl Rotation {
    /// Whether the gateway is out of rotation.
    pub fn is_out(&self) -> bool {
        self.out_since.is_some()
    }

    /// Decides on the state, once for each tick.
    ///
    /// ```
    /// use std::time::Duration;
    /// use fulmarproxy::coordination::overload::rotation::{Change, Rotation, Signs};
    /// let mut rotation = Rotation::default();
    /// let ms = Duration::from_millis;
    /// let busy = Signs { load: 1.4, room: 0.9, is_stale: false, fleet: 31, known: 4, out: 0 };
    /// assert_eq!(rotation.tick(busy, ms(0)), None);
    /// assert_eq!(rotation.tick(busy, ms(1250)), Some(Change::Left));
    /// let idle = Signs { load: 0.2, ..busy };
    /// assert_eq!(rotation.tick(idle, ms(1300)), None);
    /// assert_eq!(rotation.tick(idle, ms(4250)), Some(Change::Returned(ms(3000))));
    /// ```
    pub fn tick(&mut self, signs: Signs, now: Duration) -> Option<Change> {
        if signs.is_stale {
            // It cannot serve anyone, whatever the others can. It learns little of them.
            self.changing_since = None;
            return self.out_since.is_none().then(|| self.leave(now));
        }
        let others_are_full =
            signs.known >= MIN_KNOWN && signs.room < MIN_ROOM_TO_STAY && signs.load < FULL_LOAD;
        let wants_change = match self.out_since {
            None => may_leave(&signs),
            Some(_) => signs.load < RETURN_LOAD || others_are_full,
        };
        if !wants_change {
            self.changing_since = None;
            return None;
        }
        let since = *self.changing_since.get_or_insert(now);
        let Some(left_at) = self.out_since else {
            return (now >= since + HIGH_TIME).then(|| self.leave(now));
        };
        let min_time_out = match others_are_full {
            true => MIN_TIME_OUT,
            false => self.min_time_out,
        };
        if now < (since + LOW_TIME).max(left_at + min_time_out) {
            return None;
        }
        self.out_since = None;
        self.changing_since = None;
        self.returned_at = Some(now);
        Some(Change::Returned(now - left_at))
    }

    fn leave(&mut self, now: Duration) -> Change {
        let is_repeated = self.returned_at.is_some_and(|at| now < at + REPEAT_TIME);
        self.min_time_out = match is_repeated {
            true => (self.min_time_out * 2).min(MAX_TIME_OUT),
            false => MIN_TIME_OUT,
        };
        self.out_since = Some(now);
        self.changing_since = None;
        Change::Left
    }

    /// Chance that a connection is closed after a response, so that its caller connects to another
    /// gateway.
    ///
    /// ```
    /// use fulmarproxy::coordination::overload::rotation::Rotation;
    /// let now = std::time::Duration::from_secs(9);
    /// assert_eq!(Rotation::default().close_chance(2.0, now), 0.0, "in rotation");
    /// ```
    pub fn close_chance(&self, load: f64, now: Duration) -> f64 {
        let is_noticed = self.out_since.is_some_and(|at| now >= at + CLOSE_DELAY);
        if !is_noticed || load <= CLOSE_LOAD {
            return 0.0;
        }
        MAX_CLOSE_CHANCE * (load - CLOSE_LOAD) / load
    }
}

fn may_leave(signs: &Signs) -> bool {
    let is_too_busy = signs.load >= FULL_LOAD;
    let others_have_room = signs.known >= MIN_KNOWN && signs.room >= MIN_ROOM;
    is_too_busy
        && others_have_room
        && (out_in_fleet(signs) + 1.0) * FLEET_PER_OUT <= signs.fleet as f64
}

/// Gateways out of rotation. In a large fleet each one tells only some others that it is.
fn out_in_fleet(signs: &Signs) -> f64 {
    let others = signs.fleet.saturating_sub(1) as f64;
    signs.out as f64 * (others / MAX_TOLD as f64).max(1.0)
}

#[cfg(test)]
mod tests {
    use super::*;

    const BUSY: Signs = Signs {
        load: 2.0,
        is_stale: false,
        room: 1.0,
        fleet: 31,
        known: 15,
        out: 0,
    };

    /// Plays ticks with the same signs; returns the time in seconds at which the state changed.
    fn play(rotation: &mut Rotation, signs: Signs, from: u64, ticks: u64) -> Option<u64> {
        (from..from + ticks).find(|tick| {
            rotation
                .tick(signs, Duration::from_millis(100 * tick))
                .is_some()
        })
    }

    /// Guards against a fleet that leaves the rotation when it is overloaded as a whole, and against more
    /// gateways out of rotation than the platform tolerates.
    #[test]
    fn a_gateway_stays_when_others_are_busy_unknown_or_out() {
        let stays = [
            Signs { room: 0.4, ..BUSY },
            Signs { known: 0, ..BUSY },
            Signs { known: 1, ..BUSY },
            Signs {
                fleet: 7,
                known: 6,
                ..BUSY
            },
            Signs { out: 3, ..BUSY },
            Signs {
                fleet: 470,
                out: 4,
                ..BUSY
            },
            Signs { load: 0.99, ..BUSY },
            Signs {
                load: f64::NAN,
                ..BUSY
            },
        ];
        for signs in stays {
            let mut rotation = Rotation::default();
            assert_eq!(play(&mut rotation, signs, 0, 100), None, "{signs:?}");
        }
        for (fleet, out) in [(31, 2), (470, 3)] {
            let leaves = Signs { fleet, out, ..BUSY };
            assert!(play(&mut Rotation::default(), leaves, 0, 100).is_some());
        }
    }

    /// Guards against leaving for a single burst, and against a state that changes faster than the
    /// platform probes it.
    #[test]
    fn short_changes_of_the_load_change_nothing() {
        let mut rotation = Rotation::default();
        for tick in 0..100 {
            let load = if tick % 13 == 12 { 0.1 } else { 5.0 };
            let signs = Signs { load, ..BUSY };
            assert_eq!(
                rotation.tick(signs, Duration::from_millis(100 * tick)),
                None
            );
        }
        let left = play(&mut rotation, BUSY, 100, 30).unwrap();
        let idle = Signs { load: 0.0, ..BUSY };
        let returned = play(&mut rotation, idle, left + 1, 100).unwrap();
        assert_eq!(returned - left, 30);
    }

    /// Guards against a gateway that stays out while the others are overloaded.
    #[test]
    fn a_gateway_returns_when_the_others_have_no_room() {
        let mut rotation = Rotation::default();
        let left = play(&mut rotation, BUSY, 0, 30).unwrap();
        let signs = Signs {
            room: 0.2,
            load: 0.9,
            ..BUSY
        };
        assert_eq!(play(&mut rotation, signs, left + 1, 100), Some(left + 30));
    }

    /// Guards against a gateway that returns to more callers than its link carries.
    #[test]
    fn a_gateway_stays_out_while_its_own_load_is_full() {
        let mut rotation = Rotation::default();
        let left = play(&mut rotation, BUSY, 0, 30).unwrap();
        let signs = Signs { room: 0.2, ..BUSY };
        assert_eq!(play(&mut rotation, signs, left + 1, 100), None);
        let signs = Signs { load: 0.9, ..signs };
        assert_eq!(
            play(&mut rotation, signs, left + 101, 100),
            Some(left + 106)
        );
    }

    /// Guards against a gateway that takes callers while it can serve none.
    #[test]
    fn a_gateway_with_stale_knowledge_is_out() {
        let mut rotation = Rotation::default();
        let stale = Signs {
            is_stale: true,
            room: 0.0,
            known: 0,
            load: 0.2,
            ..BUSY
        };
        assert_eq!(play(&mut rotation, stale, 0, 10), Some(0));
        assert_eq!(play(&mut rotation, stale, 1, 100), None);
        let signs = Signs {
            is_stale: false,
            ..stale
        };
        assert!(play(&mut rotation, signs, 101, 100).is_some());
    }

    /// Guards against a gateway that returns again and again to the same callers, and against one that stays
    /// out longer and longer for good.
    #[test]
    fn the_time_out_doubles_when_it_is_repeated() {
        let mut rotation = Rotation::default();
        // A gateway that is not busy asks others rarely, so that it knows no recent loads.
        let idle = Signs {
            load: 0.0,
            room: 0.0,
            known: 0,
            ..BUSY
        };
        let mut now = 0;
        for expected in [30, 60, 120, 240, 300, 300] {
            let left = play(&mut rotation, BUSY, now, 30).unwrap();
            now = play(&mut rotation, idle, left + 1, 1000).unwrap() + 1;
            assert_eq!(now - 1 - left, expected);
        }
        let left = play(&mut rotation, BUSY, now + 1000, 30).unwrap();
        let returned = play(&mut rotation, idle, left + 1, 1000).unwrap();
        assert_eq!(returned - left, 30);
    }

    /// Guards against closing connections of a gateway that could serve them.
    #[test]
    fn connections_are_closed_until_the_load_is_low() {
        let mut rotation = Rotation::default();
        let chance = |rotation: &Rotation, load, tick: u64| {
            rotation.close_chance(load, Duration::from_millis(100 * tick))
        };
        assert_eq!(chance(&rotation, 9.0, 100), 0.0);
        let left = play(&mut rotation, BUSY, 0, 30).unwrap();
        assert_eq!(chance(&rotation, 9.0, left + 19), 0.0, "not noticed yet");
        assert_eq!(chance(&rotation, CLOSE_LOAD, left + 20), 0.0);
        assert!(chance(&rotation, 1.2, left + 20) > 0.1);
        assert!(chance(&rotation, 100.0, left + 20) <= MAX_CLOSE_CHANCE);
    }
}
