//! Scenarios of simulated runs.

/// The faults of a run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Scenario {
    /// No faults.
    Calm,
    /// Load spikes, and many batches at once.
    Crowds,
    /// Engines crash, become unresponsive, slow down, cut off responses, and are replaced one by
    /// one.
    Engines,
    /// Many batches are submitted at once while control and the primaries of shards and of the
    /// counter are lost, and a new configuration lowers the ceiling.
    Ceiling,
    /// Processes of every kind are killed and start again.
    Kills,
    /// Processes of every kind freeze and continue.
    Freezes,
    /// Machines lose power, and disks are lost.
    Power,
    /// All machines lose power at once.
    Blackout,
    /// Disks become slow or stall.
    SlowDisks,
    /// Disks become full, some while their process is killed and starts again.
    FullDisks,
    /// Nodes are cut off, in one or both directions, repeatedly; control and storage are split; a
    /// zone is cut off.
    Cuts,
    /// Machines are replaced by empty ones at new addresses, and one is added.
    Replaced,
    /// All three seed machines are replaced one by one.
    Seeds,
    /// The counter's primary is lost, and then all storage nodes at once.
    Counter,
    /// Operators race while configurations grow and the control primary is killed and frozen.
    Operators,
    /// Relays are drained and storage nodes emptied, and then they stop.
    Drains,
    /// A whole zone, with its control, storage and edge nodes and engines, loses power for a long
    /// time; another is cut off for a long time.
    Zones,
    /// Every process is restarted in turn, as in a rolling upgrade.
    Rolling,
    /// Frames are duplicated, delayed and reordered, and clocks run fast or slow.
    Untidy,
    /// All control processes are killed at the same instant and start again within a second.
    Controls,
    /// Many processes of every kind are killed at the same instant and start again soon.
    Herd,
    /// Random faults of all kinds.
    Chaos,
    /// Control nodes are cut off from the other control nodes or from all nodes, in one or both
    /// directions, for 20 s, while operators submit numbered configurations on both sides.
    CutOffControl,
    /// Operators race with the same number and base, and responses to them are lost, while frames
    /// are delayed and control nodes fail.
    Races,
    /// Each loss comes as soon as the machine lost before no longer counts as lost.
    SecondLoss,
    /// Hundreds of configurations are applied while a control node and relays are absent; then
    /// control must work without the others.
    LongAbsent,
    /// All control nodes lose power, seeds are replaced, and disks stall during a takeover.
    CoreTroubles,
    /// Right after work was accepted the maximum number of disks is lost, and all other machines
    /// lose power at the same time.
    Wipes,
    /// The machines with a disk are split into two halves; all other machines reach both.
    Halves,
}

impl Scenario {
    /// All scenarios.
    pub const ALL: [Self; 29] = [
        Self::Calm,
        Self::Crowds,
        Self::Ceiling,
        Self::Engines,
        Self::Kills,
        Self::Freezes,
        Self::Power,
        Self::Blackout,
        Self::SlowDisks,
        Self::FullDisks,
        Self::Cuts,
        Self::Replaced,
        Self::Seeds,
        Self::Counter,
        Self::Operators,
        Self::Drains,
        Self::Zones,
        Self::Rolling,
        Self::Untidy,
        Self::Controls,
        Self::Herd,
        Self::Chaos,
        Self::CutOffControl,
        Self::Races,
        Self::SecondLoss,
        Self::LongAbsent,
        Self::CoreTroubles,
        Self::Wipes,
        Self::Halves,
    ];

    /// Whether operators submit numbered configurations instead of signing configurations off and
    /// rolling them out.
    pub fn has_orders(self) -> bool {
        matches!(
            self,
            Self::CutOffControl
                | Self::Races
                | Self::SecondLoss
                | Self::LongAbsent
                | Self::CoreTroubles
        )
    }

    /// Its name on the command line.
    ///
    /// ```
    /// assert_eq!(fleet_simulator::Scenario::SlowDisks.name(), "slowdisks");
    /// ```
    pub fn name(self) -> String {
        format!("{self:?}").to_lowercase()
    }

    /// The scenario with this name.
    ///
    /// ```
    /// use fleet_simulator::Scenario;
    /// assert_eq!(Scenario::named("cuts"), Some(Scenario::Cuts));
    /// ```
    pub fn named(name: &str) -> Option<Self> {
        Self::ALL.into_iter().find(|scenario| scenario.name() == name)
    }
}
