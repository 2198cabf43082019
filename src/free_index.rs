//! Lock-free set of numbers, such as the positions of workers with free capacity.

use std::sync::atomic::{AtomicU64, Ordering};

/// Bits of a word.
const WORD: usize = u64::BITS as usize;

/// Set of numbers below a length. Each bit of an upper level is set if a word of the level below is
/// not zero, so that a search reads two words on each level.
#[derive(Debug)]
pub struct FreeIndex {
    levels: Vec<Vec<AtomicU64>>,
}

impl FreeIndex {
    /// Creates an empty set of numbers below `len`.
    pub fn new(len: usize) -> Self {
        let mut levels = Vec::new();
        let mut words = len.div_ceil(WORD);
        loop {
            levels.push((0..words).map(|_| AtomicU64::new(0)).collect());
            if words <= 1 {
                return Self { levels };
            }
            words = words.div_ceil(WORD);
        }
    }

    /// Adds the number if `is_member` returns `true`, and removes it otherwise. Each thread must call
    /// this after it changes, by sequentially consistent operations, what `is_member` reads. The set is
    /// correct once all such calls have returned.
    ///
    /// # Panics
    ///
    /// Panics if the number is not below the length.
    pub fn update(&self, number: usize, is_member: impl Fn() -> bool) {
        let mut at = number;
        let mut changed = update_bit(&self.levels[0][at / WORD], at % WORD, is_member);
        for (below, level) in self.levels.iter().zip(&self.levels[1..]) {
            if !changed {
                return;
            }
            at /= WORD;
            let filled = || below[at].load(Ordering::SeqCst) != 0;
            changed = update_bit(&level[at / WORD], at % WORD, filled);
        }
    }

    /// Returns the least number of the set in `from..end`.
    pub fn first(&self, from: usize, end: usize) -> Option<usize> {
        self.next(0, from).filter(|&n| n < end)
    }

    /// Returns the first set bit of a level at or after a position.
    fn next(&self, level: usize, from: usize) -> Option<usize> {
        let words = self.levels.get(level)?;
        let word = from / WORD;
        let rest = words.get(word)?.load(Ordering::SeqCst) & (u64::MAX << (from % WORD));
        if rest != 0 {
            return Some(word * WORD + rest.trailing_zeros() as usize);
        }
        let mut word = word + 1;
        loop {
            word = self.next(level + 1, word)?;
            let bits = words[word].load(Ordering::SeqCst);
            // The word may have been cleared since the level above was read.
            if bits != 0 {
                return Some(word * WORD + bits.trailing_zeros() as usize);
            }
            word += 1;
        }
    }
}

/// Sets or clears a bit until it equals `is_member`, and returns whether it wrote. Calling `is_member`
/// again after each write corrects a write that is stale because of another thread's change.
fn update_bit(word: &AtomicU64, bit: usize, is_member: impl Fn() -> bool) -> bool {
    let mask = 1 << bit;
    let mut changed = false;
    loop {
        let member = is_member();
        if member == (word.load(Ordering::SeqCst) & mask != 0) {
            return changed;
        }
        match member {
            true => word.fetch_or(mask, Ordering::SeqCst),
            false => word.fetch_and(!mask, Ordering::SeqCst),
        };
        changed = true;
    }
}
