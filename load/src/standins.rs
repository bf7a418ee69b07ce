//! Stand-ins on loopback: backends with so many slots and so much work, a list service and a counter. They keep count of what ran.
use std::collections::HashMap;
use std::io::{BufRead, BufReader, Result, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::thread::{sleep, spawn};
use std::time::Duration;

/// What ran at all backends together: by invocation's id how often, where that may not be more than once; and by backend.
#[derive(Default)]
pub struct Ran {
    pub once: HashMap<String, u32>,
    pub by_backend: Vec<u64>,
    pub twice: u64,
}

fn held<T>(lock: &Mutex<T>) -> MutexGuard<'_, T> {
    lock.lock().unwrap_or_else(|e| e.into_inner())
}

/// Runs `serve` on a thread of its own for each connection.
fn each(listener: TcpListener, serve: impl Fn(TcpStream) -> Result<()> + Clone + Send + 'static) {
    spawn(move || {
        for stream in listener.incoming().flatten() {
            let serve = serve.clone();
            let _ = stream.set_nodelay(true);
            spawn(move || serve(stream)); // it ends with its connection
        }
    });
}

/// Reads one RESP2 array of bulk strings; none at the end.
fn command(from: &mut impl BufRead) -> Result<Option<Vec<String>>> {
    let mut line = String::new();
    if from.read_line(&mut line)? == 0 {
        return Ok(None);
    }
    let number = |line: &str| line.get(1..).and_then(|n| n.trim().parse::<usize>().ok()).unwrap_or(0);
    let mut words = Vec::new();
    for _ in 0..number(&line) {
        line.clear();
        from.read_line(&mut line)?;
        let mut word = vec![0; number(&line) + 2];
        from.read_exact(&mut word)?;
        words.push(String::from_utf8_lossy(&word[..word.len() - 2]).into_owned());
    }
    Ok(Some(words))
}

/// One backend: so many slots, and seconds of work for a unit.
pub fn backend(listener: TcpListener, index: usize, (slots, service): (usize, f64), ran: Arc<Mutex<Ran>>) {
    let free = Arc::new((Mutex::new(slots), Condvar::new()));
    each(listener, move |stream| {
        let (mut from, mut to) = (BufReader::new(stream.try_clone()?), stream);
        while let Some(words) = command(&mut from)? {
            let (Some(id), Some(list)) = (words.get(2), words.get(3)) else { return Ok(()) };
            let of = |name: &str| list.split(',').find_map(|p| p.strip_prefix(name)).unwrap_or("1");
            let units: f64 = of("units=").parse().unwrap_or(1.0);
            {
                let (lock, freed) = &*free;
                let mut n = held(lock);
                while *n == 0 {
                    n = freed.wait(n).unwrap_or_else(|e| e.into_inner());
                }
                *n -= 1;
            }
            {
                let mut ran = held(&ran);
                ran.by_backend[index] += 1;
                if words[0] == "CALL.POST" {
                    let times = ran.once.entry(id.clone()).or_default();
                    *times += 1;
                    let again = *times > 1;
                    ran.twice += u64::from(again);
                }
            }
            sleep(Duration::from_secs_f64(units * service));
            {
                let (lock, freed) = &*free;
                *held(lock) += 1;
                freed.notify_one();
            }
            let cost = format!("cost={units}");
            write!(to, "*3\r\n$16\r\n{id}\r\n${}\r\n{cost}\r\n$-1\r\n", cost.len())?;
        }
        Ok(())
    });
}

/// The target of one HTTP/1.1 request; none at the end.
fn target(from: &mut impl BufRead) -> Result<Option<String>> {
    let (mut line, mut first) = (String::new(), None);
    loop {
        line.clear();
        if from.read_line(&mut line)? == 0 {
            return Ok(None);
        }
        if line.trim().is_empty() {
            return Ok(first);
        }
        first = first.or_else(|| line.split(' ').nth(1).map(str::to_owned));
    }
}

fn number(target: &str, name: &str) -> f64 {
    let query = target.split_once('?').map_or("", |(_, q)| q);
    let value = query.split('&').find_map(|p| p.split_once('=').filter(|(n, _)| *n == name));
    value.and_then(|(_, v)| v.parse().ok()).unwrap_or(0.0)
}

pub fn counter(listener: TcpListener, calls: Arc<Mutex<u64>>) {
    let counts: Arc<Mutex<HashMap<String, f64>>> = Arc::default();
    each(listener, move |stream| {
        let (mut from, mut to) = (BufReader::new(stream.try_clone()?), stream);
        while let Some(target) = target(&mut from)? {
            *held(&calls) += 1;
            let name = target.split('?').next().unwrap_or("").to_owned();
            let total = {
                let mut counts = held(&counts);
                let total = counts.entry(name).or_default();
                *total += number(&target, "by");
                total.to_string()
            };
            write!(to, "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{total}", total.len())?;
        }
        Ok(())
    });
}

/// It knows one list; a watch for more waits in vain.
pub fn list(listener: TcpListener, listing: String) {
    each(listener, move |stream| {
        let (mut from, mut to) = (BufReader::new(stream.try_clone()?), stream);
        while let Some(target) = target(&mut from)? {
            let known = number(&target, "since") >= 1.0;
            if known {
                sleep(Duration::from_millis(number(&target, "timeout_ms") as u64));
            }
            let nothing = r#"{"index":1,"snapshot":false,"endpoints":[]}"#;
            let body = if known { nothing } else { &listing };
            write!(to, "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len())?;
        }
        Ok(())
    });
}

/// A listener at any free port, and where it is.
pub fn free() -> std::result::Result<(TcpListener, SocketAddr), String> {
    let listener = TcpListener::bind("127.0.0.1:0").map_err(|e| format!("a port: {e}"))?;
    let at = listener.local_addr().map_err(|e| format!("a port: {e}"))?;
    Ok((listener, at))
}

/// Reads one reply of a front door: its first byte, and all of it.
pub fn reply(from: &mut impl BufRead) -> Result<(u8, Vec<u8>)> {
    let mut line = Vec::new();
    if from.read_until(b'\n', &mut line)? == 0 {
        return Err(std::io::ErrorKind::UnexpectedEof.into());
    }
    if line[0] == b'$' {
        let length = std::str::from_utf8(&line[1..]).ok().and_then(|t| t.trim().parse::<usize>().ok());
        let mut value = vec![0; length.unwrap_or(0) + 2];
        from.read_exact(&mut value)?;
        return Ok((b'$', value));
    }
    Ok((line[0], line))
}
