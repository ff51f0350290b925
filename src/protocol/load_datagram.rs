//! Datagrams between gateways and carriers about the load of backend servers.
//!
//! Their layout is fixed and big-endian. Datagrams of another version, kind or length are rejected.

use std::time::Duration;

use crate::coordination::placing::{load_subscribers, server_load};

/// Length of the longest datagram, in bytes.
pub const MAX_LEN: usize = LOAD_LEN;

const MAGIC: [u8; 2] = *b"fL";
const VERSION: u8 = 1;
const SUBSCRIBE: u8 = 1;
const LOAD: u8 = 2;
const SUBSCRIBE_LEN: usize = 16;
const LOAD_LEN: usize = 50;

/// Largest number of requests that a load may name.
pub const MAX_REQUESTS: u32 = u16::MAX as u32;

/// Largest number of tokens that a load may name.
pub const MAX_TOKENS: u64 = u32::MAX as u64;

/// Longest times that a load may name.
const MAX_MILLIS: u16 = 60_000;
const MAX_EVENT_MICROS: u32 = 60_000_000;

/// The load of a backend server, as a carrier sends it to a subscriber.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Load {
    /// The subscription that it answers.
    pub subscription: load_subscribers::Subscription,
    /// Time between the arrival of the subscription and the sending of the load.
    pub held: Duration,
    /// Age of the values when they are sent.
    pub age: Duration,
    /// Port of the backend server.
    pub port: u16,
    /// Start time of its process in Unix milliseconds; 0 when not known.
    pub started_unix_ms: u64,
    /// The values.
    pub reported: server_load::Reported,
}

impl Load {
    /// Age of the values at `now` on the gateway's clock; `None` when the subscription that the load
    /// answers was not sent yet.
    ///
    /// The values were read `held - age` after the subscription arrived, which was after it was sent.
    /// So the age is never too low, however late the datagram is handled, and too high by the time
    /// that the subscription took.
    ///
    /// ```
    /// use std::time::Duration;
    /// use fulmarproxy::{
    ///     coordination::placing::load_subscribers::Subscription, protocol::load_datagram::Load,
    /// };
    /// let ms = Duration::from_millis;
    /// let load = Load {
    ///     subscription: Subscription { nonce: 1, sent_at_ms: 1000 }, held: ms(400), age: ms(30),
    ///     port: 80, started_unix_ms: 0, reported: Default::default(),
    /// };
    /// assert_eq!(load.age_at(ms(1410)), Some(ms(40)));
    /// assert_eq!(load.age_at(ms(5410)), Some(ms(4040)), "it was on its way for 4 s");
    /// assert_eq!(load.age_at(ms(900)), None);
    /// ```
    pub fn age_at(&self, now: Duration) -> Option<Duration> {
        let since = now.checked_sub(Duration::from_millis(self.subscription.sent_at_ms))?;
        Some((since + self.age).saturating_sub(self.held).max(self.age))
    }
}

/// Appends fields to a datagram.
struct Writer(Vec<u8>);

impl Writer {
    fn new(kind: u8, len: usize) -> Self {
        let mut bytes = Vec::with_capacity(len);
        bytes.extend_from_slice(&MAGIC);
        bytes.extend_from_slice(&[VERSION, kind]);
        Self(bytes)
    }

    fn u16(&mut self, value: u16) {
        self.0.extend_from_slice(&value.to_be_bytes());
    }

    fn u32(&mut self, value: u32) {
        self.0.extend_from_slice(&value.to_be_bytes());
    }

    fn u64(&mut self, value: u64) {
        self.0.extend_from_slice(&value.to_be_bytes());
    }

    fn subscription(&mut self, subscription: &load_subscribers::Subscription) {
        self.u32(subscription.nonce);
        self.u64(subscription.sent_at_ms);
    }
}

/// Takes fields from a datagram whose length has been checked.
struct Reader<'a>(&'a [u8]);

impl<'a> Reader<'a> {
    /// Reader of the fields after the header; `None` when the datagram is of another version, kind or
    /// length.
    fn new(bytes: &'a [u8], kind: u8, len: usize) -> Option<Self> {
        let header = [MAGIC[0], MAGIC[1], VERSION, kind];
        (bytes.len() == len && bytes.starts_with(&header)).then(|| Self(&bytes[4..]))
    }

    fn take<const N: usize>(&mut self) -> Option<[u8; N]> {
        let (field, rest) = self.0.split_first_chunk()?;
        self.0 = rest;
        Some(*field)
    }

    fn u16(&mut self, max: u16) -> Option<u16> {
        self.take().map(u16::from_be_bytes).filter(|it| *it <= max)
    }

    fn u32(&mut self, max: u32) -> Option<u32> {
        self.take().map(u32::from_be_bytes).filter(|it| *it <= max)
    }

    fn u64(&mut self, max: u64) -> Option<u64> {
        self.take().map(u64::from_be_bytes).filter(|it| *it <= max)
    }

    fn subscription(&mut self) -> Option<load_subscribers::Subscription> {
        Some(load_subscribers::Subscription {
            nonce: self.u32(u32::MAX)?,
            // Beyond this, times overflow when they are added.
            sent_at_ms: self.u64(u64::MAX / 2)?,
        })
    }
}

