//! The eras of a store that may come back from a copy. Each return begins a higher era, which the
//! store names in its responses.

/// What a response says of the store's era.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Named {
    /// No era.
    None,
    /// Something that is no era.
    Malformed,
    /// This era.
    Era(u64),
}

/// What follows from the era that a response names.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// The response belongs to the newest era that is known.
    Current,
    /// It begins an era; what was read and written before may have been forgotten.
    Newer,
    /// It belongs to an earlier era and must not be believed.
    Older,
    /// It names no era, although the store has named one before. The newest known one stays in
    /// force, and nothing may be granted on such a response.
    Unnamed,
}

/// The newest era that this process has seen.
#[derive(Debug, Default)]
pub struct Eras {
    newest: Option<u64>,
}

impl Eras {
    /// Newest era; 0 when the store has named none.
    pub fn newest(&self) -> u64 {
        self.newest.unwrap_or(0)
    }

    /// Takes note of what a response names.
    ///
    /// ```
    /// use fulmarproxy::coordination::era::{Eras, Named, Verdict};
    /// let mut eras = Eras::default();
    /// assert_eq!(eras.observe(Named::None), Verdict::Current, "a store without eras");
    /// assert_eq!(eras.observe(Named::Era(3)), Verdict::Newer);
    /// assert_eq!(eras.observe(Named::Era(3)), Verdict::Current);
    /// assert_eq!(eras.observe(Named::Era(2)), Verdict::Older);
    /// assert_eq!(eras.observe(Named::None), Verdict::Unnamed);
    /// assert_eq!(eras.newest(), 3);
    /// ```
    pub fn observe(&mut self, named: Named) -> Verdict {
        match (named, self.newest) {
            (Named::None, None) => Verdict::Current,
            (Named::None | Named::Malformed, _) => Verdict::Unnamed,
            (Named::Era(era), Some(newest)) if era < newest => Verdict::Older,
            (Named::Era(era), Some(newest)) if era == newest => Verdict::Current,
            (Named::Era(era), _) => {
                self.newest = Some(era);
                Verdict::Newer
            }
        }
    }
}
