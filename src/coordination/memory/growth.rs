//! Growth of the buffer of a body.

/// First capacity, in bytes; most bodies fit into it.
const FIRST_BYTES: usize = 16 * 1024;

/// Announced length up to which a buffer gets its whole capacity at once, in bytes.
const ANNOUNCED_BYTES: usize = 64 * 1024;

/// Returns the capacity, in bytes, to which a buffer of `current` bytes grows that must hold `needed`.
///
/// It grows by half, so that copying stays cheap, and never beyond `max`, so that a body is not charged for
/// more than it may contain. `max` is the announced length or, without one, the limit.
///
/// ```
/// use fulmarproxy::coordination::memory::growth;
/// assert_eq!(growth::capacity(0, 1, 300), 300, "a short body gets all it may need");
/// assert_eq!(growth::capacity(0, 1, 1 << 20), 16 * 1024);
/// assert_eq!(growth::capacity(100_000, 100_001, 1 << 20), 150_000);
/// assert_eq!(growth::capacity(100_000, 100_001, 120_000), 120_000, "not beyond the limit");
/// assert_eq!(growth::capacity(200, 100, 300), 200, "it does not shrink");
/// ```
pub fn capacity(current: usize, needed: usize, max: usize) -> usize {
    if needed <= current {
        return current;
    }
    let grown = match max <= ANNOUNCED_BYTES {
        true => max,
        false => (current + current / 2).max(FIRST_BYTES),
    };
    grown.min(max).max(needed)
}
