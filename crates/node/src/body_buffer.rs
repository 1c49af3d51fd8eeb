//! A body that is being received, in segments of one size, so that the memory of a dropped
//! body can be used for any other.

/// Size of a segment, in bytes.
const SEGMENT_BYTES: usize = 4 * 1024;

/// The parts of a body that have arrived.
#[derive(Debug, Default)]
pub(crate) struct BodyBuffer {
    /// All segments but the last one are full.
    segments: Vec<Vec<u8>>,
}

impl BodyBuffer {
    /// Returns the number of bytes.
    pub(crate) fn len(&self) -> usize {
        self.segments.iter().map(Vec::len).sum()
    }

    /// Returns the memory that appending a part takes, in bytes.
    pub(crate) fn needed_bytes(&self, part: &[u8]) -> usize {
        let beyond_last = part.len().saturating_sub(self.spare_bytes());
        beyond_last.div_ceil(SEGMENT_BYTES) * SEGMENT_BYTES
    }

    /// Appends a copy of a part, since the HTTP library's own part may keep a whole read
    /// buffer alive.
    pub(crate) fn append(&mut self, mut part: &[u8]) {
        while !part.is_empty() {
            if self.spare_bytes() == 0 {
                self.segments.push(Vec::with_capacity(SEGMENT_BYTES));
            }
            let (now, rest) = part.split_at(part.len().min(self.spare_bytes()));
            if let Some(last) = self.segments.last_mut() {
                last.extend_from_slice(now);
            }
            part = rest;
        }
    }

    /// Returns all bytes in one piece.
    pub(crate) fn into_bytes(mut self) -> Vec<u8> {
        match self.segments.len() {
            0 => Vec::new(),
            1 => self.segments.swap_remove(0),
            _ => self.segments.concat(),
        }
    }

    fn spare_bytes(&self) -> usize {
        let last = self.segments.last();
        last.map_or(0, |segment| SEGMENT_BYTES - segment.len())
    }
}
