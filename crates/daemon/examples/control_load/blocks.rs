//! Measures the size and the processing time of a configuration by its number of client blocks.

use std::hint::black_box;
use std::time::Instant;

use anyhow::Result;
use celerygate_control::state;
use celerygate_daemon::view::View;
use celerygate_types::wire::{ClientBlock, Configuration};

use crate::process::usage;
use crate::settings::client_block;

const REPEATS: usize = 5;

fn configuration(blocks: usize) -> Result<Configuration> {
    let client_blocks = (0..blocks)
        .map(|index| {
            let (network, region) = client_block(index);
            Ok(ClientBlock { network: network.into(), region: region.parse()? })
        })
        .collect::<Result<_>>()?;
    Ok(Configuration { client_blocks, ..state::empty_configuration() })
}

fn milliseconds<T>(operation: impl Fn() -> T) -> f64 {
    let started = Instant::now();
    black_box(operation());
    started.elapsed().as_secs_f64() * 1_000.0
}

/// Prints the measured rows for each number of client blocks.
pub fn measure(counts: &[usize]) -> Result<()> {
    // Call with ascending counts: otherwise memory freed by an earlier count hides later growth.
    for &blocks in counts {
        let pid = std::process::id();
        let before = usage(pid)?.resident_kib;
        let configuration = configuration(blocks)?;
        let with_configuration = usage(pid)?.resident_kib;
        let view = View::new(configuration.clone());
        let with_view = usage(pid)?.resident_kib;
        let row = |name: &str, value: f64| println!("blocks\t{name}\t{blocks}\t{value:.4}");
        row("snapshot_bytes", postcard::experimental::serialized_size(&configuration)? as f64);
        row("configuration_resident_mib", (with_configuration - before) / 1_024.0);
        row("view_resident_mib", (with_view - with_configuration) / 1_024.0);
        row("block_table_mib", view.blocks.heap_bytes() as f64 / f64::from(1 << 20));
        for _ in 0..REPEATS {
            row("digest_ms", milliseconds(|| state::digest(&configuration)));
            row("clone_ms", milliseconds(|| configuration.clone()));
            row("view_ms", milliseconds(|| View::new(configuration.clone())));
            row("encode_ms", milliseconds(|| postcard::to_stdvec(&configuration)));
        }
        // Not freed, for the same reason.
        std::mem::forget((configuration, view));
    }
    Ok(())
}
