//! Stand-ins on loopback: backends with so many slots and so much work, a list service, counters and the relay of front doors' words to all.
//! What befalls them is the stage's.
use crate::stage::{held, Fate, Stage};
use crate::toy::{command, number, target};
use std::io::{BufRead, BufReader, Result, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread::{sleep, spawn};
use std::time::Duration;

/// How often something that waits for a fault to end looks again.
const LOOK: Duration = Duration::from_millis(5);
/// Stacks of threads that serve one connection each.
const STACK: usize = 128 * 1024;

/// Serves each connection on a small thread of its own.
fn serve(stream: TcpStream, how: impl FnOnce(TcpStream) -> Result<()> + Send + 'static) {
    let _ = stream.set_nodelay(true); // replies in several writes would wait for each other
    let thread = std::thread::Builder::new().stack_size(STACK);
    let _ = thread.spawn(move || how(stream)); // it ends with its connection; with no thread left it ends now
}

/// One backend: while its process is gone its address refuses.
pub fn backend(listener: TcpListener, index: usize, stage: Arc<Stage>) {
    let slots = Arc::new((Mutex::new(stage.world.slots), Condvar::new()));
    spawn(move || -> Result<()> {
        let at = listener.local_addr()?;
        let mut listener = Some(listener);
        let gone = Arc::new(AtomicBool::new(false));
        loop {
            if stage.over() {
                return Ok(());
            }
            let Some(here) = listener.take() else {
                if stage.condition(index).down {
                    sleep(LOOK);
                } else if let Ok(again) = TcpListener::bind(at) {
                    listener = Some(again);
                } else {
                    sleep(LOOK);
                }
                continue;
            };
            // A shutdown wakes the accept when the process goes.
            gone.store(false, Ordering::Relaxed);
            let (watched, over, watching) = (here.try_clone()?, gone.clone(), stage.clone());
            spawn(move || {
                while !watching.condition(index).down {
                    sleep(LOOK);
                }
                over.store(true, Ordering::Relaxed);
                let _ = socket2::SockRef::from(&watched).shutdown(Shutdown::Both);
            });
            while let Ok((stream, _)) = here.accept() {
                if gone.load(Ordering::Relaxed) {
                    break;
                }
                stage.connects(index, &stream);
                let (stage, slots) = (stage.clone(), slots.clone());
                serve(stream, move |stream| converse(stream, index, &stage, &slots));
            }
        }
    });
}

fn converse(stream: TcpStream, index: usize, stage: &Stage, slots: &(Mutex<usize>, Condvar)) -> Result<()> {
    let process = stage.condition(index).process;
    let (mut from, mut to) = (BufReader::new(stream.try_clone()?), stream);
    while let Some(words) = command(&mut from)? {
        // A machine that says nothing does nothing either; its connections end when it is back.
        while stage.condition(index).silent && !stage.over() {
            sleep(LOOK);
        }
        if stage.condition(index).process != process {
            return Ok(());
        }
        if words.first().is_some_and(|w| w == "PING") {
            to.write_all(b"+PONG\r\n")?;
            continue;
        }
        let (Some(customer), Some(id), Some(list)) = (words.get(1), words.get(2), words.get(3)) else {
            return Ok(());
        };
        let of = |name: &str| list.split(',').find_map(|p| p.strip_prefix(name));
        let units: f64 = of("units=").and_then(|u| u.parse().ok()).unwrap_or(1.0);
        let plan = of("t=").unwrap_or("");
        let hex = |text: &str| u64::from_str_radix(text, 16).unwrap_or(0);
        let named = (hex(id), hex(customer), plan);
        let fate = if stage.condition(index).draining { Fate::TurnAway } else { stage.fate(index, units) };
        let work = match fate {
            Fate::TurnAway => {
                to.write_all(b"-BUSY\r\n")?;
                continue;
            }
            Fate::Serve(work) | Fate::Swallow(work) | Fate::Spoil(work) | Fate::Err(work) => work,
        };
        let (free, freed) = slots;
        {
            let mut n = held(free);
            while *n == 0 {
                n = freed.wait(n).unwrap_or_else(|e| e.into_inner());
            }
            *n -= 1;
        }
        let alive = stage.condition(index).process == process;
        if alive {
            stage.runs(index, named, units, words[0] == "CALL.POST");
            sleep(work);
        }
        *held(free) += 1;
        freed.notify_one();
        match fate {
            _ if !alive => return Ok(()),
            Fate::Swallow(_) => {}
            Fate::Err(_) => to.write_all(b"-ERR failed\r\n")?,
            Fate::Spoil(_) => to.write_all(b"?what\r\n")?,
            _ => {
                let cost = format!("cost={units}");
                write!(to, "*3\r\n$16\r\n{id}\r\n${}\r\n{cost}\r\n$-1\r\n", cost.len())?;
            }
        }
    }
    Ok(())
}

/// A counter; `second`: the one whose counts are its own while they are split.
pub fn counter(listener: TcpListener, second: bool, stage: Arc<Stage>) {
    spawn(move || {
        for stream in listener.incoming().flatten() {
            if held(&stage.counter).down {
                continue; // it ends at once
            }
            let stage = stage.clone();
            serve(stream, move |stream| {
                let (mut from, mut to) = (BufReader::new(stream.try_clone()?), stream);
                while let Some(target) = target(&mut from)? {
                    let is = held(&stage.counter).clone();
                    if is.down {
                        return Ok(());
                    }
                    while held(&stage.counter).silent && !stage.over() {
                        sleep(LOOK);
                    }
                    sleep(Duration::from_secs_f64(is.slow));
                    *held(&stage.calls) += 1;
                    if stage.strikes(is.turn_away) {
                        to.write_all(b"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n")?;
                        continue;
                    }
                    let name = target.split('?').next().unwrap_or("").to_owned();
                    let total = {
                        let mut counts = held(&stage.counts);
                        let total = counts[usize::from(second && is.split)].entry(name).or_default();
                        *total += number(&target, "by");
                        total.to_string()
                    };
                    if stage.strikes(is.deaf) {
                        return Ok(());
                    }
                    write!(to, "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{total}", total.len())?;
                }
                Ok(())
            });
        }
    });
}

/// The list service.
pub fn list(listener: TcpListener, stage: Arc<Stage>) {
    spawn(move || {
        for stream in listener.incoming().flatten() {
            let stage = stage.clone();
            serve(stream, move |stream| {
                let (mut from, mut to) = (BufReader::new(stream.try_clone()?), stream);
                while let Some(target) = target(&mut from)? {
                    let since = number(&target, "since") as u64;
                    let wait = Duration::from_millis(number(&target, "timeout_ms") as u64);
                    let answer = if since == 0 { stage.whole_list() } else { stage.watched(since, wait) };
                    let Some(body) = answer.map(|a| a.to_string()) else { return Ok(()) };
                    write!(to, "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len())?;
                }
                Ok(())
            });
        }
    });
}

/// Passes what one front door says on to all the others. Front doors know its address as a peer's.
pub fn relay(socket: UdpSocket, doors: Vec<SocketAddr>) {
    spawn(move || {
        let mut body = [0; 512];
        while let Ok((n, from)) = socket.recv_from(&mut body) {
            for to in doors.iter().filter(|d| **d != from) {
                let _ = socket.send_to(&body[..n], to); // words may be lost
            }
        }
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
