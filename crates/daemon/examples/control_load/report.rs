//! Least-squares fits of measured rows of the form `GROUP<tab>QUANTITY<tab>X<tab>Y`.

use std::collections::BTreeMap;
use std::fs;
use std::path::Path;

use anyhow::{Context as _, Result};

/// Measured y values by x.
type Points = BTreeMap<u64, Vec<f64>>;

struct Fit {
    intercept: f64,
    slope: f64,
    /// Root of the mean squared residual.
    rms_residual: f64,
}

fn fit(points: &Points) -> Fit {
    let samples: Vec<(f64, f64)> =
        points.iter().flat_map(|(x, ys)| ys.iter().map(|y| (*x as f64, *y))).collect();
    let count = samples.len() as f64;
    let mean =
        |coordinate: fn(&(f64, f64)) -> f64| samples.iter().map(coordinate).sum::<f64>() / count;
    let (x_mean, y_mean) = (mean(|point| point.0), mean(|point| point.1));
    let sum_xx: f64 = samples.iter().map(|(x, _)| (x - x_mean).powi(2)).sum();
    let sum_xy: f64 = samples.iter().map(|(x, y)| (x - x_mean) * (y - y_mean)).sum();
    let slope = if sum_xx > 0.0 { sum_xy / sum_xx } else { 0.0 };
    let intercept = y_mean - slope * x_mean;
    let squared_residuals: f64 =
        samples.iter().map(|(x, y)| (y - intercept - slope * x).powi(2)).sum();
    Fit { intercept, slope, rms_residual: (squared_residuals / count).sqrt() }
}

/// Prints the median and the range of y for each x, then the fitted line.
pub fn print(file: &Path) -> Result<()> {
    let text = fs::read_to_string(file).with_context(|| file.display().to_string())?;
    let mut groups: BTreeMap<(&str, &str), Points> = BTreeMap::new();
    for line in text.lines() {
        let fields: Vec<&str> = line.split('\t').collect();
        let [group, quantity, x, y] = fields[..] else { continue };
        let (Ok(x), Ok(y)) = (x.parse::<u64>(), y.parse::<f64>()) else { continue };
        groups.entry((group, quantity)).or_default().entry(x).or_default().push(y);
    }
    for ((group, quantity), mut points) in groups {
        println!("{group} {quantity}");
        for (x, values) in &mut points {
            values.sort_by(f64::total_cmp);
            let (low, high) = (values[0], values[values.len() - 1]);
            let median = values[values.len() / 2];
            println!("  {x:>7}: {median:>10.3}  [{low:.3} to {high:.3}] of {}", values.len());
        }
        let Fit { intercept, slope, rms_residual } = fit(&points);
        println!("  fit: {intercept:.4} + {slope:.7} * n, residual {rms_residual:.4}");
    }
    Ok(())
}
