//! Measures the memory of a router's state by number of endpoints, as resident size.

use std::{fs, hint::black_box, time::Duration};

use dragonflyrill_engines::wire::{CacheEvent, CacheEvents};
use dragonflyrill_routing::Router;

#[path = "fleet.rs"]
mod fleet;

const PAGE: usize = 4096;
const SIZES: [usize; 4] = [36, 1_000, 12_000, 24_000];

/// Returns the resident size of this process in bytes.
fn resident() -> usize {
    let statm = fs::read_to_string("/proc/self/statm").expect("Linux has it");
    let pages = statm
        .split(' ')
        .nth(1)
        .and_then(|n| n.parse::<usize>().ok());
    pages.expect("the second number is the resident size") * PAGE
}

fn main() {
    println!("endpoints   bytes each   with cache events   (resident size)");
    for n in SIZES {
        let engines = fleet::engines(n, 25);
        let before = resident();
        let mut router = Router::new(fleet::data_centre(0), 1);
        engines
            .iter()
            .for_each(|e| router.table_mut().upsert(e.clone()));
        let plain = resident() - before;
        let stored = CacheEvent {
            seq: 1,
            block: u64::MAX,
            stored: true,
        };
        let events = CacheEvents {
            last: 1,
            events: vec![stored],
        };
        for engine in &engines {
            router.apply_cache_events(Duration::ZERO, &engine.id, &events);
        }
        let full = resident() - before;
        println!("{n:>9} {:>12} {:>19}", plain / n, full / n);
        black_box(&router);
        // Not freed, so that the next size does not reuse its memory.
        std::mem::forget(router);
    }
}