/// Encodes a subscription.
///
/// ```
/// use fulmarproxy::{coordination::placing::load_subscribers::Subscription, protocol::load_datagram};
/// let subscription = Subscription { nonce: 7, sent_at_ms: 1000 };
/// let bytes = load_datagram::encode_subscription(&subscription);
/// assert_eq!(load_datagram::decode_subscription(&bytes), Some(subscription));
/// assert_eq!(load_datagram::decode_subscription(&bytes[1..]), None);
/// ```
pub fn encode_subscription(subscription: &load_subscribers::Subscription) -> Vec<u8> {
    let mut writer = Writer::new(SUBSCRIBE, SUBSCRIBE_LEN);
    writer.subscription(subscription);
    writer.0
}

/// Decodes a subscription; `None` when the datagram is another one.
pub fn decode_subscription(bytes: &[u8]) -> Option<load_subscribers::Subscription> {
    Reader::new(bytes, SUBSCRIBE, SUBSCRIBE_LEN)?.subscription()
}

fn millis(time: Duration) -> u16 {
    time.as_millis().min(MAX_MILLIS.into()) as u16
}

/// Encodes a load. Values over the limits are sent as the limits.
pub fn encode_load(load: &Load) -> Vec<u8> {
    let mut writer = Writer::new(LOAD, LOAD_LEN);
    let reported = &load.reported;
    writer.subscription(&load.subscription);
    writer.u16(millis(load.held));
    writer.u16(millis(load.age));
    writer.u16(load.port);
    writer.u64(load.started_unix_ms);
    writer.u16(reported.waiting.min(MAX_REQUESTS) as u16);
    writer.u16(reported.running.min(MAX_REQUESTS) as u16);
    writer.u32(reported.unread_tokens.min(MAX_TOKENS) as u32);
    writer.u32(reported.used_tokens.min(MAX_TOKENS) as u32);
    writer.u32(reported.total_tokens.min(MAX_TOKENS) as u32);
    // 0 stands for an unknown time.
    let event_micros = reported.event_time.map_or(0, |time| {
        time.as_micros().clamp(1, MAX_EVENT_MICROS.into()) as u32
    });
    writer.u32(event_micros);
    writer.0
}

/// Decodes a load; `None` when the datagram is another one or a value is over its limit.
///
/// ```
/// use fulmarproxy::protocol::load_datagram;
/// assert_eq!(load_datagram::decode_load(b"?"), None);
/// ```
pub fn decode_load(bytes: &[u8]) -> Option<Load> {
    let mut reader = Reader::new(bytes, LOAD, LOAD_LEN)?;
    let subscription = reader.subscription()?;
    let held = Duration::from_millis(reader.u16(MAX_MILLIS)?.into());
    let age = Duration::from_millis(reader.u16(MAX_MILLIS)?.into());
    let port = reader.u16(u16::MAX)?;
    let started_unix_ms = reader.u64(u64::MAX)?;
    let reported = server_load::Reported {
        waiting: reader.u16(u16::MAX)?.into(),
        running: reader.u16(u16::MAX)?.into(),
        unread_tokens: reader.u32(u32::MAX)?.into(),
        used_tokens: reader.u32(u32::MAX)?.into(),
        total_tokens: reader.u32(u32::MAX)?.into(),
        event_time: match reader.u32(MAX_EVENT_MICROS)? {
            0 => None,
            micros => Some(Duration::from_micros(micros.into())),
        },
    };
    Some(Load {
        subscription,
        held,
        age,
        port,
        started_unix_ms,
        reported,
    })
}

#[cfg(test)]
mod tests {
    use super::*;

    fn load() -> Load {
        Load {
            subscription: load_subscribers::Subscription {
                nonce: u32::MAX,
                sent_at_ms: 123_456,
            },
            held: Duration::from_millis(2900),
            age: Duration::from_millis(12),
            port: 8000,
            started_unix_ms: 1_791_933_837_247,
            reported: server_load::Reported {
                waiting: 3,
                running: 12,
                unread_tokens: 40_000,
                used_tokens: 19_991,
                total_tokens: 364_889,
                event_time: Some(Duration::from_micros(21_500)),
            },
        }
    }

    /// Guards against values that change on their way, and against a length that is not checked.
    #[test]
    fn a_load_is_decoded_as_it_was_encoded_at_its_whole_length_only() {
        let bytes = encode_load(&load());
        assert_eq!(bytes.len(), LOAD_LEN);
        assert_eq!(decode_load(&bytes), Some(load()));
        for len in 0..bytes.len() {
            assert_eq!(decode_load(&bytes[..len]), None);
        }
        assert_eq!(decode_load(&[&bytes[..], &[0]].concat()), None);
        assert_eq!(decode_subscription(&bytes), None);
    }

    /// Guards against a damaged datagram that panics or yields values over the limits.
    #[test]
    fn a_damaged_load_has_values_within_the_limits_or_none() {
        let mut rng = fastrand::Rng::with_seed(1);
        for _ in 0..100_000 {
            let mut bytes = encode_load(&load());
            for _ in 0..rng.usize(1..4) {
                let at = rng.usize(..bytes.len());
                bytes[at] ^= 1 << rng.u32(..8);
            }
            let Some(found) = decode_load(&bytes) else {
                continue;
            };
            assert!(found.reported.running <= MAX_REQUESTS);
            assert!(found.reported.unread_tokens <= MAX_TOKENS);
            let age = found.age_at(Duration::from_secs(200));
            assert!(age.is_none_or(|age| age >= found.age));
        }
    }
}
