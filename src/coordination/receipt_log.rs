//! The receipts that an agent keeps until their holder has made them durable.

use std::collections::{BTreeMap, HashMap};

use crate::state::{member, name, receipt};

/// Receipts by holder.
#[derive(Debug, Default)]
pub struct ReceiptLog {
    holders: HashMap<member::Incarnation, HolderReceipts>,
}

#[derive(Debug, Default)]
struct HolderReceipts {
    last: u64,
    kept: BTreeMap<u64, receipt::Receipt>,
}

impl ReceiptLog {
    /// Numbers and keeps a charge.
    ///
    /// ```
    /// let mut log = fulmarproxy::coordination::receipt_log::ReceiptLog::default();
    /// let receipt = log.charge(1, "r".into(), "desk".into(), 5);
    /// assert_eq!(receipt.number, 1);
    /// assert_eq!(log.after(1, 0), [receipt]);
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

    /// Receipts of a holder with numbers above `after`, in order.
    pub fn after(&self, holder: member::Incarnation, after: u64) -> Vec<receipt::Receipt> {
        let Some(receipts) = self.holders.get(&holder) else {
            return Vec::new();
        };
        receipts
            .kept
            .range(after + 1..)
            .map(|(_, receipt)| receipt.clone())
            .collect()
    }
}
