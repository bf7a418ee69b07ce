//! The trace of a run: a line for each action, and a digest. Only the last lines are kept, but the digest includes all of them. Equal
//! runs have equal digests.
use std::collections::VecDeque;

/// Maximum number of lines kept.
const MAX_LINES: usize = 400;
/// Offset basis of the 64-bit FNV-1a hash.
const FNV_OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
/// Prime of the 64-bit FNV-1a hash.
const FNV_PRIME: u64 = 0x0100_0000_01b3;

/// The trace of a run.
pub struct Trace {
    lines: VecDeque<String>,
    digest: u64,
    /// Number of events handled.
    pub steps: u64,
}

impl Default for Trace {
    fn default() -> Trace {
        Trace { lines: VecDeque::new(), digest: FNV_OFFSET, steps: 0 }
    }
}

impl Trace {
    /// Adds a line, with its time, to the trace and the digest.
    pub fn record_line(&mut self, now: f64, line: &str) {
        self.record_bytes(&now.to_bits().to_le_bytes());
        self.record_bytes(line.as_bytes());
        if self.lines.len() == MAX_LINES {
            self.lines.pop_front();
        }
        self.lines.push_back(format!("{now:9.4} {line}"));
    }

    /// Adds bytes to the digest, as FNV-1a over words of eight bytes.
    pub fn record_bytes(&mut self, bytes: &[u8]) {
        for chunk in bytes.chunks(8) {
            let mut word = [0; 8];
            word[..chunk.len()].copy_from_slice(chunk);
            self.digest = (self.digest ^ u64::from_le_bytes(word)).wrapping_mul(FNV_PRIME);
        }
    }

    /// Returns the digest of all lines and bytes added so far.
    pub fn digest(&self) -> u64 {
        self.digest
    }

    /// Returns the last lines, oldest first.
    pub fn recent_lines(&self) -> Vec<String> {
        self.lines.iter().cloned().collect()
    }
}
