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
}
