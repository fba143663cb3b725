//! Splits the engines of a large data centre into cells, each of which is planned by itself.
//!
//! The cost of a plan grows faster than the square of the number of engines that are compared with
//! each other, and a cell of [`MAX_CELL_ENGINES`] already has covers of every kind. An engine stays
//! in its cell, so that only cells in which something has changed are planned again. A chain is not
//! split when its cell is divided.

use std::rc::Rc;

use rustc_hash::FxHashMap;

use super::{Candidate, value::UnchainedHolders};
use crate::{catalogue::Engine, chains::LayerHolder};

/// The maximum number of engines in a new cell.
pub const MAX_CELL_ENGINES: usize = 48;
/// A cell with more engines than this is divided.
const DIVIDE_ABOVE_ENGINES: usize = MAX_CELL_ENGINES + MAX_CELL_ENGINES / 2;
/// The minimum number of new engines for a cell of their own in a data centre that would otherwise
/// exceed [`DIVIDE_ABOVE_ENGINES`]; fewer join the smallest cell. The layers of each engine that
/// joins loaded ones are evaluated one by one, which costs far more than a new layout of all of
/// them.
const MIN_NEW_CELL_ENGINES: usize = MAX_CELL_ENGINES / 3;

/// Identifies a cell of one data centre.
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

/// Assigns engines to cells, and keeps the assignment from one plan to the next.
#[derive(Debug, Default)]
pub struct Cells {
    cell_numbers: FxHashMap<Rc<str>, usize>,
}

/// The engines of a chain or of a cell, or a single engine that is in no chain.
type Group<'a> = Vec<&'a Candidate>;

impl Cells {
    /// Returns the cells of all data centres, ordered by data centre and cell number.
    pub(super) fn split<'a>(
        &mut self,
        engine: &Engine,
        candidates: &'a [Candidate],
    ) -> Vec<Cell<'a>> {
        let mut data_centres: Vec<&Rc<str>> = candidates.iter().map(|c| &c.data_centre).collect();
        data_centres.sort();
        data_centres.dedup();
        let mut cell_numbers = FxHashMap::default();
        let mut cells = Vec::new();
        for centre in data_centres {
            let local = candidates.iter().filter(|c| c.data_centre == *centre);
            for (number, candidates) in self
                .split_data_centre(engine, local)
                .into_iter()
                .enumerate()
            {
                cell_numbers.extend(candidates.iter().map(|c| (c.id.clone(), number)));
                let data_centre = centre.clone();
                let key = CellKey {
                    data_centre,
                    number,
                };
                cells.push(Cell { key, candidates });
            }
        }
        self.cell_numbers = cell_numbers;
        cells.retain(|cell| !cell.candidates.is_empty());
        cells
    }

    fn split_data_centre<'a>(
        &self,
        engine: &Engine,
        local: impl Iterator<Item = &'a Candidate>,
    ) -> Vec<Group<'a>> {
        let mut cells: Vec<Group<'a>> = Vec::new();
        let mut new: Group<'a> = Vec::new();
        for candidate in local {
            match self.cell_numbers.get(&candidate.id) {
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
        let joins = new.len() < MIN_NEW_CELL_ENGINES || known + new.len() <= DIVIDE_ABOVE_ENGINES;
        match cells.iter_mut().min_by_key(|cell| cell.len()) {
            Some(smallest) if joins => smallest.extend(new),
            _ => cells.extend(divide(engine, new, MAX_CELL_ENGINES)),
        }
        for number in 0..cells.len() {
            if cells[number].len() > DIVIDE_ABOVE_ENGINES {
                let mut parts =
                    divide(engine, std::mem::take(&mut cells[number]), MAX_CELL_ENGINES);
                cells[number] = parts.pop().unwrap_or_default();
                cells.extend(parts);
            }
        }
        cells
    }
}

/// Divides engines into the minimum number of cells for `max_engines` engines each. The cells are
/// of similar size; a cell may exceed the bound by the rest of a chain that was assigned to it.
fn divide<'a>(engine: &Engine, candidates: Group<'a>, max_engines: usize) -> Vec<Group<'a>> {
    let number = candidates.len().div_ceil(max_engines);
    if number <= 1 {
        return vec![candidates];
    }
    let mut cells: Vec<Group<'a>> = vec![Vec::new(); number];
    for group in group_by_chain(engine, candidates) {
        if let Some(smallest) = cells.iter_mut().min_by_key(|cell| cell.len()) {
            smallest.extend(group);
        }
    }
    cells
}

/// Groups engines that stay together: the engines of a chain form one group, each other engine a
/// group by itself.
fn group_by_chain<'a>(engine: &Engine, candidates: Group<'a>) -> Vec<Group<'a>> {
    let mut in_chain = vec![false; candidates.len()];
    let mut groups = Vec::new();
    let holding = |c: &Candidate| {
        let accelerator = engine.accelerator(&c.accelerator)?;
        Some(LayerHolder::new(accelerator, c.held_layers?))
    };
    let held = candidates.iter().enumerate();
    let held = held.filter_map(|(index, c)| Some((index, holding(c)?)));
    let mut remaining = UnchainedHolders::new(held);
    while let Some(chain) = remaining.remove_fastest_chain(engine) {
        chain.iter().for_each(|stage| in_chain[stage.index] = true);
        groups.push(chain.iter().map(|stage| candidates[stage.index]).collect());
    }
    let others = candidates.into_iter().zip(in_chain);
    groups.extend(
        others
            .filter(|(_, in_chain)| !in_chain)
            .map(|(c, _)| vec![c]),
    );
    groups
}
