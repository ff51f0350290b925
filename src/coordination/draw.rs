//! Transfers of tokens between two holders, by cumulative figures.

use crate::{coordination::account, state::member};

/// The giver's step: lowers the own tokens first; returns all tokens ever given to the asker.
///
/// When the asker has not yet received everything given before, that is sent again and nothing
/// is added: a repeated or late call moves no second amount.
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

/// The asker's step: takes over the giver's figure; returns the tokens that are new.
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

/// All tokens that an asker ever received from a giver.
pub fn received(asker: &account::Account, giver: member::Incarnation) -> u64 {
    let received = asker.figures.received.get(&giver);
    received.copied().unwrap_or(0)
}
