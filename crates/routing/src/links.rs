//! The cost of transfers between data centres.

use dragonflyrill_catalogue::{DataCentre, entry::LinkEntry};

/// Cost of a transfer within one data centre.
const WITHIN: Link = Link {
    latency_us: 50.0,
    us_per_byte: 8.0 / 10_000.0,
};
/// Cost between data centres for which no link is declared.
const UNDECLARED: Link = Link {
    latency_us: 2_000.0,
    us_per_byte: 8.0 / 1_000.0,
};

/// Index of a data centre, assigned in the order of first mention.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(crate) struct Site(u16);

/// The known data centres.
#[derive(Debug, Clone, Default)]
pub(crate) struct Sites {
    names: Vec<DataCentre>,
}

impl Sites {
    /// Returns the index of `name`, assigning one if it is new.
    pub(crate) fn intern(&mut self, name: &DataCentre) -> Site {
        let known = self.names.iter().position(|n| n == name);
        let at = known.unwrap_or_else(|| {
            self.names.push(name.clone());
            self.names.len() - 1
        });
        Site(at as u16)
    }

    fn find(&self, name: &DataCentre) -> Option<usize> {
        self.names.iter().position(|n| n == name)
    }
}

/// The cost of a transfer in one direction of a link.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) struct Link {
    /// One-way latency in microseconds.
    pub(crate) latency_us: f64,
    /// Transfer time of one byte in microseconds.
    pub(crate) us_per_byte: f64,
}

/// The costs of transfers between all pairs of known data centres.
#[derive(Debug, Clone, Default)]
pub(crate) struct Links {
    declared: Vec<LinkEntry>,
    /// Square matrix of `width` rows, in row-major order.
    matrix: Vec<Link>,
    width: usize,
}

impl Links {
    /// Replaces the declared links.
    pub(crate) fn declare(&mut self, declared: &[LinkEntry]) {
        self.declared = declared.to_vec();
        self.width = 0;
    }

    /// Updates the matrix to the known data centres and declared links. Does nothing if it is up to
    /// date.
    pub(crate) fn sync(&mut self, sites: &Sites) {
        if self.width == sites.names.len() {
            return;
        }
        self.width = sites.names.len();
        self.matrix = vec![UNDECLARED; self.width * self.width];
        for i in 0..self.width {
            self.matrix[i * self.width + i] = WITHIN;
        }
        for entry in &self.declared {
            let ends = sites.find(&entry.a).zip(sites.find(&entry.b));
            let Some((a, b)) = ends else { continue };
            let link = Link {
                latency_us: f64::from(entry.latency_us),
                us_per_byte: 8.0 / f64::from(entry.mbit_per_second.max(1)),
            };
            self.matrix[a * self.width + b] = link;
            self.matrix[b * self.width + a] = link;
        }
    }

    /// Returns the link between two data centres. Both must have been known at the last
    /// [`Links::sync`].
    pub(crate) fn between(&self, a: Site, b: Site) -> Link {
        self.matrix[usize::from(a.0) * self.width + usize::from(b.0)]
    }
}
