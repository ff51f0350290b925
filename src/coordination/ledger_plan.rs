//! Plans the writes of a budget's ledger, in a store that may come back from a copy.
//!
//! Such a store has forgotten what was written in the seconds before: grants, returns and closings.
//! It says so by a higher era. Four rules keep the sum of all grants within the prepaid total,
//! whatever is lost with it:
//!
//! 1. Nothing is granted from a ledger that was not settled in the store's era. To settle it, every
//!    holder that is known writes its own account again, which it knows best, and each router adds
//!    what it remembers of the others (`merge`).
//! 2. A ledger names a ceiling before grants pass the one before; a ceiling takes effect when it is
//!    older than any copy ([`MAX_COPY_AGE`]). So the copy bounds what was granted after it, also
//!    when every router that knew has died. Tokens up to the ceiling are in doubt while a holder is
//!    missing.
//! 3. Holders whose entries are younger than that are granted at most [`allowance`] together, since
//!    a copy may not name them. That much is set aside with each era.
//! 4. A closing is folded into the total only when it is older than any copy.
//!
//! In a store that names no era none of this applies: it is taken to keep what it acknowledged.

use std::{collections::HashMap, time::Duration};

use crate::{
    coordination::budgets::share,
    state::{
        name,
        share_ledger::{Holding, ShareLedger},
    },
};

/// Greatest age of a copy from which the store comes back.
pub const MAX_COPY_AGE: Duration = Duration::from_secs(8);

/// Time that routers have to write their accounts again before those that are missing are in doubt.
pub const REPORT_TIME: Duration = Duration::from_secs(2);

/// Divisor of the prepaid total in [`allowance`].
const ALLOWANCE_DIVISOR: u64 = 10;

/// Divisor of the prepaid total in the least headroom of a ceiling.
const HEADROOM_DIVISOR: u64 = 4;

/// Tokens that holders with young entries may be granted together, and that the first ceiling of a
/// ledger amounts to.
///
/// ```
/// assert_eq!(fulmarproxy::coordination::ledger_plan::allowance(1000), 100);
/// ```
pub fn allowance(prepaid: u64) -> u64 {
    prepaid / ALLOWANCE_DIVISOR
}

/// When this router first saw the parts of ledgers whose age matters, since the store's last era
/// began. A part is as old as the oldest time at which any router saw it, so this errs on the young
/// side.
#[derive(Debug, Default)]
pub struct Sightings {
    ceilings: HashMap<(name::Name, u64), Duration>,
    holders: HashMap<(name::Name, String), Duration>,
    closings: HashMap<(name::Name, String), Duration>,
}

impl Sightings {
    /// Notes a ledger that the store holds.
    pub fn note(&mut self, workspace: &name::Name, ledger: &ShareLedger, now: Duration) {
        self.ceilings
            .retain(|(known, ceiling), _| known != workspace || *ceiling == ledger.next_ceiling);
        let ceiling = (workspace.clone(), ledger.next_ceiling);
        self.ceilings.entry(ceiling).or_insert(now);
        let young = ledger.holders.iter().filter(|(_, held)| !held.is_aged);
        for (holder, _) in young {
            let key = (workspace.clone(), holder.clone());
            self.holders.entry(key).or_insert(now);
        }
        for closing in &ledger.closings {
            let key = (workspace.clone(), closing.holder.clone());
            self.closings.entry(key).or_insert(now);
        }
        if self.holders.len() > ledger.holders.len() * 64 + 4096 {
            self.holders.retain(|_, at| now < *at + MAX_COPY_AGE * 4);
        }
        if self.closings.len() > ledger.closings.len() * 64 + 4096 {
            self.closings.clear();
        }
    }

    /// Forgets everything, because a new era of the store has begun.
    pub fn clear(&mut self) {
        *self = Self::default();
    }

    fn is_holder_old(&self, workspace: &name::Name, holder: &str, now: Duration) -> bool {
        let key = (workspace.clone(), holder.to_owned());
        Self::is_old(self.holders.get(&key), now)
    }

