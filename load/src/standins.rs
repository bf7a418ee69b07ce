//! Stand-ins on loopback: backends with so many slots and so much work, a list service and a counter. They keep count of what ran.
use crate::toy::{command, each, number, target};
use std::collections::HashMap;
use std::io::{BufRead, BufReader, Result, Write};
use std::net::{SocketAddr, TcpListener};
use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::thread::sleep;
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

/// Counts by name, and how often it was called.
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
