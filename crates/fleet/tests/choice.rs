//! Requests go to the chain that serves them soonest, and spill to another before it is full.

mod common;

use common::{endpoint, engine, ms, name};
use dragonflyrill_fleet::{
    chains::{self, Chain},
    choice::{self, Load, Loads, RequestDemand},
};

const WANT: RequestDemand = RequestDemand {
    prompt_tokens: 774.0,
    answer_tokens: 204.0,
    first_event_target_ms: 500.0,
    max_gap_ms: 200.0,
    tokens_per_event: 3.0,
};

/// A fast chain that begins with `f` and a slow one that begins with `s`.
fn two_chains() -> Vec<Chain> {
    let endpoints = [
        endpoint("f", "a", "a100", 0, 32),
        endpoint("g", "a", "a100", 32, 64),
        endpoint("h", "a", "l40s", 64, 80),
        endpoint("s", "b", "l40s", 0, 20),
        endpoint("t", "b", "l40s", 20, 40),
        endpoint("u", "b", "l40s", 40, 60),
        endpoint("v", "b", "l40s", 60, 80),
    ];
    chains::find(&engine(), endpoints.iter().map(|e| (e, 1.0)))
}

fn first(chains: &[Chain], loads: &Loads) -> String {
    let chosen = choice::choose(chains, loads, &WANT, ms(0), 0.0, |_| true);
    chains[chosen.expect("one is usable").index]
        .first_stage()
        .id
        .to_string()
}

fn load(requests: f64, token_layers: f64) -> Load {
    Load {
        requests,
        token_layers,
    }
}

/// Others' loads: the endpoint, requests and tokens times layers.
fn told(id: &str, requests: f64, token_layers: f64) -> Loads {
    let mut loads = Loads::default();
    let others = [(name(id), load(requests, token_layers))];
    loads.apply_update(others.into_iter().collect(), ms(0));
    loads
}

#[test]
fn an_idle_fleet_uses_the_fastest_chain() {
    assert_eq!(first(&two_chains(), &Loads::default()), "f");
}

#[test]
fn a_chain_with_a_part_whose_memory_is_taken_is_left_for_another() {
    // Any part counts, not just the first; 16 layers leave the last one some 83,000 tokens.
    let loads = told("h", 60.0, 16.0 * 80_000.0);
    assert_eq!(first(&two_chains(), &loads), "s");
    let loads = told("h", 20.0, 16.0 * 20_000.0);
    assert_eq!(first(&two_chains(), &loads), "f");
}

#[test]
fn if_all_chains_are_full_the_least_full_is_chosen() {
    let mut loads = told("h", 60.0, 1e9);
    loads.apply_update(
        [(name("h"), load(60.0, 1e9)), (name("s"), load(60.0, 1e8))]
            .into_iter()
            .collect(),
        ms(0),
    );
    assert_eq!(first(&two_chains(), &loads), "s");
}

#[test]
fn a_request_counts_on_each_part_of_its_chain_until_it_ends() {
    let chains = two_chains();
    let mut loads = told("g", 2.0, 100.0);
    loads.add_request(&chains[0], 10.0);
    assert_eq!(loads.load_at("g", ms(100)), load(3.0, 100.0 + 10.0 * 32.0));
    loads.remove_request(&chains[0], 10.0);
    assert_eq!(loads.load_at("g", ms(100)), load(2.0, 100.0));
    assert!(loads.own().is_empty());
}

#[test]
fn without_recent_word_the_other_hosts_are_taken_to_do_as_this_one() {
    let chains = two_chains();
    let mut loads = told("f", 100.0, 0.0);
    loads.hosts = 8;
    loads.add_request(&chains[0], 10.0);
    assert_eq!(loads.load_at("f", ms(60_000)), load(8.0, 8.0 * 320.0));
}

#[test]
fn no_chain_is_chosen_if_none_may_be_used() {
    let chains = two_chains();
    let chosen = choice::choose(&chains, &Loads::default(), &WANT, ms(0), 0.0, |_| false);
    assert_eq!(chosen, None);
}

/// How long the last of so many prompts waits until its first event, in ms, when each of the hosts
/// sends that many at once and none has heard of the others' yet.
fn surge(prompts: usize, hosts: u32) -> f64 {
    let chains = two_chains();
    let mut sent = vec![0; chains.len()];
    let mut loads = Loads::default();
    loads.hosts = hosts;
    loads.apply_update(Default::default(), ms(0));
    for _ in 0..prompts {
        let chosen = choice::choose(&chains, &loads, &WANT, ms(0), 0.0, |_| true);
        let chain = &chains[chosen.expect("one is usable").index];
        loads.add_request(chain, WANT.prompt_tokens + WANT.answer_tokens);
        loads.add_prefill(chain, WANT.prompt_tokens);
        sent[chosen.expect("one is usable").index] += 1;
    }
    let read_ms = |(chain, n): (&Chain, &i32)| {
        f64::from(*n) * f64::from(hosts) * WANT.prompt_tokens * chain.bottleneck_prefill_ms
    };
    chains.iter().zip(&sent).map(read_ms).fold(0.0, f64::max)
}

#[test]
fn prompts_that_all_hosts_send_at_once_are_read_by_all_chains() {
    // The streams of a lost chain: 20 on each of 8 hosts. All on the fastest chain would take 1.5 s
    // to read, and half of them miss their target of 500 ms.
    let waited = surge(20, 8);
    assert!(waited < 1000.0, "{waited} ms");
    let one = two_chains()[0].bottleneck_prefill_ms * WANT.prompt_tokens * 160.0;
    assert!(one > 1.5 * waited, "{one} ms on one chain, {waited} ms");
}

#[test]
fn a_prompt_that_was_read_is_waited_for_no_more() {
    let chains = two_chains();
    let mut loads = Loads::default();
    loads.hosts = 8;
    let idle = choice::choose(&chains, &loads, &WANT, ms(0), 0.0, |_| true);
    loads.add_prefill(&chains[0], 50_000.0);
    let busy = choice::choose(&chains, &loads, &WANT, ms(0), 0.0, |_| true);
    assert_ne!(busy.map(|c| c.index), idle.map(|c| c.index));
    loads.remove_prefill(&chains[0], 50_000.0);
    let read = choice::choose(&chains, &loads, &WANT, ms(0), 0.0, |_| true);
    assert_eq!(read, idle);
}
