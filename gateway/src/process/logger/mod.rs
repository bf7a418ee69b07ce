//! The log: lines go through a bounded queue to a thread of their own, so that a slow reader of standard error blocks
//! nothing. There are three formats; the text of a line is the same in each.
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

/// How many lines may wait to be written; more are dropped and counted.
const QUEUE_LINES: usize = 4096;
/// The prefix of our own targets.
const OWN_TARGET: &str = "quillramp";
/// Without an operator's file: lines of our own, and warnings of others'.
const DEFAULT_LEVELS: [(&str, Level); 2] = [(OWN_TARGET, Level::INFO), ("", Level::WARN)];

type LevelsHandle = reload::Handle<Targets, tracing_subscriber::Registry>;

/// The format in use, as an index of `FORMATS`.
static FORMAT: AtomicUsize = AtomicUsize::new(0);
static LEVELS: OnceLock<LevelsHandle> = OnceLock::new();
/// Ends the thread once all waiting lines are written.
static WRITER_THREAD: Mutex<Option<WorkerGuard>> = Mutex::new(None);

/// The log was started twice.
#[derive(Debug, thiserror::Error)]
#[error("log: {0}")]
pub struct LoggerError(#[from] tracing::subscriber::SetGlobalDefaultError);

struct LineFormatter {
    dropped: ErrorCounter,
    /// How many of the dropped lines have been reported.
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
        let at = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_secs_f64();
        let dropped = self.dropped.dropped_lines();
        let lost = dropped.saturating_sub(self.reported.swap(dropped, Ordering::Relaxed));
        let line = LogLine {
            at,
            level: event.metadata().level().as_str(),
            lost,
            text: recorded.text,
            fields: recorded.fields,
        };
        line.write(&mut writer, format)
    }
}

fn levels(settings: Option<&LogSettings>) -> Targets {
    let mut targets = Targets::new();
    for (target, level) in DEFAULT_LEVELS {
        targets = targets.with_target(target, level);
    }
    for rule in settings.map_or(&[][..], |settings| &settings.levels) {
        // Checked when the file was read. A level without a prefix is for our own lines.
        let Ok(level) = rule.level.name().parse::<LevelFilter>() else { continue };
        let target = if rule.prefix.is_empty() { OWN_TARGET } else { &rule.prefix };
        targets = targets.with_target(target, level);
    }
    targets
}

/// Starts the log. To be called once.
pub fn start() -> Result<(), LoggerError> {
    let (writer, thread) = NonBlockingBuilder::default()
        .lossy(true)
        .buffered_lines_limit(QUEUE_LINES)
        .thread_name("log")
        .finish(std::io::stderr());
    let formatter = LineFormatter { dropped: writer.error_counter(), reported: AtomicUsize::new(0) };
    let (filter, handle) = reload::Layer::new(levels(None));
    let layer = tracing_subscriber::fmt::layer().event_format(formatter).with_writer(writer).with_ansi(false);
    let subscriber = tracing_subscriber::registry().with(layer.with_filter(filter));
    tracing::subscriber::set_global_default(subscriber)?;
    let _ = LEVELS.set(handle); // once, as said
    *WRITER_THREAD.lock().unwrap_or_else(|poisoned| poisoned.into_inner()) = Some(thread);
    Ok(())
}

/// Applies the operator's settings of the log; without them, the defaults.
pub fn configure(settings: Option<&LogSettings>) {
    let format = settings.map_or(Format::Plain, |settings| settings.format);
    let index = FORMATS.iter().position(|other| *other == format).unwrap_or(0);
    FORMAT.store(index, Ordering::Relaxed);
    if let Some(handle) = LEVELS.get() {
        let _ = handle.reload(levels(settings)); // it fails only once there is no log any more
    }
}

/// Writes all waiting lines, for a tenth of a second at the most, and ends the log.
pub fn flush() {
    drop(WRITER_THREAD.lock().unwrap_or_else(|poisoned| poisoned.into_inner()).take());
}
