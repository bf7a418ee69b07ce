//! The log: lines go to a thread of their own through a bounded queue, so that a slow reader of standard error stops nothing. Three forms;
//! the text of a line is the same in each.
use quillramp_operator::log::{Format as Form, LogSettings as Log};
use std::fmt::{self, Write};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Mutex, OnceLock};
use std::time::{SystemTime, UNIX_EPOCH};
use tracing::field::{Field, Visit};
use tracing::{Event, Level, Subscriber};
use tracing_appender::non_blocking::{ErrorCounter, NonBlockingBuilder, WorkerGuard};
use tracing_subscriber::filter::Targets;
use tracing_subscriber::fmt::format::Writer;
use tracing_subscriber::fmt::{FmtContext, FormatEvent, FormatFields};
use tracing_subscriber::layer::SubscriberExt;
use tracing_subscriber::registry::LookupSpan;
use tracing_subscriber::reload;
use tracing_subscriber::Layer;

const WAITING: usize = 4096;

/// Lines of our own, and warnings of others'.
const USUAL: [(&str, Level); 2] = [("quillramp", Level::INFO), ("", Level::WARN)];

type Levels = reload::Handle<Targets, tracing_subscriber::Registry>;

static FORM: AtomicUsize = AtomicUsize::new(0);
static LEVELS: OnceLock<Levels> = OnceLock::new();
/// Ends the thread once what waits is written.
static THREAD: Mutex<Option<WorkerGuard>> = Mutex::new(None);

const FORMS: [Form; 3] = [Form::Plain, Form::KeyValue, Form::Json];

