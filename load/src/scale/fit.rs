//! Straight lines through measured points.
use super::rows::Row;
use std::collections::BTreeMap;

/// One measurement of a figure.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct DataPoint {
    /// The value of the factor that is varied.
    pub factor: f64,
    /// The value of the figure.
    pub figure: f64,
}

/// A line through the points of one figure over one factor, and how far they lie off it.
#[derive(Clone, Debug, PartialEq)]
pub struct Line {
    /// Growth of the figure with the factor.
    pub slope: f64,
    /// The figure where the factor is 0.
    pub intercept: f64,
    /// Root of the mean square of the points' distances from the line.
    pub residual: f64,
    /// The same as a part of the mean of the points.
    pub relative_residual: f64,
    /// Points that the line is fitted through.
    pub point_count: usize,
}

impl Line {
    /// Through these points by least squares; none where they are fewer than two or all over one value.
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

    /// The figure at that value of the factor, by the line.
    pub fn value_at(&self, factor: f64) -> f64 {
        self.intercept + self.slope * factor
    }
}

/// What is varied, one at a time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, clap::ValueEnum)]
pub enum Factor {
    /// Gateway instances of the fleet, 25 to 420; traffic and quotas grow with them.
    #[value(name = "front-doors")]
    Instances,
    /// Backends on the endpoint list, 240 to 3,800.
    Backends,
    /// Tenants, 900 to 14,000.
    Tenants,
    /// Routes in the operator's file, 60 to 1,000.
    Routes,
    /// Changes of the endpoint list, 0 to 10 a second.
    Changes,
    /// Requests at one instance, 23 to 231 a second.
    Requests,
}

/// All factors.
pub const FACTORS: [Factor; 6] =
    [Factor::Instances, Factor::Backends, Factor::Tenants, Factor::Routes, Factor::Changes, Factor::Requests];

impl Factor {
    /// Its name, as runs and charts have it.
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

    /// The unit of one more of it.
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

    /// Five sizes up to the target's. The target's 231 requests a second are the most that an instance is measured at.
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

    /// The value of this factor at the point of a row.
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

    /// The name of the runs that vary it.
    pub fn run_name(self) -> String {
        format!("over {}", self.name())
    }
}

/// A fitted line with what it is of.
#[derive(Clone, Debug)]
pub struct Fit {
    /// What was varied.
    pub factor: Factor,
    /// The name of the figure.
    pub figure: String,
    /// The unit of the figure.
    pub unit: String,
    /// The measurements.
    pub points: Vec<DataPoint>,
    /// The line through the points.
    pub line: Line,
}

/// A figure, told apart by its name and its unit.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct FigureKey<'a> {
    figure: &'a str,
    unit: &'a str,
}

/// Lines through the figures of all runs that vary a factor.
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
