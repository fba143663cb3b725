//! The catalogue's document as it is sent to other hosts: compressed, and at a rate that this
//! host's link can carry.
//!
//! All hosts of a data centre request a new document within one poll interval. If all of them were
//! sent the document at once, none of the calls would end in time, and nothing else that hosts
//! report to each other would arrive either.

use std::{cell::RefCell, io::Read, time::Duration};

use bytes::Bytes;
use dragonflyrill_fleet::token_bucket::TokenBucket;
use flate2::{Compression, read};

use super::follow;
use crate::gateway::Gateway;

/// Maximum fraction of the link's bandwidth that documents use; the rest is left to requests.
const MAX_LINK_FRACTION: f64 = 0.5;
/// Maximum size of an uncompressed document in bytes.
const MAX_UNPACKED_BYTES: u64 = 64 * 1024 * 1024;
/// The first bytes of compressed data. No uncompressed document begins with them.
const GZIP_MAGIC: [u8; 2] = [0x1f, 0x8b];

/// Compresses documents and limits the rate at which they are sent.
#[derive(Default)]
pub(super) struct CatalogueDocuments {
    /// The last compressed document and the version of its catalogue.
    compressed: RefCell<Option<(u64, Bytes)>>,
    /// Bytes that may be sent now; created with the first document.
    byte_budget: RefCell<Option<TokenBucket>>,
}

impl CatalogueDocuments {
    /// Returns the compressed document of the known catalogue, whose version is `version`, and
    /// takes its size from the byte budget. `None` if the budget doesn't allow that now.
    pub(super) fn acquire(&self, gateway: &Gateway, version: u64, now: Duration) -> Option<Bytes> {
        let document = self.compressed(gateway, version);
        let mut byte_budget = self.byte_budget.borrow_mut();
        let byte_budget = byte_budget.get_or_insert_with(|| {
            let per_s = gateway.settings.link_bytes_per_s * MAX_LINK_FRACTION;
            TokenBucket::new(per_s, per_s * follow::CALL_TIMEOUT.as_secs_f64())
        });
        byte_budget
            .try_acquire(document.len() as f64, now)
            .then_some(document)
    }

    fn compressed(&self, gateway: &Gateway, version: u64) -> Bytes {
        let mut compressed = self.compressed.borrow_mut();
        if let Some((_, document)) = compressed.as_ref().filter(|(v, _)| *v == version) {
            return document.clone();
        }
        let document = compress(&gateway.catalogue_document.borrow());
        *compressed = Some((version, document.clone()));
        document
    }
}

fn compress(document: &Bytes) -> Bytes {
    let mut encoder = read::GzEncoder::new(&document[..], Compression::fast());
    let mut compressed = Vec::new();
    match encoder.read_to_end(&mut compressed) {
        Ok(_) => compressed.into(),
        // Reading from memory doesn't fail. If it did, the document could still be sent
        // uncompressed.
        Err(e) => {
            log::warn!(target: "peers", why:% = e; "The catalogue was not compressed.");
            document.clone()
        }
    }
}

/// Decompresses a document that another host has sent. A host that runs an older version of the
/// program sends it uncompressed.
pub(super) fn unpack(received: Vec<u8>) -> Result<Bytes, std::io::Error> {
    if !received.starts_with(&GZIP_MAGIC) {
        return Ok(received.into());
    }
    let mut document = Vec::new();
    let mut decoder = read::GzDecoder::new(&received[..]).take(MAX_UNPACKED_BYTES);
    decoder.read_to_end(&mut document)?;
    Ok(document.into())
}
