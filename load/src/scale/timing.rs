//! How long a measurement takes.

/// Seconds of a measurement.
#[derive(Clone, Debug, clap::Args)]
pub struct Timing {
    /// Seconds of traffic before the measurement, in which instances adapt the rate of their counter calls.
    #[arg(long, value_name = "SECONDS", default_value_t = 10.0)]
    pub warm_up: f64,
    /// Seconds that are measured.
    #[arg(long, default_value_t = 15.0)]
    pub seconds: f64,
}

impl Timing {
    /// The command-line arguments for the same span.
    pub fn arguments(&self) -> [String; 4] {
        ["--warm-up".to_owned(), self.warm_up.to_string(), "--seconds".to_owned(), self.seconds.to_string()]
    }
}
