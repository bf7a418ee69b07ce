//! quillramp-relay: a baseline, not a front door. Reads the same configuration and passes each command on to a backend by a plain
//! textbook policy, with no quota, no repeats and no regard for health. To compare with, and for tests: it can be slowed, and it can send
//! what it should not.
use serde_json::Value;
use std::io::{BufRead, BufReader, Error, ErrorKind, Result, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use std::time::Duration;

struct Backend {
    at: SocketAddr,
    out: AtomicUsize,
}

struct Relay {
    backends: Vec<Backend>,
    /// `round-robin`, `random`, `two-choices` or `least-out`.
    policy: String,
    turn: AtomicUsize,
    delay: Duration,
    /// Each command that may not be repeated is sent twice.
    twice: bool,
}

impl Relay {
    fn random(&self) -> usize {
        let n = self.turn.fetch_add(1, Ordering::Relaxed) as u64;
        let mixed = (n ^ (n >> 7)).wrapping_mul(0x9e37_79b9_7f4a_7c15);
        (mixed >> 33) as usize % self.backends.len()
    }

    fn pick(&self) -> usize {
        let out = |i: &usize| self.backends[*i].out.load(Ordering::Relaxed);
        match self.policy.as_str() {
            "round-robin" => self.turn.fetch_add(1, Ordering::Relaxed) % self.backends.len(),
            "random" => self.random(),
            "two-choices" => [self.random(), self.random()].into_iter().min_by_key(out).unwrap_or(0),
            _ => (0..self.backends.len()).min_by_key(out).unwrap_or(0),
        }
    }
}

/// One whole command as it came; none at the end.
fn command(from: &mut impl BufRead) -> Result<Option<Vec<u8>>> {
    let mut all = Vec::new();
    if from.read_until(b'\n', &mut all)? == 0 {
        return Ok(None);
    }
    let number =
        |line: &[u8]| std::str::from_utf8(&line[1..]).ok().and_then(|t| t.trim().parse::<usize>().ok());
    let words = number(&all).ok_or(ErrorKind::InvalidData)?;
    for _ in 0..words {
        let from_here = all.len();
        from.read_until(b'\n', &mut all)?;
        let length = number(&all[from_here..]).ok_or(ErrorKind::InvalidData)?;
        let end = all.len();
        all.resize(end + length + 2, 0);
        from.read_exact(&mut all[end..])?;
    }
    Ok(Some(all))
}

/// A backend's reply: its value, or the line that it said instead.
fn reply(from: &mut impl BufRead) -> Result<Vec<u8>> {
    let mut line = Vec::new();
    from.read_until(b'\n', &mut line)?;
    if line.first() != Some(&b'*') {
        return if line.is_empty() { Err(ErrorKind::UnexpectedEof.into()) } else { Ok(line) };
    }
    let mut value = Vec::new();
    for word in 0..3 {
        let mut head = Vec::new();
        from.read_until(b'\n', &mut head)?;
        let length: i64 =
            std::str::from_utf8(&head[1..]).ok().and_then(|t| t.trim().parse().ok()).unwrap_or(-1);
        let mut body = vec![0; if length < 0 { 0 } else { length as usize + 2 }];
        from.read_exact(&mut body)?;
        if word == 0 {
            value = [head, body].concat();
        }
    }
    Ok(value)
}

fn serve(relay: &Relay, stream: TcpStream) -> Result<()> {
    stream.set_nodelay(true)?;
    let (mut from, mut to) = (BufReader::new(stream.try_clone()?), stream);
    let mut links: Vec<Option<(BufReader<TcpStream>, TcpStream)>> =
        relay.backends.iter().map(|_| None).collect();
    while let Some(command) = command(&mut from)? {
        if command.windows(4).any(|w| w == b"PING") {
            to.write_all(b"+PONG\r\n")?;
            continue;
        }
        std::thread::sleep(relay.delay);
        let times = if relay.twice && command.windows(9).any(|w| w == b"CALL.POST") { 2 } else { 1 };
        let mut said = b"-ERR failed\r\n".to_vec();
        for _ in 0..times {
            let i = relay.pick();
            relay.backends[i].out.fetch_add(1, Ordering::Relaxed);
            let asked = ask(&mut links[i], relay.backends[i].at, &command);
            relay.backends[i].out.fetch_sub(1, Ordering::Relaxed);
            match asked {
                Ok(value) => said = value,
                Err(_) => links[i] = None,
            }
        }
        to.write_all(&said)?;
    }
    Ok(())
}

fn ask(
    link: &mut Option<(BufReader<TcpStream>, TcpStream)>,
    at: SocketAddr,
    command: &[u8],
) -> Result<Vec<u8>> {
    if link.is_none() {
        let stream = TcpStream::connect(at)?;
        stream.set_nodelay(true)?;
        *link = Some((BufReader::new(stream.try_clone()?), stream));
    }
    let (from, to) = link.as_mut().ok_or(ErrorKind::NotConnected)?;
    to.write_all(command)?;
    reply(from)
}

fn run() -> Result<()> {
    let wrong = |why: &str| Error::new(ErrorKind::InvalidInput, why.to_owned());
    let path = std::env::var("EDGE_CONFIG").map_err(|_| wrong("EDGE_CONFIG names no configuration file"))?;
    let told: Value = serde_json::from_slice(&std::fs::read(path)?)?;
    let address = |v: &Value| v.as_str().and_then(|a| a.parse::<SocketAddr>().ok());
    let entries = told["known"]["endpoints"].as_array().ok_or_else(|| wrong("known.endpoints is missing"))?;
    let backends: Vec<Backend> = entries
        .iter()
        .filter_map(|e| address(&e["address"]))
        .map(|at| Backend { at, out: AtomicUsize::new(0) })
        .collect();
    let listen = address(&told["listen"]).ok_or_else(|| wrong("listen is no address"))?;
    if backends.is_empty() {
        return Err(wrong("no backend is known"));
    }
    let of = |name: &str| std::env::var(name).unwrap_or_default();
    let delay = Duration::from_millis(of("RELAY_DELAY_MS").parse().unwrap_or(0));
    let (policy, turn, twice) = (of("RELAY_POLICY"), AtomicUsize::new(0), !of("RELAY_TWICE").is_empty());
    let relay = Arc::new(Relay { backends, policy, turn, delay, twice });
    for stream in TcpListener::bind(listen)?.incoming().flatten() {
        let relay = relay.clone();
        std::thread::spawn(move || serve(&relay, stream)); // it ends with its connection
    }
    Ok(())
}

fn main() -> std::process::ExitCode {
    match run() {
        Ok(()) => std::process::ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("quillramp-relay: {e}");
            std::process::ExitCode::FAILURE
        }
    }
}
