//! What came of many runs, kept in a folder: raw rows, a summary, charts.
use crate::play::Report;
use crate::rules::Rule;
use crate::script::Kind;
use crate::sweep::Totals;
use plotters::prelude::*;
use std::collections::BTreeMap;
use std::fmt::Write;
use std::path::Path;

/// Writes all of it; what can't be written is said with the path.
pub fn write(folder: &Path, reports: &[Report], seconds: f64) -> Result<(), String> {
    let at = |name: &str| folder.join(name);
    std::fs::create_dir_all(folder).map_err(|e| format!("{}: {e}", folder.display()))?;
    runs(&at("runs.csv"), reports).map_err(|e| format!("{}: {e}", at("runs.csv").display()))?;
    faults(&at("faults.csv"), reports).map_err(|e| format!("{}: {e}", at("faults.csv").display()))?;
    std::fs::write(at("summary.md"), summary(reports, seconds))
        .map_err(|e| format!("{}: {e}", at("summary.md").display()))?;
    strikes(&at("faults.svg"), reports).map_err(|e| format!("{}: {e}", at("faults.svg").display()))?;
    sizes(&at("steps.svg"), reports).map_err(|e| format!("{}: {e}", at("steps.svg").display()))
}

fn runs(path: &Path, reports: &[Report]) -> Result<(), csv::Error> {
    let mut out = csv::Writer::from_path(path)?;
    out.write_record([
        "seed",
        "steps",
        "digest",
        "invocations",
        "succeeded",
        "throttled",
        "errored",
        "deliveries",
        "repeats",
        "counter_calls",
        "faults",
        "rule",
        "at",
        "says",
    ])?;
    for r in reports {
        let faults: Vec<String> = r.faults.iter().map(|(k, n)| format!("{} {n}", k.name())).collect();
        let (rule, at, says) = match &r.breach {
            Some(b) => (b.rule.name(), format!("{:.4}", b.at), b.says.as_str()),
            None => ("", String::new(), ""),
        };
        out.write_record([
            &r.seed.to_string(),
            &r.steps.to_string(),
            &format!("{:016x}", r.digest),
            &r.met.invocations.to_string(),
            &r.met.succeeded.to_string(),
            &r.met.throttled.to_string(),
            &r.met.errored.to_string(),
            &r.met.deliveries.to_string(),
            &r.met.repeats.to_string(),
            &r.counter_calls.to_string(),
            &faults.join("; "),
            rule,
            &at,
            says,
        ])?;
    }
    out.flush()?;
    Ok(())
}

/// By kind: how often it struck, in how many runs, and in how many of those a rule broke.
fn by_kind(reports: &[Report]) -> BTreeMap<Kind, (u64, u64, u64)> {
    let mut kinds = BTreeMap::new();
    for r in reports {
        for (kind, n) in &r.faults {
            let entry: &mut (u64, u64, u64) = kinds.entry(*kind).or_default();
            *entry = (entry.0 + n, entry.1 + 1, entry.2 + u64::from(r.breach.is_some()));
        }
    }
    kinds
}

fn faults(path: &Path, reports: &[Report]) -> Result<(), csv::Error> {
    let mut out = csv::Writer::from_path(path)?;
    out.write_record(["kind", "strikes", "runs", "runs_with_a_broken_rule"])?;
    for (kind, (strikes, runs, broken)) in by_kind(reports) {
        out.write_record([kind.name(), strikes.to_string(), runs.to_string(), broken.to_string()])?;
    }
    out.flush()?;
    Ok(())
}

