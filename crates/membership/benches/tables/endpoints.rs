//! Cost of load reports and signs against the number of endpoints.

use std::time::{Duration, Instant};

use dragonflyrill_catalogue::EndpointId;
use dragonflyrill_membership::{
    endpoints::{Action, DrainingEndpoints},
    reports::{self, Load, LoadReports},
};
use dragonflyrill_protocol::{
    Envelope, HostId, Message, membership,
    membership::{EndpointNews, Sign, SignKind},
    spread::encoded_len,
};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg32;

use crate::{
    fleet::{data_centre, host, host_id, ms},
    tables,
};

const SHARES: u32 = 50;

pub(crate) fn print() {
    println!("\n## Load reports of one host against endpoints; every load changes all the time\n");
    println!(
        "| endpoints | data centres | hosts of one | asked by one | sent B/s | CPU us/s | known loads, KB |"
    );
    println!("|---|---|---|---|---|---|---|");
    for (endpoints, dcs, hosts) in [(36, 3, 2), (360, 3, 8), (3_600, 25, 14), (12_000, 25, 14)] {
        row(endpoints, dcs, hosts);
    }
    signs();
}

fn endpoint(n: usize) -> EndpointId {
    let name = format!("engine-{n:05}");
    EndpointId::try_from(name.as_str()).unwrap_or_else(|e| panic!("{e}"))
}

fn row(endpoints: usize, dcs: usize, hosts: usize) {
    let here: Vec<EndpointId> = (0..endpoints / dcs).map(endpoint).collect();
    let live = tables::ids(hosts);
    let me = host_id(0);
    let mine: Vec<&EndpointId> = here
        .iter()
        .filter(|e| reports::polling_host(e, live.iter()) == Some(&me))
        .collect();
    let mut rng = Pcg32::seed_from_u64(1);
    let mut known = LoadReports::default();
    let (mut bytes, mut cpu) = (0, Duration::ZERO);
    for round in 0..SHARES {
        let now = reports::SHARE_INTERVAL * round;
        let began = Instant::now();
        for e in &mine {
            let load = Load {
                running: rng.random_range(0..256),
                waiting: rng.random_range(0..64),
                at: now,
            };
            known.record_polled(e, load);
        }
        let message = known.share(now + ms(1));
        // The other hosts send as much as this one.
        if let Some(EndpointNews::Reports(message)) = &message {
            for _ in 1..hosts {
                known.receive(now, message);
            }
        }
        cpu += began.elapsed();
        bytes += message.map_or(0, |n| envelope_len(n) * (hosts - 1));
    }
    let seconds = (reports::SHARE_INTERVAL * SHARES).as_secs_f64();
    println!(
        "| {endpoints} | {dcs} | {hosts} | {} | {:.0} | {:.0} | {:.1} |",
        mine.len(),
        bytes as f64 / seconds,
        cpu.as_micros() as f64 / seconds,
        here.len() as f64 * size_of::<(u32, Load)>() as f64 / 1024.0
    );
}

/// The bytes of a call that carries only `message`; sent with a heartbeat, it would share the
/// call's overhead.
fn envelope_len(message: EndpointNews) -> usize {
    let envelope = Envelope {
        from: host(0, 1),
        messages: vec![Message::Membership(membership::Message::Endpoints(message))],
    };
    encoded_len(&envelope) + tables::call_overhead()
}

fn signs() {
    let hosts = 14;
    let mut endpoints = DrainingEndpoints::new(HostId::clone(&host_id(0)), data_centre(0));
    endpoints.update_view(ms(0), (0..hosts).map(tables::member), &mut Vec::new());
    let sign = Sign {
        endpoint: endpoint(1),
        incarnation: 3,
        kind: SignKind::Refusal,
        ttl_ms: 30_000,
    };
    let mut actions = Vec::new();
    endpoints.observe_sign(ms(0), &sign, &mut actions);
    endpoints.tick(ms(400), &mut actions);
    endpoints.tick(ms(1_000), &mut actions);
    let bytes: usize = actions
        .into_iter()
        .map(|a| match a {
            Action::Send { message, .. } => envelope_len(message),
            Action::Changed(_) => 0,
        })
        .sum();
    println!(
        "\nOne sign among {hosts} hosts: {bytes} B sent by the host that saw it, at 0, 0.4 and 1 s."
    );
}
