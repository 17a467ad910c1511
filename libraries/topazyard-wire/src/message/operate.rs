//! What operators and the platform ask of control: commands and queries apart.

use topazyard_types::{ConfigurationVersion, NodeId};

/// An operator's call passed on between control nodes.
#[derive(Debug, Clone, PartialEq, serde::Serialize, serde::Deserialize)]
pub enum OperatorMessage {
    /// Asked of the primary.
    Request {
        /// Marks the return.
        id: u64,
        /// What is asked.
        request: OperatorRequest,
    },
    /// Returned by it.
    Response {
        /// Of which asking.
        id: u64,
        /// What came of it.
        outcome: OperatorOutcome,
    },
    /// Asked by the primary before it works on a command that must not be worked on late: does its
    /// caller still wait?
    ConfirmWaiting {
        /// Of which asking.
        id: u64,
        /// The primary's own number for this copy of the command.
        offer: u64,
    },
    /// The caller does, and no other copy of the command was confirmed.
    StillWaiting {
        /// Which copy.
        offer: u64,
    },
}

/// Anything that may be asked.
#[derive(Debug, Clone, PartialEq, serde::Serialize, serde::Deserialize)]
pub enum OperatorRequest {
    /// Changes state.
    Command(Command),
    /// Reads state.
    Query(Query),
}

/// A partial change of the source that an outer adapter made a bundle from. The source is JSON
/// then, with lists of named items.
#[derive(Debug, Clone, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct SourcePatch {
    /// The order as the adapter got it, which tells it from others.
    pub order: bytes::Bytes,
    /// The change, as a [`topazyard_spec::Patch`] in JSON.
    pub patch: String,
    /// The largest source that the adapter takes, in bytes.
    pub max_bytes: u64,
}

/// What changes state.
#[derive(Debug, Clone, PartialEq, serde::Serialize, serde::Deserialize)]
pub enum Command {
    /// Submit a bundle that builds on a version.
    SubmitConfiguration {
        /// The version it builds on; 0 for the first.
        base: ConfigurationVersion,
        /// The bundle as JSON.
        text: String,
    },
    /// Sign a submitted version off.
    SignOff {
        /// Which.
        version: ConfigurationVersion,
        /// Who signs.
        by: String,
    },
    /// Put a signed version in force.
    RollOut {
        /// Which.
        version: ConfigurationVersion,
    },
    /// Check a bundle, take it and put it in force in one step, under a version that the operator
    /// gave. Said again with the same source it is acknowledged again.
    ApplyConfiguration {
        /// The version in force that it builds on; 0 for the first.
        base: ConfigurationVersion,
        /// Its own version, above the one in force.
        version: ConfigurationVersion,
        /// The bundle as JSON.
        text: String,
        /// What an outer adapter made it from; it is read back byte for byte.
        source: bytes::Bytes,
    },
    /// Submit the bundle that a partial change makes of a version.
    SubmitPatch {
        /// The version it builds on.
        base: ConfigurationVersion,
        /// The change, as a [`topazyard_spec::Patch`] in JSON.
        patch: String,
    },
    /// Change the spec in force in part, under the terms of [`Command::ApplyConfiguration`].
    PatchConfiguration {
        /// The version in force that it builds on.
        base: ConfigurationVersion,
        /// Its own version, above the one in force.
        version: ConfigurationVersion,
        /// The change of the bundle, as a [`topazyard_spec::Patch`] in JSON.
        patch: String,
        /// The change of the source that is read back.
        source: SourcePatch,
    },
    /// Replace the engine list by one that this process was given by the platform.
    ListEngines(Vec<topazyard_spec::Engine>),
    /// Replace the engine list.
    PutEngines {
        /// The list as JSON.
        text: String,
    },
    /// Move everything off a storage node.
    EmptyStorage(NodeId),
    /// Move everything off the storage node of that name, and retire it once that is done.
    RetireNamed(String),
    /// Let a storage node host shards again.
    AddStorage(NodeId),
    /// Forget an emptied storage node.
    RetireStorage(NodeId),
    /// Set a pool's live share, by the duty of tuning weights.
    SetWeight {
        /// Under which control epoch it was worked out.
        epoch: topazyard_types::Epoch,
        /// The pool.
        pool: topazyard_types::PoolName,
        /// The share.
        live_percent: u8,
    },
}

impl Command {
    /// Whether a copy that arrives late could still be taken although the command was refused or
    /// overtaken: its refusals depend on what may change back. A spec's don't: versions only rise,
    /// so what was once refused stays so, and one that was taken is known by its digest.
    ///
    /// ```
    /// use topazyard_wire::message::operate::Command;
    /// assert!(Command::RetireNamed("storage-1".into()).must_be_fresh());
    /// assert!(!Command::SubmitConfiguration { base: Default::default(), text: "{}".into() }.must_be_fresh());
    /// ```
    pub fn must_be_fresh(&self) -> bool {
        match self {
            Self::SubmitConfiguration { .. } | Self::ApplyConfiguration { .. } => false,
            Self::SubmitPatch { .. } | Self::PatchConfiguration { .. } => false,
            // This node's own duties: said again, or under an epoch.
            Self::ListEngines(_) | Self::SetWeight { .. } => false,
            Self::SignOff { .. }
            | Self::RollOut { .. }
            | Self::PutEngines { .. }
            | Self::EmptyStorage(_)
            | Self::RetireNamed(_)
            | Self::AddStorage(_)
            | Self::RetireStorage(_) => true,
        }
    }

    /// Whether it puts a configuration in force.
    ///
    /// ```
    /// use topazyard_wire::message::operate::Command;
    /// assert!(Command::RollOut { version: Default::default() }.is_configuration());
    /// assert!(!Command::RetireNamed("storage-1".into()).is_configuration());
    /// ```
    pub fn is_configuration(&self) -> bool {
        matches!(
            self,
            Self::ApplyConfiguration { .. }
                | Self::PatchConfiguration { .. }
                | Self::RollOut { .. }
        )
    }
}

/// What reads state.
#[derive(Debug, Clone, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub enum Query {
    /// The spec in force, or a version.
    ReadConfiguration(Option<ConfigurationVersion>),
    /// The source of the newest spec taken by [`Command::ApplyConfiguration`].
    ReadSource,
    /// All versions and how they stand.
    ListConfigurations,
    /// The engine list.
    ListEngines,
    /// Storage nodes and shards.
    ListStorage,
    /// How far the retirement of the storage node of that name has come.
    Retirement(String),
    /// Everything about the fleet.
    FleetState,
    /// What the duty of tuning weights goes by.
    Load,
}

/// What came of a call.
#[derive(Debug, Clone, PartialEq, serde::Serialize, serde::Deserialize)]
pub enum OperatorOutcome {
    /// Done; the return as JSON.
    Done(String),
    /// Refused, or unknown.
    Refused(crate::ApiError),
}
