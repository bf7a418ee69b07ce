//! Durations of the warm-up and of the measurement.

/// Durations of the warm-up and of the measurement that follows it.
#[derive(Clone, Debug, clap::Args)]
pub struct Timing {
    /// Seconds of traffic before the measurement, while instances adapt the rate of their counter calls.
    #[arg(long, value_name = "SECONDS", default_value_t = 10.0)]
    pub warm_up: f64,
    /// Seconds of the measurement.
    #[arg(long, default_value_t = 15.0)]
    pub seconds: f64,
}

impl Timing {
    /// Returns the command-line arguments that give the same durations.
    pub fn arguments(&self) -> [String; 4] {
        ["--warm-up".to_owned(), self.warm_up.to_string(), "--seconds".to_owned(), self.seconds.to_string()]
    }
}
