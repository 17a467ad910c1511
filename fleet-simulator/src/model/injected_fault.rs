//! Faults injected into the environment of the machines to test that each invariant detects one.

/// An injected fault.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum InjectedFault {
    /// A restarted node has lost its witness state: its votes and the records it learned.
    ForgetVotes,
    /// Votes are lost as with `ForgetVotes`, and a primary receives forged reports that its backups
    /// are in sync.
    ForgetVotesAndForgeInSync,
    /// Writes are reported as synced as soon as they are submitted.
    ReportSyncEarly,
    /// A killed process leaves half of a write on its disk.
    TornWrite,
    /// An applied order is reported to its operator as refused.
    ReportAppliedAsRefused,
    /// An applied order that is sent again is reported as refused.
    RefuseResent,
    /// A refused order is reported to its operator as applied.
    ReportRefusedAsApplied,
    /// A reader receives the first snapshot again instead of the newest state.
    StaleSnapshot,
    /// A read returns the first source that was ever read.
    StaleRead,
    /// An isolated primary receives forged confirmations from all its backups.
    ForgeConfirmations,
    /// Proposed epoch records lose their backups in transit.
    DropBackups,
    /// More disks are lost at once than the fleet tolerates.
    ExceedDiskLosses,
}

impl InjectedFault {
    /// Whether restarted nodes have lost their votes.
    pub fn forgets_votes(self) -> bool {
        matches!(self, Self::ForgetVotes | Self::ForgetVotesAndForgeInSync)
    }
}