/// What a line holds beside its text.
#[derive(Default)]
struct Parts {
    plain: bool,
    text: String,
    fields: Vec<(&'static str, serde_json::Value)>,
}

impl Parts {
    /// Plain lines have their text and nothing else: fields cost nothing there.
    fn field(&mut self, field: &Field, value: impl FnOnce() -> serde_json::Value) {
        if !self.plain {
            self.fields.push((field.name(), value()));
        }
    }
}

impl Visit for Parts {
    fn record_debug(&mut self, field: &Field, value: &dyn fmt::Debug) {
        if field.name() == "message" {
            let _ = write!(self.text, "{value:?}"); // to a text, which takes everything
        } else {
            self.field(field, || format!("{value:?}").into());
        }
    }
    fn record_str(&mut self, field: &Field, value: &str) {
        self.field(field, || value.into());
    }
    fn record_u64(&mut self, field: &Field, value: u64) {
        self.field(field, || value.into());
    }
    fn record_i64(&mut self, field: &Field, value: i64) {
        self.field(field, || value.into());
    }
    fn record_f64(&mut self, field: &Field, value: f64) {
        self.field(field, || value.into());
    }
    fn record_bool(&mut self, field: &Field, value: bool) {
        self.field(field, || value.into());
    }
}

/// Writes a line in one of the forms.
fn line(to: &mut dyn Write, form: Form, (at, level): (f64, &str), lost: usize, parts: &Parts) -> fmt::Result {
    let Parts { text, fields, .. } = parts;
    match form {
        Form::Plain => {
            let gap = if lost > 0 { format!("({lost} lines lost) ") } else { String::new() };
            writeln!(to, "{at:.3} {level} {gap}{text}")
        }
        Form::KeyValue => {
            write!(
                to,
                "at={at:.3} level={} text={}",
                level.to_lowercase(),
                serde_json::Value::from(text.as_str())
            )?;
            for (name, value) in fields {
                write!(to, " {name}={value}")?;
            }
            if lost > 0 {
                write!(to, " lost={lost}")?;
            }
            writeln!(to)
        }
        Form::Json => {
            let mut all = serde_json::Map::new();
            all.insert("at".into(), ((at * 1e3).round() / 1e3).into());
            all.insert("level".into(), level.to_lowercase().into());
            all.insert("text".into(), text.as_str().into());
            all.extend(fields.iter().map(|(name, value)| ((*name).to_owned(), value.clone())));
            if lost > 0 {
                all.insert("lost".into(), lost.into());
            }
            writeln!(to, "{}", serde_json::Value::Object(all))
        }
    }
}

struct Lines {
    dropped: ErrorCounter,
    /// Of these, how many have been told.
    told: AtomicUsize,
}

impl<S, N> FormatEvent<S, N> for Lines
where
    S: Subscriber + for<'a> LookupSpan<'a>,
    N: for<'a> FormatFields<'a> + 'static,
{
    fn format_event(&self, _: &FmtContext<'_, S, N>, mut to: Writer<'_>, event: &Event<'_>) -> fmt::Result {
        let form = FORMS[FORM.load(Ordering::Relaxed) % FORMS.len()];
        let mut parts = Parts { plain: form == Form::Plain, ..Parts::default() };
        event.record(&mut parts);
        let at = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_secs_f64();
        let dropped = self.dropped.dropped_lines();
        let lost = dropped.saturating_sub(self.told.swap(dropped, Ordering::Relaxed));
        line(&mut to, form, (at, event.metadata().level().as_str()), lost, &parts)
    }
}

fn levels(log: Option<&Log>) -> Targets {
    let mut targets = Targets::new();
    for (from, level) in USUAL {
        targets = targets.with_target(from, level);
    }
    for rule in log.map_or(&[][..], |l| &l.levels) {
        // Checked when the file was read. A level without a place is for our own lines.
        let Ok(level) = rule.level.name().parse::<tracing::level_filters::LevelFilter>() else { continue };
        targets = targets.with_target(if rule.prefix.is_empty() { "quillramp" } else { &rule.prefix }, level);
    }
    targets
}

/// To be called once.
pub fn start() -> Result<(), String> {
    let (to, thread) = NonBlockingBuilder::default()
        .lossy(true)
        .buffered_lines_limit(WAITING)
        .thread_name("log")
        .finish(std::io::stderr());
    let lines = Lines { dropped: to.error_counter(), told: AtomicUsize::new(0) };
    let (filter, handle) = reload::Layer::new(levels(None));
    let layer = tracing_subscriber::fmt::layer().event_format(lines).with_writer(to).with_ansi(false);
    let all = tracing_subscriber::registry().with(layer.with_filter(filter));
    tracing::subscriber::set_global_default(all).map_err(|e| format!("log: {e}"))?;
    let _ = LEVELS.set(handle); // once, as said
    *THREAD.lock().unwrap_or_else(|e| e.into_inner()) = Some(thread);
    Ok(())
}

/// What an operator's file says of the log holds from now on; without one, what is usual.
pub fn told(log: Option<&Log>) {
    let form = log.map_or(Form::Plain, |l| l.format);
    FORM.store(FORMS.iter().position(|f| *f == form).unwrap_or(0), Ordering::Relaxed);
    if let Some(handle) = LEVELS.get() {
        let _ = handle.reload(levels(log)); // it fails only once there is no log any more
    }
}

/// Writes what waits, for a tenth of a second at the most, and ends the log.
pub fn flush() {
    drop(THREAD.lock().unwrap_or_else(|e| e.into_inner()).take());
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Guards: the text of a line is the same in every form, and nothing in it breaks one.
    #[test]
    fn a_line_in_each_form() {
        let fields = vec![("connection", "backend".into()), ("id", 3u64.into()), ("why", "closed".into())];
        let parts = Parts { plain: false, text: "connection backend 3 s-\"a ended: closed".into(), fields };
        let all = FORMS.map(|form| {
            let mut text = String::new();
            line(&mut text, form, (1764.12345, "INFO"), 2, &parts).expect("a text takes it");
            text
        });
        expect_test::expect![[r#"
            1764.123 INFO (2 lines lost) connection backend 3 s-"a ended: closed
            at=1764.123 level=info text="connection backend 3 s-\"a ended: closed" connection="backend" id=3 why="closed" lost=2
            {"at":1764.123,"connection":"backend","id":3,"level":"info","lost":2,"text":"connection backend 3 s-\"a ended: closed","why":"closed"}
        "#]]
        .assert_eq(&all.concat());
    }
}
