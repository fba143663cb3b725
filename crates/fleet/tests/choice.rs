//! Tests that a request goes to the chain with the shortest estimated time, and to another chain
//! before that one is full.

mod common;

use std::rc::Rc;

use common::{endpoint, engine, ms, name};
use dragonflyrill_fleet::{
    chains::{self, Chain},
    choice::{self, Load, Loads, RequestDemand},
    reported_loads::ReportedLoads,
};

const DEMAND: RequestDemand = RequestDemand {
    prompt_tokens: 774.0,
    answer_tokens: 204.0,
    first_event_target_ms: 500.0,
    max_gap_ms: 200.0,
    tokens_per_event: 3.0,
};

/// Returns a fast chain that starts at endpoint `f` and a slow one that starts at `s`.
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

fn first_endpoint_chosen(chains: &[Chain], loads: &Loads) -> String {
    let chosen = choice::choose(chains, loads, &DEMAND, ms(0), 0.0, |_| true);
    chains[chosen.expect("a chain is usable").index]
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

/// Loads with a report of other hosts on one endpoint: number of requests, and tokens times layers.
fn loads_reported_by_others(id: &str, requests: f64, token_layers: f64) -> Loads {
    let mut loads = Loads::default();
    let others = [(name(id), load(requests, token_layers))];
    loads.apply_update(others.into_iter().collect(), ms(0));
    loads
}

#[test]
fn an_idle_fleet_uses_the_fastest_chain() {
    assert_eq!(first_endpoint_chosen(&two_chains(), &Loads::default()), "f");
}

#[test]
fn a_chain_with_a_full_stage_is_avoided() {
    // The fullest stage counts, not only the first one. With 16 layers, the last stage has memory
    // for about 83,000 tokens.
    let loads = loads_reported_by_others("h", 60.0, 16.0 * 80_000.0);
    assert_eq!(first_endpoint_chosen(&two_chains(), &loads), "s");
    let loads = loads_reported_by_others("h", 20.0, 16.0 * 20_000.0);
    assert_eq!(first_endpoint_chosen(&two_chains(), &loads), "f");
}

#[test]
fn if_all_chains_are_full_the_least_full_is_chosen() {
    let mut loads = loads_reported_by_others("h", 60.0, 1e9);
    loads.apply_update(
        [(name("h"), load(60.0, 1e9)), (name("s"), load(60.0, 1e8))]
            .into_iter()
            .collect(),
        ms(0),
    );
    assert_eq!(first_endpoint_chosen(&two_chains(), &loads), "s");
}

#[test]
fn a_request_counts_on_each_stage_of_its_chain_until_it_ends() {
    let chains = two_chains();
    let mut loads = loads_reported_by_others("g", 2.0, 100.0);
    loads.add_request(&chains[0], 10.0);
    assert_eq!(loads.load_at("g", ms(100)), load(3.0, 100.0 + 10.0 * 32.0));
    loads.remove_request(&chains[0], 10.0);
    assert_eq!(loads.load_at("g", ms(100)), load(2.0, 100.0));
    assert!(loads.own().is_empty());
}

#[test]
fn without_recent_reports_other_hosts_are_assumed_to_have_the_same_load() {
    let chains = two_chains();
    let mut loads = loads_reported_by_others("f", 100.0, 0.0);
    loads.hosts = 8;
    loads.add_request(&chains[0], 10.0);
    assert_eq!(loads.load_at("f", ms(60_000)), load(8.0, 8.0 * 320.0));
}

#[test]
fn no_chain_is_chosen_if_none_is_usable() {
    let chains = two_chains();
    let chosen = choice::choose(&chains, &Loads::default(), &DEMAND, ms(0), 0.0, |_| false);
    assert_eq!(chosen, None);
}

/// Returns the time until the last of the prompts is prefilled, in ms, if each host sends `prompts`
/// requests at once and no host has received reports of the others.
fn wait_after_burst_ms(prompts: usize, hosts: u32) -> f64 {
    let chains = two_chains();
    let mut sent = vec![0; chains.len()];
    let mut loads = Loads::default();
    loads.hosts = hosts;
    loads.apply_update(Default::default(), ms(0));
    for _ in 0..prompts {
        let chosen = choice::choose(&chains, &loads, &DEMAND, ms(0), 0.0, |_| true);
        let chain = &chains[chosen.expect("a chain is usable").index];
        loads.add_request(chain, DEMAND.prompt_tokens + DEMAND.answer_tokens);
        loads.add_prefill(chain, DEMAND.prompt_tokens);
        sent[chosen.expect("a chain is usable").index] += 1;
    }
    let prefill_ms = |(chain, n): (&Chain, &i32)| {
        f64::from(*n) * f64::from(hosts) * DEMAND.prompt_tokens * chain.bottleneck_prefill_ms
    };
    chains.iter().zip(&sent).map(prefill_ms).fold(0.0, f64::max)
}

#[test]
fn a_burst_of_prompts_from_all_hosts_is_spread_over_the_chains() {
    // After the loss of a chain, each of 8 hosts moves 20 streams. On the fastest chain alone,
    // their prefill would take 1.5 s, and half of them would miss their target of 500 ms.
    let waited = wait_after_burst_ms(20, 8);
    assert!(waited < 1000.0, "{waited} ms");
    let on_one_chain_ms = two_chains()[0].bottleneck_prefill_ms * DEMAND.prompt_tokens * 160.0;
    assert!(
        on_one_chain_ms > 1.5 * waited,
        "{on_one_chain_ms} ms on one chain, {waited} ms"
    );
}

#[test]
fn a_complete_prefill_no_longer_delays_requests() {
    let chains = two_chains();
    let mut loads = Loads::default();
    loads.hosts = 8;
    let idle = choice::choose(&chains, &loads, &DEMAND, ms(0), 0.0, |_| true);
    loads.add_prefill(&chains[0], 50_000.0);
    let busy = choice::choose(&chains, &loads, &DEMAND, ms(0), 0.0, |_| true);
    assert_ne!(busy.map(|c| c.index), idle.map(|c| c.index));
    loads.remove_prefill(&chains[0], 50_000.0);
    let after_prefill = choice::choose(&chains, &loads, &DEMAND, ms(0), 0.0, |_| true);
    assert_eq!(after_prefill, idle);
}

/// Requests of the mean length on a chain. Those that fit into its planned memory run; the others wait in order.
struct ChainModel<'a> {
    chain: &'a Chain,
    /// Number of requests that fit.
    fitting: usize,
    /// Tokens that each running request still has to generate.
    tokens_left: Vec<f64>,
    now_ms: f64,
}

