//! The log, on standard error. A separate thread writes the lines from a bounded queue, so that a slow reader
//! of standard error blocks nothing else. The text of a line is the same in all three formats.
mod line;

use line::RecordedEvent;
pub use line::{LogLine, FORMATS};
use quillramp_operator::log::{Format, LogSettings};
use std::fmt;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Mutex, OnceLock};
use std::time::{SystemTime, UNIX_EPOCH};
use tracing::level_filters::LevelFilter;
use tracing::{Event, Level, Subscriber};
use tracing_appender::non_blocking::{ErrorCounter, NonBlockingBuilder, WorkerGuard};
use tracing_subscriber::filter::Targets;
use tracing_subscriber::fmt::format::Writer;
use tracing_subscriber::fmt::{FmtContext, FormatEvent, FormatFields};
use tracing_subscriber::layer::SubscriberExt;
use tracing_subscriber::registry::LookupSpan;
use tracing_subscriber::reload;
use tracing_subscriber::Layer;

/// Maximum number of lines that wait to be written; more are dropped and counted.
const MAX_QUEUED_LINES: usize = 4096;
/// Prefix of the log targets of this project's crates.
const OWN_TARGET: &str = "quillramp";
/// Levels without an operator's file: `INFO` for this project's crates, `WARN` for dependencies.
const DEFAULT_LEVELS: [(&str, Level); 2] = [(OWN_TARGET, Level::INFO), ("", Level::WARN)];

type LevelsHandle = reload::Handle<Targets, tracing_subscriber::Registry>;

/// Index of the current format in `FORMATS`.
static FORMAT: AtomicUsize = AtomicUsize::new(0);
/// Handle that replaces the levels of the running log.
static LEVELS: OnceLock<LevelsHandle> = OnceLock::new();
/// Guard of the writer thread; dropping it writes the queued lines and ends the thread.
static WRITER_THREAD: Mutex<Option<WorkerGuard>> = Mutex::new(None);

/// Error of a log that is started twice.
#[derive(Debug, thiserror::Error)]
#[error("can't start the log: {0}")]
pub struct LoggerError(#[from] tracing::subscriber::SetGlobalDefaultError);

/// Formats log lines, and reports dropped lines in the line after them.
struct LineFormatter {
    /// Counts the dropped lines.
    dropped: ErrorCounter,
    /// Number of dropped lines that have been reported.
    reported: AtomicUsize,
}

impl<S, N> FormatEvent<S, N> for LineFormatter
where
    S: Subscriber + for<'a> LookupSpan<'a>,
    N: for<'a> FormatFields<'a> + 'static,
{
    fn format_event(
        &self,
        _: &FmtContext<'_, S, N>,
        mut writer: Writer<'_>,
        event: &Event<'_>,
    ) -> fmt::Result {
        let format = FORMATS[FORMAT.load(Ordering::Relaxed) % FORMATS.len()];
        let mut recorded = RecordedEvent::new(format);
        event.record(&mut recorded);
        let unix_seconds = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_secs_f64();
        let dropped = self.dropped.dropped_lines();
        let unreported = dropped.saturating_sub(self.reported.swap(dropped, Ordering::Relaxed));
        let line = LogLine {
            unix_seconds,
            level: event.metadata().level().as_str(),
            dropped_lines: unreported,
            text: recorded.text,
            fields: recorded.fields,
        };
        line.write(&mut writer, format)
    }
}

/// Returns the levels for each target: the defaults, overridden by the operator's settings.
fn levels(settings: Option<&LogSettings>) -> Targets {
    let mut targets = Targets::new();
    for (target, level) in DEFAULT_LEVELS {
        targets = targets.with_target(target, level);
    }
    for rule in settings.map_or(&[][..], |settings| &settings.levels) {
        // The level was checked when the file was read. A rule without a prefix applies to this project's
        // crates.
        let Ok(level) = rule.level.name().parse::<LevelFilter>() else { continue };
        let target = if rule.prefix.is_empty() { OWN_TARGET } else { &rule.prefix };
        targets = targets.with_target(target, level);
    }
    targets
}

/// Starts the log. Must be called only once.
pub fn start() -> Result<(), LoggerError> {
    let (writer, thread) = NonBlockingBuilder::default()
        .lossy(true)
        .buffered_lines_limit(MAX_QUEUED_LINES)
        .thread_name("log")
        .finish(std::io::stderr());
    let formatter = LineFormatter { dropped: writer.error_counter(), reported: AtomicUsize::new(0) };
    let (filter, handle) = reload::Layer::new(levels(None));
    let layer = tracing_subscriber::fmt::layer().event_format(formatter).with_writer(writer).with_ansi(false);
    let subscriber = tracing_subscriber::registry().with(layer.with_filter(filter));
    tracing::subscriber::set_global_default(subscriber)?;
    let _ = LEVELS.set(handle); // can't fail: a second call has already returned an error
    *WRITER_THREAD.lock().unwrap_or_else(|poisoned| poisoned.into_inner()) = Some(thread);
    Ok(())
}

/// Applies the operator's settings of the log, or the defaults if there are none.
pub fn configure(settings: Option<&LogSettings>) {
    let format = settings.map_or(Format::Plain, |settings| settings.format);
    let index = FORMATS.iter().position(|other| *other == format).unwrap_or(0);
    FORMAT.store(index, Ordering::Relaxed);
    if let Some(handle) = LEVELS.get() {
        let _ = handle.reload(levels(settings)); // fails only after the log has ended
    }
}

/// Writes all queued lines, for at most a tenth of a second, and ends the log.
pub fn flush() {
    drop(WRITER_THREAD.lock().unwrap_or_else(|poisoned| poisoned.into_inner()).take());
}
