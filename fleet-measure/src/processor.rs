//! Processor time and memory of running processes, from the accounting of the kernel.

/// Measures running processes over a period
#[derive(clap::Args)]
pub struct Processor {
    /// Each process as NAME=PID
    #[arg(long, value_delimiter = ',', required = true)]
    processes: Vec<String>,
    /// Duration of the measurement in seconds
    #[arg(long, default_value_t = 10)]
    seconds: u64,
}

/// Prints a row for each process: processor time in ms per second, and resident memory.
pub fn run(flags: &Processor) -> std::process::ExitCode {
    let named: Option<Vec<(&str, u32)>> = flags
        .processes
        .iter()
        .map(|text| text.split_once('=').and_then(|(name, pid)| Some((name, pid.parse().ok()?))))
        .collect();
    let Some(named) = named else {
        eprintln!("invalid process, expected NAME=PID");
        return std::process::ExitCode::from(2);
    };
    let started_at = std::time::Instant::now();
    let before: Vec<u64> = named.iter().map(|(_, pid)| processor_ns(*pid)).collect();
    std::thread::sleep(std::time::Duration::from_secs(flags.seconds));
    let elapsed_s = started_at.elapsed().as_secs_f64();
    println!("| process | processor ms /s | memory MB |");
    println!("|---|---|---|");
    for ((name, pid), before) in named.iter().zip(before) {
        let spent_ms = processor_ns(*pid).saturating_sub(before) as f64 / 1e6;
        println!("| {name} | {:.2} | {:.1} |", spent_ms / elapsed_s, resident_mb(*pid));
    }
    std::process::ExitCode::SUCCESS
}

/// The processor time of all threads of a process, in nanoseconds.
fn processor_ns(pid: u32) -> u64 {
    let Ok(threads) = std::fs::read_dir(format!("/proc/{pid}/task")) else { return 0 };
    let of_thread = |thread: std::fs::DirEntry| {
        let text = std::fs::read_to_string(thread.path().join("schedstat")).ok()?;
        text.split(' ').next()?.parse::<u64>().ok()
    };
    threads.flatten().filter_map(of_thread).sum()
}

fn resident_mb(pid: u32) -> f64 {
    let text = std::fs::read_to_string(format!("/proc/{pid}/statm")).unwrap_or_default();
    let pages = text.split(' ').nth(1).and_then(|pages| pages.parse::<f64>().ok());
    pages.unwrap_or(0.0) * rustix::param::page_size() as f64 / 1e6
}
