//! Stand-in for the list service: serves the endpoint list over HTTP, as a snapshot or as a watch.
use super::loopback::spawn_connection;
use super::TestBed;
use crate::example_servers::{parse_query_number, read_target};
use std::io::{BufReader, Result, Write};
use std::net::{TcpListener, TcpStream};
use std::sync::Arc;
use std::thread::spawn;
use std::time::Duration;

/// Starts the list service on new threads.
pub fn start(listener: TcpListener, test_bed: Arc<TestBed>) {
    spawn(move || {
        for stream in listener.incoming().flatten() {
            let test_bed = test_bed.clone();
            spawn_connection(stream, move |stream| serve(stream, &test_bed));
        }
    });
}

fn serve(mut stream: TcpStream, test_bed: &TestBed) -> Result<()> {
    let mut reader = BufReader::new(stream.try_clone()?);
    while let Some(target) = read_target(&mut reader)? {
        let since = parse_query_number(&target, "since") as u64;
        let wait = Duration::from_millis(parse_query_number(&target, "timeout_ms") as u64);
        let answer =
            if since == 0 { test_bed.endpoints.snapshot() } else { test_bed.endpoints.watch(since, wait) };
        let Some(body) = answer.map(|a| a.to_string()) else { return Ok(()) };
        write!(stream, "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len())?;
    }
    Ok(())
}
