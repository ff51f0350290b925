//! Errors of reading and writing HTTP/1.1 messages.

use derive_more::{Display, Error, From};

/// Why a message could not be read or written.
#[derive(Debug, Display, Error, From)]
pub enum Fault {
    /// The socket failed.
    #[from]
    #[display("socket: {_0}")]
    Io(std::io::Error),
    /// The peer closed the connection in the middle of a message.
    #[display("the connection ended inside a message")]
    ClosedMidMessage,
    /// The bytes are not a valid HTTP/1.1 message; names the part that does not parse.
    #[display("malformed {_0}")]
    #[error(ignore)]
    #[from(skip)]
    Malformed(&'static str),
    /// A part of the message exceeds its size limit; names the part, which callers match on.
    #[display("{_0} is too large")]
    #[error(ignore)]
    #[from(skip)]
    TooLarge(&'static str),
    /// The process is short of memory for the message.
    #[display("no memory is left for {_0}")]
    #[error(ignore)]
    #[from(skip)]
    NoMemory(&'static str),
    /// The rest of the message cannot arrive in the time that is left.
    #[display("{_0} cannot arrive in time")]
    #[error(ignore)]
    #[from(skip)]
    TooSlow(&'static str),
}

impl Fault {
    /// Whether the peer ended the connection, as a process does when it ends.
    ///
    /// ```
    /// use fulmarproxy::transport::h1::fault::Fault;
    /// assert!(Fault::ClosedMidMessage.is_ended_by_peer());
    /// let silent = std::io::Error::from(std::io::ErrorKind::TimedOut);
    /// assert!(!Fault::from(silent).is_ended_by_peer());
    /// ```
    pub fn is_ended_by_peer(&self) -> bool {
        use std::io::ErrorKind;
        match self {
            Self::Io(err) => matches!(
                err.kind(),
                ErrorKind::ConnectionReset | ErrorKind::ConnectionAborted | ErrorKind::BrokenPipe
            ),
            Self::ClosedMidMessage => true,
            Self::Malformed(_) | Self::TooLarge(_) | Self::NoMemory(_) | Self::TooSlow(_) => false,
        }
    }
}
