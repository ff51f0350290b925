//! Whether a budget covers a request, as far as one router knows without asking others.

use crate::coordination::budgets::share;

/// How a request gets its tokens.
#[derive(Clone, Copy, Debug, PartialEq, Eq, derive_more::Display)]
pub enum Cover {
    /// This router's share covers it.
    #[display("covered")]
    Share,
    /// Tokens must be acquired first; whether there are enough is found out then.
    #[display("to_be_acquired")]
    Acquire,
    /// The home has just found that the tokens cannot be reached for now.
    #[display("unreachable")]
    Unreachable,
    /// The budget does not cover it.
    #[display("insufficient")]
    Insufficient,
}

/// Decides how a request that needs `needed` tokens gets them. `covers` says whether this router's share
/// has them, `found` is what this router found as the home of the budget a moment ago.
///
/// ```
/// use fulmarproxy::coordination::budgets::cover::{Cover, cover};
/// assert_eq!(cover(10, 1000, true, None), Cover::Share);
/// assert_eq!(cover(10, 1000, false, None), Cover::Acquire);
/// assert_eq!(cover(2000, 1000, false, None), Cover::Insufficient);
/// ```
pub fn cover(needed: u64, prepaid: u64, covers: bool, found: Option<&share::Exhausted>) -> Cover {
    match found {
        _ if covers => Cover::Share,
        _ if needed > share::grantable(prepaid) => Cover::Insufficient,
        Some(found) if found.is_certain => Cover::Insufficient,
        Some(_) => Cover::Unreachable,
        None => Cover::Acquire,
    }
}
