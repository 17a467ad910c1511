//! What the real machines cost in one process, as one size grows.
//!
//! Processor time is that of the thread (steps, and the encoding and decoding of frames); sockets,
//! threads and disks are not in it. Each size is measured several times and the median is shown.

mod catch_up;
mod counter;
mod engines;
mod fleet;
mod followers;
mod items;
pub mod meter;
mod routes;
mod samples;

/// Which size grows
#[derive(clap::Subcommand)]
pub enum Scale {
    /// Edge nodes that ask the feed and probe each other
    Followers {
        /// Edge nodes
        #[arg(long, value_delimiter = ',', default_values_t = [15, 68, 205, 410])]
        sizes: Vec<usize>,
        /// How often each is measured
        #[arg(long, default_value_t = 3)]
        times: usize,
    },
    /// Routes in the configuration, one of which changes at a time
    Routes {
        /// Routes
        #[arg(long, value_delimiter = ',', default_values_t = [10, 100, 1_000, 4_300])]
        sizes: Vec<usize>,
        /// How often each is measured
        #[arg(long, default_value_t = 3)]
        times: usize,
        /// Changes taken in each measurement
        #[arg(long, default_value_t = 10)]
        changes: usize,
    },
    /// A relay and a control node that were cut off while configurations changed
    CatchUp {
        /// Routes
        #[arg(long, value_delimiter = ',', default_values_t = [20, 300])]
        routes: Vec<usize>,
        /// Changes that were missed
        #[arg(long, value_delimiter = ',', default_values_t = [1, 100, 1_000])]
        changes: Vec<usize>,
        /// Memory of each process in MB; 0: unlimited
        #[arg(long, default_value_t = 256)]
        memory_mb: u64,
        /// Disk of each process in MB; 0: unlimited
        #[arg(long, default_value_t = 128)]
        disk_mb: u64,
    },
    /// Engines on the list, one of which changes at a time
    Engines {
        /// Engines
        #[arg(long, value_delimiter = ',', default_values_t = [12, 120, 1_200, 12_000])]
        sizes: Vec<usize>,
        /// How often each is measured
        #[arg(long, default_value_t = 3)]
        times: usize,
    },
    /// Holds in flight at the counter, while others come and go
    Counter {
        /// Holds
        #[arg(long, value_delimiter = ',', default_values_t = [100, 1_000, 10_000, 50_000])]
        sizes: Vec<usize>,
        /// How often each is measured
        #[arg(long, default_value_t = 3)]
        times: usize,
    },
    /// Batch items in one shard, from submission to their last result
    Items {
        /// Items
        #[arg(long, value_delimiter = ',', default_values_t = [1_000, 5_000, 20_000])]
        sizes: Vec<usize>,
        /// How often each is measured
        #[arg(long, default_value_t = 3)]
        times: usize,
    },
}

/// Measures and prints a table.
pub fn run(scale: &Scale) {
    match scale {
        Scale::Followers { sizes, times } => followers::run(sizes, *times),
        Scale::Routes { sizes, times, changes } => routes::run(sizes, *times, *changes),
        Scale::CatchUp { routes, changes, memory_mb, disk_mb } => {
            let resources = topazyard_spec::Resources {
                memory_bytes: memory_mb * 1_000_000,
                disk_bytes: disk_mb * 1_000_000,
                ..Default::default()
            };
            catch_up::run(routes, changes, &resources);
        }
        Scale::Engines { sizes, times } => engines::run(sizes, *times),
        Scale::Counter { sizes, times } => counter::run(sizes, *times),
        Scale::Items { sizes, times } => items::run(sizes, *times),
    }
}

/// Measures each of several figures several times and gives the medians.
fn medians<const N: usize>(times: usize, mut measure: impl FnMut() -> [f64; N]) -> [f64; N] {
    let all: Vec<[f64; N]> = (0..times.max(1)).map(|_| measure()).collect();
    std::array::from_fn(|at| meter::median(all.iter().map(|figures| figures[at]).collect()))
}
