//! Least-squares fits of measured rows: `GROUP<tab>QUANTITY<tab>X<tab>Y`.

use std::collections::BTreeMap;
use std::fs;
use std::path::Path;

use anyhow::{Context as _, Result};

type Points = BTreeMap<u64, Vec<f64>>;

struct Fit {
    offset: f64,
    slope: f64,
    /// Root of the mean squared residual.
    residual: f64,
}

fn fit(points: &Points) -> Fit {
    let all: Vec<(f64, f64)> =
        points.iter().flat_map(|(x, ys)| ys.iter().map(|y| (*x as f64, *y))).collect();
    let count = all.len() as f64;
    let mean = |of: fn(&(f64, f64)) -> f64| all.iter().map(of).sum::<f64>() / count;
    let (x_mean, y_mean) = (mean(|point| point.0), mean(|point| point.1));
    let spread: f64 = all.iter().map(|(x, _)| (x - x_mean).powi(2)).sum();
    let joint: f64 = all.iter().map(|(x, y)| (x - x_mean) * (y - y_mean)).sum();
    let slope = if spread > 0.0 { joint / spread } else { 0.0 };
    let offset = y_mean - slope * x_mean;
    let squares: f64 = all.iter().map(|(x, y)| (y - offset - slope * x).powi(2)).sum();
    Fit { offset, slope, residual: (squares / count).sqrt() }
}

/// Prints the median and the range for each size, then the fit.
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
        let Fit { offset, slope, residual } = fit(&points);
        println!("  fit: {offset:.4} + {slope:.7} * n, residual {residual:.4}");
    }
    Ok(())
}
