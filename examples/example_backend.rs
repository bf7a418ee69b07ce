//! Example backends, counter and list service for one gateway instance, on loopback, implemented from the
//! public descriptions of their protocols. `example_backend` starts them at the addresses in
//! `examples/configuration.json`. `example_backend call OPERATION N` sends N requests to the instance, one
//! after another, and prints the replies.
use std::collections::HashMap;
use std::io::{BufRead, BufReader, Result, Write};
use std::net::{TcpListener, TcpStream};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{sleep, spawn};
use std::time::Duration;

/// Duration of the operation `slow`.
const SLOW_OPERATION: Duration = Duration::from_millis(300);

/// Accepts connections and runs `serve` for each of them, on a new thread.
pub fn serve_connections(
    listener: TcpListener,
    serve: impl Fn(TcpStream) -> Result<()> + Clone + Send + 'static,
) {
    spawn(move || {
        for stream in listener.incoming().flatten() {
            let serve = serve.clone();
            let _ = stream.set_nodelay(true); // Nagle's algorithm would delay a reply that takes several writes
            spawn(move || serve(stream)); // an error closes only this connection
        }
    });
}

/// Reads one RESP2 array of bulk strings; returns `None` at the end of the connection.
pub fn read_command(reader: &mut impl BufRead) -> Result<Option<Vec<String>>> {
    let mut line = String::new();
    if reader.read_line(&mut line)? == 0 {
        return Ok(None);
    }
    let item_count = parse_length(&line);
    let mut items = Vec::new();
    for _ in 0..item_count {
        line.clear();
        reader.read_line(&mut line)?;
        items.push(read_bulk_string(reader, parse_length(&line))?);
    }
    Ok(Some(items))
}

/// Returns the length in the first line of a RESP2 array or bulk string; 0 if it is not a number.
fn parse_length(line: &str) -> usize {
    line[1..].trim().parse().unwrap_or(0)
}

/// Reads a bulk string of this length and the line break after it.
fn read_bulk_string(reader: &mut impl BufRead, length: usize) -> Result<String> {
    let mut bytes = vec![0; length + 2];
    reader.read_exact(&mut bytes)?;
    Ok(String::from_utf8_lossy(&bytes[..length]).into_owned())
}

/// Starts a backend that replies to each request with the name of the backend, the operation and the body.
/// The operation `slow` takes 300 ms, and the operation `fail` fails.
pub fn start_backend(listener: TcpListener, name: &'static str) {
    start_backend_with_statistics(listener, name, Arc::default());
}

/// Number of requests of one plan that are in flight at the backends.
#[derive(Default)]
pub struct InFlight {
    /// Current number.
    pub now: usize,
    /// Highest number so far.
    pub peak: usize,
}

/// Requests in flight by the name of their plan. Several backends may share one map.
pub type InFlightByPlan = Arc<Mutex<HashMap<String, InFlight>>>;

/// Starts a backend like [`start_backend`] that also counts its requests in flight and reports a low load
/// with each reply.
pub fn start_backend_with_statistics(listener: TcpListener, name: &'static str, in_flight: InFlightByPlan) {
    serve_connections(listener, move |stream| {
        let mut reader = BufReader::new(stream.try_clone()?);
        let mut writer = stream;
        while let Some(items) = read_command(&mut reader)? {
            let arguments = items.get(3).map_or("", |list| list);
            let operation = find_argument(arguments, "c=");
            let plan = find_argument(arguments, "t=");
            request_started(&in_flight, plan);
            if operation == "slow" {
                sleep(SLOW_OPERATION);
            }
            request_ended(&in_flight, plan);
            let body = items.get(4).map_or("", |body| body);
            let value = format!("{name} {operation} {body}").trim().to_string();
            match (items.first().map_or("", |verb| verb), operation) {
                ("PING", _) => write!(writer, "+PONG\r\n")?,
                (_, "fail") => write!(writer, "-ERR failed\r\n")?,
                _ => write_value(&mut writer, &value)?,
            }
        }
        Ok(())
    });
}

