//! A log sink, and the thread that keeps the last lines and writes them out.

/// Maximum number of lines kept.
const MAX_LINES: usize = 2_000;
/// Maximum number of lines queued for the ring's thread.
const MAX_QUEUED: usize = 4_096;

/// Whether each line is also written to standard output.
static MIRROR_TO_STDOUT: std::sync::atomic::AtomicBool = std::sync::atomic::AtomicBool::new(false);

/// Also writes each line to standard output from now on.
pub fn mirror_to_stdout() {
    MIRROR_TO_STDOUT.store(true, std::sync::atomic::Ordering::Relaxed);
}

struct Line {
    is_error: bool,
    text: String,
}

/// A message to the ring's thread.
enum RingMessage {
    /// A line of the log.
    Line(Line),
    /// Write the ring out now and report when that is done.
    WriteOut(std::sync::mpsc::SyncSender<()>),
}

type Sender = std::sync::mpsc::SyncSender<RingMessage>;

/// The sender to the ring's thread of this process.
static RING: std::sync::OnceLock<Sender> = std::sync::OnceLock::new();

/// Time that a process waits at its shutdown until the ring is written out.
const WRITE_TIMEOUT: std::time::Duration = std::time::Duration::from_millis(100);

/// Writes the ring out at a graceful shutdown, as its lines would be lost with the process. If the
/// lines also went to standard output, there is nothing left to write.
pub fn flush() {
    if MIRROR_TO_STDOUT.load(std::sync::atomic::Ordering::Relaxed) {
        return;
    }
    let Some(ring) = RING.get() else { return };
    let (done, written) = std::sync::mpsc::sync_channel(1);
    if ring.try_send(RingMessage::WriteOut(done)).is_ok() {
        // A slow disk must not delay the shutdown further.
        let _ = written.recv_timeout(WRITE_TIMEOUT);
    }
}

struct RingSink {
    prop: spdlog::sink::SinkProp,
    sender: Sender,
}

impl spdlog::sink::GetSinkProp for RingSink {
    fn prop(&self) -> &spdlog::sink::SinkProp {
        &self.prop
    }
}

impl spdlog::sink::Sink for RingSink {
    fn log(&self, record: &spdlog::Record) -> spdlog::Result<()> {
        let at_ms = record
            .time()
            .duration_since(std::time::UNIX_EPOCH)
            .map_or(0, |since| since.as_millis());
        let level = record.level().as_str();
        let line = Line {
            is_error: matches!(record.level(), spdlog::Level::Critical | spdlog::Level::Error),
            text: format!("at_ms={at_ms} level={level} {}", record.payload()),
        };
        if MIRROR_TO_STDOUT.load(std::sync::atomic::Ordering::Relaxed) {
            println!("{}", line.text);
        }
        // A full queue drops the line, so that logging never blocks.
        let _ = self.sender.try_send(RingMessage::Line(line));
        Ok(())
    }

    fn flush(&self) -> spdlog::Result<()> {
        Ok(())
    }
}

/// Makes the ring the log of this process. Each error writes it out to `ring.log` in the data
/// folder, or to standard error if there is no data folder.
///
/// # Errors
/// The logger could not be built.
pub fn start(folder: Option<std::path::PathBuf>) -> Result<(), spdlog::Error> {
    let (sender, receiver) = std::sync::mpsc::sync_channel(MAX_QUEUED);
    // A process starts one log. Only the first one is written out at the shutdown.
    let _ = RING.set(sender.clone());
    let sink = RingSink { prop: spdlog::sink::SinkProp::default(), sender };
    let logger = spdlog::Logger::builder()
        .sink(std::sync::Arc::new(sink))
        .level_filter(spdlog::LevelFilter::MoreSevereEqual(spdlog::Level::Info))
        .build()?;
    spdlog::set_default_logger(std::sync::Arc::new(logger));
    std::thread::spawn(move || run_ring(&receiver, folder.as_deref()));
    Ok(())
}

fn run_ring(receiver: &std::sync::mpsc::Receiver<RingMessage>, folder: Option<&std::path::Path>) {
    let mut ring = std::collections::VecDeque::with_capacity(MAX_LINES);
    while let Ok(message) = receiver.recv() {
        let line = match message {
            RingMessage::Line(line) => line,
            RingMessage::WriteOut(done) => {
                write_out(&ring, folder);
                let _ = done.send(());
                continue;
            }
        };
        let is_error = line.is_error;
        if ring.len() == MAX_LINES {
            ring.pop_front();
        }
        ring.push_back(line.text);
        if is_error {
            write_out(&ring, folder);
            if folder.is_none() {
                ring.clear();
            }
        }
    }
}

fn write_out(ring: &std::collections::VecDeque<String>, folder: Option<&std::path::Path>) {
    let text: String = ring.iter().flat_map(|line| [line.as_str(), "\n"]).collect();
    match folder {
        Some(folder) => {
            if let Err(error) = std::fs::write(folder.join("ring.log"), text) {
                eprintln!("the log could not be written to ring.log: {error}");
            }
        }
        None => eprint!("{text}"),
    }
}
