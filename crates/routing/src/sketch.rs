//! A bounded, approximate set of the prefix blocks that an endpoint caches.

const SETS: usize = 128;
const WAYS: usize = 4;

/// Fingerprints of the blocks last reported as stored, in 1 KiB.
///
/// The set is set-associative: a block belongs to one of 128 sets of 4 fingerprints of 16 bits, and
/// an insertion into a full set evicts the oldest fingerprint. A block that was never stored is
/// reported as cached with a probability of at most 4 / 65,535. Entries can be wrong in both
/// directions because events arrive late or are lost, so a lookup is only a hint.
#[derive(Debug, Clone)]
pub(crate) struct Sketch {
    /// Each set is ordered from newest to oldest; 0 marks an empty way.
    sets: Box<[[u16; WAYS]; SETS]>,
}

impl Default for Sketch {
    fn default() -> Self {
        Self {
            sets: Box::new([[0; WAYS]; SETS]),
        }
    }
}

impl Sketch {
    /// Records that `block` was stored.
    pub(crate) fn insert(&mut self, block: u64) {
        let (set, fingerprint) = locate(block);
        let ways = &mut self.sets[set];
        let at = ways
            .iter()
            .position(|p| *p == fingerprint)
            .unwrap_or(WAYS - 1);
        ways[..=at].rotate_right(1);
        ways[0] = fingerprint;
    }

    /// Records that `block` was evicted.
    pub(crate) fn remove(&mut self, block: u64) {
        let (set, fingerprint) = locate(block);
        let ways = &mut self.sets[set];
        if let Some(at) = ways.iter().position(|p| *p == fingerprint) {
            ways[at..].rotate_left(1);
            ways[WAYS - 1] = 0;
        }
    }

    /// Whether `block` is probably cached.
    pub(crate) fn contains(&self, block: u64) -> bool {
        let (set, fingerprint) = locate(block);
        self.sets[set].contains(&fingerprint)
    }
}

/// Returns the set and the fingerprint of `block`, which is itself a uniformly distributed hash.
fn locate(block: u64) -> (usize, u16) {
    let fingerprint = (block >> 48) as u16;
    (block as usize % SETS, fingerprint.max(1))
}
