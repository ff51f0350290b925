//! The attempts that an agent has charged or still runs for each holder, and the holders and
//! requests for which it has promised to begin nothing more.

use std::collections::{BTreeMap, BTreeSet, HashMap};

use crate::state::{member, name, receipt};

/// Why an attempt was refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BeginError {
    /// The holder is fenced.
    Fenced,
    /// This agent has promised the holder not to begin the request any more.
    Forbidden,
    /// This attempt is already running.
    AlreadyRunning,
}

/// A running attempt, which is not charged yet.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OpenAttempt {
    /// Budget that is charged.
    pub budget: name::Name,
    /// Tokens reserved: the most that the attempt can use.
    pub bound: u64,
}

type AttemptId = (name::Name, u32);

/// Receipts and running attempts of one agent, by holder.
#[derive(Debug, Default)]
pub struct ReceiptLog {
    holders: HashMap<member::Incarnation, HolderReceipts>,
    fenced: BTreeSet<member::Incarnation>,
    forbidden: BTreeSet<name::Name>,
}

#[derive(Debug, Default)]
struct HolderReceipts {
    /// Number of the last receipt.
    last: u64,
    /// Receipts that the holder has not acknowledged.
    kept: BTreeMap<u64, receipt::Receipt>,
    open: BTreeMap<AttemptId, OpenAttempt>,
}

impl ReceiptLog {
    /// Begins an attempt; it counts as running until [`end`](Self::end).
    ///
    /// # Errors
    ///
    /// [`BeginError`] when the attempt must not begin.
    ///
    /// ```
    /// use fulmarproxy::coordination::receipt_log;
    /// let mut log = receipt_log::ReceiptLog::default();
    /// let open = receipt_log::OpenAttempt { budget: "desk".into(), bound: 5 };
    /// assert!(log.begin(1, "r".into(), 0, open.clone()).is_ok());
    /// log.fence_holders([1]);
    /// assert!(log.begin(1, "s".into(), 0, open).is_err());
    /// assert!(!log.receipts_after(1, 0)[0].is_charged());
    /// ```
    pub fn begin(
        &mut self,
        holder: member::Incarnation,
        request: name::Name,
        attempt: u32,
        open: OpenAttempt,
    ) -> Result<(), BeginError> {
        if self.fenced.contains(&holder) {
            return Err(BeginError::Fenced);
        }
        if self.forbidden.contains(&request) {
            return Err(BeginError::Forbidden);
        }
        let receipts = self.holders.entry(holder).or_default();
        let id = (request, attempt);
        if receipts.open.contains_key(&id) {
            return Err(BeginError::AlreadyRunning);
        }
        receipts.open.insert(id, open);
        Ok(())
    }

    /// Ends an attempt that was charged or did not run; returns whether it counted as running.
    pub fn end(&mut self, holder: member::Incarnation, request: &name::Name, attempt: u32) -> bool {
        let receipts = self.holders.entry(holder).or_default();
        let id = (request.clone(), attempt);
        receipts.open.remove(&id).is_some()
    }

    /// Refuses all further attempts of a request.
    ///
    /// ```
    /// use fulmarproxy::coordination::receipt_log;
    /// let mut log = receipt_log::ReceiptLog::default();
    /// log.forbid_request("r".into());
    /// let open = receipt_log::OpenAttempt { budget: "desk".into(), bound: 5 };
    /// assert!(log.begin(1, "r".into(), 0, open).is_err());
    /// ```
    pub fn forbid_request(&mut self, request: name::Name) {
        self.forbidden.insert(request);
    }

    /// Refuses all further attempts of some holders.
    pub fn fence_holders(&mut self, holders: impl IntoIterator<Item = member::Incarnation>) {
        self.fenced.extend(holders);
    }

    /// Creates the next receipt of a holder and keeps it until it is acknowledged.
    ///
    /// ```
    /// let mut log = fulmarproxy::coordination::receipt_log::ReceiptLog::default();
    /// let receipt = log.charge(1, "r".into(), "desk".into(), 5);
    /// assert_eq!(receipt.number, 1);
    /// assert_eq!(log.receipts_after(1, 0), [receipt]);
    /// ```
    pub fn charge(
        &mut self,
        holder: member::Incarnation,
        request: name::Name,
        budget: name::Name,
        tokens: u64,
    ) -> receipt::Receipt {
        let receipts = self.holders.entry(holder).or_default();
        receipts.last += 1;
        let receipt = receipt::Receipt {
            number: receipts.last,
            request,
            budget,
            tokens,
            ran: true,
        };
        receipts.kept.insert(receipt.number, receipt.clone());
        receipt
    }

    /// Drops the receipts up to number `through`, which the holder has stored durably.
    pub fn acknowledge(&mut self, holder: member::Incarnation, through: u64) {
        if let Some(receipts) = self.holders.get_mut(&holder) {
            receipts.kept = receipts.kept.split_off(&(through + 1));
        }
    }

    /// A holder's running attempts as receipts numbered [`receipt::OPEN_NUMBER`], followed by its
    /// receipts with numbers above `after`, in order.
    pub fn receipts_after(&self, holder: member::Incarnation, after: u64) -> Vec<receipt::Receipt> {
        let Some(receipts) = self.holders.get(&holder) else {
            return Vec::new();
        };
        let open = receipts
            .open
            .iter()
            .map(|((request, _), open)| receipt::Receipt {
                number: receipt::OPEN_NUMBER,
                request: request.clone(),
                budget: open.budget.clone(),
                tokens: open.bound,
                ran: true,
            });
        let kept = receipts.kept.range(after + 1..);
        let charged = kept.map(|(_, receipt)| receipt.clone());
        open.chain(charged).collect()
    }
}
