//! Results in a folder: raw rows, a row a play, load by backend, a summary with median and spread, charts; and comparisons.
use crate::charts;
use crate::generator::{Outcome, Row};
use crate::play::{Had, Play, Played};
use crate::stage::Load;
use hdrhistogram::Histogram;
use serde::de::DeserializeOwned;
use std::fmt::Write;
use std::path::Path;

/// All that was played in a session, or is read back from a folder.
#[derive(Clone, Debug, Default)]
pub struct Session {
    pub plays: Vec<Play>,
    pub rows: Vec<Row>,
    pub loads: Vec<Load>,
    pub had: Vec<Had>,
    /// All that was to be played was.
    pub whole: bool,
}

const INTERRUPTED: &str = "Interrupted";

/// Figures of one play.
#[derive(Clone, Debug, Default)]
pub struct Figures {
    pub succeeded: f64,
    pub throttled: f64,
    /// Errored, or without an answer.
    pub failed: f64,
    /// Milliseconds of those that succeeded.
    pub median: f64,
    pub p99: f64,
    /// Succeeded a second.
    pub rate: f64,
    /// By how much the generator was late, 99th percentile, milliseconds: figures under it say nothing.
    pub late: f64,
    /// Milliseconds of processor time of front doors for one invocation, and megabytes of one front door.
    pub processor: f64,
    pub memory: f64,
    /// Deliveries and counter calls for one invocation; connections to backends that one front door made.
    pub deliveries: f64,
    pub calls: f64,
    pub connections: f64,
    /// The share of the units that ran beyond quotas, and the worst customer's share above its own.
    pub beyond: f64,
    pub worst: f64,
}

type Named = (&'static str, fn(&Figures) -> f64);

/// What is summed up and compared, by name.
pub const FIGURES: [Named; 14] = [
    ("succeeded, share", |f| f.succeeded),
    ("throttled, share", |f| f.throttled),
    ("failed, share", |f| f.failed),
    ("median, ms", |f| f.median),
    ("99th percentile, ms", |f| f.p99),
    ("succeeded a second", |f| f.rate),
    ("generator late, 99th percentile, ms", |f| f.late),
    ("processor of front doors, ms an invocation", |f| f.processor),
    ("memory of a front door, MB", |f| f.memory),
    ("deliveries an invocation", |f| f.deliveries),
    ("counter calls an invocation", |f| f.calls),
    ("connections to backends, a front door", |f| f.connections),
    ("units beyond quotas, share", |f| f.beyond),
    ("worst customer above its quota, share", |f| f.worst),
];

/// Microseconds up to a minute, to three digits.
pub fn histogram() -> Histogram<u64> {
    Histogram::new_with_bounds(1, 60_000_000, 3).expect("bounds that hold")
}

pub fn figures(play: &Play, rows: &[Row]) -> Figures {
    let own: Vec<&Row> =
        rows.iter().filter(|r| r.variant == play.variant && r.repetition == play.repetition).collect();
    let share = |of: Outcome| own.iter().filter(|r| r.outcome == of).count() as f64 / own.len().max(1) as f64;
    let each = |n: u64| n as f64 / own.len().max(1) as f64;
    let (mut took, mut late) = (histogram(), histogram());
    for r in &own {
        late.saturating_record((r.late.max(0.0) * 1e6) as u64 + 1);
        if r.outcome == Outcome::Succeeded {
            took.saturating_record((r.took * 1e6) as u64 + 1);
        }
    }
    let seconds = own.iter().map(|r| r.at).fold(0.0, f64::max).max(0.001);
    let (succeeded, throttled) = (share(Outcome::Succeeded), share(Outcome::Throttled));
    Figures {
        succeeded,
        throttled,
        failed: 1.0 - succeeded - throttled,
        median: took.value_at_quantile(0.5) as f64 / 1e3,
        p99: took.value_at_quantile(0.99) as f64 / 1e3,
        rate: succeeded * own.len() as f64 / seconds,
        late: late.value_at_quantile(0.99) as f64 / 1e3,
        processor: 1e3 * play.processor / own.len().max(1) as f64,
        memory: play.memory_mb / play.doors.max(1) as f64,
        deliveries: each(play.deliveries),
        calls: each(play.counter_calls),
        connections: play.connections as f64 / play.doors.max(1) as f64,
        beyond: play.beyond / play.units.max(1.0),
        worst: play.worst,
    }
}

/// The middle, and how far the least and the most lie apart.
fn middle(values: &[f64]) -> (f64, f64) {
    let mut sorted = values.to_vec();
    sorted.sort_by(f64::total_cmp);
    let Some((first, last)) = sorted.first().zip(sorted.last()) else { return (0.0, 0.0) };
    let half = sorted.len() / 2;
    let median = if sorted.len() % 2 == 1 { sorted[half] } else { (sorted[half - 1] + sorted[half]) / 2.0 };
    (median, last - first)
}

/// In the order in which they were played first.
fn by_variant<'a>(plays: &'a [Play], rows: &[Row]) -> Vec<(&'a str, Vec<Figures>)> {
    let mut all: Vec<(&str, Vec<Figures>)> = vec![];
    for play in plays {
        let own = figures(play, rows);
        match all.iter_mut().find(|v| v.0 == play.variant) {
            Some(variant) => variant.1.push(own),
            None => all.push((&play.variant, vec![own])),
        }
    }
    all
}

