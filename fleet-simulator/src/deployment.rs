//! The two simulated deployments at full size, and a grown variant of each that tolerates the loss
//! of two machines.

/// The size of a fleet and its load.
#[derive(Debug, Clone)]
pub struct Deployment {
    /// Its name.
    pub name: &'static str,
    /// Control nodes; the first three are the seeds.
    pub controls: u16,
    /// How many machines with a disk may be lost at the same time.
    pub lost_machines: u16,
    /// Storage nodes.
    pub storages: u16,
    /// Edge nodes.
    pub relays: u16,
    /// Engines.
    pub engines: u16,
    /// Failure zones.
    pub zones: u16,
    /// Prompts a second.
    pub prompts_per_s: u64,
    /// Words of a prompt.
    pub words: u64,
    /// New tokens of a prompt.
    pub new_tokens: u64,
    /// Items of a batch.
    pub items_per_batch: u64,
    /// Seconds between batches.
    pub batch_interval_s: u64,
}

impl Deployment {
    /// All deployments.
    pub fn all() -> [Self; 4] {
        [Self::cristallo(), Self::quito(), Self::grown_cristallo(), Self::grown_quito()]
    }

    /// Materials checks and datasheet extractions, with small batches every two seconds.
    ///
    /// ```
    /// assert_eq!(fleet_simulator::Deployment::cristallo().relays, 9);
    /// ```
    pub fn cristallo() -> Self {
        Self {
            name: "cristallo",
            controls: 3,
            lost_machines: 1,
            storages: 3,
            relays: 9,
            engines: 12,
            zones: 3,
            prompts_per_s: 60,
            words: 150,
            new_tokens: 64,
            items_per_batch: 20,
            batch_interval_s: 2,
        }
    }

    /// Line checks and cue fixes at a steady rate, with large batches of whole reels every ten
    /// seconds.
    ///
    /// ```
    /// assert_eq!(fleet_simulator::Deployment::quito().storages, 4);
    /// ```
    pub fn quito() -> Self {
        Self {
            name: "quito",
            controls: 3,
            lost_machines: 1,
            storages: 4,
            relays: 6,
            engines: 12,
            zones: 4,
            prompts_per_s: 40,
            words: 40,
            new_tokens: 32,
            items_per_batch: 80,
            batch_interval_s: 10,
        }
    }

    /// Cristallo after growth: two machines may be lost at once. Fewer edge nodes keep the
    /// simulation fast.
    ///
    /// ```
    /// assert_eq!(fleet_simulator::Deployment::grown_cristallo().lost_machines, 2);
    /// ```
    pub fn grown_cristallo() -> Self {
        Self {
            name: "grown-cristallo",
            controls: 5,
            lost_machines: 2,
            storages: 9,
            relays: 5,
            engines: 8,
            zones: 5,
            prompts_per_s: 30,
            ..Self::cristallo()
        }
    }

    /// Quito after growth: two machines may be lost at once. Fewer edge nodes keep the simulation
    /// fast.
    ///
    /// ```
    /// assert_eq!(fleet_simulator::Deployment::grown_quito().storages, 10);
    /// ```
    pub fn grown_quito() -> Self {
        Self {
            name: "grown-quito",
            controls: 5,
            lost_machines: 2,
            storages: 10,
            relays: 4,
            engines: 8,
            zones: 5,
            prompts_per_s: 30,
            ..Self::quito()
        }
    }
}
