//! What a node's work costs.

/// Processor time of this thread so far, in microseconds.
pub fn thread_us() -> f64 {
    as_us(rustix::time::clock_gettime(rustix::time::ClockId::ThreadCPUTime))
}

/// Processor time of all threads of this process so far, in microseconds.
pub fn process_us() -> f64 {
    as_us(rustix::time::clock_gettime(rustix::time::ClockId::ProcessCPUTime))
}

fn as_us(time: rustix::time::Timespec) -> f64 {
    time.tv_sec as f64 * 1e6 + time.tv_nsec as f64 / 1e3
}

/// Memory of this process in use now, in bytes.
pub fn resident_bytes() -> u64 {
    let text = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = text.split(' ').nth(1).and_then(|pages| pages.parse::<u64>().ok());
    pages.unwrap_or(0) * rustix::param::page_size() as u64
}

/// What a node spent and moved since the meter was read last.
#[derive(Debug, Clone, Copy, Default)]
pub struct Meter {
    /// Processor time of the machine's steps, in microseconds.
    pub step_us: f64,
    /// Processor time of encoding and decoding frames, in microseconds.
    pub codec_us: f64,
    /// Frames that came.
    pub frames_in: u64,
    /// Frames that were sent.
    pub frames_out: u64,
    /// Their bytes.
    pub bytes_in: u64,
    /// Their bytes.
    pub bytes_out: u64,
    /// Writes handed to the disk.
    pub writes: u64,
    /// Bytes of keys and values in them.
    pub written_bytes: u64,
}

impl Meter {
    /// Steps and codec together, in microseconds.
    pub fn processor_us(&self) -> f64 {
        self.step_us + self.codec_us
    }
}

/// The middle one of several values.
pub fn median(mut values: Vec<f64>) -> f64 {
    values.sort_by(f64::total_cmp);
    values.get(values.len() / 2).copied().unwrap_or(0.0)
}
