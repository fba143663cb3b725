//! Cost of control per host against the number of hosts.

use crate::{fleet::ms, tables};

pub(crate) fn print() {
    println!("\n## Members and spread of one host, one change each 4 s, against hosts\n");
    println!(
        "A call costs {} B beside its envelope.\n",
        tables::call_overhead()
    );
    println!(
        "| data centres | hosts | sent B/s | most sent B/s | calls/s | CPU us/s | resident KB | platform reads/s |"
    );
    println!("|---|---|---|---|---|---|---|---|");
    for (dcs, hosts) in [
        (3, 6),
        (3, 12),
        (3, 24),
        (3, 48),
        (25, 90),
        (25, 180),
        (25, 360),
    ] {
        let before = tables::resident();
        let mut fleet = tables::fleet(dcs, hosts);
        fleet.run(ms(15_000));
        fleet.polls = 0;
        let mut second = 0;
        let costs = tables::costs(&mut fleet, 20, |fleet| {
            second += 1;
            if second % 4 == 0 {
                fleet.store.commit();
            }
        });
        let resident = tables::resident().saturating_sub(before) / hosts as u64 / 1024;
        let reads = fleet.polls as f64 / 40.0;
        println!(
            "| {dcs} | {hosts} | {:.0} | {:.0} | {:.1} | {:.0} | {resident} | {reads:.0} |",
            costs.mean_bytes,
            costs.max_bytes,
            costs.mean_calls,
            costs.mean_cpu_ns / 1000.0
        );
    }
}
