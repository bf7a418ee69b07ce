//! Example backends for one gateway instance, on loopback, with a counter and a list service, from their public
//! descriptions. `example_backend` starts them where `examples/configuration.json` looks for them;
//! `example_backend call OPERATION N` sends N requests to the instance, one after another, and prints the replies.
use std::collections::HashMap;
use std::io::{BufRead, BufReader, Result, Write};
use std::net::{TcpListener, TcpStream};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{sleep, spawn};
use std::time::Duration;

/// How long the operation `slow` takes.
const SLOW_OPERATION: Duration = Duration::from_millis(300);

/// Runs `serve` on a thread of its own for each connection.
pub fn each(listener: TcpListener, serve: impl Fn(TcpStream) -> Result<()> + Clone + Send + 'static) {
    spawn(move || {
        for stream in listener.incoming().flatten() {
            let serve = serve.clone();
            let _ = stream.set_nodelay(true); // replies in several writes would wait for each other
            spawn(move || serve(stream)); // it ends with its connection
        }
    });
}

/// Reads one RESP2 array of bulk strings; none at the end.
pub fn command(from: &mut impl BufRead) -> Result<Option<Vec<String>>> {
    let mut line = String::new();
    if from.read_line(&mut line)? == 0 {
        return Ok(None);
    }
    let mut items = Vec::new();
    for _ in 0..line[1..].trim().parse::<usize>().unwrap_or(0) {
        line.clear();
        from.read_line(&mut line)?;
        let mut item = vec![0; line[1..].trim().parse::<usize>().unwrap_or(0) + 2];
        from.read_exact(&mut item)?;
        items.push(String::from_utf8_lossy(&item[..item.len() - 2]).into_owned());
    }
    Ok(Some(items))
}

/// A backend: replies to each request with its own name, the operation and the body. The operation named
/// `slow` takes 300 ms, the one named `fail` fails.
pub fn backend(listener: TcpListener, name: &'static str) {
    watched(listener, name, Arc::default());
}

/// By plan: how many requests are in flight now, and the most there ever were.
pub type HeldByPlan = Arc<Mutex<HashMap<String, (usize, usize)>>>;

/// One that records the most requests in flight at once of a plan; with each reply it reports that it is idle.
pub fn watched(listener: TcpListener, name: &'static str, held: HeldByPlan) {
    each(listener, move |stream| {
        let mut from = BufReader::new(stream.try_clone()?);
        let mut to = stream;
        while let Some(items) = command(&mut from)? {
            let arguments = items.get(3).map_or("", |list| list);
            let operation = argument(arguments, "c=");
            let plan = argument(arguments, "t=");
            begin(&held, plan);
            if operation == "slow" {
                sleep(SLOW_OPERATION);
            }
            held.lock().expect("nobody panics").entry(plan.into()).and_modify(|count| count.0 -= 1);
            let body = items.get(4).map_or("", |body| body);
            let value = format!("{name} {operation} {body}").trim().to_string();
            match (items.first().map_or("", |verb| verb), operation) {
                ("PING", _) => write!(to, "+PONG\r\n")?,
                (_, "fail") => write!(to, "-ERR failed\r\n")?,
                _ => write!(to, "*3\r\n${}\r\n{value}\r\n$-1\r\n$15\r\nload_share=0.25\r\n", value.len())?,
            }
        }
        Ok(())
    });
}

/// The value behind this prefix in a list of names and values.
fn argument<'a>(list: &'a str, prefix: &str) -> &'a str {
    list.split(',').find_map(|pair| pair.strip_prefix(prefix)).unwrap_or("?")
}

fn begin(held: &HeldByPlan, plan: &str) {
    let mut held = held.lock().expect("nobody panics");
    let (now, most) = held.entry(plan.into()).or_default();
    *now += 1;
    *most = (*now).max(*most);
}

/// Reads the head of an HTTP request without a body: its target; none at the end.
pub fn target(from: &mut impl BufRead) -> Result<Option<String>> {
    let mut first = String::new();
    if from.read_line(&mut first)? == 0 {
        return Ok(None);
    }
    let mut line = String::new();
    while from.read_line(&mut line)? > 2 {
        line.clear();
    }
    Ok(first.split(' ').nth(1).map(str::to_owned))
}

/// The number of this name in the query of a target; 0 without one.
pub fn number(target: &str, name: &str) -> f64 {
    let query = target.split_once('?').map_or("", |(_, query)| query);
    let value = query.split('&').find_map(|pair| pair.strip_prefix(name)?.strip_prefix('='));
    value.and_then(|value| value.parse().ok()).unwrap_or(0.0)
}

