//! Many hosts that choose at the same moment by the same numbers.

mod common;

use common::{STREAM, chains_of_86, ms};
use dragonflyrill_fleet::{
    chains::Chain,
    choice::{self, Loads},
};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64;

/// Requests that each host sends at once.
const SENDS: u32 = 4;

/// What became of requests that hosts have sent in the same moment.
#[derive(Debug)]
struct Played {
    /// The part of them that the busiest chain got.
    busiest: f64,
    /// The part whose prompt was read in time, as each chain reads one after the other.
    on_time: f64,
}

fn played(chains: &[Chain], chosen: impl Iterator<Item = usize>) -> Played {
    let mut sent = vec![0u32; chains.len()];
    let (mut all, mut on_time) = (0.0, 0.0);
    for place in chosen {
        let chain = &chains[place];
        sent[place] += 1;
        all += 1.0;
        let read_ms = STREAM.prompt_tokens
            * (chain.prefill_ms_per_token
                + f64::from(sent[place] - 1) * chain.bottleneck_prefill_ms);
        if read_ms + chain.token_ms * STREAM.tokens_per_event <= STREAM.first_event_target_ms {
            on_time += 1.0;
        }
    }
    let busiest = sent.iter().max().copied().unwrap_or(0);
    Played {
        busiest: f64::from(busiest) / all,
        on_time: on_time / all,
    }
}

/// Each host chooses by itself, and has heard nothing of the others.
fn by_hosts(chains: &[Chain], hosts: u32, seed: u64) -> Played {
    let mut rng = Pcg64::seed_from_u64(seed);
    let new = || {
        let mut loads = Loads::default();
        loads.hosts = hosts;
        loads
    };
    let mut all: Vec<Loads> = (0..hosts).map(|_| new()).collect();
    let mut chosen = Vec::new();
    for _ in 0..SENDS {
        for loads in &mut all {
            let next = choice::choose(chains, loads, &STREAM, ms(0), rng.random(), |_| true);
            let place = next.expect("all are usable").index;
            loads.add_request(&chains[place], STREAM.prompt_tokens + STREAM.answer_tokens);
            loads.record_dispatch(ms(0));
            loads.add_prefill(&chains[place], STREAM.prompt_tokens);
            chosen.push(place);
        }
    }
    played(chains, chosen.into_iter())
}

/// One that knows of all requests chooses for all hosts.
fn by_one(chains: &[Chain], hosts: u32) -> Played {
    let mut loads = Loads::default();
    loads.hosts = 1;
    let mut chosen = Vec::new();
    for _ in 0..hosts * SENDS {
        let next = choice::choose(chains, &loads, &STREAM, ms(0), 0.0, |_| true);
        let place = next.expect("all are usable").index;
        loads.add_request(&chains[place], STREAM.prompt_tokens + STREAM.answer_tokens);
        loads.add_prefill(&chains[place], STREAM.prompt_tokens);
        chosen.push(place);
    }
    played(chains, chosen.into_iter())
}

/// The story of the failure: all hosts lost power at once and were back 0.6 s later. Of 110 requests that 76 hosts sent
/// in the first 0.2 s 76 went to one chain, of 14, and 5 chains were used at all: each host took the one with the
/// least expected time, by the same numbers. Their prompts were read for seconds; runs ended with no answer in
/// time and for want of memory.
///
/// Here each host sends four requests at once and hears nothing of the others. One that knows of all 304 serves all
/// of them on time, hosts that take the minimum serve 0.88 of them; of 1,200 of 300 hosts 0.84 and 0.22.
#[test]
fn hosts_that_start_at_once_spread_what_they_send() {
    let chains = chains_of_86();
    for (hosts, part) in [(8, 0.95), (76, 0.95), (300, 0.8)] {
        let one = by_one(&chains, hosts);
        for seed in 0..10 {
            let all = by_hosts(&chains, hosts, seed);
            let context =
                format!("{hosts} hosts, seed {seed}: {all:?}, by one that knows: {one:?}");
            assert!(all.on_time >= part * one.on_time, "{context}");
            assert!(all.busiest <= 2.0 * one.busiest, "{context}");
        }
    }
}

/// A host that hears of the others has no need to draw.
#[test]
fn fresh_numbers_are_taken_as_they_are() {
    let chains = chains_of_86();
    let mut loads = Loads::default();
    loads.hosts = 76;
    loads.record_dispatch(ms(900));
    let chosen = |loads: &Loads, draw| {
        let chosen = choice::choose(&chains, loads, &STREAM, ms(1000), draw, |_| true);
        chosen.expect("all are usable").index
    };
    let best = chosen(&loads, 0.0);
    loads.apply_update(Default::default(), ms(1000));
    assert!(
        [0.25, 0.5, 0.99]
            .iter()
            .all(|draw| chosen(&loads, *draw) == best)
    );
    // What is a second old may be all of 75 others' requests behind.
    let mut old = Loads::default();
    old.hosts = 76;
    (0..10).for_each(|n| old.record_dispatch(ms(100 * n)));
    old.apply_update(Default::default(), ms(0));
    assert_ne!(chosen(&old, 0.99), best);
}
