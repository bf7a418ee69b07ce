//! Least-squares lines through the figures of a sweep.
use super::rows::Row;
use std::collections::BTreeMap;

/// One measured value of a figure.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct DataPoint {
    /// Value of the varied factor.
    pub factor: f64,
    /// Value of the figure.
    pub figure: f64,
}

/// A straight line through the data points of one figure over one factor, and its residual.
#[derive(Clone, Debug, PartialEq)]
pub struct Line {
    /// Increase of the figure per unit of the factor.
    pub slope: f64,
    /// Value of the line where the factor is 0.
    pub intercept: f64,
    /// Root mean square of the differences between the points and the line, in the unit of the figure.
    pub residual: f64,
    /// `residual` divided by the mean of the points' absolute values.
    pub relative_residual: f64,
    /// Number of points that the line is fitted to.
    pub point_count: usize,
}

impl Line {
    /// Fits a line to the points by least squares. Returns `None` for fewer than two points, or if all points have
    /// the same factor.
    pub fn through(points: &[DataPoint]) -> Option<Line> {
        let pairs: Vec<(f64, f64)> = points.iter().map(|point| (point.factor, point.figure)).collect();
        let fitted: Result<(f64, f64), _> = linreg::linear_regression_of(&pairs);
        let (slope, intercept) = fitted.ok()?;
        let count = points.len() as f64;
        let distance = |point: &DataPoint| point.figure - slope * point.factor - intercept;
        let square_sum: f64 = points.iter().map(|point| distance(point).powi(2)).sum();
        let residual = (square_sum / count).sqrt();
        let mean = points.iter().map(|point| point.figure.abs()).sum::<f64>() / count;
        let relative_residual = if mean > 0.0 { residual / mean } else { 0.0 };
        Some(Line { slope, intercept, residual, relative_residual, point_count: points.len() })
    }

    /// Returns the value of the line at a value of the factor.
    pub fn value_at(&self, factor: f64) -> f64 {
        self.intercept + self.slope * factor
    }
}

/// A size or rate that a sweep varies while all others stay constant.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, clap::ValueEnum)]
pub enum Factor {
    /// Gateway instances in the fleet, 25 to 420; traffic and quotas grow with their number.
    #[value(name = "front-doors")]
    Instances,
    /// Backends on the endpoint list, 240 to 3,800.
    Backends,
    /// Tenants, 900 to 14,000.
    Tenants,
    /// Routes in the operator's file, 60 to 1,000.
    Routes,
    /// Changes of the endpoint list, 0 to 10 per second.
    Changes,
    /// Requests at one instance, 23 to 231 per second.
    Requests,
}

/// All factors.
pub const FACTORS: [Factor; 6] =
    [Factor::Instances, Factor::Backends, Factor::Tenants, Factor::Routes, Factor::Changes, Factor::Requests];

impl Factor {
    /// Returns the name of the factor in runs and charts.
    pub fn name(self) -> &'static str {
        match self {
            Factor::Instances => "front doors",
            Factor::Backends => "backends",
            Factor::Tenants => "tenants",
            Factor::Routes => "routes",
            Factor::Changes => "changes",
            Factor::Requests => "requests",
        }
    }

    /// Returns the unit of the factor, to which a slope refers.
    pub fn unit(self) -> &'static str {
        match self {
            Factor::Instances => "front door",
            Factor::Backends => "backend",
            Factor::Tenants => "tenant",
            Factor::Routes => "route",
            Factor::Changes => "change a second",
            Factor::Requests => "request a second",
        }
    }

    /// Returns the five sizes of a sweep; the last is the size of the target fleet. For `Requests`, that is 231
    /// requests per second, the highest rate at which an instance is measured.
    pub fn sizes(self) -> [f64; 5] {
        match self {
            Factor::Instances => [25.0, 60.0, 120.0, 240.0, 420.0],
            Factor::Backends => [240.0, 600.0, 1_200.0, 2_400.0, 3_800.0],
            Factor::Tenants => [900.0, 2_000.0, 4_500.0, 9_000.0, 14_000.0],
            Factor::Routes => [60.0, 150.0, 300.0, 600.0, 1_000.0],
            Factor::Changes => [0.0, 0.5, 2.0, 5.0, 10.0],
            Factor::Requests => [23.0, 58.0, 115.0, 173.0, 231.0],
        }
    }

    /// Returns the value of the factor at the operating point of a row.
    pub fn value_in(self, row: &Row) -> f64 {
        match self {
            Factor::Instances => row.instances as f64,
            Factor::Backends => row.backends as f64,
            Factor::Tenants => row.tenants as f64,
            Factor::Routes => row.routes as f64,
            Factor::Changes => row.changes,
            Factor::Requests => row.requests,
        }
    }

    /// Returns the name of the run that varies the factor.
    pub fn run_name(self) -> String {
        format!("over {}", self.name())
    }
}

/// A line with its factor, its figure and the data points that it is fitted to.
#[derive(Clone, Debug)]
pub struct Fit {
    /// Factor that was varied.
    pub factor: Factor,
    /// Name of the figure.
    pub figure: String,
    /// Unit of the figure.
    pub unit: String,
    /// Measured data points.
    pub points: Vec<DataPoint>,
    /// Line through the points.
    pub line: Line,
}

/// Key of a figure: two figures of the same name but different units are distinct.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct FigureKey<'a> {
    figure: &'a str,
    unit: &'a str,
}

/// Fits a line to each figure of each run that varies a factor. Figures without a line are left out.
pub fn fit_rows(rows: &[Row]) -> Vec<Fit> {
    let mut fits = vec![];
    for factor in FACTORS {
        let run = factor.run_name();
        let mut points: BTreeMap<FigureKey, Vec<DataPoint>> = BTreeMap::new();
        for row in rows.iter().filter(|row| row.run == run) {
            let key = FigureKey { figure: &row.figure, unit: &row.unit };
            points
                .entry(key)
                .or_default()
                .push(DataPoint { factor: factor.value_in(row), figure: row.value });
        }
        for (FigureKey { figure, unit }, points) in points {
            if let Some(line) = Line::through(&points) {
                fits.push(Fit { factor, figure: figure.into(), unit: unit.into(), points, line });
            }
        }
    }
    fits
}
