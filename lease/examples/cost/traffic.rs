//! What is counted: requests, batches and bytes.

/// Header of a TCP segment without options, with that of its IPv4 packet, bytes.
const SEGMENT_HEADER_BYTES: usize = 40;
/// Most payload of a segment, bytes.
const MAX_SEGMENT_PAYLOAD_BYTES: usize = 1460;

#[derive(Default)]
pub struct Traffic {
    pub payload_bytes_sent: usize,
    pub payload_bytes_received: usize,
    pub wire_bytes_sent: usize,
    pub wire_bytes_received: usize,
    pub batches: usize,
    pub entries: usize,
    pub requests: usize,
    /// Requests that waited for a response.
    pub waited: usize,
    /// Requests that a lease covered.
    pub leased: usize,
    /// Requests that were admitted on credit.
    pub on_credit: usize,
    pub rejected: usize,
}

impl Traffic {
    pub fn count_sent(&mut self, payload_bytes: usize) {
        self.payload_bytes_sent += payload_bytes;
        self.wire_bytes_sent += wire_bytes(payload_bytes);
    }

    pub fn count_received(&mut self, payload_bytes: usize) {
        self.payload_bytes_received += payload_bytes;
        self.wire_bytes_received += wire_bytes(payload_bytes);
        // The bare acknowledgement of the response.
        self.wire_bytes_sent += SEGMENT_HEADER_BYTES;
    }

    /// A row of the CSV, for so many seconds.
    pub fn csv(&self, duration: f64) -> String {
        let rate = |count: usize| count as f64 / duration;
        let fraction = |count: usize| count as f64 / self.requests as f64;
        format!(
            "{:.1},{:.0},{:.0},{:.0},{:.0},{:.0},{:.1},{:.2},{:.4},{:.4},{:.4},{:.4}",
            rate(self.requests),
            rate(self.payload_bytes_sent),
            rate(self.payload_bytes_received),
            rate(self.wire_bytes_sent),
            rate(self.wire_bytes_received),
            rate(self.wire_bytes_sent + self.wire_bytes_received),
            rate(self.batches),
            self.entries as f64 / self.batches as f64,
            fraction(self.waited),
            fraction(self.leased),
            fraction(self.on_credit),
            fraction(self.rejected),
        )
    }
}

fn wire_bytes(payload_bytes: usize) -> usize {
    payload_bytes + payload_bytes.div_ceil(MAX_SEGMENT_PAYLOAD_BYTES) * SEGMENT_HEADER_BYTES
}
