//! Cost of control per host against the number of catalogue entries.

use std::time::Instant;

use dragonflyrill_protocol::spread::encoded_len;

use crate::{fleet::ms, tables};

pub(crate) fn print() {
    println!(
        "\n## Members and spread of one host against catalogue entries, 24 hosts, one change each 4 s\n"
    );
    println!(
        "| entries | sent B/s | CPU us/s | catalogue B encoded | host that starts without platform: ms to newest | CPU of all hosts until then, ms |"
    );
    println!("|---|---|---|---|---|---|");
    for entries in [10, 100, 1000, 3000] {
        let mut fleet = tables::fleet(3, 24);
        fleet.run(ms(8_000));
        for n in 0..entries {
            fleet.store.commit_entry(&format!("workspace-{n}"));
        }
        fleet.run_for(ms(5_000));
        let mut second = 0;
        let costs = tables::costs(&mut fleet, 20, |fleet| {
            second += 1;
            if second % 4 == 0 {
                fleet.store.commit_entry("workspace-1");
            }
        });
        let catalogue = fleet.nodes[0].spread.catalogue();
        let bytes: usize = catalogue.entries().map(encoded_len).sum();
        let newest = catalogue.revision();
        fleet.store.unavailable = true;
        let started = fleet.now;
        let began = Instant::now();
        fleet.restart(5);
        while fleet.nodes[5].spread.catalogue().revision() < newest {
            fleet.run_for(ms(1));
        }
        let took = fleet.now - started;
        println!(
            "| {entries} | {:.0} | {:.0} | {bytes} | {} | {:.1} |",
            costs.mean_bytes,
            costs.mean_cpu_ns / 1000.0,
            took.as_millis(),
            began.elapsed().as_secs_f64() * 1000.0
        );
    }
}
