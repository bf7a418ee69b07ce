//! How long a measurement takes.

/// Seconds of a measurement.
#[derive(Clone, Debug, clap::Args)]
pub struct Span {
    /// Seconds of traffic before anything is counted: the pace of counter calls is learnt in them.
    #[arg(long, default_value_t = 10.0)]
    pub warm_up: f64,
    /// Seconds that are counted.
    #[arg(long, default_value_t = 15.0)]
    pub seconds: f64,
}

impl Span {
    /// The command-line arguments for the same span.
    pub fn arguments(&self) -> [String; 4] {
        ["--warm-up".to_owned(), self.warm_up.to_string(), "--seconds".to_owned(), self.seconds.to_string()]
    }
}
