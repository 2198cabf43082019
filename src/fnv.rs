//! 64-bit FNV-1a, the same on every instance and in every release.

/// Offset basis: the hash of an empty input.
pub const OFFSET_BASIS: u64 = 0xcbf2_9ce4_8422_2325;
const PRIME: u64 = 0x0000_0100_0000_01b3;

/// Returns a 32-bit hash: the 64-bit hash folded by XOR.
pub fn hash32(bytes: impl IntoIterator<Item = u8>) -> u32 {
    let hash = extend(OFFSET_BASIS, bytes);
    (hash ^ (hash >> 32)) as u32
}

/// Extends a hash by more bytes.
pub fn extend(hash: u64, bytes: impl IntoIterator<Item = u8>) -> u64 {
    let step = |h: u64, b: u8| (h ^ u64::from(b)).wrapping_mul(PRIME);
    bytes.into_iter().fold(hash, step)
}
