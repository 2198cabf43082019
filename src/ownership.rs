//! Rendezvous hashing: the batch owner of a worker, the claim order of a group, the watchers of a
//! zone.

use std::{cmp::Reverse, sync::Arc};

use crate::fnv;

/// Byte between key and candidate; it occurs in no UTF-8 text.
const SEPARATOR: u8 = 0xff;

/// Returns the indexes of `candidates` in the order of their rank for `key`, best first.
///
/// The order depends on the names only, so all instances agree on it when they agree on the
/// candidates. Removing a candidate moves only the keys that it held.
pub fn rank(key: &str, candidates: &[Arc<str>]) -> Vec<usize> {
    let mut order: Vec<usize> = (0..candidates.len()).collect();
    order.sort_by_cached_key(|i| place(key, &candidates[*i]));
    order
}

/// Returns the rank of `me` for `key` among `candidates`, from 0; `me` need not be one of them.
pub fn position(key: &str, me: &str, candidates: &[Arc<str>]) -> usize {
    let mine = place(key, me);
    let better = |c: &&Arc<str>| c.as_ref() != me && place(key, c) < mine;
    candidates.iter().filter(better).count()
}

/// Returns the best candidate for `key`; nothing when there is none.
pub fn owner<'a>(key: &str, candidates: &'a [Arc<str>]) -> Option<&'a Arc<str>> {
    candidates.iter().min_by_key(|c| place(key, c))
}

/// Orders candidates by descending score; equal scores by name.
fn place<'a>(key: &str, candidate: &'a str) -> (Reverse<u64>, &'a str) {
    (Reverse(score(key, candidate)), candidate)
}

/// Hashes key and candidate. The function must never change: instances of different releases
/// run side by side and must agree.
pub fn score(key: &str, candidate: &str) -> u64 {
    let bytes = key.bytes().chain([SEPARATOR]).chain(candidate.bytes());
    mix(fnv::extend(fnv::OFFSET_BASIS, bytes))
}

/// Spreads the bits of an FNV hash, whose high bits hardly depend on the last bytes.
fn mix(mut hash: u64) -> u64 {
    hash ^= hash >> 33;
    hash = hash.wrapping_mul(0xff51_afd7_ed55_8ccd);
    hash ^= hash >> 33;
    hash = hash.wrapping_mul(0xc4ce_b9fe_1a85_ec53);
    hash ^ (hash >> 33)
}
