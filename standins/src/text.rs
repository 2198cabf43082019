//! Generated text: a deterministic function of the prompt, so that tests can compare bytes.

/// Words of the generated text.
const WORDS: [&str; 16] = [
    "amber", "birch", "cedar", "delta", "ember", "fjord", "grove", "heath", "inlet", "jetty",
    "knoll", "larch", "marsh", "north", "orbit", "plain",
];
/// Offset basis of the 64-bit FNV-1a hash.
const FNV_BASIS: u64 = 0xcbf2_9ce4_8422_2325;
/// Prime of the 64-bit FNV-1a hash.
const FNV_PRIME: u64 = 0x0100_0000_01b3;

/// Returns the 64-bit FNV-1a hash of some bytes, continued from an earlier hash.
pub fn hash_from(seed: u64, bytes: &[u8]) -> u64 {
    let step = |hash: u64, byte: &u8| (hash ^ u64::from(*byte)).wrapping_mul(FNV_PRIME);
    bytes.iter().fold(seed, step)
}

/// Returns the 64-bit FNV-1a hash of some bytes.
pub fn hash(bytes: &[u8]) -> u64 {
    hash_from(FNV_BASIS, bytes)
}

/// Returns the text of the token at a position of the answer to a prompt.
pub fn token(prompt: &str, position: u64) -> String {
    let mixed = hash_from(hash(prompt.as_bytes()), &position.to_le_bytes());
    let word = WORDS[(mixed >> 32) as usize % WORDS.len()];
    if position == 0 {
        word.into()
    } else {
        format!(" {word}")
    }
}

/// Returns the answer to a prompt with a number of tokens.
pub fn answer(prompt: &str, tokens: u64) -> String {
    (0..tokens)
        .map(|position| token(prompt, position))
        .collect()
}