    fn is_old(at: Option<&Duration>, now: Duration) -> bool {
        at.is_some_and(|at| now >= *at + MAX_COPY_AGE)
    }
}

/// Adds to a ledger what is remembered of it from an earlier era or an earlier write.
///
/// Both come from one line of writes that a return to a copy has split. A holder's granted tokens
/// grow until its account is closed, so the larger figure is the later one.
pub fn merge(stored: &mut ShareLedger, remembered: &ShareLedger) {
    let is_same_total = stored.folded == remembered.folded;
    let mut other = remembered.closings.clone();
    if remembered.folded > stored.folded {
        stored.closed = remembered.closed;
        stored.folded = remembered.folded;
        stored.folded_holders = remembered.folded_holders.clone();
        other = std::mem::replace(&mut stored.closings, remembered.closings.clone());
    }
    for mut closing in other {
        if stored.is_closed(&closing.holder) {
            continue;
        }
        if !is_same_total {
            // The total may contain it already: count it again rather than subtract it again.
            closing.granted = closing.granted.max(0);
        }
        stored.closings.push_back(closing);
    }
    for (holder, held) in &remembered.holders {
        let entry = stored.holders.entry(holder.clone()).or_default();
        if held.spent > entry.spent {
            // That entry is the later one. Tokens given can be given back, so no figure is final.
            entry.given = held.given;
        }
        entry.granted = entry.granted.max(held.granted);
        entry.spent = entry.spent.max(held.spent);
        entry.era = entry.era.max(held.era);
        entry.is_aged |= held.is_aged;
    }
    let mut holders = std::mem::take(&mut stored.holders);
    holders.retain(|holder, _| !stored.is_closed(holder));
    stored.holders = holders;
    stored.set_aside = stored.set_aside.max(remembered.set_aside);
    stored.in_doubt = stored.in_doubt.max(remembered.in_doubt);
    stored.ceiling = stored.ceiling.max(remembered.ceiling);
    stored.next_ceiling = stored.next_ceiling.max(remembered.next_ceiling);
}

/// What a router knows when it plans the write of a ledger.
pub struct Context<'a> {
    /// Workspace of the budget.
    pub workspace: &'a name::Name,
    /// This router as a holder.
    pub holder: &'a str,
    /// Tokens granted to this router, and spent by it.
    pub own: Holding,
    /// Total of all tokens prepaid so far.
    pub prepaid: u64,
    /// Tokens that may be granted out of the total.
    pub grantable: u64,
    /// Tokens that demand uses in twice [`MAX_COPY_AGE`].
    pub demand: u64,
    /// Newest era of the store; 0 when the store names none.
    pub era: u64,
    /// Whether a ledger that does not exist was never written.
    pub is_new_fleet: bool,
    /// Whether a holder is another router that is gone.
    pub is_gone: &'a dyn Fn(&str) -> bool,
    /// Whether a holder had not been listed for so long before the era began that it was not
    /// granted anything that a copy could have forgotten.
    pub was_absent: &'a dyn Fn(&str) -> bool,
    /// Whether this router was missing from the list of members until less than [`MAX_COPY_AGE`]
    /// ago. Others may take it for absent, so its entry counts as young.
    pub is_returning: bool,
    /// Whether [`REPORT_TIME`] has passed since this router saw the era.
    pub has_waited: bool,
    /// What is remembered of the ledger from before.
    pub remembered: Option<&'a ShareLedger>,
    /// When parts of the ledger were first seen.
    pub sightings: &'a Sightings,
    /// Current time.
    pub now: Duration,
}

/// A planned write of a ledger.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Plan {
    /// The ledger to write.
    pub ledger: ShareLedger,
    /// Tokens that it grants to this router.
    pub granted: u64,
    /// Why fewer tokens are granted than the budget has left.
    pub hold: Option<Hold>,
}

/// Why tokens that a budget has left are not granted for now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Hold {
    /// Holders have not written their accounts since the store came back from a copy.
    Unsettled,
    /// The ceiling, or this router's entry, is too young.
    Young,
    /// Other routers' writes conflicted with every attempt.
    Contended,
}

