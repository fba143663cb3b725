//! The tables that the bench prints.

pub(crate) mod endpoints;
pub(crate) mod entries;
pub(crate) mod hosts;
pub(crate) mod latency;

use std::time::{Duration, Instant};

use dragonflyrill_membership::members::Member;
use dragonflyrill_protocol::{
    Envelope, HostId, PeerRequest, PeerResponse, membership::State, spread::encoded_len,
};

use crate::fleet::{Cost, Fleet, addr, data_centre, host, ms};

/// A fleet with the message delays of the bench.
pub(crate) fn fleet(data_centres: usize, hosts: usize) -> Fleet {
    let mut fleet = Fleet::new(data_centres, hosts, 1);
    fleet.delay = Duration::from_micros(200)..ms(2);
    fleet
}

/// A member of data centre 0.
pub(crate) fn member(n: usize) -> Member {
    Member {
        host: host(n, 1),
        addr: addr(n),
        data_centre: data_centre(0),
        state: State::Alive,
    }
}

/// The bytes of one call besides its envelope: tarpc's request and response, and the length prefix
/// of each. TCP and IP headers are not included.
pub(crate) fn call_overhead() -> usize {
    let empty = Envelope {
        from: host(0, 1),
        messages: Vec::new(),
    };
    let bare = encoded_len(&empty);
    let request = tarpc::ClientMessage::Request(tarpc::Request {
        context: tarpc::context::current(),
        id: 1_000_000,
        message: PeerRequest::Deliver { envelope: empty },
    });
    let response = tarpc::Response {
        request_id: 1_000_000,
        message: Ok(PeerResponse::Deliver(())),
    };
    encoded_len(&request) - bare + encoded_len(&response) + 2 * 4
}

/// The cost of control over a period.
pub(crate) struct Costs {
    /// Bytes sent per second, mean over the hosts.
    pub(crate) mean_bytes: f64,
    /// Bytes sent per second by the host that sent most.
    pub(crate) max_bytes: f64,
    /// Calls per second, mean over the hosts.
    pub(crate) mean_calls: f64,
    /// Nanoseconds of CPU per second, mean over the hosts.
    pub(crate) mean_cpu_ns: f64,
}

/// Runs `fleet` for twice `seconds` and returns its cost; `each` runs before every second.
pub(crate) fn costs(fleet: &mut Fleet, seconds: u64, mut each: impl FnMut(&mut Fleet)) -> Costs {
    for node in &mut fleet.nodes {
        node.sent = Cost::default();
    }
    let began = Instant::now();
    fleet.count_bytes = false;
    let before = fleet.now;
    for _ in 0..seconds {
        each(fleet);
        fleet.run_for(ms(1000));
    }
    let cpu = began.elapsed();
    debug_assert_eq!(fleet.now, before + ms(1000) * seconds as u32);
    // Sizes are counted in a second run, as counting takes longer than the decisions whose CPU is
    // measured.
    fleet.count_bytes = true;
    for _ in 0..seconds {
        each(fleet);
        fleet.run_for(ms(1000));
    }
    fleet.count_bytes = false;
    let overhead = call_overhead() as u64;
    let up: Vec<&Cost> = fleet
        .nodes
        .iter()
        .filter(|n| n.up)
        .map(|n| &n.sent)
        .collect();
    let bytes = |c: &&Cost| c.bytes + c.frames * overhead;
    let per = up.len() as f64 * seconds as f64;
    Costs {
        mean_bytes: up.iter().map(bytes).sum::<u64>() as f64 / per,
        max_bytes: up.iter().map(bytes).max().unwrap_or(0) as f64 / seconds as f64,
        mean_calls: up.iter().map(|c| c.frames).sum::<u64>() as f64 / per,
        mean_cpu_ns: cpu.as_nanos() as f64 / per,
    }
}

/// Resident set size of this process in bytes.
pub(crate) fn resident() -> u64 {
    let statm = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages: Option<u64> = statm.split(' ').nth(1).and_then(|p| p.parse().ok());
    pages.unwrap_or(0) * 4096
}

pub(crate) fn ids(n: usize) -> Vec<HostId> {
    (0..n).map(crate::fleet::host_id).collect()
}
