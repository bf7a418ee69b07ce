//! What happened in a run, as lines: the last ones are kept, and all of them count in the digest. Equal runs have equal digests.
use std::collections::VecDeque;

/// How many lines are kept.
const MAX_LINES: usize = 400;
/// Parameters of the FNV-1a hash.
const FNV_OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
const FNV_PRIME: u64 = 0x0100_0000_01b3;

/// The trace of a run.
pub struct Trace {
    lines: VecDeque<String>,
    digest: u64,
    /// Events that have happened.
    pub steps: u64,
}

impl Default for Trace {
    fn default() -> Trace {
        Trace { lines: VecDeque::new(), digest: FNV_OFFSET, steps: 0 }
    }
}

impl Trace {
    /// Adds a line.
    pub fn record_line(&mut self, now: f64, line: &str) {
        self.record_bytes(&now.to_bits().to_le_bytes());
        self.record_bytes(line.as_bytes());
        if self.lines.len() == MAX_LINES {
            self.lines.pop_front();
        }
        self.lines.push_back(format!("{now:9.4} {line}"));
    }

    /// Adds bytes that a process wrote to the digest, as FNV-1a over words of eight bytes.
    pub fn record_bytes(&mut self, bytes: &[u8]) {
        for chunk in bytes.chunks(8) {
            let mut word = [0; 8];
            word[..chunk.len()].copy_from_slice(chunk);
            self.digest = (self.digest ^ u64::from_le_bytes(word)).wrapping_mul(FNV_PRIME);
        }
    }

    /// The digest of all lines and bytes so far.
    pub fn digest(&self) -> u64 {
        self.digest
    }

    /// The last lines.
    pub fn recent_lines(&self) -> Vec<String> {
        self.lines.iter().cloned().collect()
    }
}