/// The summary as Markdown.
pub fn summary(reports: &[Report], seconds: f64) -> String {
    let mut totals = Totals::default();
    reports.iter().for_each(|r| totals.add(r));
    let Totals { runs, steps, met, counter_calls, .. } = &totals;
    let mut text = String::from("# Runs of the emulator\n\n");
    let range = reports.first().map_or(0, |r| r.seed)..=reports.last().map_or(0, |r| r.seed);
    let _ = writeln!(
        text,
        "{runs} runs, seeds {} to {}, {steps} steps, {seconds:.1} s.\n",
        range.start(),
        range.end()
    );
    let _ = writeln!(text, "| rule | looks that bound something | broken |\n| --- | --- | --- |");
    for rule in Rule::ALL {
        let looks = match rule {
            Rule::OneAnswer => met.invocations,
            Rule::NoEffectTwice => met.repeats + met.throttled,
            Rule::Drains => met.drained,
            Rule::Cold => met.cold,
            Rule::Ceilings => met.ceilings,
            Rule::Descriptors => met.descriptors,
        };
        let broken = reports.iter().filter(|r| r.breach.as_ref().is_some_and(|b| b.rule == rule)).count();
        let _ = writeln!(text, "| {} | {looks} | {broken} |", rule.name());
    }
    let share = |n: u64| 100.0 * n as f64 / met.invocations.max(1) as f64;
    let _ = writeln!(
        text,
        "\n{} invocations: {:.1}% succeeded, {:.1}% throttled, {:.1}% errored; {} deliveries, {} of them repeats of what \
         may have run; {counter_calls} calls of the counter.\n\nThe world is plain: these shares say nothing of service.\n",
        met.invocations,
        share(met.succeeded),
        share(met.throttled),
        share(met.errored),
        met.deliveries,
        met.repeats
    );
    let _ = writeln!(text, "| fault | strikes | runs | runs with a broken rule |\n| --- | --- | --- | --- |");
    for (kind, (strikes, runs, broken)) in by_kind(reports) {
        let _ = writeln!(text, "| {} | {strikes} | {runs} | {broken} |", kind.name());
    }
    for r in reports.iter().filter(|r| r.breach.is_some()) {
        if let Some(b) = &r.breach {
            let _ = writeln!(text, "\n- seed {}: {} at {:.4} s: {}", r.seed, b.rule.name(), b.at, b.says);
        }
    }
    text
}

type Drawn = Result<(), Box<dyn std::error::Error>>;

/// How often each kind of fault struck.
fn strikes(path: &Path, reports: &[Report]) -> Drawn {
    let kinds: Vec<(String, u64)> = by_kind(reports).into_iter().map(|(k, n)| (k.name(), n.0)).collect();
    let most = kinds.iter().map(|(_, n)| *n).max().unwrap_or(1);
    let height = 60 + 18 * kinds.len().max(1) as u32;
    let root = SVGBackend::new(path, (760, height)).into_drawing_area();
    root.fill(&WHITE)?;
    let mut chart = ChartBuilder::on(&root)
        .caption("Faults that struck", ("sans-serif", 16))
        .margin(8)
        .x_label_area_size(24)
        .y_label_area_size(150)
        .build_cartesian_2d(0..most + most / 20 + 1, (0..kinds.len().max(1)).into_segmented())?;
    chart
        .configure_mesh()
        .disable_y_mesh()
        .y_labels(kinds.len() + 1)
        .y_label_formatter(&|at| match at {
            SegmentValue::CenterOf(i) => kinds.get(*i).map_or(String::new(), |k| k.0.clone()),
            _ => String::new(),
        })
        .draw()?;
    chart.draw_series(kinds.iter().enumerate().map(|(i, (_, n))| {
        let mut bar = Rectangle::new(
            [(0, SegmentValue::Exact(i)), (*n, SegmentValue::Exact(i + 1))],
            RGBColor(70, 110, 160).filled(),
        );
        bar.set_margin(2, 2, 0, 0);
        bar
    }))?;
    root.present()?;
    Ok(())
}

/// How long runs were, in steps.
fn sizes(path: &Path, reports: &[Report]) -> Drawn {
    let most = reports.iter().map(|r| r.steps).max().unwrap_or(1).max(1);
    let width = most.div_ceil(40).max(1);
    let mut bins = [0u32; 41];
    for r in reports {
        bins[((r.steps / width) as usize).min(40)] += 1;
    }
    let highest = bins.iter().copied().max().unwrap_or(1);
    let root = SVGBackend::new(path, (760, 320)).into_drawing_area();
    root.fill(&WHITE)?;
    let mut chart = ChartBuilder::on(&root)
        .caption("Steps of a run", ("sans-serif", 16))
        .margin(8)
        .x_label_area_size(32)
        .y_label_area_size(48)
        .build_cartesian_2d(0..most + width, 0..highest + highest / 10 + 1)?;
    chart.configure_mesh().x_desc("steps").y_desc("runs").draw()?;
    chart.draw_series(bins.iter().enumerate().map(|(i, n)| {
        let from = i as u64 * width;
        Rectangle::new([(from, 0), (from + width, *n)], RGBColor(70, 110, 160).filled())
    }))?;
    root.present()?;
    Ok(())
}
