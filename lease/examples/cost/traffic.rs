//! Counts of requests, batches and bytes.

/// Size in bytes of the TCP header (without options) and the IPv4 header of a segment.
const SEGMENT_HEADER_BYTES: usize = 40;
/// Maximum payload of a segment, in bytes.
const MAX_SEGMENT_PAYLOAD_BYTES: usize = 1460;

/// Counts of one run, after its warm-up.
#[derive(Default)]
pub struct Traffic {
    /// Bytes of the frames sent to the shards.
    pub payload_bytes_sent: usize,
    /// Bytes of the frames received from the shards.
    pub payload_bytes_received: usize,
    /// Bytes sent to the shards, including headers.
    pub wire_bytes_sent: usize,
    /// Bytes received from the shards, including headers.
    pub wire_bytes_received: usize,
    /// Batches sent to the shards.
    pub batches: usize,
    /// Entries in these batches.
    pub entries: usize,
    /// Requests of all tenants at the gateway instance.
    pub requests: usize,
    /// Requests that waited for the response to a lease request.
    pub waited: usize,
    /// Requests admitted from a lease.
    pub leased: usize,
    /// Requests admitted on credit.
    pub on_credit: usize,
    /// Requests rejected for lack of units.
    pub rejected: usize,
}

impl Traffic {
    /// Counts bytes sent to a shard in one write.
    pub fn count_sent(&mut self, payload_bytes: usize) {
        self.payload_bytes_sent += payload_bytes;
        self.wire_bytes_sent += wire_bytes(payload_bytes);
    }

    /// Counts bytes received from a shard in one response.
    pub fn count_received(&mut self, payload_bytes: usize) {
        self.payload_bytes_received += payload_bytes;
        self.wire_bytes_received += wire_bytes(payload_bytes);
        // The response is acknowledged by a segment without data.
        self.wire_bytes_sent += SEGMENT_HEADER_BYTES;
    }

    /// Returns the columns of the counts in the CSV. `duration` is that of the measurement, in seconds.
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

/// Returns the bytes on the wire for a payload, including the headers of its segments.
fn wire_bytes(payload_bytes: usize) -> usize {
    payload_bytes + payload_bytes.div_ceil(MAX_SEGMENT_PAYLOAD_BYTES) * SEGMENT_HEADER_BYTES
}