/// Whether `b` differs from `a` beyond the noise: plays in pairs, of which the differences all have one sign and lie more than two
/// standard errors from none. Mean difference; with fewer than three pairs nothing is said.
pub fn beyond(a: &[f64], b: &[f64]) -> (f64, bool) {
    let diffs: Vec<f64> = a.iter().zip(b).map(|(a, b)| b - a).collect();
    let n = diffs.len() as f64;
    let mean = diffs.iter().sum::<f64>() / n.max(1.0);
    if diffs.len() < 3 {
        return (mean, false);
    }
    let error = (diffs.iter().map(|d| (d - mean).powi(2)).sum::<f64>() / (n - 1.0) / n).sqrt();
    let one_sign = diffs.iter().all(|d| *d > 0.0) || diffs.iter().all(|d| *d < 0.0);
    (mean, one_sign && mean.abs() > 2.0 * error)
}

pub fn summary(session: &Session) -> String {
    let Session { plays, rows, whole, .. } = session;
    let all = by_variant(plays, rows);
    let mut text = String::from(
        "# Results of quillramp-load\n\nFigures of this tool, among its own stand-ins; no other's.\n\n",
    );
    if !whole {
        let _ = writeln!(text, "**{INTERRUPTED}: what was played until then.**\n");
    }
    let names: Vec<&str> = all.iter().map(|v| v.0).collect();
    let _ = writeln!(
        text,
        "| median (spread) | {} |\n| --- |{}",
        names.join(" | "),
        " --- |".repeat(names.len())
    );
    for (name, figure) in FIGURES {
        let cells: Vec<String> = all
            .iter()
            .map(|(_, plays)| {
                let (median, spread) = middle(&plays.iter().map(figure).collect::<Vec<_>>());
                format!("{median:.3} ({spread:.3})")
            })
            .collect();
        let _ = writeln!(text, "| {name} | {} |", cells.join(" | "));
    }
    let sum = |figure: &dyn Fn(&Play) -> u64| {
        let of = |name: &str| plays.iter().filter(|p| p.variant == name).map(figure).sum::<u64>().to_string();
        names.iter().map(|n| of(n)).collect::<Vec<_>>().join(" | ")
    };
    let _ = writeln!(text, "| plays | {} |", sum(&|_| 1));
    let _ = writeln!(text, "| invocations | {} |", sum(&|p| p.sent));
    let _ = writeln!(text, "| counter calls | {} |", sum(&|p| p.counter_calls));
    let _ = writeln!(text, "| effects twice | {} |", sum(&|p| p.twice));
    let _ = writeln!(text, "| front doors that died | {} |", sum(&|p| p.died as u64));
    if let Some(((base, of_base), others)) = all.split_first() {
        others.iter().for_each(|(name, of)| text += &compared(of_base, of, base, name));
    }
    let worst = all.iter().flat_map(|v| &v.1).map(|f| f.late).fold(0.0, f64::max);
    if worst > 5.0 {
        let _ = writeln!(text, "\nThe generator was late by up to {worst:.1} ms (99th percentile of a play): too few cores for it.");
    }
    text
}

