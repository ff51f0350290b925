//! Bodies that are sent too slowly, or that consist of the framing of chunks.

use std::time::Duration;

/// Factor between the bandwidth at which a body is expected to arrive at most and that of the link, which may
/// carry more than its nominal bandwidth for a short time.
const BURST_FACTOR: u64 = 2;

/// Framing of chunks that any body may have, in bytes, and the framing for each byte of content. Chunks of
/// one byte have five bytes of framing for each byte of content.
const FRAMING_BYTES: u64 = 16 * 1024;
const FRAMING_RATIO: u64 = 8;

/// Longest time for which a client may send nothing while `missing` bytes of its announced length can still
/// arrive in the time `left`, over a link of `link` bytes per second. `None` when they cannot.
///
/// ```
/// use std::time::Duration;
/// use fulmarproxy::coordination::limits::body_pace;
/// let left = Duration::from_secs(3);
/// let longest = body_pace::longest_pause(2_500_000, left, 1_250_000);
/// assert_eq!(longest, Some(Duration::from_secs(2)));
/// assert_eq!(body_pace::longest_pause(0, left, 1_250_000), Some(left));
/// assert_eq!(body_pace::longest_pause(10_000_000, left, 1_250_000), None);
/// ```
pub fn longest_pause(missing: u64, left: Duration, link: u64) -> Option<Duration> {
    let micros = u128::from(missing) * 1_000_000 / u128::from((link * BURST_FACTOR).max(1));
    left.checked_sub(Duration::from_micros(u64::try_from(micros).ok()?))
}

/// Whether a chunked body has more framing than its content justifies.
///
/// ```
/// use fulmarproxy::coordination::limits::body_pace;
/// assert!(!body_pace::is_mostly_framing(5_000_000, 1_000_000), "chunks of one byte");
/// assert!(body_pace::is_mostly_framing(200_000, 1_000), "long extensions of chunks");
/// ```
pub fn is_mostly_framing(framing: u64, content: u64) -> bool {
    framing > FRAMING_BYTES + content.saturating_mul(FRAMING_RATIO)
}
