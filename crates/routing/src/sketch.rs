//! A bounded guess at which prefix blocks an endpoint caches.

const SETS: usize = 128;
const WAYS: usize = 4;

/// Fingerprints of the blocks last reported as stored, in 1 KiB.
///
/// Set-associative: a block belongs to one of 128 sets of 4 fingerprints of 16 bits; the oldest of
/// a full set gives way. A block never stored is taken for cached with probability at most
/// 4 / 65,535. An entry may be wrong both ways, as events are late and lost: it is a hint.
#[derive(Debug, Clone)]
pub(crate) struct Sketch {
    /// Each set is ordered from newest to oldest; 0 is an empty place.
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
    /// Notes that `block` was stored.
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

    /// Notes that `block` was evicted.
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

/// The set and the fingerprint of `block`, which is a good hash already.
fn locate(block: u64) -> (usize, u16) {
    let fingerprint = (block >> 48) as u16;
    (block as usize % SETS, fingerprint.max(1))
}
