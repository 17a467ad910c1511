//! A sink that keeps the last lines and an owner thread that writes them out.

/// Lines kept.
const LINES: usize = 2_000;
/// Lines that may wait for the owner thread.
const QUEUE_LIMIT: usize = 4_096;

/// Whether each line also goes to standard output as it comes.
static TO_OUTPUT: std::sync::atomic::AtomicBool = std::sync::atomic::AtomicBool::new(false);

/// Lets each line go to standard output too, as it comes.
pub fn mirror_to_stdout() {
    TO_OUTPUT.store(true, std::sync::atomic::Ordering::Relaxed);
}

struct Line {
    grave: bool,
    text: String,
}

/// What the thread that keeps the ring is told.
enum Told {
    /// A line of the log.
    Line(Line),
    /// Write the ring out now, and say when that is done.
    WriteOut(std::sync::mpsc::SyncSender<()>),
}

type Sender = std::sync::mpsc::SyncSender<Told>;

/// Leads to the ring of this process.
static RING: std::sync::OnceLock<Sender> = std::sync::OnceLock::new();

/// How long a process that ends waits until its ring is written.
const WRITE_LIMIT: std::time::Duration = std::time::Duration::from_millis(100);

/// Has the ring written out as a grave line would, when a process ends in order: nobody could read
/// it later. Where each line went to standard output there is nothing left to write.
pub fn finish() {
    if TO_OUTPUT.load(std::sync::atomic::Ordering::Relaxed) {
        return;
    }
    let Some(ring) = RING.get() else { return };
    let (done, written) = std::sync::mpsc::sync_channel(1);
    if ring.try_send(Told::WriteOut(done)).is_ok() {
        // A disk that takes longer holds no end up.
        let _ = written.recv_timeout(WRITE_LIMIT);
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
            grave: matches!(record.level(), spdlog::Level::Critical | spdlog::Level::Error),
            text: format!("at_ms={at_ms} level={level} {}", record.payload()),
        };
        if TO_OUTPUT.load(std::sync::atomic::Ordering::Relaxed) {
            println!("{}", line.text);
        }
        // A full queue drops the line: logging never holds work up.
        let _ = self.sender.try_send(Told::Line(line));
        Ok(())
    }

    fn flush(&self) -> spdlog::Result<()> {
        Ok(())
    }
}

/// Makes the ring the log of this process. Grave lines write it to `ring.log` in the data folder,
/// or to standard error where there is none.
///
/// # Errors
/// The logger could not be built.
pub fn start(folder: Option<std::path::PathBuf>) -> Result<(), spdlog::Error> {
    let (sender, receiver) = std::sync::mpsc::sync_channel(QUEUE_LIMIT);
    // Only the first log of a process is written at its end; there is one.
    let _ = RING.set(sender.clone());
    let sink = RingSink { prop: spdlog::sink::SinkProp::default(), sender };
    let logger = spdlog::Logger::builder()
        .sink(std::sync::Arc::new(sink))
        .level_filter(spdlog::LevelFilter::MoreSevereEqual(spdlog::Level::Info))
        .build()?;
    spdlog::set_default_logger(std::sync::Arc::new(logger));
    std::thread::spawn(move || keep(&receiver, folder.as_deref()));
    Ok(())
}

fn keep(receiver: &std::sync::mpsc::Receiver<Told>, folder: Option<&std::path::Path>) {
    let mut ring = std::collections::VecDeque::with_capacity(LINES);
    while let Ok(told) = receiver.recv() {
        let line = match told {
            Told::Line(line) => line,
            Told::WriteOut(done) => {
                write_out(&ring, folder);
                let _ = done.send(());
                continue;
            }
        };
        let grave = line.grave;
        if ring.len() == LINES {
            ring.pop_front();
        }
        ring.push_back(line.text);
        if grave {
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
                eprintln!("the log ring could not be written: {error}");
            }
        }
        None => eprint!("{text}"),
    }
}
