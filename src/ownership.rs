//! Rendezvous hashing. It chooses the batch owner of a worker, the claim order of a group and the
//! watchers of a zone.

use std::{cmp::Reverse, sync::Arc};

use crate::fnv;

/// Byte between key and candidate that never occurs in UTF-8.
const SEPARATOR: u8 = 0xff;

/// Returns the indexes of `candidates`, sorted by their rank for `key`, best first.
///
/// The order depends only on the names, so instances that agree on the candidates agree on the
/// order. Removing a candidate reassigns only the keys that it owned.
pub fn rank(key: &str, candidates: &[Arc<str>]) -> Vec<usize> {
    let mut order: Vec<usize> = (0..candidates.len()).collect();
    order.sort_by_cached_key(|i| sort_key(key, &candidates[*i]));
    order
}

/// Returns the rank of `name` for `key` among `candidates`, from 0; `name` need not be one of them.
pub fn position(key: &str, name: &str, candidates: &[Arc<str>]) -> usize {
    let own_key = sort_key(key, name);
    let better = |c: &&Arc<str>| c.as_ref() != name && sort_key(key, c) < own_key;
    candidates.iter().filter(better).count()
}

/// Returns the best candidate for `key`; `None` when there is none.
pub fn owner<'a>(key: &str, candidates: &'a [Arc<str>]) -> Option<&'a Arc<str>> {
    candidates.iter().min_by_key(|c| sort_key(key, c))
}

/// Sort key of a candidate: by descending score, then by name.
fn sort_key<'a>(key: &str, candidate: &'a str) -> (Reverse<u64>, &'a str) {
    (Reverse(score(key, candidate)), candidate)
}

/// Hashes key and candidate. The function must not change, because instances of different releases
/// run at the same time and must agree.
pub fn score(key: &str, candidate: &str) -> u64 {
    let bytes = key.bytes().chain([SEPARATOR]).chain(candidate.bytes());
    mix(fnv::extend(fnv::OFFSET_BASIS, bytes))
}

/// Returns the score of a candidate as a number between 0 and 1, both excluded.
pub fn unit(key: &str, candidate: &str) -> f64 {
    // A float has 53 bits of precision.
    let hash = score(key, candidate) >> 11;
    (hash as f64 + 0.5) / (1_u64 << 53) as f64
}

/// Mixes the bits of an FNV hash, whose high bits depend only weakly on the last bytes.
fn mix(mut hash: u64) -> u64 {
    hash ^= hash >> 33;
    hash = hash.wrapping_mul(0xff51_afd7_ed55_8ccd);
    hash ^= hash >> 33;
    hash = hash.wrapping_mul(0xc4ce_b9fe_1a85_ec53);
    hash ^ (hash >> 33)
}
