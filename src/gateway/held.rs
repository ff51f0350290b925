//! Responses that are held until they are complete, or until their callers have taken them.

use std::rc::Rc;

use crate::{
    coordination::memory::{
        account::{Kind, Phase},
        growth,
    },
    gateway::memory,
    transport::h1::{conn, fault},
};

/// Part of a response that is held until it is complete, or until the caller has taken it.
pub struct Held {
    memory: Rc<memory::Memory>,
    /// What is held.
    pub bytes: Vec<u8>,
    /// Charge for the capacity of `bytes`; `None` while it is small.
    pub holding: Option<memory::Holding>,
}

impl Held {
    /// Holds nothing yet.
    pub fn new(memory: &Rc<memory::Memory>) -> Self {
        Self {
            memory: memory.clone(),
            bytes: Vec::new(),
            holding: None,
        }
    }

    /// Adds bytes; fails when there are more than `max_bytes`, or when memory is short. `whole` is the size that the
    /// bytes will have in the end, if it is known.
    ///
    /// # Errors
    ///
    /// [`fault::Fault::TooLarge`] or [`fault::Fault::NoMemory`].
    pub async fn add(
        &mut self,
        piece: &[u8],
        whole: Option<usize>,
        max_bytes: usize,
    ) -> Result<(), fault::Fault> {
        let len = self.bytes.len() + piece.len();
        if len > max_bytes {
            return Err(fault::Fault::TooLarge("body"));
        }
        if len > self.bytes.capacity() {
            let max = whole.unwrap_or(max_bytes).clamp(len, max_bytes);
            let capacity = match len <= memory::FREE_BYTES {
                true => len,
                false => growth::capacity(self.bytes.capacity(), len, max),
            };
            self.charge(capacity).await?;
            self.bytes.reserve_exact(capacity - self.bytes.len());
        }
        self.bytes.extend_from_slice(piece);
        Ok(())
    }

    async fn charge(&mut self, capacity: usize) -> Result<(), fault::Fault> {
        if capacity <= memory::FREE_BYTES && self.holding.is_none() {
            return Ok(());
        }
        let memory = &self.memory;
        let open = || memory.open(Kind::Response, Phase::Server);
        self.holding.get_or_insert_with(open).charge(capacity).await
    }

    /// Reduces the charge to the capacity of the bytes that are left.
    pub fn settle(&mut self) {
        if let Some(holding) = self
            .holding
            .take_if(|_| self.bytes.capacity() <= memory::FREE_BYTES)
        {
            drop(holding);
        } else if let Some(holding) = &self.holding {
            // A smaller charge is always granted.
            holding.try_charge(self.bytes.capacity());
        }
    }
}

/// Writes bytes to a caller under the charge for them, if there is one.
///
/// # Errors
///
/// [`fault::Fault`] when the socket fails, or memory is short and the caller takes them slowly.
pub async fn write_held(
    holding: Option<&memory::Holding>,
    caller: &mut conn::Conn,
    bytes: &[u8],
) -> Result<(), fault::Fault> {
    match holding {
        Some(holding) => holding.write_to(caller, bytes).await,
        None => caller.write(bytes).await,
    }
}
