//! Computes the next shard map that a host writes, from what the host knows.

use dragonflyrill_protocol::{
    HostRef,
    rights::{Member, SHARDS, ShardMap},
};

/// What this host may do to another member.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum MemberAction {
    /// Nothing.
    Keep,
    /// Take over the main part of its shards.
    TakeOverMain,
    /// Remove the member and take over both parts of its shards.
    Remove,
}

/// What a host knows when it computes the next map.
pub(crate) struct PlanInput<'a> {
    pub(crate) me: &'a HostRef,
    pub(crate) map: &'a ShardMap,
    /// The hosts of the data centre that membership reports as alive.
    pub(crate) live: &'a [HostRef],
    pub(crate) shutting_down: bool,
    /// Whether to write the map even if nothing else changes.
    pub(crate) force_write: bool,
    /// Whether this host's guard no longer acknowledges its beats.
    pub(crate) guard_lost: bool,
    /// Whether shards may be moved for balance.
    pub(crate) may_balance: bool,
    pub(crate) member_action: &'a dyn Fn(&Member) -> MemberAction,
}

/// The map to write, or `None` if nothing has to change.
pub(crate) fn next_map(input: &PlanInput<'_>) -> Option<ShardMap> {
    let mut map = input.map.clone();
    map.main.resize(SHARDS, None);
    map.floor.resize(SHARDS, None);
    if input.shutting_down {
        return hand_over(input, map);
    }
    let joined = join(input, &mut map);
    let taken_over = take_over(input, &mut map);
    let guarded = choose_guard(input, &mut map);
    let moved = input.may_balance && !joined && balance(input, &mut map);
    let change = joined || taken_over || guarded || moved || input.force_write;
    if !change {
        return None;
    }
    let me = map.members.iter_mut().find(|m| m.host == *input.me)?;
    me.beat += 1;
    Some(map)
}

fn join(input: &PlanInput<'_>, map: &mut ShardMap) -> bool {
    if map.members.iter().any(|m| m.host == *input.me) {
        return false;
    }
    map.members.push(Member {
        host: input.me.clone(),
        guard: None,
        beat: 0,
    });
    let shards = map.main.iter_mut().chain(&mut map.floor);
    for holder in shards.filter(|h| h.is_none()) {
        *holder = Some(input.me.clone());
    }
    true
}

fn take_over(input: &PlanInput<'_>, map: &mut ShardMap) -> bool {
    let mut taken_over = false;
    for member in &input.map.members {
        if member.host == *input.me {
            continue;
        }
        let member_action = (input.member_action)(member);
        if member_action == MemberAction::Keep {
            continue;
        }
        taken_over |= reassign(&mut map.main, &member.host, input.me);
        if member_action == MemberAction::Remove {
            reassign(&mut map.floor, &member.host, input.me);
            map.members.retain(|m| m.host != member.host);
            taken_over = true;
        }
    }
    taken_over
}

fn reassign(holders: &mut [Option<HostRef>], from: &HostRef, to: &HostRef) -> bool {
    let mut changed = false;
    for holder in holders.iter_mut().filter(|h| h.as_ref() == Some(from)) {
        *holder = Some(to.clone());
        changed = true;
    }
    changed
}

/// Sets the next live member in the list, after this host, as its guard if it has no live guard.
fn choose_guard(input: &PlanInput<'_>, map: &mut ShardMap) -> bool {
    let members: Vec<HostRef> = map.members.iter().map(|m| m.host.clone()).collect();
    let Some(index) = members.iter().position(|h| h == input.me) else {
        return false;
    };
    let me = &mut map.members[index];
    let is_dead = |guard: &HostRef| input.guard_lost || !members.contains(guard);
    if me.guard.as_ref().is_some_and(|guard| !is_dead(guard)) {
        return false;
    }
    let after = members
        .iter()
        .cycle()
        .skip(index + 1)
        .take(members.len() - 1);
    let mut live = after.filter(|h| input.live.contains(h) && me.guard.as_ref() != Some(h));
    let next = live.next().cloned();
    // If no other member is alive, keep the present guard, which may come back.
    if next.is_none() && !input.guard_lost {
        return false;
    }
    let changed = next != me.guard;
    me.guard = next;
    changed
}

/// Moves shards from this host to the live members with the fewest shards, until this host holds
/// at most one more than each of them.
fn balance(input: &PlanInput<'_>, map: &mut ShardMap) -> bool {
    let members = map.members.iter().map(|m| &m.host);
    let live: Vec<HostRef> = members
        .filter(|h| *h == input.me || input.live.contains(h))
        .cloned()
        .collect();
    let mut moved = false;
    loop {
        let count = |h: &HostRef| map.main.iter().filter(|m| m.as_ref() == Some(h)).count();
        let Some(least_loaded) = live.iter().min_by_key(|h| count(h)) else {
            return moved;
        };
        if count(input.me) <= count(least_loaded) + 1 {
            return moved;
        }
        let mine = map.main.iter().position(|m| m.as_ref() == Some(input.me));
        let Some(i) = mine else {
            return moved;
        };
        map.main[i] = Some(least_loaded.clone());
        if map.floor[i].as_ref() == Some(input.me) {
            map.floor[i] = Some(least_loaded.clone());
        }
        moved = true;
    }
}

fn hand_over(input: &PlanInput<'_>, mut map: ShardMap) -> Option<ShardMap> {
    let index = map.members.iter().position(|m| m.host == *input.me)?;
    map.members.remove(index);
    let live: Vec<HostRef> = map
        .members
        .iter()
        .map(|m| m.host.clone())
        .filter(|h| input.live.contains(h))
        .collect();
    for i in 0..SHARDS {
        let new_holder = match live.len() {
            0 => None,
            n => Some(live[i % n].clone()),
        };
        for holder in [&mut map.main[i], &mut map.floor[i]] {
            if holder.as_ref() == Some(input.me) {
                *holder = new_holder.clone();
            }
        }
    }
    Some(map)
}
