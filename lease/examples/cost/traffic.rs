//! What is counted: requests, batches and bytes.

/// Header of a TCP segment without options, with that of its IPv4 packet, bytes.
const SEGMENT_HEADER_BYTES: usize = 40;
/// Most payload of a segment, bytes.
const MAX_SEGMENT_PAYLOAD_BYTES: usize = 1460;

/// Counts of one run.
#[derive(Default)]
pub struct Traffic {
    /// Bytes of frames to the shards.
    pub payload_bytes_sent: usize,
    /// Bytes of frames from the shards.
    pub payload_bytes_received: usize,
    /// Bytes to the shards, headers included.
    pub wire_bytes_sent: usize,
    /// Bytes from the shards, headers included.
    pub wire_bytes_received: usize,
    /// Batches to the shards.
    pub batches: usize,
    /// Entries in these batches.
    pub entries: usize,
    /// Requests of tenants at the gateway instance.
    pub requests: usize,
    /// Requests that waited for a response.
    pub waited: usize,
    /// Requests that a lease covered.
    pub leased: usize,
    /// Requests that were admitted on credit.
    pub on_credit: usize,
    /// Requests for which there were no units.
    pub rejected: usize,
}

impl Traffic {
    /// Counts bytes sent to a shard at once.
    pub fn count_sent(&mut self, payload_bytes: usize) {
        self.payload_bytes_sent += payload_bytes;
        self.wire_bytes_sent += wire_bytes(payload_bytes);
    }

    /// Counts bytes received from a shard at once.
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
