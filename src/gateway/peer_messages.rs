//! Messages that routers send each other, as JSON.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::{
    coordination::{overload::peer_load, server_limits, stream_origins, suspect},
    state::name,
};

/// A call to another router.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub enum Call {
    /// Asks for the needed tokens and, if they are available, for some of the extra ones.
    Draw {
        /// Workspace whose budget the tokens belong to.
        workspace: name::Name,
        /// Tokens that a request is waiting for; 0 when only the share is replenished.
        needed: u64,
        /// Further tokens wanted for the share, for requests to come.
        extra: u64,
        /// The part of `extra` that other requests wait for; `None` from an earlier version.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        waiting: Option<u64>,
        /// Id of the waiting request when it is sampled for the log.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        request: Option<name::Name>,
    },
    /// Asks for all available tokens, because the budget's home has run out of them.
    Recall {
        /// Workspace whose budget the tokens belong to.
        workspace: name::Name,
    },
    /// Gives tokens back to the budget's home. The sender has deducted them.
    Return {
        /// Workspace whose budget the tokens belong to.
        workspace: name::Name,
        /// Tokens given back.
        tokens: u64,
    },
    /// Reports which requests were running at crashes of backend servers; the reply has the reports of
    /// the other router.
    Crashes(Vec<suspect::Report>),
    /// Reports limits that backend servers have named or ended; the reply has those that the other router
    /// has read.
    Limits(Vec<server_limits::Report>),
    /// Asks for permits to send requests to a server that has named a limit; the reply is a
    /// [`crate::gateway::permit_issuing::Reply`].
    Permits {
        /// Limit of the server at the asking router.
        report: server_limits::Report,
        /// Number of permits.
        wanted: u32,
    },
    /// Brings copies of notes of where streams began, and asks for those of other streams; the reply has
    /// the notes of the other router on the latter.
    Origins {
        /// Copies of notes.
        notes: Vec<stream_origins::Note>,
        /// Streams asked for.
        wanted: Vec<u64>,
    },
    /// Asks for the router's state of the watched prefixes of the store once it has another state than
    /// `seen`, 0 for any; the reply is a [`watch_notes::Reply`](crate::gateway::watch_notes::Reply).
    Confirm {
        /// Number of the state that the last reply named.
        seen: u64,
    },
    /// Asks for the state of the router; the reply is a JSON object for operators.
    Status,
}

impl Call {
    /// Workspace whose tokens the call transfers; `None` for other calls.
    pub fn workspace(&self) -> Option<&name::Name> {
        match self {
            Self::Draw { workspace, .. }
            | Self::Recall { workspace }
            | Self::Return { workspace, .. } => Some(workspace),
            Self::Crashes(_)
            | Self::Limits(_)
            | Self::Permits { .. }
            | Self::Origins { .. }
            | Self::Confirm { .. }
            | Self::Status => None,
        }
    }
}

/// A call that is not handled with those of budgets.
#[derive(Debug, Deserialize, Serialize)]
pub enum LoadCall {
    /// Reports how busy this router is; the reply is the report of the other one.
    Load(peer_load::Report),
}

/// A message of another router.
pub enum Message {
    /// A call that is handled by its kind.
    Call(Call),
    /// A report of how busy the other router is.
    Load(peer_load::Report),
}

/// Reply to [`Call::Draw`] and [`Call::Recall`].
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq, Serialize)]
pub struct Reply {
    /// Tokens transferred to the calling router.
    pub tokens: u64,
    /// Whether the tokens left in the budget don't cover the needed ones.
    pub is_exhausted: bool,
    /// Milliseconds after which tokens that were not given may be available; 0 when unknown.
    #[serde(default, skip_serializing_if = "is_zero")]
    pub retry_ms: u64,
    /// Tokens that the budget was found to have left for one request when it did not cover the
    /// needed ones.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub left: Option<u64>,
}

fn is_zero(number: &u64) -> bool {
    *number == 0
}

impl Reply {
    /// Delay after which tokens that were not given may be available, if known.
    pub fn retry_delay(&self) -> Option<Duration> {
        (self.retry_ms > 0).then(|| Duration::from_millis(self.retry_ms))
    }
}
