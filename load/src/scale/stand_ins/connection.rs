//! The connections of the stand-ins.
use crate::scale::server_traffic::{Role, ServerTraffic};
use crate::scale::stream_io::{read_available, write_pending};
use mio::net::TcpStream;
use std::io::Result;

/// A connection of an instance to a stand-in.
pub(super) struct Connection {
    /// The server that it leads to.
    pub role: Role,
    /// The socket.
    pub stream: TcpStream,
    /// What is not served yet.
    pub input: Vec<u8>,
    output: Vec<u8>,
}

impl Connection {
    /// A connection that was just accepted.
    pub fn new(role: Role, stream: TcpStream) -> Connection {
        Connection { role, stream, input: vec![], output: vec![] }
    }

    /// Reads all available bytes; an error where the connection is over.
    pub fn read(&mut self, buffer: &mut [u8], traffic: &ServerTraffic) -> Result<()> {
        let counters = traffic.of(self.role);
        let input = &mut self.input;
        read_available(&mut self.stream, buffer, |bytes| {
            counters.count_received(bytes.len());
            input.extend_from_slice(bytes);
        })
    }

    /// Adds an answer to what is to be written.
    pub fn respond(&mut self, answer: &[u8]) {
        self.output.extend_from_slice(answer);
    }

    /// Writes what is pending, as far as the socket takes it.
    pub fn flush(&mut self, traffic: &ServerTraffic) -> Result<()> {
        let written = write_pending(&mut self.stream, &mut self.output)?;
        traffic.of(self.role).count_sent(written);
        Ok(())
    }
}
