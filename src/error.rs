//! The one error type of the library; each message names the culprit.

use derive_more::{Display, Error, From};

/// What went wrong, and with what.
#[derive(Debug, Display, Error, From)]
pub enum Error {
    /// A setting has a value that is not allowed.
    #[display("setting {setting} has the value {value:?}, allowed is {allowed}")]
    Setting {
        /// Flag of the setting.
        setting: &'static str,
        /// Value found.
        value: String,
        /// What is allowed.
        allowed: &'static str,
    },
    /// The command line does not parse.
    #[from]
    #[display("command line: {_0}")]
    CommandLine(getopts::Fail),
    /// A command-line argument is wrong.
    #[display("command line: {message}")]
    Argument {
        /// What is wrong.
        message: String,
    },
    /// A file cannot be read.
    #[display("file {path} cannot be read: {source}")]
    File {
        /// Path of the file.
        path: String,
        /// Cause.
        source: std::io::Error,
    },
    /// A settings file does not parse.
    #[display("settings file {path} does not parse: {source}")]
    SettingsFile {
        /// Path of the file.
        path: String,
        /// Cause, with its line.
        source: Box<toml::de::Error>,
    },
    /// The set of objects has errors.
    #[display("the set of objects has {count} errors")]
    InvalidObjects {
        /// How many.
        count: usize,
    },
    /// The store cannot be reached or failed.
    #[display("store call {call} failed: {message}")]
    Store {
        /// Call that failed.
        call: &'static str,
        /// Cause.
        message: String,
    },
    /// A value of the store does not parse.
    #[display("store value of {key} does not parse: {source}")]
    StoreValue {
        /// Key.
        key: String,
        /// Cause.
        source: serde_json::Error,
    },
    /// Another publication came first.
    #[display("version {expected} was expected, but version {found} is published")]
    VersionConflict {
        /// Version that the set was checked against.
        expected: u64,
        /// Version that is published.
        found: u64,
    },
    /// A total is below what is granted and spent.
    #[display("budget {budget} cannot be cut to {total}: the least total that passes is {least}")]
    TotalTooLow {
        /// Name of the budget.
        budget: String,
        /// Total asked for.
        total: u64,
        /// Tokens granted and spent.
        least: i128,
    },
    /// A publication failed before it could take effect.
    #[display("not published: {cause}")]
    NotPublished {
        /// Cause.
        cause: String,
    },
    /// A publication failed, and the store does not tell whether it took effect.
    #[display(
        "unknown whether version {version} is published: run `fulmarctl get` and look for publication {publish_id}"
    )]
    UnknownOutcome {
        /// Version that it would be.
        version: u64,
        /// Id of the publication.
        publish_id: String,
    },
    /// An RPC between members failed.
    #[from]
    #[display("fleet call failed: {_0}")]
    Rpc(capnp::Error),
    /// A member did not prove the fleet key.
    #[display("peer {peer} does not hold the fleet key")]
    Handshake {
        /// Address of the peer.
        peer: String,
    },
    /// A socket failed.
    #[from]
    #[display("socket: {_0}")]
    Io(std::io::Error),
    /// A thread of the process has ended.
    #[display("worker {worker} has ended")]
    WorkerStopped {
        /// Number of the worker.
        worker: usize,
    },
    /// An HTTP exchange with the platform failed.
    #[display("{what} at {url} failed: {message}")]
    Http {
        /// What was asked for.
        what: &'static str,
        /// Address asked.
        url: String,
        /// Cause.
        message: String,
    },
}

impl Error {
    /// Turns the error into one that travels to the caller of a fleet call.
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
