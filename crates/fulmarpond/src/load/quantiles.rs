//! Quantiles of a measurement.

use hdrhistogram::Histogram;
use serde::Serialize;

/// Quantiles of a measurement; all are 0 if there are no values.
#[derive(Debug, Clone, Copy, PartialEq, Serialize)]
pub struct Quantiles {
    /// The number of values.
    pub count: u64,
    /// The median.
    pub p50: f64,
    /// The quantile 0.9.
    pub p90: f64,
    /// The quantile 0.99.
    pub p99: f64,
    /// The quantile 0.999.
    #[serde(rename = "p99.9")]
    pub p999: f64,
    /// The largest value.
    pub max: f64,
}

impl Quantiles {
    /// Reads the quantiles of a histogram and divides its values by `scale`.
    pub fn read(histogram: &Histogram<u64>, scale: f64) -> Self {
        let at = |quantile| histogram.value_at_quantile(quantile) as f64 / scale;
        Self {
            count: histogram.len(),
            p50: at(0.5),
            p90: at(0.9),
            p99: at(0.99),
            p999: at(0.999),
            max: histogram.max() as f64 / scale,
        }
    }
}
