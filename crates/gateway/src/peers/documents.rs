//! The catalogue's document as other hosts are told it: compressed, and to no more of them at once than
//! this host's link carries.
//!
//! All hosts of a data centre ask for a new document within one period. Without a bound on what is under
//! way at once none of these calls would end in time, and nothing else that hosts tell would come through
//! either.

use std::{cell::RefCell, io::Read, time::Duration};

use bytes::Bytes;
use dragonflyrill_fleet::token_bucket::TokenBucket;
use flate2::{Compression, read};

use super::follow;
use crate::gateway::Gateway;

/// The part of the link that documents may take: the rest is left to requests.
const MAX_LINK_FRACTION: f64 = 0.5;
/// The largest document that is unpacked.
const MAX_UNPACKED_BYTES: u64 = 64 * 1024 * 1024;
/// How the compressed format begins, which no document does.
const GZIP_MAGIC: [u8; 2] = [0x1f, 0x8b];

/// Gives out the document.
#[derive(Default)]
pub(super) struct CatalogueDocuments {
    /// The last document that was compressed, and the version of its catalogue.
    compressed: RefCell<Option<(u64, Bytes)>>,
    /// Bytes that may be told now; made when the first document is.
    byte_budget: RefCell<Option<TokenBucket>>,
}

impl CatalogueDocuments {
    /// The document of the catalogue of this version, if the link has room for it now.
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
        // Reading from memory does not fail; should it, the document can be told as it is.
        Err(e) => {
            log::warn!(target: "peers", why:% = e; "The catalogue was not compressed.");
            document.clone()
        }
    }
}

/// A document as a host told it, which may have been an older program that does not compress.
pub(super) fn unpack(received: Vec<u8>) -> Result<Bytes, std::io::Error> {
    if !received.starts_with(&GZIP_MAGIC) {
        return Ok(received.into());
    }
    let mut document = Vec::new();
    let mut decoder = read::GzDecoder::new(&received[..]).take(MAX_UNPACKED_BYTES);
    decoder.read_to_end(&mut document)?;
    Ok(document.into())
}
