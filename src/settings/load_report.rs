//! Load reports, with the names of their values from the settings.
use crate::types::LoadReport;

/// Builds a load report. `value` returns a reported value by its index in `names` and its name.
///
/// Unknown names are ignored, and so are values that are negative or not finite. Returns `None` if no value remains.
pub fn load_report(names: &[String], value: impl Fn(usize, &str) -> Option<f64>) -> Option<LoadReport> {
    let mut report = LoadReport::default();
    for (index, name) in names.iter().enumerate() {
        let value = value(index, name).filter(|value| value.is_finite() && *value >= 0.0);
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
