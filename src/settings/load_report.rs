//! Load reports, whose values the settings name.
use crate::types::LoadReport;

/// A load report made of its values, which `value` returns by their place in `names` and their name.
///
/// Names that are unknown, and values that are negative or not finite, are ignored; `None` where nothing remains.
pub fn load_report(names: &[String], value: impl Fn(usize, &str) -> Option<f64>) -> Option<LoadReport> {
    let mut report = LoadReport::default();
    for (place, name) in names.iter().enumerate() {
        let value = value(place, name).filter(|value| value.is_finite() && *value >= 0.0);
        match name.as_str() {
            "load_share" => report.cpu_utilization = value,
            "concurrent" => report.in_flight = value,
            "depth" => report.queued = value,
            "mean_ms" => report.service_time = value.map(|milliseconds| milliseconds / 1e3),
            "tps" => report.throughput = value,
            _ => {}
        }
    }
    (report != LoadReport::default()).then_some(report)
}
