//! Transfers of tokens between two holders.
//!
//! Calls carry cumulative totals instead of amounts, so that repeated, lost or late messages move
//! no token twice.

use crate::{coordination::account, state::member};

/// The giver's step: takes up to `wanted` tokens out of the giver's account before the reply is
/// sent, and returns the total ever given to the asker.
///
/// `received` is the total that the asker has received so far. When it is less than the total
/// given, the giver returns that total again and gives nothing more, so that a repeated or late
/// call moves no second amount.
///
/// ```
/// use fulmarproxy::coordination::{account, draw};
/// let mut giver = account::Account::default();
/// giver.share.granted = 10;
/// assert_eq!(draw::give(&mut giver, 7, 0, 4), 4);
/// assert_eq!(draw::give(&mut giver, 7, 0, 4), 4);
/// assert_eq!(giver.available(), 6);
/// ```
pub fn give(
    giver: &mut account::Account,
    asker: member::Incarnation,
    received: u64,
    wanted: u64,
) -> u64 {
    let given = giver.figures.given.get(&asker).copied().unwrap_or(0);
    if given > received {
        return given;
    }
    let tokens = wanted.min(giver.available());
    if tokens == 0 {
        return given;
    }
    giver.figures.given.insert(asker, given + tokens);
    given + tokens
}

/// The asker's step: records the total that the giver returned; returns the number of new tokens.
///
/// ```
/// use fulmarproxy::coordination::{account, draw};
/// let mut asker = account::Account::default();
/// assert_eq!(draw::accept(&mut asker, 8, 4), 4);
/// assert_eq!(draw::accept(&mut asker, 8, 4), 0);
/// assert_eq!(asker.available(), 4);
/// ```
pub fn accept(asker: &mut account::Account, giver: member::Incarnation, given: u64) -> u64 {
    let received = received(asker, giver);
    if given <= received {
        return 0;
    }
    asker.figures.received.insert(giver, given);
    given - received
}

/// Total tokens that an asker ever received from a giver.
pub fn received(asker: &account::Account, giver: member::Incarnation) -> u64 {
    let received = asker.figures.received.get(&giver);
    received.copied().unwrap_or(0)
}
