//! Callers that are known, at the real program: keys that change under load, tokens that are revoked, and whose invocations are whose.
use nix::sys::signal::{kill, Signal};
use nix::unistd::Pid;
use serde_json::{json, Value};
use std::fmt::Write as _;
use std::io::{BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::Path;
use std::process::{Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::thread::sleep;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

mod help;
#[path = "../../identity/tests/help/mod.rs"]
mod issuer;
use help::{
    example_configuration, example_servers, free_listener, serve_endpoints, wait_until_ready, GatewayProcess,
};
use issuer::Signer;

const TEAMS: u64 = 4;

fn now() -> f64 {
    SystemTime::now().duration_since(UNIX_EPOCH).expect("after 1970").as_secs_f64()
}

/// An operator's file: a contract for each team, which speaks for the customer of its number, and these keys.
fn operator_file(keys: &[&Signer], revoked: &[&str]) -> String {
    let mut text = String::from("[broker]\ncapacity = 100000\nstrangers = \"refuse\"\n");
    for team in 1..=TEAMS {
        let _ = write!(
            text,
            "[[contract]]\nteam = \"t{team}\"\nrate = 20000\nburst = 20000\ncustomers = [\"{team:016x}\"]\n"
        );
    }
    let _ = write!(text, "[identity]\nissuer = \"i\"\naudience = \"a\"\nrevoked = {revoked:?}\n");
    for key in keys.iter().map(|s| s.key()) {
        let _ = write!(text, "[[identity.key]]\nid = \"{}\"\nsigns = \"EdDSA\"\nx = \"{}\"\n", key.id, key.x);
    }
    text
}

fn token(signer: &Signer, team: u64, id: &str) -> String {
    let claims = json!({"iss": "i", "aud": "a", "sub": format!("t{team}"), "jti": id, "exp": now() + 60.0});
    signer.token(&claims)
}

static IDS: AtomicU64 = AtomicU64::new(1);

fn request(customer: u64) -> String {
    let id = IDS.fetch_add(1, Ordering::Relaxed);
    let list = "c=look,t=plenty,d=1000,units=1,spread=1,first=0";
    format!(
        "*4\r\n$8\r\nCALL.GET\r\n$16\r\n{customer:016x}\r\n$16\r\n{id:016x}\r\n${}\r\n{list}\r\n",
        list.len()
    )
}

struct Client(TcpStream, BufReader<TcpStream>);

impl Client {
    fn new(at: SocketAddr) -> Client {
        let to = TcpStream::connect(at).expect("it accepts");
        to.set_nodelay(true).expect("a socket");
        to.set_read_timeout(Some(Duration::from_secs(5))).expect("a socket");
        let from = BufReader::new(to.try_clone().expect("a second handle"));
        Client(to, from)
    }
    fn exchange(&mut self, text: &str) -> String {
        self.0.write_all(text.as_bytes()).expect("it reads");
        example_servers::read_reply(&mut self.1).expect("an answer")
    }
    fn auth(&mut self, token: &str) -> String {
        self.exchange(&format!("*2\r\n$4\r\nAUTH\r\n${}\r\n{token}\r\n", token.len()))
    }
}

/// A front door under this operator's file, before two backends; where it serves, and where operators call.
fn start_configured(folder: &Path, text: &str) -> (GatewayProcess, SocketAddr, SocketAddr) {
    let _ = std::fs::remove_dir_all(folder);
    std::fs::create_dir_all(folder).expect("a folder");
    let ((list, list_at), (counter, counter_at), (a, a_at), (b, b_at)) =
        (free_listener(), free_listener(), free_listener(), free_listener());
    example_servers::start_backend(a, "a");
    example_servers::start_backend(b, "b");
    example_servers::start_counter(counter);
    serve_endpoints(list, &[("a", a_at), ("b", b_at)]);
    let ((own, at), (operators, mgmt)) = (free_listener(), free_listener());
    drop((own, operators));
    let configuration =
        example_configuration(list_at, counter_at).replace("127.0.0.1:7400", &at.to_string()).replace(
            "\"tariffs\": [",
            "\"tariffs\": [{\"name\": \"plenty\", \"per_second\": 50000, \"depth\": 50000, \"parallel\": 0, \
         \"ceiling_rate\": 0, \"ceiling_slack\": 0, \"hard_burst\": 0}, ",
        );
    std::fs::write(folder.join("told.json"), configuration).expect("written");
    std::fs::write(folder.join("operator.toml"), text).expect("written");
    let mut program = Command::new(env!("CARGO_BIN_EXE_quillramp"));
    program.env("EDGE_CONFIG", folder.join("told.json")).env("EDGE_OPERATOR", folder.join("operator.toml"));
    program.env("EDGE_MGMT", mgmt.to_string()).env("TMPDIR", folder).stderr(Stdio::null());
    let process = GatewayProcess(program.spawn().expect("the program starts"));
    wait_until_ready(&[at]);
    (process, at, mgmt)
}

fn reload_operator_file(process: &GatewayProcess, folder: &Path, text: &str) {
    let new = folder.join("new.toml");
    std::fs::write(&new, text)
        .and_then(|()| std::fs::rename(&new, folder.join("operator.toml")))
        .expect("written");
    kill(Pid::from_raw(process.0.id() as i32), Signal::SIGHUP).expect("it is there");
}

fn contract_usage(mgmt: SocketAddr) -> Value {
    let mut to = TcpStream::connect(mgmt).expect("it accepts");
    write!(to, "GET /contracts HTTP/1.1\r\nHost: x\r\n\r\n").expect("it reads");
    let mut said = String::new();
    to.read_to_string(&mut said).expect("it ends");
    serde_json::from_str(said.split("\r\n\r\n").nth(1).expect("a body")).expect("figures")
}

/// Keys are rotated every quarter of a second (a minute, scaled) while four teams ask: no valid caller is refused, nothing is another team's.
#[test]
fn keys_rotate_under_load_and_nobody_is_taken_for_another() {
    let folder = Path::new(env!("CARGO_TARGET_TMPDIR")).join("identity-rotates");
    let signers: Vec<Signer> = (0..12).map(|i| Signer::ed(&format!("k{i}"), i + 1)).collect();
    let (process, at, mgmt) = start_configured(&folder, &operator_file(&[&signers[0]], &[]));
    let (current, over) = (AtomicU64::new(0), AtomicBool::new(false));
    let served: Vec<u64> = std::thread::scope(|all| {
        let teams: Vec<_> = (1..=TEAMS)
            .map(|team| {
                let (signers, current, over) = (&signers, &current, &over);
                all.spawn(move || {
                    let (mut served, mut opened) = (0, 0);
                    while !over.load(Ordering::Relaxed) {
                        // A new connection with the newest key now and then, as clients come and go.
                        let mut client = Client::new(at);
                        let signer = &signers[current.load(Ordering::Relaxed) as usize];
                        opened += 1;
                        assert_eq!(client.auth(&token(signer, team, &format!("{team}-{opened}"))), "+OK");
                        for _ in 0..20 {
                            let said = client.exchange(&request(team));
                            // A full backend is no matter of who asks.
                            assert!(
                                said.contains("look") || said.starts_with("-BUSY"),
                                "team {team}: {said}"
                            );
                            served += u64::from(said.contains("look"));
                            let other = 1 + team % TEAMS;
                            let said = client.exchange(&request(other));
                            assert_eq!(said, "-ERR contract: not a customer that it speaks for");
                        }
                    }
                    served
                })
            })
            .collect();
        for i in 1..signers.len() {
            // The next key first, then tokens of it; the last but one goes once none of its connections is there.
            let from = i.saturating_sub(2);
            let keys: Vec<&Signer> = signers[from..=i].iter().collect();
            reload_operator_file(&process, &folder, &operator_file(&keys, &[]));
            sleep(Duration::from_millis(125));
            current.store(i as u64, Ordering::Relaxed);
            sleep(Duration::from_millis(125));
        }
        over.store(true, Ordering::Relaxed);
        teams.into_iter().map(|t| t.join().expect("no valid caller is refused")).collect()
    });
    let usage = contract_usage(mgmt);
    for (i, served) in served.iter().enumerate() {
        assert_eq!(usage[format!("t{}", i + 1)]["taken"], json!(served), "{usage}");
        assert!(*served > 100, "{served}");
    }
    std::fs::remove_dir_all(&folder).expect("ours");
}

#[test]
fn a_revoked_key_or_token_stops_within_a_second() {
    let folder = Path::new(env!("CARGO_TARGET_TMPDIR")).join("identity-revoked");
    let (first, second) = (Signer::ed("k1", 1), Signer::ed("k2", 2));
    let (process, at, _) = start_configured(&folder, &operator_file(&[&first, &second], &[]));
    let mut nobody = Client::new(at);
    assert!(nobody.exchange(&request(1)).starts_with("-NOAUTH"));
    assert_eq!(nobody.auth("not.a.token"), "-WRONGPASS no token that can be read");
    assert!(nobody.auth(&token(&Signer::ed("k1", 9), 1, "x")).starts_with("-WRONGPASS the signature"));
    let mut clients = [Client::new(at), Client::new(at), Client::new(at)];
    let tokens = [token(&first, 1, "one"), token(&second, 2, "two"), token(&second, 3, "three")];
    for (client, token) in clients.iter_mut().zip(&tokens) {
        assert_eq!(client.auth(token), "+OK");
    }
    assert!(clients.iter_mut().zip(1..).all(|(c, team)| c.exchange(&request(team)).contains("look")));
    // A key goes, and a token of the other one.
    reload_operator_file(&process, &folder, &operator_file(&[&second], &["three"]));
    sleep(Duration::from_millis(500));
    assert_eq!(clients[0].exchange(&request(1)), "-NOAUTH no key of this id is trusted");
    assert!(clients[1].exchange(&request(2)).contains("look"));
    assert_eq!(clients[2].exchange(&request(3)), "-NOAUTH it is revoked");
    assert_eq!(Client::new(at).auth(&tokens[2]), "-WRONGPASS it is revoked");
    // Another token of the same team is well.
    assert_eq!(clients[2].auth(&token(&second, 3, "four")), "+OK");
    assert!(clients[2].exchange(&request(3)).contains("look"));
    std::fs::remove_dir_all(&folder).expect("ours");
}
