//! Finds the cheapest chain through candidates by dynamic programming over layer boundaries.

use dragonflyrill_engines::wire;

use crate::{
    candidates::{Candidate, ChoiceContext},
    links::{Links, Site},
    tuning::{ActivationPath, Tuning},
};

const NONE: u32 = u32::MAX;

/// The cheapest chain found so far that runs all layers up to a boundary and ends in one data
/// centre.
#[derive(Debug, Clone, Copy)]
struct Node {
    cost: f64,
    site: Site,
    /// Index of the last candidate; [`NONE`] at the start.
    candidate: u32,
    /// The node that this one extends.
    prev: u32,
    boundary: u32,
    /// The next node of the list of nodes at the same boundary.
    next: u32,
}

/// One stage of a plan: a candidate and the layers it runs.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Stage {
    /// Index of the candidate.
    pub(crate) candidate: usize,
    /// The layers that the candidate runs.
    pub(crate) layers: wire::Layers,
}

/// Plans chains. Its buffers are reused, so that a choice allocates nothing once they have grown.
#[derive(Debug, Default)]
pub(crate) struct Planner {
    /// Layers at which some candidate begins or ends, in ascending order.
    boundaries: Vec<u32>,
    nodes: Vec<Node>,
    /// The first node of the list at each boundary.
    heads: Vec<u32>,
    /// The plan found, last stage first.
    pub(crate) stages: Vec<Stage>,
}

/// No chain covers `layer`.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Uncovered {
    pub(crate) layer: u32,
}

/// The input of a plan.
pub(crate) struct Problem<'a> {
    pub(crate) layers: wire::Layers,
    pub(crate) candidates: &'a [Candidate],
    pub(crate) context: ChoiceContext<'a>,
    pub(crate) links: &'a Links,
    pub(crate) tuning: &'a Tuning,
}

impl Planner {
    /// Finds the cheapest chain that covers each layer exactly once and uses no endpoint twice.
    pub(crate) fn plan(&mut self, problem: &Problem<'_>) -> Result<(), Uncovered> {
        self.stages.clear();
        self.prepare(problem);
        let last = self.boundaries.len() - 1;
        for at in 0..last {
            let mut node = self.heads[at];
            while node != NONE {
                self.extend(problem, at, node);
                node = self.nodes[node as usize].next;
            }
        }
        let mut best = None;
        let mut node = self.heads[last];
        while node != NONE {
            let end = &self.nodes[node as usize];
            let cost = end.cost + problem.final_return_cost_us(end.site);
            if best.is_none_or(|(b, _)| cost < b) {
                best = Some((cost, node));
            }
            node = end.next;
        }
        match best {
            Some((_, node)) => self.collect_stages(node),
            None => return Err(self.uncovered()),
        }
        Ok(())
    }

    fn prepare(&mut self, problem: &Problem<'_>) {
        let layers = problem.layers;
        self.boundaries.clear();
        self.boundaries.extend([layers.first, layers.end]);
        for candidate in problem.candidates {
            let edges = [candidate.layers.first, candidate.layers.end];
            let inner = edges.into_iter().filter(|l| layers.range().contains(l));
            self.boundaries.extend(inner);
        }
        self.boundaries.sort_unstable();
        self.boundaries.dedup();
        self.heads.clear();
        self.heads.resize(self.boundaries.len(), NONE);
        self.nodes.clear();
        self.nodes.push(Node {
            cost: 0.0,
            site: problem.context.home,
            candidate: NONE,
            prev: NONE,
            boundary: 0,
            next: NONE,
        });
        self.heads[0] = 0;
    }