impl<'a> ChainModel<'a> {
    /// A chain that has run for long: the running requests are evenly spread over their answers.
    fn in_steady_state(chain: &'a Chain, requests: usize) -> Self {
        let tokens = DEMAND.prompt_tokens + DEMAND.answer_tokens;
        let fit = |s: &chains::Stage| 0.9 * s.capacity / (tokens * f64::from(s.layers.count()));
        let fitting = chain.stages.iter().map(fit).fold(f64::INFINITY, f64::min) as usize;
        let running = requests.min(fitting);
        let left = |n: usize| DEMAND.answer_tokens * (n as f64 + 0.5) / running as f64;
        Self {
            chain,
            fitting,
            tokens_left: (0..running).map(left).collect(),
            now_ms: 0.0,
        }
    }

    /// Generates one token of each running request, and removes the requests that end.
    fn step(&mut self) {
        let running = self.tokens_left.len() as f64;
        let stages = self.chain.stages.iter();
        let per_request: f64 = stages.map(|s| s.token_ms_per_request).sum();
        self.now_ms += self.chain.token_ms + per_request * running;
        self.tokens_left.iter_mut().for_each(|left| *left -= 1.0);
        self.tokens_left.retain(|left| *left > 0.0);
    }

    /// The time until `waiting` requests and one more have been admitted.
    fn wait_ms(mut self, waiting: usize) -> f64 {
        for _ in 0..waiting + 1 {
            while self.tokens_left.len() >= self.fitting {
                self.step();
            }
            self.tokens_left.push(DEMAND.answer_tokens);
            self.now_ms += DEMAND.prompt_tokens * self.chain.bottleneck_prefill_ms;
        }
        self.now_ms
    }
}

/// The estimate for a request on a chain with a number of requests of the same length.
fn estimate_with(chain: &Chain, requests: usize) -> choice::Estimate {
    let tokens = DEMAND.prompt_tokens + DEMAND.answer_tokens;
    choice::predict(chain, &DEMAND, 0.0, |stage| {
        let n = requests as f64;
        load(n, n * tokens * f64::from(stage.layers.count()))
    })
}

