//! Weighted fair queueing by cost between owners, with strict priority by class.
//!
//! The queue is self-clocked: each item gets a virtual finish time, the finish time of its owner's
//! previous item plus its cost divided by the owner's weight, and the item with the smallest finish
//! time is served first. An owner that was idle starts at the finish time of the item in service,
//! so it accumulates no credit while idle.

use std::{
    collections::{BTreeMap, VecDeque},
    hash::Hash,
};

use rustc_hash::FxHashMap;

/// Why an item was not queued.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Full {
    /// The owner's queue in this class is full.
    Owner,
}

/// A queued item.
#[derive(Debug, Clone)]
struct Item<T> {
    value: T,
    finish: f64,
}

/// The queued items of one owner in one class.
#[derive(Debug, Clone)]
struct Flow<T> {
    weight: f64,
    finish: f64,
    items: VecDeque<Item<T>>,
}

/// A queue shared by owners `O`.
#[derive(Debug, Clone)]
pub struct FairQueue<O, T> {
    /// Classes by priority; 0 is served first.
    classes: BTreeMap<u8, Class<O, T>>,
    per_owner: usize,
    len: usize,
}

#[derive(Debug, Clone)]
struct Class<O, T> {
    flows: FxHashMap<O, Flow<T>>,
    virtual_time: f64,
}

impl<O: Clone + Eq + Hash + Ord, T> FairQueue<O, T> {
    /// A queue in which each owner has at most `per_owner` items in each class.
    pub fn new(per_owner: usize) -> Self {
        Self {
            classes: BTreeMap::new(),
            per_owner,
            len: 0,
        }
    }

    /// The number of queued items.
    pub fn len(&self) -> usize {
        self.len
    }

    /// Whether no item is queued.
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Queues `value` of cost `cost` for `owner`, whose weight is `weight`, at least 1.
    ///
    /// # Errors
    /// Returns [`Full`] together with `value` if the owner's queue is full.
    pub fn push(
        &mut self,
        priority: u8,
        owner: &O,
        weight: u32,
        cost: u32,
        value: T,
    ) -> Result<(), (Full, T)> {
        let class = self.classes.entry(priority).or_insert_with(|| Class {
            flows: FxHashMap::default(),
            virtual_time: 0.0,
        });
        let start = class.virtual_time;
        let flow = class.flows.entry(owner.clone()).or_insert_with(|| Flow {
            weight: 1.0,
            finish: start,
            items: VecDeque::new(),
        });
        if flow.items.len() >= self.per_owner {
            return Err((Full::Owner, value));
        }
        flow.weight = f64::from(weight.max(1));
        let cost = f64::from(cost.max(1));
        let finish = flow.finish.max(start) + cost / flow.weight;
        flow.finish = finish;
        flow.items.push_back(Item { value, finish });
        self.len += 1;
        Ok(())
    }

    /// Removes the next item to serve and returns it.
    pub fn pop(&mut self) -> Option<T> {
        let class = self.classes.values_mut().find(|c| !c.is_empty())?;
        let item = class.pop()?;
        self.len -= 1;
        Some(item.value)
    }

    /// Removes all items for which `keep` returns false and returns them.
    pub fn remove_unless(&mut self, mut keep: impl FnMut(&T) -> bool) -> Vec<T> {
        let mut out = Vec::new();
        for class in self.classes.values_mut() {
            class.remove_unless(&mut keep, &mut out);
        }
        self.len -= out.len();
        out
    }
}

impl<O: Clone + Eq + Hash + Ord, T> Class<O, T> {
    fn is_empty(&self) -> bool {
        self.flows.values().all(|flow| flow.items.is_empty())
    }

    fn pop(&mut self) -> Option<Item<T>> {
        let heads = self.flows.iter();
        let heads = heads.filter_map(|(owner, flow)| Some((flow.items.front()?.finish, owner)));
        let (_, owner) = heads.min_by(|a, b| a.0.total_cmp(&b.0).then(a.1.cmp(b.1)))?;
        let owner = owner.clone();
        let flow = self.flows.get_mut(&owner)?;
        let item = flow.items.pop_front()?;
        self.virtual_time = self.virtual_time.max(item.finish);
        self.reset_if_idle();
        Some(item)
    }

    fn remove_unless(&mut self, keep: &mut impl FnMut(&T) -> bool, out: &mut Vec<T>) {
        for flow in self.flows.values_mut() {
            let (kept, removed) = flow.items.drain(..).partition(|item| keep(&item.value));
            flow.items = kept;
            let removed: VecDeque<Item<T>> = removed;
            out.extend(removed.into_iter().map(|item| item.value));
        }
        self.reset_if_idle();
    }

    /// Resets the virtual time if no item is queued: finish times only order owners that wait at
    /// the same time.
    fn reset_if_idle(&mut self) {
        if self.is_empty() {
            self.flows.clear();
            self.virtual_time = 0.0;
        }
    }
}
