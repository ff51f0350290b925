//! What an agent has run for each holder, what still runs, and what it has promised not to run.

use std::collections::{BTreeMap, BTreeSet, HashMap};

use crate::state::{member, name, receipt};

/// Why an attempt must not begin.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BeginError {
    /// The holder is fenced.
    Fenced,
    /// The holder has been told that the request does not begin here any more.
    Forbidden,
    /// This attempt was begun before.
    Repeated,
}

/// An attempt that has begun and is not charged yet.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OpenAttempt {
    /// Budget that pays.
    pub budget: name::Name,
    /// Tokens reserved.
    pub bound: u64,
}

type AttemptId = (name::Name, u32);

/// Receipts by holder.
#[derive(Debug, Default)]
pub struct ReceiptLog {
    holders: HashMap<member::Incarnation, HolderReceipts>,
    fenced: BTreeSet<member::Incarnation>,
    forbidden: BTreeSet<name::Name>,
}

#[derive(Debug, Default)]
struct HolderReceipts {
    last: u64,
    kept: BTreeMap<u64, receipt::Receipt>,
    open: BTreeMap<AttemptId, OpenAttempt>,
}

impl ReceiptLog {
    /// Lets an attempt begin; it counts as running until [`end`](Self::end).
    ///
    /// # Errors
    ///
    /// [`BeginError`] tells why it must not begin.
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
            return Err(BeginError::Repeated);
        }
        receipts.open.insert(id, open);
        Ok(())
    }

    /// Ends an attempt that was charged or did not run; returns whether it was running.
    pub fn end(&mut self, holder: member::Incarnation, request: &name::Name, attempt: u32) -> bool {
        let receipts = self.holders.entry(holder).or_default();
        let id = (request.clone(), attempt);
        receipts.open.remove(&id).is_some()
    }

    /// Promises to begin no attempt of a request any more.
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

    /// Promises to begin nothing more for some holders.
    pub fn fence_holders(&mut self, holders: impl IntoIterator<Item = member::Incarnation>) {
        self.fenced.extend(holders);
    }

    /// Numbers and keeps a charge.
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

    /// Drops receipts that the holder has made durable.
    pub fn acknowledge(&mut self, holder: member::Incarnation, through: u64) {
        if let Some(receipts) = self.holders.get_mut(&holder) {
            receipts.kept = receipts.kept.split_off(&(through + 1));
        }
    }

    /// Attempts of a holder that still run, then receipts with numbers above `after`, in order.
    pub fn receipts_after(&self, holder: member::Incarnation, after: u64) -> Vec<receipt::Receipt> {
        let Some(receipts) = self.holders.get(&holder) else {
            return Vec::new();
        };
        let open = receipts
            .open
            .iter()
            .map(|((request, _), open)| receipt::Receipt {
                number: receipt::OPEN,
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
