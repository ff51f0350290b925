//! Division of the memory and the descriptors of a VM.

/// Memory that a process needs without any caller, in bytes. A gateway has 9 MB after its start; lists of
/// servers, budgets, and the pages of the program itself add to that.
const IDLE_BYTES: usize = 18_000_000;

/// Parts of the other memory, in hundredths: buffers of callers' connections, and requests and responses. The
/// rest covers connections to servers and memory that the allocator cannot reuse.
const CONNECTION_SHARE: usize = 45;
const ACCOUNT_SHARE: usize = 35;

/// Memory of one caller's connection, in bytes: one of its two kernel buffers ([`SOCKET_BYTES`] counts twice in
/// the kernel), its read buffer and its task. A connection whose receive buffer is full is not sent much.
const CONNECTION_BYTES: usize = 2 * SOCKET_BYTES + 16 * 1024;

/// Size to which the kernel's receive buffer and send buffer of a caller's socket are set, in bytes. The kernel
/// doubles it. A window of 16 KiB carries 100 Mbit/s at a round trip of 1.3 ms; by default the kernel lets
/// buffers grow to several megabytes.
pub const SOCKET_BYTES: usize = 16 * 1024;

/// Descriptors for files, as the platform states it.
const FILE_FDS: usize = 200;

/// Descriptors for the store, and for readiness, metrics and listeners.
const RESERVED_FDS: usize = 64;

/// Part of the other descriptors that is for connections of peers: a fourth. The rest is for callers and servers.
const PEER_SHARE: usize = 4;

/// Connections of callers, and of peers, that are accepted however small the VM is.
const MIN_CONNECTIONS: usize = 16;

/// What a process may use for its callers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Plan {
    /// Bytes of requests and responses.
    pub account_bytes: usize,
    /// Connections of callers.
    pub callers: usize,
    /// Connections of peers.
    pub peers: usize,
}

/// Divides `memory` bytes and `fds` descriptors. Each request in flight takes two descriptors, one for its caller
/// and one for its server.
///
/// ```
/// use fulmarproxy::coordination::memory::plan;
/// let smallest = plan::divide(120_000_000, 3_075);
/// assert_eq!((smallest.account_bytes, smallest.callers), (35_700_000, 933));
/// let largest = plan::divide(512_000_000, 10_250);
/// assert_eq!((largest.account_bytes, largest.callers), (172_900_000, 3_745));
/// assert_eq!(plan::divide(160_000_000, 4_100).callers, 1_300);
/// assert_eq!((smallest.peers, largest.peers), (702, 2_496));
/// assert_eq!(plan::divide(512_000_000, 600).callers, 126, "bounded by the descriptors");
/// assert_eq!(plan::divide(0, 0).callers, 16);
/// ```
pub fn divide(memory: usize, fds: usize) -> Plan {
    let free = memory.saturating_sub(IDLE_BYTES);
    let by_memory = free / 100 * CONNECTION_SHARE / CONNECTION_BYTES;
    let free_fds = fds.saturating_sub(FILE_FDS + RESERVED_FDS);
    let peers = free_fds / PEER_SHARE;
    let by_fds = (free_fds - peers) / 2;
    Plan {
        account_bytes: free / 100 * ACCOUNT_SHARE,
        callers: by_memory.min(by_fds).max(MIN_CONNECTIONS),
        peers: peers.max(MIN_CONNECTIONS),
    }
}
