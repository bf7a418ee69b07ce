//! What happened, as lines: the last ones are kept, all are in the digest. Equal runs have equal digests.
use std::collections::VecDeque;

const KEPT: usize = 400;

pub struct Trace {
    lines: VecDeque<String>,
    digest: u64,
    pub steps: u64,
}

impl Default for Trace {
    fn default() -> Trace {
        Trace { lines: VecDeque::new(), digest: 0xcbf2_9ce4_8422_2325, steps: 0 }
    }
}

impl Trace {
    pub fn line(&mut self, now: f64, says: &str) {
        self.bytes(&now.to_bits().to_le_bytes());
        self.bytes(says.as_bytes());
        if self.lines.len() == KEPT {
            self.lines.pop_front();
        }
        self.lines.push_back(format!("{now:9.4} {says}"));
    }

    /// FNV-1a, over whatever was written on any connection.
    pub fn bytes(&mut self, bytes: &[u8]) {
        for chunk in bytes.chunks(8) {
            let mut word = [0; 8];
            word[..chunk.len()].copy_from_slice(chunk);
            self.digest = (self.digest ^ u64::from_le_bytes(word)).wrapping_mul(0x0100_0000_01b3);
        }
    }

    pub fn digest(&self) -> u64 {
        self.digest
    }

    pub fn last(&self) -> Vec<String> {
        self.lines.iter().cloned().collect()
    }
}
