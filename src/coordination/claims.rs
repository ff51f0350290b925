//! Claims of non-idempotent requests, which must not run twice.
//!
//! A router claims the idempotency key of such a request in the store before it dispatches the
//! request, so that no router dispatches a repeat of it. One value of the store, a bucket, holds
//! the claims of many keys.

use std::{
    collections::{BTreeMap, VecDeque},
    time::Duration,
};

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3;

use crate::{code::Code, state::name};

/// Number of buckets that the claims are spread over.
pub const CLAIM_BUCKETS: u64 = 256;

/// Time for which a claim and its outcome are kept.
pub const CLAIM_RETENTION: Duration = Duration::from_secs(24 * 3600);

/// Maximum number of claims in one bucket.
pub const MAX_CLAIMS_PER_BUCKET: usize = 4000;

/// Maximum number of expired keys that one bucket remembers.
pub const MAX_EXPIRED_PER_BUCKET: usize = 16_000;

/// Hash of an idempotency key within its workspace.
///
/// ```
/// use fulmarproxy::coordination::claims;
/// assert_ne!(claims::hash("a", "bc"), claims::hash("ab", "c"));
/// ```
pub fn hash(workspace: &str, key: &str) -> u64 {
    xxh3::xxh3_64_with_seed(key.as_bytes(), xxh3::xxh3_64(workspace.as_bytes()))
}

/// One claim.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Claim {
    /// Workspace of the caller.
    pub workspace: name::Name,
    /// Idempotency key.
    pub key: name::Name,
    /// Id of the request that made the claim.
    pub id: name::Name,
    /// Fingerprint of the request's workspace and body.
    pub fingerprint: u64,
    /// Time of the claim, in seconds since 1970.
    pub at: u64,
    /// Result code, if the outcome is known.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub outcome: Option<u16>,
}

/// Result of claiming a key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Claimed {
    /// The key is claimed; the request may be dispatched once.
    New,
    /// Another request with the same content has claimed the key.
    AlreadyClaimed(Claim),
    /// The claim is refused.
    Refused(Code),
}

/// A change to a bucket.
#[derive(Clone, Debug)]
pub enum Change {
    /// Claims the key of a request.
    Claim(Claim),
    /// Records how a claimed request ended.
    Record(Claim),
    /// Removes a claim whose request certainly did not run.
    Release(Claim),
}

impl Change {
    /// The claim that the change is about.
    pub fn claim(&self) -> &Claim {
        match self {
            Self::Claim(claim) | Self::Record(claim) | Self::Release(claim) => claim,
        }
    }
}

/// The claims in one value of the store.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Bucket {
    /// Claims by the hash of their key.
    #[serde(default)]
    pub claims: BTreeMap<u64, Claim>,
    /// Hashes of keys whose retention is over, oldest first. They are refused, since it is no
    /// longer known what became of their requests.
    #[serde(default)]
    pub expired: VecDeque<u64>,
}

impl Bucket {
    /// Applies a change. Changes are idempotent: applying one again gives the same result.
    ///
    /// ```
    /// use fulmarproxy::coordination::claims;
    /// let claim = claims::Claim {
    ///     workspace: "w".into(), key: "k".into(), id: "r1".into(),
    ///     fingerprint: 1, at: 0, outcome: None,
    /// };
    /// let mut bucket = claims::Bucket::default();
    /// let change = claims::Change::Claim(claim.clone());
    /// assert_eq!(bucket.apply(&change), claims::Claimed::New);
    /// assert_eq!(bucket.apply(&change), claims::Claimed::New);
    /// let other = claims::Claim { id: "r2".into(), ..claim.clone() };
    /// let found = bucket.apply(&claims::Change::Claim(other));
    /// assert_eq!(found, claims::Claimed::AlreadyClaimed(claim));
    /// ```
    pub fn apply(&mut self, change: &Change) -> Claimed {
        let claim = change.claim();
        let hash = hash(&claim.workspace, &claim.key);
        match change {
            Change::Claim(claim) => return self.claim(hash, claim),
            Change::Record(claim) => {
                if let Some(kept) = self.own_claim(hash, claim) {
                    kept.outcome = claim.outcome;
                }
            }
            Change::Release(claim) => {
                if self.own_claim(hash, claim).is_some() {
                    self.claims.remove(&hash);
                }
            }
        }
        Claimed::New
    }

    /// Moves claims whose retention is over at the time `at` to the expired keys.
    pub fn expire(&mut self, at: u64) {
        let past = |claim: &Claim| claim.at + CLAIM_RETENTION.as_secs() < at;
        let hashes: Vec<_> = self
            .claims
            .iter()
            .filter(|(_, claim)| past(claim))
            .map(|(hash, _)| *hash)
            .collect();
        for hash in hashes {
            self.claims.remove(&hash);
            self.expired.push_back(hash);
        }
        let beyond = self.expired.len().saturating_sub(MAX_EXPIRED_PER_BUCKET);
        self.expired.drain(..beyond);
    }

    fn claim(&mut self, hash: u64, claim: &Claim) -> Claimed {
        if self.expired.contains(&hash) {
            return Claimed::Refused(Code::KeyExpired);
        }
        match self.claims.get(&hash) {
            Some(kept) if kept.id == claim.id => Claimed::New,
            Some(kept) if kept.fingerprint != claim.fingerprint => {
                Claimed::Refused(Code::KeyReused)
            }
            Some(kept) => Claimed::AlreadyClaimed(kept.clone()),
            None if self.claims.len() >= MAX_CLAIMS_PER_BUCKET => {
                Claimed::Refused(Code::ClaimUnavailable)
            }
            None => {
                self.claims.insert(hash, claim.clone());
                Claimed::New
            }
        }
    }

    /// Finds the claim under this hash if the same request made it.
    fn own_claim(&mut self, hash: u64, claim: &Claim) -> Option<&mut Claim> {
        let kept = self.claims.get_mut(&hash);
        kept.filter(|kept| kept.id == claim.id)
    }
}
