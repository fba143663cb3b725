//! Splits the engines of a large data centre into cells, each of which is planned by itself.
//!
//! What a plan costs grows with more than the square of the engines that it weighs against each other, and a
//! cell of [`MOST`] already has covers of every kind. An engine stays in its cell, so that a plan has to be made
//! only for cells in which something has changed; a chain stays whole when its cell is divided.

use std::rc::Rc;

use rustc_hash::FxHashMap;

use super::{Candidate, value::Remaining};
use crate::{catalogue::Engine, chains::LayerHolder};

/// The most engines of a cell that is made.
pub const MOST: usize = 48;
/// A cell that has grown beyond this is divided.
const DIVIDED_BEYOND: usize = MOST + MOST / 2;
/// Fewer engines that are new make no cell of their own where there are several. Among engines that hold layers the
/// layers of each are weighed by themselves, which costs far more than a layout of all of them anew.
const OWN_CELL: usize = MOST / 3;

/// A cell of one data centre.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub(super) struct CellKey {
    pub(super) data_centre: Rc<str>,
    number: usize,
}

/// The engines of one cell.
#[derive(Debug)]
pub(super) struct Cell<'a> {
    pub(super) key: CellKey,
    pub(super) candidates: Vec<&'a Candidate>,
}

/// Which engine is in which cell.
#[derive(Debug, Default)]
pub struct Cells {
    number_of: FxHashMap<Rc<str>, usize>,
}

/// A chain, or an engine that is part of none.
type Group<'a> = Vec<&'a Candidate>;

impl Cells {
    /// The cells of all data centres, in order.
    pub(super) fn split<'a>(
        &mut self,
        engine: &Engine,
        candidates: &'a [Candidate],
    ) -> Vec<Cell<'a>> {
        let mut centres: Vec<&Rc<str>> = candidates.iter().map(|c| &c.data_centre).collect();
        centres.sort();
        centres.dedup();
        let mut number_of = FxHashMap::default();
        let mut cells = Vec::new();
        for centre in centres {
            let local = candidates.iter().filter(|c| c.data_centre == *centre);
            for (number, candidates) in self.split_centre(engine, local).into_iter().enumerate() {
                number_of.extend(candidates.iter().map(|c| (c.id.clone(), number)));
                let data_centre = centre.clone();
                let key = CellKey {
                    data_centre,
                    number,
                };
                cells.push(Cell { key, candidates });
            }
        }
        self.number_of = number_of;
        cells.retain(|cell| !cell.candidates.is_empty());
        cells
    }

    fn split_centre<'a>(
        &self,
        engine: &Engine,
        local: impl Iterator<Item = &'a Candidate>,
    ) -> Vec<Group<'a>> {
        let mut cells: Vec<Group<'a>> = Vec::new();
        let mut new: Group<'a> = Vec::new();
        for candidate in local {
            match self.number_of.get(&candidate.id) {
                Some(number) => {
                    if cells.len() <= *number {
                        cells.resize_with(number + 1, Vec::new);
                    }
                    cells[*number].push(candidate);
                }
                None => new.push(candidate),
            }
        }
        let known: usize = cells.iter().map(Vec::len).sum();
        let joins = new.len() < OWN_CELL || known + new.len() <= DIVIDED_BEYOND;
        match cells.iter_mut().min_by_key(|cell| cell.len()) {
            Some(smallest) if joins => smallest.extend(new),
            _ => cells.extend(divide(engine, new, MOST)),
        }
        for number in 0..cells.len() {
            if cells[number].len() > DIVIDED_BEYOND {
                let mut parts = divide(engine, std::mem::take(&mut cells[number]), MOST);
                cells[number] = parts.pop().unwrap_or_default();
                cells.extend(parts);
            }
        }
        cells
    }
}

/// Divides engines into the fewest cells of at most so many, about alike in size: one gets the rest of a chain
/// that began in it.
fn divide<'a>(engine: &Engine, candidates: Group<'a>, most: usize) -> Vec<Group<'a>> {
    let number = candidates.len().div_ceil(most);
    if number <= 1 {
        return vec![candidates];
    }
    let mut cells: Vec<Group<'a>> = vec![Vec::new(); number];
    for group in whole_chains(engine, candidates) {
        if let Some(smallest) = cells.iter_mut().min_by_key(|cell| cell.len()) {
            smallest.extend(group);
        }
    }
    cells
}

/// Engines in groups that stay together: those of a chain, and each other one by itself.
fn whole_chains<'a>(engine: &Engine, candidates: Group<'a>) -> Vec<Group<'a>> {
    let mut in_chain = vec![false; candidates.len()];
    let mut groups = Vec::new();
    let holding = |c: &Candidate| {
        let accelerator = engine.accelerator(&c.accelerator)?;
        Some(LayerHolder::new(accelerator, c.holds?))
    };
    let held = candidates.iter().enumerate();
    let held = held.filter_map(|(place, c)| Some((place, holding(c)?)));
    let mut remaining = Remaining::new(held);
    while let Some(chain) = remaining.take_chain(engine) {
        chain.iter().for_each(|part| in_chain[part.place] = true);
        groups.push(chain.iter().map(|part| candidates[part.place]).collect());
    }
    let others = candidates.into_iter().zip(in_chain);
    groups.extend(
        others
            .filter(|(_, in_chain)| !in_chain)
            .map(|(c, _)| vec![c]),
    );
    groups
}
