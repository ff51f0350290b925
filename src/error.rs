//! The error type of the library. Each message names what the error is about, such as a setting, a
//! file or a peer.

use derive_more::{Display, Error, From};

/// An error, with the setting, file, key or peer that it is about.
#[derive(Debug, Display, Error, From)]
pub enum Error {
    /// The value of a setting is missing or not allowed.
    #[display("invalid value {value:?} for setting {setting}: expected {allowed}")]
    Setting {
        /// Flag of the setting.
        setting: &'static str,
        /// Value given; empty when it is missing.
        value: String,
        /// Description of the allowed values.
        allowed: &'static str,
    },
    /// The command line does not parse.
    #[from]
    #[display("command line: {_0}")]
    CommandLine(getopts::Fail),
    /// A command-line argument or its value is not allowed.
    #[display("command line: {message}")]
    Argument {
        /// What is wrong with the argument, for the operator.
        message: String,
    },
    /// A file cannot be read.
    #[display("cannot read file {path}: {source}")]
    File {
        /// Path of the file.
        path: String,
        /// Cause.
        source: std::io::Error,
    },
    /// A settings file does not parse.
    #[display("cannot parse settings file {path}: {source}")]
    SettingsFile {
        /// Path of the file.
        path: String,
        /// Cause, with the line in the file.
        source: Box<toml::de::Error>,
    },
    /// The set of objects has errors, each of which is reported separately.
    #[display("the set of objects has {count} errors")]
    InvalidObjects {
        /// Number of errors.
        count: usize,
    },
    /// A call to the key-value store failed, or the store cannot be reached.
    #[display("store call {call} failed: {message}")]
    Store {
        /// Name of the call that failed.
        call: &'static str,
        /// Cause.
        message: String,
    },
    /// A value in the key-value store does not parse.
    #[display("store value of {key} does not parse: {source}")]
    StoreValue {
        /// Key of the value.
        key: String,
        /// Cause.
        source: serde_json::Error,
    },
    /// Another configuration was published after the objects were checked.
    #[display("version {expected} was expected, but version {found} is published")]
    VersionConflict {
        /// Version that the objects were checked against.
        expected: u64,
        /// Version that is published.
        found: u64,
    },
    /// The new total of a budget is below the tokens already granted and spent.
    #[display("budget {budget} cannot be cut to {total}: the least total that passes is {least}")]
    TotalTooLow {
        /// Name of the budget.
        budget: String,
        /// New total that was requested.
        total: u64,
        /// Tokens granted and spent, the lowest total that is accepted.
        least: i128,
    },
    /// A publication failed before it could take effect.
    #[display("not published: {cause}")]
    NotPublished {
        /// Cause.
        cause: String,
    },
    /// A publication failed, and it is not known whether the store has carried out the last write.
    #[display(
        "unknown whether version {version} is published: run `fulmarctl get` and look for publication {publish_id}"
    )]
    UnknownOutcome {
        /// Version that the publication would have.
        version: u64,
        /// Id of the publication.
        publish_id: String,
    },
    /// An RPC between members failed.
    #[from]
    #[display("fleet call failed: {_0}")]
    Rpc(capnp::Error),
    /// A peer did not prove in the handshake, or not in time, that it holds the fleet key.
    #[display("peer {peer} does not hold the fleet key")]
    Handshake {
        /// Address of the peer.
        peer: String,
    },
    /// An operation on a socket or of the system failed.
    #[from]
    #[display("socket: {_0}")]
    Io(std::io::Error),
    /// A worker thread of this process has stopped.
    #[display("worker {worker} has ended")]
    WorkerStopped {
        /// Index of the worker thread.
        worker: usize,
    },
    /// An HTTP request failed.
    #[display("{what} at {url} failed: {message}")]
    Http {
        /// What was requested, in a few words.
        what: &'static str,
        /// URL of the request.
        url: String,
        /// Cause.
        message: String,
    },
}

impl Error {
    /// Converts the error into an RPC error, which is sent to the peer that made the call.
    ///
    /// ```
    /// let err = fulmarproxy::error::Error::WorkerStopped { worker: 1 };
    /// assert!(err.into_rpc().to_string().contains("worker 1"));
    /// ```
    pub fn into_rpc(self) -> capnp::Error {
        match self {
            Self::Rpc(err) => err,
            other => capnp::Error::failed(other.to_string()),
        }
    }
}
