//! Prints the measurements as CSV.

use std::fmt;

use crate::change::Measurements;

const CSV_HEADER: &str = "change,hosts,median_ms,last_ms,messages,bytes,\
    busiest_messages,busiest_bytes,targets_us,targets_per_s,learn_us,learn_per_s,busiest_ms_per_s";

/// Returns a header, a line for each size, and a line with the growth exponents.
pub fn table(measurements: &[Measurements]) -> String {
    let lines = measurements.iter().map(ToString::to_string);
    let lines = std::iter::once(CSV_HEADER.to_owned()).chain(lines);
    let lines: Vec<String> = lines.chain([growth_exponents(measurements)]).collect();
    lines.join("\n")
}

impl fmt::Display for Measurements {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let seconds = self.window_ms as f64 / 1e3;
        let (targets, learn) = (self.all.targets, self.all.learn);
        write!(
            f,
            "{:?},{},{},{},{},{},{},{},{:.1},{:.0},{:.1},{:.0},{:.3}",
            self.change,
            self.hosts,
            self.median_ms(),
            self.last_ms(),
            self.all.messages,
            self.all.bytes,
            self.busiest_messages,
            self.busiest_bytes,
            targets.mean_us(),
            targets.calls as f64 / seconds,
            learn.mean_us(),
            learn.calls as f64 / seconds,
            self.busiest_time.as_secs_f64() * 1e3 / seconds,
        )
    }
}

/// Returns the line of exponents: each figure grows with about this power of the number of
/// hosts, fitted to the logarithms over all sizes.
fn growth_exponents(measurements: &[Measurements]) -> String {
    let of = |figure: fn(&Measurements) -> f64| log_log_slope(measurements, figure);
    format!(
        "power,,,{:.2},{:.2},{:.2},{:.2},{:.2},{:.2},,{:.2},,{:.2}",
        of(|measurements| measurements.last_ms() as f64),
        of(|measurements| measurements.all.messages as f64),
        of(|measurements| measurements.all.bytes as f64),
        of(|measurements| measurements.busiest_messages as f64),
        of(|measurements| measurements.busiest_bytes as f64),
        of(|measurements| measurements.all.targets.mean_us()),
        of(|measurements| measurements.all.learn.mean_us()),
        of(|measurements| measurements.busiest_time.as_secs_f64()),
    )
}

/// Returns the slope of the least-squares line through the logarithms of hosts and figure.
fn log_log_slope(measurements: &[Measurements], figure: fn(&Measurements) -> f64) -> f64 {
    let points = measurements.iter().map(|measurements| {
        let hosts = measurements.hosts as f64;
        (hosts.ln(), figure(measurements).max(f64::MIN_POSITIVE).ln())
    });
    let points: Vec<(f64, f64)> = points.collect();
    let count = points.len() as f64;
    let mean_x = points.iter().map(|(x, _)| x).sum::<f64>() / count;
    let mean_y = points.iter().map(|(_, y)| y).sum::<f64>() / count;
    let covariance = points.iter().map(|(x, y)| (x - mean_x) * (y - mean_y));
    let variance = points.iter().map(|(x, _)| (x - mean_x).powi(2));
    covariance.sum::<f64>() / variance.sum::<f64>()
}
