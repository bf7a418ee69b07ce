//! Connections of the stand-in servers.
use crate::scale::server_traffic::{Role, ServerTraffic};
use crate::scale::stream_io::{read_available, write_pending};
use mio::net::TcpStream;
use std::io::Result;

/// A connection of an instance to a stand-in.
pub(super) struct Connection {
    /// Role of the server that accepted the connection.
    pub role: Role,
    /// Socket of the connection.
    pub stream: TcpStream,
    /// Received bytes that are not yet served.
    pub input: Vec<u8>,
    output: Vec<u8>,
}

impl Connection {
    /// Creates the state of an accepted connection.
    pub fn new(role: Role, stream: TcpStream) -> Connection {
        Connection { role, stream, input: vec![], output: vec![] }
    }

    /// Reads all available bytes; fails if the connection has ended.
    pub fn read(&mut self, buffer: &mut [u8], traffic: &ServerTraffic) -> Result<()> {
        let counters = traffic.of(self.role);
        let input = &mut self.input;
        read_available(&mut self.stream, buffer, |bytes| {
            counters.count_received(bytes.len());
            input.extend_from_slice(bytes);
        })
    }

    /// Adds a response to the output buffer.
    pub fn respond(&mut self, answer: &[u8]) {
        self.output.extend_from_slice(answer);
    }

    /// Writes the output buffer until the socket would block.
    pub fn flush(&mut self, traffic: &ServerTraffic) -> Result<()> {
        let written = write_pending(&mut self.stream, &mut self.output)?;
        traffic.of(self.role).count_sent(written);
        Ok(())
    }
}