/// Writes the reply of a backend: a value, no billed units, and a load report.
fn write_value(writer: &mut impl Write, value: &str) -> Result<()> {
    write!(writer, "*3\r\n${}\r\n{value}\r\n$-1\r\n$15\r\nload_share=0.25\r\n", value.len())
}

/// Returns the value with this prefix in a comma-separated list of arguments; `?` if there is none.
fn find_argument<'a>(list: &'a str, prefix: &str) -> &'a str {
    list.split(',').find_map(|pair| pair.strip_prefix(prefix)).unwrap_or("?")
}

fn request_started(in_flight: &InFlightByPlan, plan: &str) {
    let mut by_plan = in_flight.lock().expect("no thread panics while it holds the lock");
    let requests = by_plan.entry(plan.into()).or_default();
    requests.now += 1;
    requests.peak = requests.peak.max(requests.now);
}

fn request_ended(in_flight: &InFlightByPlan, plan: &str) {
    let mut by_plan = in_flight.lock().expect("no thread panics while it holds the lock");
    by_plan.entry(plan.into()).and_modify(|requests| requests.now -= 1);
}

/// Reads an HTTP request without a body and returns its target; `None` at the end of the connection.
pub fn read_target(reader: &mut impl BufRead) -> Result<Option<String>> {
    let mut request_line = String::new();
    if reader.read_line(&mut request_line)? == 0 {
        return Ok(None);
    }
    let mut header = String::new();
    while reader.read_line(&mut header)? > 2 {
        header.clear();
    }
    Ok(request_line.split(' ').nth(1).map(str::to_owned))
}

/// Returns the number with this name in the query of a request target; 0 if there is none.
pub fn parse_query_number(target: &str, name: &str) -> f64 {
    let query = target.split_once('?').map_or("", |(_, query)| query);
    let value = query.split('&').find_map(|pair| pair.strip_prefix(name)?.strip_prefix('='));
    value.and_then(|value| value.parse().ok()).unwrap_or(0.0)
}

/// Starts the counter.
pub fn start_counter(listener: TcpListener) {
    let totals: Arc<Mutex<HashMap<String, f64>>> = Arc::default();
    serve_connections(listener, move |stream| {
        let mut reader = BufReader::new(stream.try_clone()?);
        let mut writer = stream;
        while let Some(target) = read_target(&mut reader)? {
            let name = target.split('?').next().unwrap_or("").to_string();
            let total = add(&totals, name, parse_query_number(&target, "by"));
            write_ok(&mut writer, &total.to_string())?;
        }
        Ok(())
    });
}

/// Adds `delta` to the counter with this name; returns the new total.
fn add(totals: &Mutex<HashMap<String, f64>>, name: String, delta: f64) -> f64 {
    let mut totals = totals.lock().expect("no thread panics while it holds the lock");
    let total = totals.entry(name).or_default();
    *total += delta;
    *total
}

