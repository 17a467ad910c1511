//! Faults planted in the surroundings, each of which an invariant must see.

/// A planted fault.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum InjectedFault {
    /// A node that restarts has forgotten what it voted and learned as a witness.
    ForgetVotes,
    /// Votes are forgotten likewise, and a primary is told that its backups are in step with it.
    ForgetVotesAndForgeInSync,
    /// Writes are said to be synced when they are handed over.
    ReportSyncEarly,
    /// A process that is killed leaves half of a write on its disk.
    TornWrite,
    /// An acknowledged order is told to its operator as refused.
    ReportAppliedAsRefused,
    /// An order that is sent again is told to its operator as refused.
    RefuseResent,
    /// A refused order is told to its operator as taken.
    ReportRefusedAsApplied,
    /// A reader is given the first view again in place of the newest.
    StaleSnapshot,
    /// A read is answered with the first source ever read.
    StaleRead,
    /// A primary that nobody hears is told that all its backups confirmed.
    ForgeConfirmations,
    /// Records that are proposed lose their backups on the way.
    DropBackups,
    /// More disks are lost at once than the fleet bears.
    ExceedDiskLosses,
}

impl InjectedFault {
    /// Whether nodes that restart have forgotten their votes.
    pub fn forgets_votes(self) -> bool {
        matches!(self, Self::ForgetVotes | Self::ForgetVotesAndForgeInSync)
    }
}
