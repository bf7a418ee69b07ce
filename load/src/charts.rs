//! Charts of a session, by plotters: latency by percentile, service over time, load by backend over time.
use crate::generator::Outcome;
use crate::results::{histogram, Session};
use crate::stage::COLUMN;
use hdrhistogram::Histogram;
use plotters::prelude::*;
use std::collections::BTreeMap;
use std::path::Path;

pub type Done = Result<(), Box<dyn std::error::Error>>;

/// A line of a chart: its name, whether it is drawn thin, its points.
type Line = (String, bool, Vec<(f64, f64)>);

struct Axes {
    title: String,
    x: (&'static str, f64),
    y: (&'static str, f64),
}

/// Lines over two axes that begin at 0.
fn lines<B: DrawingBackend>(area: &DrawingArea<B, plotters::coord::Shift>, axes: &Axes, all: &[Line]) -> Done
where
    B::ErrorType: 'static,
{
    let (x_most, y_most) = (axes.x.1.max(0.001), axes.y.1.max(0.001) * 1.05);
    let mut chart = ChartBuilder::on(area)
        .caption(&axes.title, ("sans-serif", 16))
        .margin(8)
        .x_label_area_size(36)
        .y_label_area_size(56)
        .build_cartesian_2d(0.0..x_most, 0.0..y_most)?;
    chart.configure_mesh().x_desc(axes.x.0).y_desc(axes.y.0).draw()?;
    for (i, (name, thin, points)) in all.iter().enumerate() {
        let color = Palette99::pick(i).to_rgba();
        let style = color.stroke_width(if *thin { 1 } else { 2 });
        let line = chart.draw_series(LineSeries::new(points.iter().copied(), style))?;
        line.label(name).legend(move |(x, y)| PathElement::new([(x, y), (x + 16, y)], color));
    }
    chart.configure_series_labels().background_style(WHITE.mix(0.8)).border_style(BLACK).draw()?;
    Ok(())
}

/// Latency by percentile, a line a variant.
pub fn percentiles(path: &Path, session: &Session) -> Done {
    let mut taken: BTreeMap<&str, Histogram<u64>> = BTreeMap::new();
    for name in session.variants() {
        taken.insert(name, histogram());
    }
    for r in session.rows.iter().filter(|r| r.outcome == Outcome::Succeeded) {
        if let Some(line) = taken.get_mut(r.variant.as_str()) {
            line.saturating_record((r.took * 1e6) as u64 + 1);
        }
    }
    let most = taken.values().map(|h| h.value_at_quantile(0.999)).max().unwrap_or(1) as f64 / 1e3;
    let line = |name: &&str| {
        let at =
            |p: u32| (f64::from(p) / 10.0, taken[name].value_at_quantile(f64::from(p) / 1e3) as f64 / 1e3);
        ((*name).to_owned(), false, (0..=999).map(at).collect())
    };
    let all: Vec<Line> = session.variants().iter().map(line).collect();
    let root = SVGBackend::new(path, (760, 420)).into_drawing_area();
    root.fill(&WHITE)?;
    let title = "Latency from the intended start, succeeded".into();
    lines(&root, &Axes { title, x: ("percentile", 100.0), y: ("ms", most) }, &all)?;
    root.present()?;
    Ok(())
}

/// By time of arrival: the shares that succeeded and that were throttled, over all repetitions.
pub fn service(path: &Path, session: &Session) -> Done {
    let last = session.rows.iter().map(|r| r.at).fold(0.0, f64::max);
    let columns = (last / COLUMN) as usize + 1;
    let mut all: Vec<Line> = vec![];
    for name in session.variants() {
        let mut counts = vec![(0.0, 0.0, 0.0); columns];
        for r in session.rows.iter().filter(|r| r.variant == name) {
            let c = &mut counts[(r.at / COLUMN) as usize];
            c.0 += 1.0;
            c.1 += f64::from(u8::from(r.outcome == Outcome::Succeeded));
            c.2 += f64::from(u8::from(r.outcome == Outcome::Throttled));
        }
        let over = |of: &dyn Fn(&(f64, f64, f64)) -> f64| {
            let seen = counts.iter().enumerate().filter(|(_, c)| c.0 > 0.0);
            seen.map(|(i, c)| (i as f64 * COLUMN, of(c) / c.0)).collect::<Vec<_>>()
        };
        all.push((format!("{name}: succeeded"), false, over(&|c| c.1)));
        if counts.iter().any(|c| c.2 > 0.0) {
            all.push((format!("{name}: throttled"), true, over(&|c| c.2)));
        }
    }
    let root = SVGBackend::new(path, (760, 420)).into_drawing_area();
    root.fill(&WHITE)?;
    let title = "What came of invocations, by their time of arrival".into();
    lines(&root, &Axes { title, x: ("seconds", last), y: ("share", 1.0) }, &all)?;
    root.present()?;
    Ok(())
}

/// Units that each backend began, a picture a variant, the mean of its repetitions.
pub fn backends(path: &Path, session: &Session) -> Done {
    let names = session.variants();
    let last = session.loads.iter().map(|l| l.at).fold(0.0, f64::max);
    let columns = (last / COLUMN) as usize + 1;
    let mut pictures: Vec<(&str, Vec<Line>, f64)> = vec![];
    for name in &names {
        let plays = session.plays.iter().filter(|p| p.variant == *name).count().max(1) as f64;
        let mut by: BTreeMap<usize, Vec<f64>> = BTreeMap::new();
        for l in session.loads.iter().filter(|l| l.variant == *name) {
            by.entry(l.backend).or_insert_with(|| vec![0.0; columns])[(l.at / COLUMN) as usize] +=
                l.units / plays;
        }
        let most = by.values().flatten().copied().fold(0.0, f64::max);
        let line = |(b, units): (usize, Vec<f64>)| {
            let points = units.iter().enumerate().map(|(i, u)| (i as f64 * COLUMN, u / COLUMN)).collect();
            (format!("backend {b}"), true, points)
        };
        pictures.push((name, by.into_iter().map(line).collect(), most / COLUMN));
    }
    let most = pictures.iter().map(|p| p.2).fold(0.0, f64::max);
    let root = SVGBackend::new(path, (760, 300 * names.len().max(1) as u32)).into_drawing_area();
    root.fill(&WHITE)?;
    for (area, (name, all, _)) in root.split_evenly((names.len().max(1), 1)).iter().zip(&pictures) {
        let title = format!("Load by backend: {name}");
        lines(area, &Axes { title, x: ("seconds", last), y: ("units a second", most) }, all)?;
    }
    root.present()?;
    Ok(())
}
