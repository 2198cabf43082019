//! Bound on the bytes that an instance holds for callers and workers.

use std::{
    io,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
};

use bytes::Bytes;

/// Part of the memory of the process that callers' bodies, workers' answers and the buffers of
/// connections may take. Memory that was freed is kept by the allocator for buffers of its size.
const SHARE: f64 = 0.25;
/// Part of the bound that is left for bodies and answers of usual size.
const SMALL_SHARE: f64 = 0.25;
/// Maximum size of a body or an answer of usual size.
const SMALL_BYTES: usize = 64 << 10;

/// Size of the first part of a buffer that grows.
const MIN_PART_BYTES: usize = 4 << 10;
/// Size of the further parts of a buffer that grows, except for the first ones.
const MAX_PART_BYTES: usize = 64 << 10;

/// Counts the bytes that are held.
#[derive(Debug)]
pub struct Memory {
    limit: usize,
    held: AtomicUsize,
}

/// Bytes that are held until this is dropped.
#[derive(Debug)]
pub struct Held {
    memory: Arc<Memory>,
    count: usize,
}

/// Buffer for a body or an answer that is read as a whole.
///
/// It grows by parts: one that doubles takes up to three times its bytes while it is copied, and leaves
/// gaps in the memory of the process.
#[derive(Debug)]
pub struct HeldBuffer {
    parts: Vec<Vec<u8>>,
    held: Held,
}

/// Bytes that count as held for as long as any part of them is in use.
struct HeldBytes {
    bytes: Bytes,
    _held: Held,
}

impl AsRef<[u8]> for HeldBytes {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

impl Memory {
    /// Builds the bound for a process that may use `total` bytes.
    pub fn new(total: usize) -> Arc<Self> {
        Arc::new(Self {
            limit: (total as f64 * SHARE) as usize,
            held: AtomicUsize::default(),
        })
    }

    /// Returns the number of bytes that are held.
    pub fn held(&self) -> usize {
        self.held.load(Ordering::Relaxed)
    }

    /// Begins to hold a body or an answer.
    pub fn hold(self: &Arc<Self>) -> Held {
        Held {
            memory: self.clone(),
            count: 0,
        }
    }

    /// Returns the bytes that may be held in all after one part has grown to a size.
    fn limit_for(&self, size: usize) -> usize {
        if size <= SMALL_BYTES {
            self.limit
        } else {
            (self.limit as f64 * (1.0 - SMALL_SHARE)) as usize
        }
    }
}

impl Held {
    /// Sets the number of bytes that are held.
    ///
    /// # Errors
    ///
    /// Returns an error of kind `OutOfMemory`, and holds as much as before, when all parts together
    /// would exceed the bound.
    pub fn set(&mut self, count: usize) -> io::Result<()> {
        let held = &self.memory.held;
        if count <= self.count {
            self.shrink(count);
        } else {
            let more = count - self.count;
            let limit = self.memory.limit_for(count);
            let fits = |sum: usize| Some(sum + more).filter(|s| *s <= limit);
            let grown = held.fetch_update(Ordering::Relaxed, Ordering::Relaxed, fits);
            grown.map_err(|_| {
                io::Error::new(io::ErrorKind::OutOfMemory, "too many bytes are held")
            })?;
        }
        self.count = count;
        Ok(())
    }

    /// Holds at most a number of bytes.
    pub fn shrink(&mut self, count: usize) {
        let freed = self.count.saturating_sub(count);
        self.memory.held.fetch_sub(freed, Ordering::Relaxed);
        self.count -= freed;
    }

    /// Returns the number of bytes that are held.
    pub fn count(&self) -> usize {
        self.count
    }

    /// Returns the bytes, which are held until the last part of them is dropped.
    pub fn keep(self, bytes: Bytes) -> Bytes {
        Bytes::from_owner(HeldBytes { bytes, _held: self })
    }
}

impl HeldBuffer {
    /// Builds a buffer for a known number of bytes, which are held as they come.
    pub fn sized(size: usize, memory: &Arc<Memory>) -> Self {
        Self {
            parts: vec![Vec::with_capacity(size)],
            held: memory.hold(),
        }
    }

    /// Builds a buffer that grows, and is held with its free space.
    pub fn growing(memory: &Arc<Memory>) -> Self {
        Self {
            parts: Vec::new(),
            held: memory.hold(),
        }
    }

    /// Adds received bytes.
    ///
    /// # Errors
    ///
    /// Returns an error of kind `OutOfMemory` when the bytes would exceed the bound of the process.
    pub fn push(&mut self, mut bytes: &[u8]) -> io::Result<()> {
        while !bytes.is_empty() {
            let part = self.part()?;
            let (now, rest) = bytes.split_at(bytes.len().min(part.capacity() - part.len()));
            part.extend_from_slice(now);
            bytes = rest;
        }
        if let [part] = &*self.parts {
            let count = part.len().max(self.held.count());
            self.held.set(count)?;
        }
        Ok(())
    }

    /// Returns a part with free space.
    fn part(&mut self) -> io::Result<&mut Vec<u8>> {
        if self.parts.last().is_none_or(|p| p.len() == p.capacity()) {
            let count = self.parts.iter().map(Vec::capacity).sum::<usize>();
            let size = count.clamp(MIN_PART_BYTES, MAX_PART_BYTES);
            self.held.set(count + size)?;
            self.parts.push(Vec::with_capacity(size));
        }
        let last = self.parts.len() - 1;
        Ok(&mut self.parts[last])
    }

    /// Returns the bytes, which are held until the last part of them is dropped.
    pub fn finish(mut self) -> Bytes {
        let bytes = match &mut *self.parts {
            [part] => std::mem::take(part),
            parts => parts.concat(),
        };
        self.held.shrink(bytes.len());
        self.held.keep(bytes.into())
    }
}

impl Drop for Held {
    fn drop(&mut self) {
        self.memory.held.fetch_sub(self.count, Ordering::Relaxed);
    }
}