/// Writes an HTTP response with status 200 and this body.
pub fn write_ok(writer: &mut impl Write, body: &str) -> Result<()> {
    write!(writer, "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len())
}

/// Starts the list service. Its endpoint list never changes, so a watch waits for its timeout and then
/// reports no change.
pub fn start_list_service(listener: TcpListener, endpoint_list: String) {
    serve_connections(listener, move |stream| {
        let mut reader = BufReader::new(stream.try_clone()?);
        let mut writer = stream;
        while let Some(target) = read_target(&mut reader)? {
            let is_watch = parse_query_number(&target, "since") >= 1.0;
            if is_watch {
                sleep(Duration::from_millis(parse_query_number(&target, "timeout_ms") as u64));
            }
            let no_change = r#"{"index":1,"snapshot":false,"endpoints":[]}"#;
            write_ok(&mut writer, if is_watch { no_change } else { &endpoint_list })?;
        }
        Ok(())
    });
}

/// The gateway instances that a customer uses.
#[derive(Clone, Copy)]
pub struct InstanceRange {
    /// Index of the first instance.
    pub first: usize,
    /// Number of instances.
    pub count: usize,
}

/// Encodes a request of the plan `small`. Operations other than `look` and `slow` are not idempotent.
pub fn request(operation: &str, timeout_ms: u64) -> String {
    request_of_plan("small", InstanceRange { first: 0, count: 1 }, operation, timeout_ms)
}

/// Encodes a request of this plan, by a customer that uses these gateway instances.
pub fn request_of_plan(plan: &str, instances: InstanceRange, operation: &str, timeout_ms: u64) -> String {
    static NEXT_ID: AtomicU64 = AtomicU64::new(1);
    let (verb, body) =
        if matches!(operation, "look" | "slow") { ("CALL.GET", "") } else { ("CALL.POST", "$4\r\nbody\r\n") };
    let InstanceRange { first, count } = instances;
    let arguments = format!("c={operation},t={plan},d={timeout_ms},units=1,spread={count},first={first}");
    let item_count = if body.is_empty() { 4 } else { 5 };
    // Each plan has its own customer, provided that no two plan names have the same length.
    let customer = format!("{:016x}", plan.len());
    let id = format!("{:016x}", NEXT_ID.fetch_add(1, Ordering::Relaxed));
    format!(
        "*{item_count}\r\n${}\r\n{verb}\r\n$16\r\n{customer}\r\n$16\r\n{id}\r\n${}\r\n{arguments}\r\n{body}",
        verb.len(),
        arguments.len()
    )
}

/// Reads one reply; returns its value if it has one, otherwise its line.
pub fn read_reply(reader: &mut impl BufRead) -> Result<String> {
    let mut line = String::new();
    reader.read_line(&mut line)?;
    match line.strip_prefix('$').and_then(|length| length.trim().parse().ok()) {
        Some(length) => read_bulk_string(reader, length),
        None => Ok(line.trim_end().to_string()),
    }
}

/// Sends requests to the gateway instance, one after another, and prints the replies.
#[allow(dead_code)] // see `main`
fn send_requests(operation: &str, count: usize) -> Result<()> {
    let mut writer = TcpStream::connect("127.0.0.1:7400")?;
    let mut reader = BufReader::new(writer.try_clone()?);
    for _ in 0..count {
        writer.write_all(request(operation, 1000).as_bytes())?;
        let reply = read_reply(&mut reader)?;
        if reply.is_empty() {
            return Err(std::io::Error::other("the gateway closed the connection without a reply"));
        }
        println!("{reply}");
    }
    Ok(())
}

/// Returns the entry of one backend in the endpoint list.
#[allow(dead_code)] // see `main`
fn entry(name: &str, port: u16) -> String {
    format!(
        r#"{{"name":"{name}","address":"127.0.0.1:{port}","zone":"z","type":"m","group":0,
             "status":"SERVING","weight":1.0,"since_ms":0}}"#
    )
}

#[allow(dead_code)] // tests and the load tool include this file as a module
fn main() -> Result<()> {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    if let [call, operation, count] = &arguments[..] {
        assert_eq!(call, "call", "usage: example_backend [call OPERATION N]");
        return send_requests(operation, count.parse().unwrap_or(1));
    }
    start_backend(TcpListener::bind("127.0.0.1:7411")?, "a");
    start_backend(TcpListener::bind("127.0.0.1:7412")?, "b");
    start_counter(TcpListener::bind("127.0.0.1:7402")?);
    let endpoint_list = format!(
        r#"{{"index":1,"snapshot":true,"endpoints":[{},{}]}}"#,
        entry("s-a", 7411),
        entry("s-b", 7412)
    );
    start_list_service(TcpListener::bind("127.0.0.1:7401")?, endpoint_list);
    println!("backends listen on 127.0.0.1:7411 and 7412, the counter on 7402, the list service on 7401; end with Ctrl-C");
    loop {
        std::thread::park();
    }
}
