//! Groups of gateways that confirm each other's knowledge of the store.
//!
//! All gateways with the same list of members compute the same groups without communicating.

use crate::{coordination::rendezvous, state::name};

/// Maximum number of gateways in a group. A group costs the short watches of its leader, and a leader
/// has a tenth of a core for the calls of the others.
pub const MAX_GROUP: usize = 16;

/// VMs of the group that `own` belongs to, in the order in which their gateways lead it.
///
/// Each VM joins the group that ranks highest for it and has room, so that few change their group when
/// another one starts or stops. Incarnations play no part: two of a VM are listed after a restart, usually
/// with one address, and must not follow each other.
///
/// ```
/// use fulmarproxy::{coordination::configuration::watch_groups, state::name::Name};
/// let vms: Vec<Name> = (0..100).map(|n| format!("vm-{n}").as_str().into()).collect();
/// let group = watch_groups::group(&vms, "vm-7");
/// assert!(group.len() <= watch_groups::MAX_GROUP);
/// assert!(group.iter().all(|other| watch_groups::group(&vms, other) == group));
/// let alone = ["vm-7".into()];
/// assert_eq!(watch_groups::group(&alone, "vm-7"), alone);
/// ```
pub fn group(vms: &[name::Name], own: &str) -> Vec<name::Name> {
    let mut vms = rendezvous::rank(vms.to_vec(), 0);
    vms.dedup();
    let count = vms.len().div_ceil(MAX_GROUP).max(1);
    let mut groups: Vec<Vec<name::Name>> = vec![Vec::new(); count];
    let mut own_group = 0;
    for vm in vms {
        let weight = |group: &usize| rendezvous::weight(&vm, *group as u64 + 1);
        let with_room = (0..count).filter(|group| groups[*group].len() < MAX_GROUP);
        let joined = with_room.max_by_key(weight).unwrap_or(0);
        if *vm == *own {
            own_group = joined;
        }
        groups[joined].push(vm);
    }
    groups.swap_remove(own_group)
}

/// Hash of a list of members in any order, by which a change of the list is noticed.
///
/// ```
/// use fulmarproxy::coordination::configuration::watch_groups;
/// let hash = |members: &[&str]| watch_groups::members_hash(members.iter().copied());
/// assert_eq!(hash(&["a/1", "b/1"]), hash(&["b/1", "a/1"]));
/// assert_ne!(hash(&["a/1", "b/1"]), hash(&["a/1", "b/2"]));
/// ```
pub fn members_hash<'a>(members: impl Iterator<Item = &'a str>) -> u64 {
    let hashes = members.map(|member| rendezvous::weight(member, 0));
    hashes.fold(0, u64::wrapping_add)
}