/// Plans a write that adds this router's account to a ledger and grants it tokens; `stored` is
/// `None` for a ledger that does not exist, and `size` gives the tokens wanted out of what is left.
pub fn fill(
    stored: Option<ShareLedger>,
    context: &Context<'_>,
    size: impl Fn(share::Remaining) -> u64,
) -> Plan {
    let is_new = stored.is_none() && context.remembered.is_none() && context.is_new_fleet;
    let mut ledger = stored.unwrap_or_default();
    add_own(&mut ledger, context);
    if context.era == 0 {
        let granted = size(remaining(&ledger, context));
        grant(&mut ledger, context, granted);
        return Plan {
            ledger,
            granted,
            hold: None,
        };
    }
    if !settle(&mut ledger, context, is_new) {
        return Plan {
            ledger,
            granted: 0,
            hold: Some(Hold::Unsettled),
        };
    }
    let wanted = size(remaining(&ledger, context));
    let granted = wanted.min(limit(&ledger, context));
    grant(&mut ledger, context, granted);
    raise_ceiling(&mut ledger, context);
    Plan {
        ledger,
        granted,
        hold: (granted < wanted).then_some(Hold::Young),
    }
}

fn remaining(ledger: &ShareLedger, context: &Context<'_>) -> share::Remaining {
    share::Remaining {
        prepaid: context.prepaid,
        free: context.grantable.saturating_sub(ledger.granted()),
        lost: ledger.unspent(context.is_gone),
    }
}

/// Plans the write that closes this router's account; `None` when there is nothing to close.
///
/// A young entry stays open with what is left of it: a copy may name neither it nor its closing.
pub fn close(stored: Option<ShareLedger>, context: &Context<'_>) -> Option<ShareLedger> {
    let mut ledger = stored.unwrap_or_default();
    add_remembered(&mut ledger, context);
    if ledger.is_closed(context.holder) {
        return None;
    }
    let held = ledger.holders.get(context.holder).copied();
    let is_old = context.era == 0 || is_aged(held, context);
    if is_old {
        let closed = ledger.close(context.holder, context.own.granted, context.era);
        ledger.era = context.era;
        fold(&mut ledger, context);
        return closed.then_some(ledger);
    }
    let mut own = context.own;
    own.era = context.era;
    if held == Some(own) || (held.is_none() && own.granted == 0) {
        return None;
    }
    ledger.era = context.era;
    ledger.holders.insert(context.holder.to_owned(), own);
    Some(ledger)
}

fn is_aged(held: Option<Holding>, context: &Context<'_>) -> bool {
    let Context { sightings, now, .. } = context;
    let was_seen = sightings.is_holder_old(context.workspace, context.holder, *now);
    held.is_some_and(|held| held.is_aged || was_seen) && !context.is_returning
}

fn fold(ledger: &mut ShareLedger, context: &Context<'_>) {
    ledger.fold_closings(|closing| {
        let key = (context.workspace.clone(), closing.holder.clone());
        let seen = context.sightings.closings.get(&key);
        context.era == 0 || Sightings::is_old(seen, context.now)
    });
}

fn add_remembered(ledger: &mut ShareLedger, context: &Context<'_>) {
    if let Some(remembered) = context.remembered {
        merge(ledger, remembered);
    }
}

/// Writes into the ledger what this router knows: its own account, and what it remembers.
fn add_own(ledger: &mut ShareLedger, context: &Context<'_>) {
    let before = ledger.granted();
    let entry_era = ledger
        .holders
        .get(context.holder)
        .map_or(0, |held| held.era);
    add_remembered(ledger, context);
    if context.era > 0 {
        for (holder, held) in &mut ledger.holders {
            let sightings = context.sightings;
            held.is_aged |= sightings.is_holder_old(context.workspace, holder, context.now);
        }
    }
    let known = ledger.holders.get(context.holder).copied();
    let known = known.unwrap_or_default();
    let own = Holding {
        era: context.era,
        is_aged: known.is_aged && !context.is_returning,
        ..context.own
    };
    ledger.holders.insert(context.holder.to_owned(), own);
    if entry_era != context.era && ledger.settled_era == context.era {
        // What turns up after the ledger was settled was in doubt until now. An entry that was too
        // high left less room for doubt about the others.
        let after = ledger.granted();
        ledger.in_doubt += before.saturating_sub(after);
        ledger.in_doubt = ledger.in_doubt.saturating_sub(after.saturating_sub(before));
    }
    ledger.era = context.era;
    fold(ledger, context);
}