    /// Adds all nodes that extend `node` by one candidate.
    fn extend(&mut self, problem: &Problem<'_>, at: usize, node: u32) {
        let layer = self.boundaries[at];
        let from = self.nodes[node as usize];
        for (i, candidate) in problem.candidates.iter().enumerate() {
            let covers = candidate.layers.range().contains(&layer);
            if !covers || self.uses(problem, node, candidate.slot) {
                continue;
            }
            let entry_cost = problem.entry_cost_us(from.site, candidate.site, layer);
            let base = from.cost + candidate.fixed_us + entry_cost;
            for to in at + 1..self.boundaries.len() {
                let end = self.boundaries[to];
                if end > candidate.layers.end {
                    break;
                }
                let run = candidate.layer_us * f64::from(end - layer);
                let return_cost = problem.return_cost_us(candidate.site, end);
                self.relax(
                    problem,
                    Node {
                        cost: base + run + return_cost,
                        site: candidate.site,
                        candidate: i as u32,
                        prev: node,
                        boundary: to as u32,
                        next: NONE,
                    },
                );
            }
        }
    }

    /// Keeps `new` if no cheaper node ends at the same boundary and, for direct transfers, in the
    /// same data centre.
    fn relax(&mut self, problem: &Problem<'_>, new: Node) {
        let site_matters = problem.tuning.activation_path == ActivationPath::Direct;
        let head = self.heads[new.boundary as usize];
        let mut node = head;
        while node != NONE {
            let old = &mut self.nodes[node as usize];
            if !site_matters || old.site == new.site {
                if new.cost < old.cost {
                    *old = Node {
                        next: old.next,
                        ..new
                    };
                }
                return;
            }
            node = old.next;
        }
        self.heads[new.boundary as usize] = self.nodes.len() as u32;
        self.nodes.push(Node { next: head, ..new });
    }

    /// Whether the chain up to `node` already uses the endpoint.
    fn uses(&self, problem: &Problem<'_>, mut node: u32, slot: u32) -> bool {
        while node != NONE {
            let n = &self.nodes[node as usize];
            if n.candidate != NONE && problem.candidates[n.candidate as usize].slot == slot {
                return true;
            }
            node = n.prev;
        }
        false
    }

    fn collect_stages(&mut self, mut node: u32) {
        while node != NONE {
            let n = self.nodes[node as usize];
            if n.candidate != NONE {
                let first = self.nodes[n.prev as usize].boundary;
                self.stages.push(Stage {
                    candidate: n.candidate as usize,
                    layers: wire::Layers {
                        first: self.boundaries[first as usize],
                        end: self.boundaries[n.boundary as usize],
                    },
                });
            }
            node = n.prev;
        }
    }

    /// Returns the farthest boundary that a chain reaches.
    fn uncovered(&self) -> Uncovered {
        let reached = self.heads.iter().rposition(|h| *h != NONE).unwrap_or(0);
        Uncovered {
            layer: self.boundaries[reached],
        }
    }
}

impl Problem<'_> {
    /// Returns the cost of the transfer from `from` to the endpoint that begins at `layer`.
    fn entry_cost_us(&self, from: Site, to: Site, layer: u32) -> f64 {
        let from = match self.tuning.activation_path {
            ActivationPath::Relayed => self.context.home,
            ActivationPath::Direct => from,
        };
        self.crossing_cost_us(from, to, layer > self.layers.first)
    }

    /// Returns the cost of the transfer back to the host after each endpoint if the host relays
    /// activations.
    fn return_cost_us(&self, from: Site, layer: u32) -> f64 {
        match self.tuning.activation_path {
            ActivationPath::Relayed => {
                self.crossing_cost_us(from, self.context.home, layer < self.layers.end)
            }
            ActivationPath::Direct => 0.0,
        }
    }

    /// Returns the cost of the transfer back to the host after the last endpoint if the host does
    /// not relay activations.
    fn final_return_cost_us(&self, from: Site) -> f64 {
        match self.tuning.activation_path {
            ActivationPath::Relayed => 0.0,
            ActivationPath::Direct => self.crossing_cost_us(from, self.context.home, false),
        }
    }

    /// Returns the cost in microseconds of one transfer for the prompt and for each generated
    /// token.
    fn crossing_cost_us(&self, from: Site, to: Site, activations: bool) -> f64 {
        let link = self.links.between(from, to);
        let size = &self.context.size;
        let bytes = match activations {
            true => (size.prompt + size.decode) * self.tuning.activation_bytes,
            false => 0.0,
        };
        (1.0 + size.decode) * link.latency_us + bytes * link.us_per_byte
    }
}