/// Guards against a timeout for the first event that a request on a full chain can't meet: it was expected as if the
/// request did not wait for memory.
#[test]
fn the_expected_wait_for_memory_is_within_a_factor_of_two_of_a_model() {
    for chain in &two_chains() {
        let fitting = ChainModel::in_steady_state(chain, 0).fitting;
        let without_wait = estimate_with(chain, fitting - 1).first_event_ms;
        for percent in [5, 10, 20, 40, 60] {
            let waiting = fitting * percent / 100;
            let modelled = ChainModel::in_steady_state(chain, fitting).wait_ms(waiting);
            let estimate = estimate_with(chain, fitting + waiting);
            assert!(estimate.memory_fill > 1.0);
            let waited = estimate.first_event_ms - without_wait;
            let ratio = waited / modelled;
            assert!(
                (0.5..2.0).contains(&ratio),
                "{waited} ms expected, {modelled} ms modelled"
            );
        }
    }
}

/// The estimate without a wait for memory: first event, gap and total time, in ms.
fn estimate_without_wait(chain: &Chain, requests: f64) -> [f64; 3] {
    let (prompt, answer) = (DEMAND.prompt_tokens, DEMAND.answer_tokens);
    let mut token_ms = chain.token_ms;
    for stage in &chain.stages {
        token_ms += stage.token_ms_per_request * requests;
    }
    let gap_ms = token_ms * DEMAND.tokens_per_event;
    let answer_ms = answer * token_ms + prompt * chain.prefill_ms_per_token;
    let prefill_fraction =
        (requests * prompt * chain.bottleneck_prefill_ms / answer_ms.max(1.0)).min(0.95);
    let slowed = 1.0 / (1.0 - prefill_fraction);
    let first_event_ms = 3.0 + (prompt * chain.prefill_ms_per_token + gap_ms) * slowed;
    let total_ms = first_event_ms + answer * token_ms * slowed;
    [first_event_ms, gap_ms * slowed, total_ms]
}

/// Deployments whose memory is not full are served exactly as before the wait for memory was estimated.
#[test]
fn a_chain_whose_planned_memory_is_not_full_has_no_wait_for_memory() {
    let tokens = DEMAND.prompt_tokens + DEMAND.answer_tokens;
    for chain in &two_chains() {
        let fitting = ChainModel::in_steady_state(chain, 0).fitting;
        for requests in 0..fitting {
            let n = requests as f64;
            let estimate = choice::predict(chain, &DEMAND, 3.0, |stage| {
                load(n, n * tokens * f64::from(stage.layers.count()))
            });
            assert!(estimate.memory_fill <= 1.0);
            let estimated = [estimate.first_event_ms, estimate.gap_ms, estimate.total_ms];
            let expected = estimate_without_wait(chain, n);
            assert_eq!(estimated.map(f64::to_bits), expected.map(f64::to_bits));
        }
    }
}

/// Guards against an infinite expected time, which is not a duration.
#[test]
fn a_request_that_exceeds_the_memory_of_a_chain_has_a_finite_expected_time() {
    let huge = RequestDemand {
        prompt_tokens: 1e7,
        ..DEMAND
    };
    for token_layers in [0.0, 1e-300, 1.0, 1e6, 1e12] {
        let chain = &two_chains()[0];
        let estimate = choice::predict(chain, &huge, 0.0, |_| load(1.0, token_layers));
        assert!(estimate.memory_fill > 1.0);
        assert!(estimate.first_event_ms.is_finite(), "{estimate:?}");
    }
}

/// Guards against a host that takes its own arrivals times the number of hosts for those of all, and so rejects more the
/// busier it is itself: arrivals that others report count while their report is recent.
#[test]
fn what_is_offered_is_the_sum_of_the_arrivals_at_all_hosts() {
    let chains = two_chains();
    let service: Rc<str> = "llm".into();
    let new = || {
        let mut loads = Loads::default();
        loads.hosts = 3;
        loads
    };
    let (mut busy, mut idle) = (new(), new());
    for n in 0..40 {
        busy.arrivals.record(&service, ms(n * 50));
    }
    let now = ms(1950);
    let mut reported = ReportedLoads::new(ms(1500));
    let mut report = busy.own().clone();
    busy.arrivals.add_to(&mut report, now);
    reported.record("h1", "z1", report, now);
    idle.apply_update(reported.sum(now), now);
    let offered = |loads: &Loads, at| {
        let choice = choice::choose(&chains, loads, &DEMAND, at, 0.0, |_| true);
        let estimate = choice.expect("all chains are usable").estimate;
        let load = loads.service_load(&service, &chains, &estimate, at);
        load.offered_per_s
    };
    let per_s = offered(&idle, now);
    assert!((19.0..=21.0).contains(&per_s), "{per_s}");
    assert_eq!(offered(&idle, now + ms(1500)), 0.0, "the report is old");
    let alone = offered(&busy, now);
    assert!(
        (57.0..=63.0).contains(&alone),
        "{alone}: three hosts like this one"
    );
}