/// One variant against another, figure by figure.
pub fn compared(a: &[Figures], b: &[Figures], name_a: &str, name_b: &str) -> String {
    let mut text = format!(
        "\n## {name_b} against {name_a}\n\n| figure | difference | beyond the noise |\n| --- | --- | --- |\n"
    );
    for (name, figure) in FIGURES {
        let of = |all: &[Figures]| all.iter().map(figure).collect::<Vec<_>>();
        let (mean, is) = beyond(&of(a), &of(b));
        let _ = writeln!(text, "| {name} | {mean:+.3} | {} |", if is { "yes" } else { "no" });
    }
    text
}

impl Session {
    pub fn add(&mut self, played: Played) {
        self.plays.push(played.play);
        self.rows.extend(played.rows);
        self.loads.extend(played.loads);
        self.had.extend(played.had);
    }

    /// Writes all of it into the folder.
    pub fn write(&self, folder: &Path) -> Result<(), String> {
        let at = |name: &str| folder.join(name);
        let told = |name: &str, done: charts::Done| done.map_err(|e| format!("{}: {e}", at(name).display()));
        told("rows.csv", table(&at("rows.csv"), &self.rows))?;
        told("plays.csv", table(&at("plays.csv"), &self.plays))?;
        told("backends.csv", table(&at("backends.csv"), &self.loads))?;
        told("customers.csv", table(&at("customers.csv"), &self.had))?;
        told("summary.md", std::fs::write(at("summary.md"), summary(self)).map_err(Into::into))?;
        told("percentiles.svg", charts::percentiles(&at("percentiles.svg"), self))?;
        told("service.svg", charts::service(&at("service.svg"), self))?;
        told("backends.svg", charts::backends(&at("backends.svg"), self))
    }

    /// Reads a folder back.
    pub fn read(folder: &Path) -> Result<Session, String> {
        let said = std::fs::read_to_string(folder.join("summary.md")).unwrap_or_default();
        let whole = !said.is_empty() && !said.contains(INTERRUPTED);
        Ok(Session {
            plays: read(&folder.join("plays.csv"))?,
            rows: read(&folder.join("rows.csv"))?,
            loads: read(&folder.join("backends.csv"))?,
            had: read(&folder.join("customers.csv"))?,
            whole,
        })
    }

    /// Variants in the order in which they were played first.
    pub fn variants(&self) -> Vec<&str> {
        let mut names: Vec<&str> = vec![];
        for play in &self.plays {
            if !names.contains(&play.variant.as_str()) {
                names.push(&play.variant);
            }
        }
        names
    }
}

/// Two folders: each variant that both played, in pairs by repetition.
pub fn between(a: &Session, b: &Session) -> Result<String, String> {
    let mut text = String::from("# One session against another\n\nPlayed apart: what drifts on a machine between sessions counts as a difference here.\n");
    for (which, session) in [("first", a), ("second", b)] {
        if !session.whole {
            let _ = writeln!(text, "\nThe {which} one was interrupted.");
        }
    }
    let both: Vec<&str> = a.variants().into_iter().filter(|n| b.variants().contains(n)).collect();
    if both.is_empty() {
        return Err("no variant is in both".into());
    }
    let (of_a, of_b) = (by_variant(&a.plays, &a.rows), by_variant(&b.plays, &b.rows));
    for name in both {
        let of = |all: &[(&str, Vec<Figures>)]| {
            all.iter().find(|v| v.0 == name).map(|v| v.1.clone()).unwrap_or_default()
        };
        text +=
            &compared(&of(&of_a), &of(&of_b), "the first session", &format!("{name}, the second session"));
    }
    Ok(text)
}

fn table<T: serde::Serialize>(path: &Path, rows: &[T]) -> charts::Done {
    let mut out = csv::Writer::from_path(path)?;
    for row in rows {
        out.serialize(row)?;
    }
    out.flush()?;
    Ok(())
}

fn read<T: DeserializeOwned>(path: &Path) -> Result<Vec<T>, String> {
    let told = |e: csv::Error| format!("{}: {e}", path.display());
    csv::Reader::from_path(path).map_err(told)?.deserialize().collect::<Result<_, _>>().map_err(told)
}
