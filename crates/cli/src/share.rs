//! Parses and formats shares of traffic.

use celerygate_types::SharePpm;

/// Maximum number of decimals of a percentage. One part per million is 0.0001%.
const MAX_DECIMALS: usize = 4;

/// Parses a share such as `10%`, `0.25%` or `2500ppm`.
///
/// The unit is required, because `10` could mean ten percent or ten parts per million.
pub fn parse(text: &str) -> Result<SharePpm, String> {
    let expected = || format!("expected a share such as 10%, 0.25% or 2500ppm, found {text:?}");
    let ppm = if let Some(percent) = text.strip_suffix('%') {
        parse_percent(percent)
    } else {
        text.strip_suffix("ppm").map(str::trim_end).and_then(parse_digits)
    };
    let share = SharePpm(ppm.ok_or_else(expected)?);
    if share == SharePpm::ZERO || share > SharePpm::WHOLE {
        return Err(format!("expected a share above 0% and up to 100%, found {text:?}"));
    }
    Ok(share)
}

fn parse_percent(percent: &str) -> Option<u32> {
    let (whole_part, decimals) = percent.split_once('.').unwrap_or((percent, "0"));
    if decimals.len() > MAX_DECIMALS {
        return None;
    }
    let parts =
        parse_digits(&format!("{decimals:0<MAX_DECIMALS$}")).filter(|_| !decimals.is_empty())?;
    parse_digits(whole_part)?.checked_mul(10_000)?.checked_add(parts)
}

/// Parses an unsigned number. Unlike `str::parse`, it does not accept a sign.
fn parse_digits(digits: &str) -> Option<u32> {
    let all_digits = digits.bytes().all(|byte| byte.is_ascii_digit());
    digits.parse().ok().filter(|_| all_digits)
}

/// Formats a share in percent.
pub fn format_percent(share: SharePpm) -> String {
    let (whole, parts) = (share.get() / 10_000, share.get() % 10_000);
    let digits = format!("{parts:04}");
    let decimals = digits.trim_end_matches('0');
    if decimals.is_empty() { format!("{whole}%") } else { format!("{whole}.{decimals}%") }
}

#[cfg(test)]
#[path = "share_tests.rs"]
mod tests;
