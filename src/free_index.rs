//! Set of the places that have room, kept by several threads without a lock.

use std::sync::atomic::{AtomicU64, Ordering};

/// Bits of a word.
const WORD: usize = u64::BITS as usize;

/// A set of numbers below a length. Each bit of an upper level tells whether a word of the level
/// below has a bit set, so that a search reads two words on each level.
#[derive(Debug)]
pub struct FreeIndex {
    levels: Vec<Vec<AtomicU64>>,
}

impl FreeIndex {
    /// Makes an empty set of numbers below `len`.
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

    /// Adds or removes a number as `wanted` says. A thread calls this after each change of what
    /// `wanted` reads, by sequentially consistent operations; the set is right once all such calls
    /// have returned.
    ///
    /// # Panics
    ///
    /// Panics when the number is not below the length.
    pub fn update(&self, number: usize, wanted: impl Fn() -> bool) {
        let mut at = number;
        let mut changed = update_bit(&self.levels[0][at / WORD], at % WORD, wanted);
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

    /// Returns the first bit of a level that is set, from a position on.
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
            // A word may have been emptied since the level above was read.
            if bits != 0 {
                return Some(word * WORD + bits.trailing_zeros() as usize);
            }
            word += 1;
        }
    }
}

/// Sets or clears a bit until it agrees with `wanted`, and says whether it changed. Reading
/// `wanted` again after each write repairs a write that another thread's change has overtaken.
fn update_bit(word: &AtomicU64, bit: usize, wanted: impl Fn() -> bool) -> bool {
    let mask = 1 << bit;
    let mut changed = false;
    loop {
        let want = wanted();
        if want == (word.load(Ordering::SeqCst) & mask != 0) {
            return changed;
        }
        match want {
            true => word.fetch_or(mask, Ordering::SeqCst),
            false => word.fetch_and(!mask, Ordering::SeqCst),
        };
        changed = true;
    }
}
