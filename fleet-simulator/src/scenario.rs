//! What goes wrong in a run.

/// What goes wrong in a run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Scenario {
    /// Nothing.
    Calm,
    /// Crowds, jumps, and many batches at once.
    Crowds,
    /// Engines crash, go dark, slow down, cut returns, and are replaced in turn.
    Engines,
    /// Many batches land at once while the shards' and the counter's holders and control are lost,
    /// and a spec lowers the ceiling.
    Ceiling,
    /// Processes of every kind are killed and start again.
    Kills,
    /// Processes of every kind freeze and wake.
    Freezes,
    /// Machines lose power, and disks are lost.
    Power,
    /// Every machine loses its power at once.
    Blackout,
    /// Disks turn slow or stall.
    SlowDisks,
    /// Disks run full, some while their process is killed and starts again.
    FullDisks,
    /// Nodes are cut off, one way, both, flapping; core and storage are split; a zone is cut.
    Cuts,
    /// Machines are replaced by empty ones at new addresses, and one is added.
    Replaced,
    /// All three seed machines are exchanged one by one.
    Seeds,
    /// The counter's holders are lost, one and both.
    Counter,
    /// Operators race while specs grow and control is struck.
    Operators,
    /// Relays are drained and storage nodes emptied, and then they go.
    Drains,
    /// A whole zone, with its core, storage, edge and engines, loses power for long; another is
    /// cut off for long.
    Zones,
    /// Every process is restarted in turn, as when a new version is rolled out.
    Rolling,
    /// Frames come twice, late and out of order, and clocks run fast or slow.
    Untidy,
    /// All control processes are killed at the same instant and start again within a second.
    Controls,
    /// Many processes of every kind are killed at the same instant and start again soon.
    Herd,
    /// Everything, drawn by chance.
    Chaos,
    /// Control nodes are cut off from the core or from all, one way or both, for 20 s, while
    /// operators order numbered configurations on either side.
    CutOffControl,
    /// Operators race under the same number and base, and answers to them are lost, while frames
    /// come late and control is struck.
    Races,
    /// The next loss comes as soon as the one before it counts no more.
    SecondLoss,
    /// Hundreds of configurations are taken while a member of the core and relays are away; then
    /// it must do without the others.
    LongAbsent,
    /// All of control loses its power, seeds are exchanged, disks stall while others take over.
    CoreTroubles,
    /// Right after work was accepted as many disks are lost as may be, and all other machines lose
    /// their power with them.
    Wipes,
    /// The machines with a disk are split into two halves; all others reach both.
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

    /// Whether operators order numbered configurations instead of signing specs off.
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

    /// Its name, as the command line takes it.
    ///
    /// ```
    /// assert_eq!(fleet_simulator::Scenario::SlowDisks.name(), "slowdisks");
    /// ```
    pub fn name(self) -> String {
        format!("{self:?}").to_lowercase()
    }

    /// The scenario of that name.
    ///
    /// ```
    /// use fleet_simulator::Scenario;
    /// assert_eq!(Scenario::named("cuts"), Some(Scenario::Cuts));
    /// ```
    pub fn named(name: &str) -> Option<Self> {
        Self::ALL.into_iter().find(|scenario| scenario.name() == name)
    }
}
