//! Rendezvous hashing: all members rank VMs for a hash in the same order without communicating.

use xxhash_rust::xxh3;

use crate::state::name;

/// Weight of a VM for a hash; the VM with the highest weight ranks first.
///
/// ```
/// use fulmarproxy::coordination::rendezvous;
/// assert_ne!(rendezvous::weight("a", 1), rendezvous::weight("b", 1));
/// ```
pub fn weight(vm: &str, hash: u64) -> u64 {
    xxh3::xxh3_64_with_seed(vm.as_bytes(), hash)
}

/// Ranks VMs for a hash, highest weight first.
///
/// ```
/// use fulmarproxy::coordination::rendezvous;
/// let ranked = rendezvous::rank(vec!["a".into(), "b".into()], 1);
/// assert_eq!(ranked, rendezvous::rank(vec!["b".into(), "a".into()], 1));
/// ```
pub fn rank(mut vms: Vec<name::Name>, hash: u64) -> Vec<name::Name> {
    vms.sort_by_cached_key(|vm| (std::cmp::Reverse(weight(vm, hash)), vm.clone()));
    vms
}
