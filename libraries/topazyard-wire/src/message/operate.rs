//! Requests of operators and the platform to control, divided into commands and queries.

use topazyard_types::{ConfigurationVersion, NodeId};

/// An operator's request, forwarded between control nodes.
#[derive(Debug, Clone, PartialEq, serde::Serialize, serde::Deserialize)]
pub enum OperatorMessage {
    /// A request to the primary.
    Request {
        /// Identifies the response.
        id: u64,
        /// The request.
        request: OperatorRequest,
    },
    /// The response of the primary.
    Response {
        /// The id of the request.
        id: u64,
        /// The outcome.
        outcome: OperatorOutcome,
    },
    /// Sent by the primary before it executes a command that must not be executed late. It asks
    /// whether the caller still waits.
    ConfirmWaiting {
        /// The id of the request.
        id: u64,
        /// The primary's number for this copy of the command.
        offer: u64,
    },
    /// The caller still waits, and no other copy of the command was confirmed.
    StillWaiting {
        /// The primary's number for this copy of the command.
        offer: u64,
    },
}

/// A request to control.
#[derive(Debug, Clone, PartialEq, serde::Serialize, serde::Deserialize)]
pub enum OperatorRequest {
    /// Changes the control state.
    Command(Command),
    /// Reads the control state.
    Query(Query),
}

/// A partial change of the source from which an external adapter made a configuration. Such a
/// source is JSON with lists of named items.
#[derive(Debug, Clone, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct SourcePatch {
    /// The order as the adapter received it, which distinguishes it from other orders.
    pub order: bytes::Bytes,
    /// The change, as a [`topazyard_spec::Patch`] in JSON.
    pub patch: String,
    /// The maximum size of a source that the adapter accepts, in bytes.
    pub max_bytes: u64,
}

/// A request that changes the control state.
#[derive(Debug, Clone, PartialEq, serde::Serialize, serde::Deserialize)]
pub enum Command {
    /// Submits a configuration that is based on a version.
    SubmitConfiguration {
        /// The version that it is based on; 0 for the first.
        base: ConfigurationVersion,
        /// The configuration in JSON.
        text: String,
    },
    /// Signs off a submitted version.
    SignOff {
        /// The version.
        version: ConfigurationVersion,
        /// The operator who signs.
        by: String,
    },
    /// Puts a signed version in force.
    RollOut {
        /// The version.
        version: ConfigurationVersion,
    },
    /// Validates a configuration and puts it in force in one step, with a version chosen by the
    /// operator. A repetition with the same source is acknowledged again.
    ApplyConfiguration {
        /// The version in force that it is based on; 0 for the first.
        base: ConfigurationVersion,
        /// Its own version, above the one in force.
        version: ConfigurationVersion,
        /// The configuration in JSON.
        text: String,
        /// The source from which an external adapter made it, stored byte for byte.
        source: bytes::Bytes,
    },
    /// Submits a partial change of a version as a new configuration.
    SubmitPatch {
        /// The version that it is based on.
        base: ConfigurationVersion,
        /// The change, as a [`topazyard_spec::Patch`] in JSON.
        patch: String,
    },
    /// Applies a partial change to the configuration in force, like
    /// [`Command::ApplyConfiguration`].
    PatchConfiguration {
        /// The version in force that it is based on.
        base: ConfigurationVersion,
        /// Its own version, above the one in force.
        version: ConfigurationVersion,
        /// The change of the configuration, as a [`topazyard_spec::Patch`] in JSON.
        patch: String,
        /// The change of the stored source.
        source: SourcePatch,
    },
    /// Replaces the engine list with one that this process received from the platform.
    ListEngines(Vec<topazyard_spec::Engine>),
    /// Replaces the engine list.
    PutEngines {
        /// The list in JSON.
        text: String,
    },
    /// Moves all shards off a storage node.
    EmptyStorage(NodeId),
    /// Moves all shards off the storage node with this name, and retires it after that.
    RetireNamed(String),
    /// Allows a storage node to host shards again.
    AddStorage(NodeId),
    /// Removes an emptied storage node.
    RetireStorage(NodeId),
    /// Sets the live share of a pool; sent by the task that tunes weights.
    SetWeight {
        /// The control epoch in which the share was computed.
        epoch: topazyard_types::Epoch,
        /// The pool.
        pool: topazyard_types::PoolName,
        /// The share, in percent.
        live_percent: u8,
    },
}

impl Command {
    /// Whether a copy that arrives late could be executed although the command was already rejected
    /// or superseded, because the reason for the rejection can go away. Submitted configurations
    /// don't need this: versions only increase, so a rejected one stays rejected, and an accepted
    /// one is recognized by its digest.
    ///
    /// ```
    /// use topazyard_wire::message::operate::Command;
    /// assert!(Command::RetireNamed("storage-1".into()).must_be_fresh());
    /// let text = "{}".into();
    /// assert!(!Command::SubmitConfiguration { base: Default::default(), text }.must_be_fresh());
    /// ```
    pub fn must_be_fresh(&self) -> bool {
        match self {
            Self::SubmitConfiguration { .. } | Self::ApplyConfiguration { .. } => false,
            Self::SubmitPatch { .. } | Self::PatchConfiguration { .. } => false,
            // Tasks of this node: the list is sent again, the weight is bound to an epoch.
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

/// A request that reads the control state.
#[derive(Debug, Clone, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub enum Query {
    /// The configuration in force, or the given version.
    ReadConfiguration(Option<ConfigurationVersion>),
    /// The source of the newest configuration accepted with [`Command::ApplyConfiguration`].
    ReadSource,
    /// All versions and their stages.
    ListConfigurations,
    /// The engine list.
    ListEngines,
    /// The storage nodes and shards.
    ListStorage,
    /// The progress of retiring the storage node with this name.
    Retirement(String),
    /// The complete state of the fleet.
    FleetState,
    /// The load figures for tuning weights.
    Load,
}

/// The outcome of a request.
#[derive(Debug, Clone, PartialEq, serde::Serialize, serde::Deserialize)]
pub enum OperatorOutcome {
    /// Success, with the result in JSON.
    Done(String),
    /// The request was rejected, or its outcome is unknown.
    Refused(crate::ApiError),
}
