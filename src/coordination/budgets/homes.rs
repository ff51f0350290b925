//! Which budgets have the same home.
//!
//! A ledger write covers several budgets, but only of one gateway. With a home of its own for each
//! of 24 budgets among 31 gateways, hardly any two refills could be combined. Budgets are therefore
//! divided into groups by hash, and each group has one home.

use crate::{coordination::rendezvous, state::name};

/// Number of groups of budgets.
///
/// The home of a group serves an eighth of the fleet's draws, about what the home of the largest
/// budget served when each budget had its own.
pub const GROUPS: u64 = 8;

/// Number of gateways from which on budgets share homes.
///
/// With four gateways few writes are saved. On a played day with a kill of all of them 6 to 9 % of the
/// requests were refused in 6 of 10 plays with shared homes, in 1 of 6 without; 1 to 2 % in the others.
pub const MIN_GATEWAYS: usize = 16;

/// Ranks gateways as homes of a budget, the home first. All budgets of a group have the same ranking in
/// a fleet of [`MIN_GATEWAYS`] or more; in a smaller one each budget has its own.
///
/// ```
/// use fulmarproxy::coordination::budgets::homes;
/// let gateways = || ["a", "b", "c"].map(Into::into).to_vec();
/// assert_eq!(homes::rank("desk", gateways()), homes::rank("desk", gateways()));
/// ```
pub fn rank(workspace: &str, gateways: Vec<name::Name>) -> Vec<name::Name> {
    let own = rendezvous::weight(workspace, 0);
    if gateways.len() < MIN_GATEWAYS {
        return rendezvous::rank(gateways, own);
    }
    rendezvous::rank(gateways, rendezvous::weight("budgets", own % GROUPS))
}