/// The shared counter.
pub fn counter(listener: TcpListener) {
    let counts: Arc<Mutex<HashMap<String, f64>>> = Arc::default();
    each(listener, move |stream| {
        let mut from = BufReader::new(stream.try_clone()?);
        let mut to = stream;
        while let Some(target) = target(&mut from)? {
            let name = target.split('?').next().unwrap_or("").to_string();
            let total = {
                let mut counts = counts.lock().expect("no call panics");
                let total = counts.entry(name).or_default();
                *total += number(&target, "by");
                total.to_string()
            };
            write!(to, "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{total}", total.len())?;
        }
        Ok(())
    });
}

/// The list service: it has one list, and a watch for changes waits in vain.
pub fn list(listener: TcpListener, listing: String) {
    each(listener, move |stream| {
        let mut from = BufReader::new(stream.try_clone()?);
        let mut to = stream;
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

/// One request as a client writes it; operations other than `look` and `slow` are not idempotent.
pub fn invocation(operation: &str, wait_ms: u64) -> String {
    invocation_of("small", (0, 1), operation, wait_ms)
}

/// One under this plan, of a customer whose requests arrive through so many gateway instances.
pub fn invocation_of(plan: &str, (first, doors): (usize, usize), operation: &str, wait_ms: u64) -> String {
    let (verb, body) =
        if matches!(operation, "look" | "slow") { ("CALL.GET", "") } else { ("CALL.POST", "$4\r\nbody\r\n") };
    let list = format!("c={operation},t={plan},d={wait_ms},units=1,spread={doors},first={first}");
    let item_count = if body.is_empty() { 4 } else { 5 };
    static ID: AtomicU64 = AtomicU64::new(1);
    // One customer of each plan.
    let customer = format!("{:016x}", plan.len());
    let id = format!("{:016x}", ID.fetch_add(1, Ordering::Relaxed));
    format!(
        "*{item_count}\r\n${}\r\n{verb}\r\n$16\r\n{customer}\r\n$16\r\n{id}\r\n${}\r\n{list}\r\n{body}",
        verb.len(),
        list.len()
    )
}

/// Reads one reply: its line, and a value if there is one.
pub fn reply(from: &mut impl BufRead) -> Result<String> {
    let mut line = String::new();
    from.read_line(&mut line)?;
    if let Some(length) = line.strip_prefix('$').and_then(|length| length.trim().parse::<usize>().ok()) {
        let mut value = vec![0; length + 2];
        from.read_exact(&mut value)?;
        return Ok(String::from_utf8_lossy(&value[..length]).into_owned());
    }
    Ok(line.trim_end().to_string())
}

/// Sends requests to the gateway instance, one after another, and prints the replies.
#[allow(dead_code)] // see `main`
fn send_requests(operation: &str, count: usize) -> Result<()> {
    let mut to = TcpStream::connect("127.0.0.1:7400")?;
    let mut from = BufReader::new(to.try_clone()?);
    for _ in 0..count {
        to.write_all(invocation(operation, 1000).as_bytes())?;
        let reply = reply(&mut from)?;
        if reply.is_empty() {
            return Err(std::io::Error::other("the front door ended the connection without an answer"));
        }
        println!("{reply}");
    }
    Ok(())
}

/// The entry of one backend on the endpoint list.
#[allow(dead_code)] // see `main`
fn entry(name: &str, port: u16) -> String {
    format!(
        r#"{{"name":"{name}","address":"127.0.0.1:{port}","zone":"z","type":"m","group":0,
             "status":"SERVING","weight":1.0,"since_ms":0}}"#
    )
}

#[allow(dead_code)] // as a module of a test it is not started by this
fn main() -> Result<()> {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    if let [call, operation, count] = &arguments[..] {
        assert_eq!(call, "call", "usage: example_backend [call OPERATION N]");
        return send_requests(operation, count.parse().unwrap_or(1));
    }
    backend(TcpListener::bind("127.0.0.1:7411")?, "a");
    backend(TcpListener::bind("127.0.0.1:7412")?, "b");
    counter(TcpListener::bind("127.0.0.1:7402")?);
    let listing = format!(
        r#"{{"index":1,"snapshot":true,"endpoints":[{},{}]}}"#,
        entry("s-a", 7411),
        entry("s-b", 7412)
    );
    list(TcpListener::bind("127.0.0.1:7401")?, listing);
    println!("backends listen on 127.0.0.1:7411 and 7412, the counter on 7402, the list service on 7401; end with Ctrl-C");
    loop {
        std::thread::park();
    }
}