/// Settles a ledger in the store's era if that is possible; returns whether it is settled.
fn settle(ledger: &mut ShareLedger, context: &Context<'_>, is_new: bool) -> bool {
    let is_missing = ledger
        .holders
        .iter()
        .any(|(holder, held)| held.era != context.era && !(context.was_absent)(holder));
    if ledger.settled_era == context.era {
        resolve_doubt(ledger, context, is_missing);
        return true;
    }
    if is_missing && !context.has_waited {
        return false;
    }
    if !is_new {
        let bound = ledger.ceiling.max(ledger.next_ceiling);
        let room = bound
            .max(allowance(context.prepaid))
            .saturating_sub(ledger.granted());
        if is_missing {
            ledger.in_doubt += room;
        } else {
            let eras = context.era.saturating_sub(ledger.settled_era);
            let unknown = allowance(context.prepaid).saturating_mul(eras);
            ledger.set_aside += unknown.min(room);
            resolve_doubt(ledger, context, false);
        }
    }
    ledger.settled_era = context.era;
    true
}

/// Ends the doubt about holders once all of them have reported; those that nobody knows stay
/// possible.
fn resolve_doubt(ledger: &mut ShareLedger, context: &Context<'_>, is_missing: bool) {
    if !is_missing && ledger.in_doubt > 0 {
        ledger.set_aside += ledger.in_doubt.min(allowance(context.prepaid));
        ledger.in_doubt = 0;
    }
}

/// Tokens that may be granted to this router by the age of the ceiling and of the holders' entries.
fn limit(ledger: &ShareLedger, context: &Context<'_>) -> u64 {
    let ceiling = ledger.ceiling.max(allowance(context.prepaid));
    let ceiling = match is_ceiling_old(ledger, context) {
        true => ceiling.max(ledger.next_ceiling),
        false => ceiling,
    };
    let room = ceiling.saturating_sub(ledger.granted());
    let own = ledger.holders.get(context.holder).copied();
    if is_aged(own, context) {
        return room;
    }
    let young = ledger.holders.values().filter(|held| !held.is_aged);
    let young: i64 = young.map(|held| held.granted.max(0)).sum();
    let young = u64::try_from(young).unwrap_or(0);
    room.min(allowance(context.prepaid).saturating_sub(young))
}

fn is_ceiling_old(ledger: &ShareLedger, context: &Context<'_>) -> bool {
    let key = (context.workspace.clone(), ledger.next_ceiling);
    Sightings::is_old(context.sightings.ceilings.get(&key), context.now)
}

fn grant(ledger: &mut ShareLedger, context: &Context<'_>, tokens: u64) {
    if let Some(held) = ledger.holders.get_mut(context.holder) {
        held.granted += tokens as i64;
    }
}

/// Names the next ceiling when the one in effect will soon be reached.
fn raise_ceiling(ledger: &mut ShareLedger, context: &Context<'_>) {
    let initial = allowance(context.prepaid);
    let is_first = ledger.next_ceiling == 0;
    if !is_first && !is_ceiling_old(ledger, context) {
        return;
    }
    let in_effect = ledger.next_ceiling.max(ledger.ceiling).max(initial);
    let headroom = context.demand.max(context.prepaid / HEADROOM_DIVISOR);
    let next = context.grantable.min(ledger.granted() + headroom);
    if !is_first && ledger.granted() + headroom / 2 <= in_effect {
        return;
    }
    if next > in_effect {
        ledger.ceiling = in_effect;
        ledger.next_ceiling = next;
    }
}
