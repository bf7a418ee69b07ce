//! Authenticated callers at a gateway on loopback: keys that are rotated under load, tokens that are revoked,
//! and the requests that each caller may send.
use common::example_servers::read_reply;
use common::{
    empty_directory, example_configuration, gateway_command, start_listed_backend, start_services,
    unique_address, wait_until_ready, GatewayProcess, ServiceAddresses,
};
use issuer::Signer;
use nix::sys::signal::Signal;
use serde_json::{json, Value};
use std::fmt::Write as _;
use std::io::{BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::PathBuf;
use std::process::Stdio;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::thread::sleep;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

mod common;
#[path = "../../identity/tests/help/mod.rs"]
mod issuer;

const TEAMS: u64 = 4;
/// Time between two versions of the set of keys, scaled down from a minute.
const ROTATION_INTERVAL: Duration = Duration::from_millis(250);

fn unix_time() -> f64 {
    SystemTime::now().duration_since(UNIX_EPOCH).expect("after 1970").as_secs_f64()
}

/// Returns an operator file with these keys and revoked tokens, and with a contract for each team, which may
/// send requests of the customer with the team's number.
fn operator_file(keys: &[&Signer], revoked_tokens: &[&str]) -> String {
    let mut text = String::from("[broker]\ncapacity = 100000\nstrangers = \"refuse\"\n");
    for team in 1..=TEAMS {
        let _ = write!(
            text,
            "[[contract]]\nteam = \"t{team}\"\nrate = 20000\nburst = 20000\ncustomers = [\"{team:016x}\"]\n"
        );
    }
    let _ = write!(text, "[identity]\nissuer = \"i\"\naudience = \"a\"\nrevoked = {revoked_tokens:?}\n");
    for key in keys.iter().map(|signer| signer.key()) {
        let _ = write!(text, "[[identity.key]]\nid = \"{}\"\nsigns = \"EdDSA\"\nx = \"{}\"\n", key.id, key.x);
    }
    text
}

/// Returns a token for this team that is valid for 60 s.
fn issue_token(signer: &Signer, team: u64, id: &str) -> String {
    let expires_at = unix_time() + 60.0;
    let claims = json!({"iss": "i", "aud": "a", "sub": format!("t{team}"), "jti": id, "exp": expires_at});
    signer.token(&claims)
}

/// Encodes a request of this customer.
fn request(customer: u64) -> String {
    static NEXT_ID: AtomicU64 = AtomicU64::new(1);
    let id = NEXT_ID.fetch_add(1, Ordering::Relaxed);
    let arguments = "c=look,t=plenty,d=1000,units=1,spread=1,first=0";
    format!(
        "*4\r\n$8\r\nCALL.GET\r\n$16\r\n{customer:016x}\r\n$16\r\n{id:016x}\r\n${}\r\n{arguments}\r\n",
        arguments.len()
    )
}

struct Client {
    writer: TcpStream,
    reader: BufReader<TcpStream>,
}

impl Client {
    fn connect(gateway: SocketAddr) -> Client {
        let writer = TcpStream::connect(gateway).expect("the gateway accepts the connection");
        writer.set_nodelay(true).expect("an open socket");
        writer.set_read_timeout(Some(Duration::from_secs(5))).expect("an open socket");
        let reader = BufReader::new(writer.try_clone().expect("the socket handle is duplicated"));
        Client { writer, reader }
    }

    fn exchange(&mut self, command: &str) -> String {
        self.writer.write_all(command.as_bytes()).expect("the gateway accepts input");
        read_reply(&mut self.reader).expect("the gateway replies")
    }

    fn authenticate(&mut self, token: &str) -> String {
        self.exchange(&format!("*2\r\n$4\r\nAUTH\r\n${}\r\n{token}\r\n", token.len()))
    }
}

/// An instance with an operator file and two backends; its directory is removed when the test succeeds.
struct Gateway {
    process: GatewayProcess,
    address: SocketAddr,
    admin_address: SocketAddr,
    directory: PathBuf,
}

impl Gateway {
    fn start(name: &str, operator_settings: &str) -> Gateway {
        let directory = empty_directory(name);
        let ServiceAddresses { list_service, counter } =
            start_services(&["a", "b"].map(start_listed_backend));
        let (address, admin_address) = (unique_address(7400), unique_address(7404));
        let configuration = example_configuration(list_service, counter)
            .replace("127.0.0.1:7400", &address.to_string())
            .replace(
                "\"tariffs\": [",
                "\"tariffs\": [{\"name\": \"plenty\", \"per_second\": 50000, \"depth\": 50000, \"parallel\": 0, \
                 \"ceiling_rate\": 0, \"ceiling_slack\": 0, \"hard_burst\": 0}, ",
            );
        let configuration_file = directory.join("configuration.json");
        let operator_file = directory.join("operator.toml");
        std::fs::write(&configuration_file, configuration).expect("the configuration file is written");
        std::fs::write(&operator_file, operator_settings).expect("the operator file is written");
        let mut command = gateway_command(&configuration_file);
        command
            .env("EDGE_OPERATOR", operator_file)
            .env("EDGE_MGMT", admin_address.to_string())
            .env("TMPDIR", &directory)
            .stderr(Stdio::null());
        let process = GatewayProcess::spawn(&mut command);
        wait_until_ready(&[address]);
        Gateway { process, address, admin_address, directory }
    }

    fn connect(&self) -> Client {
        Client::connect(self.address)
    }

    /// Replaces the operator file atomically and has it read again.
    fn reload_operator_file(&self, settings: &str) {
        let new_file = self.directory.join("new.toml");
        std::fs::write(&new_file, settings).expect("the file is written");
        std::fs::rename(&new_file, self.directory.join("operator.toml"))
            .expect("the operator file is replaced");
        self.process.signal(Signal::SIGHUP);
    }

    /// Returns the usage of each contract, as reported to operators.
    fn contract_usage(&self) -> Value {
        let mut stream = TcpStream::connect(self.admin_address).expect("the gateway accepts the connection");
        write!(stream, "GET /contracts HTTP/1.1\r\nHost: x\r\n\r\n").expect("the gateway accepts input");
        let mut response = String::new();
        stream.read_to_string(&mut response).expect("the response is complete");
        let (_, body) = response.split_once("\r\n\r\n").expect("the response has a body");
        serde_json::from_str(body).expect("the body is JSON")
    }

    fn remove_directory(self) {
        std::fs::remove_dir_all(&self.directory).expect("the directory of this test is removed");
    }
}

/// A rotation of signing keys while clients use them.
struct KeyRotation {
    signers: Vec<Signer>,
    /// Index of the signer of new tokens.
    newest: AtomicUsize,
    is_over: AtomicBool,
}

impl KeyRotation {
    /// Replaces the keys one after another.
    fn run(&self, gateway: &Gateway) {
        for i in 1..self.signers.len() {
            // A key is trusted before tokens are signed with it, and until the connections with such tokens
            // have ended.
            let trusted: Vec<&Signer> = self.signers[i.saturating_sub(2)..=i].iter().collect();
            gateway.reload_operator_file(&operator_file(&trusted, &[]));
            sleep(ROTATION_INTERVAL / 2);
            self.newest.store(i, Ordering::Relaxed);
            sleep(ROTATION_INTERVAL / 2);
        }
        self.is_over.store(true, Ordering::Relaxed);
    }

    /// Sends requests of the team's own customer and of another team's until the rotation is over, on a new
    /// connection with a token of the newest key for every twenty of each. Returns the number of requests
    /// that were served.
    fn run_client(&self, gateway: &Gateway, team: u64) -> u64 {
        let (mut served, mut connections) = (0, 0);
        while !self.is_over.load(Ordering::Relaxed) {
            let mut client = gateway.connect();
            connections += 1;
            let signer = &self.signers[self.newest.load(Ordering::Relaxed)];
            let token = issue_token(signer, team, &format!("{team}-{connections}"));
            assert_eq!(client.authenticate(&token), "+OK");
            for _ in 0..20 {
                let reply = client.exchange(&request(team));
                // A request may also be rejected because the backends are saturated.
                assert!(reply.contains("look") || reply.starts_with("-BUSY"), "team {team}: {reply}");
                served += u64::from(reply.contains("look"));
                let other_team = 1 + team % TEAMS;
                let reply = client.exchange(&request(other_team));
                assert_eq!(reply, "-ERR contract: not a customer that it speaks for");
            }
        }
        served
    }
}

/// Guards against two faults while keys are rotated: a valid caller is rejected, or a request is counted for
/// another team.
#[test]
fn while_keys_are_rotated_under_load_each_caller_is_served_as_itself() {
    let rotation = KeyRotation {
        signers: (0..12).map(|i| Signer::ed(&format!("k{i}"), i + 1)).collect(),
        newest: AtomicUsize::new(0),
        is_over: AtomicBool::new(false),
    };
    let gateway = Gateway::start("identity-rotates", &operator_file(&[&rotation.signers[0]], &[]));
    let served: Vec<u64> = std::thread::scope(|scope| {
        let (rotation, gateway) = (&rotation, &gateway);
        let clients: Vec<_> =
            (1..=TEAMS).map(|team| scope.spawn(move || rotation.run_client(gateway, team))).collect();
        rotation.run(gateway);
        clients.into_iter().map(|client| client.join().expect("no valid caller is rejected")).collect()
    });
    let usage = gateway.contract_usage();
    for (team, served) in (1..).zip(&served) {
        assert_eq!(usage[format!("t{team}")]["taken"], json!(served), "{usage}");
        assert!(*served > 100, "team {team}: {served} served");
    }
    gateway.remove_directory();
}

#[test]
fn a_caller_without_a_valid_token_is_rejected() {
    let trusted = Signer::ed("k1", 1);
    let gateway = Gateway::start("identity-invalid", &operator_file(&[&trusted], &[]));
    let mut client = gateway.connect();
    assert!(client.exchange(&request(1)).starts_with("-NOAUTH"));
    assert_eq!(client.authenticate("not.a.token"), "-WRONGPASS no token that can be read");
    let other_key_with_the_same_id = Signer::ed("k1", 9);
    let token = issue_token(&other_key_with_the_same_id, 1, "x");
    assert!(client.authenticate(&token).starts_with("-WRONGPASS the signature"));
    gateway.remove_directory();
}

#[test]
fn after_a_key_or_token_is_revoked_its_caller_is_rejected_within_a_second() {
    let (revoked_key, valid_key) = (Signer::ed("k1", 1), Signer::ed("k2", 2));
    let gateway = Gateway::start("identity-revoked", &operator_file(&[&revoked_key, &valid_key], &[]));
    let mut clients = [(); 3].map(|()| gateway.connect());
    let tokens = [
        issue_token(&revoked_key, 1, "one"),
        issue_token(&valid_key, 2, "two"),
        issue_token(&valid_key, 3, "three"),
    ];
    for (client, token) in clients.iter_mut().zip(&tokens) {
        assert_eq!(client.authenticate(token), "+OK");
    }
    for (team, client) in (1..).zip(&mut clients) {
        assert!(client.exchange(&request(team)).contains("look"));
    }

    gateway.reload_operator_file(&operator_file(&[&valid_key], &["three"]));
    sleep(Duration::from_millis(500));
    assert_eq!(clients[0].exchange(&request(1)), "-NOAUTH no key of this id is trusted");
    assert!(clients[1].exchange(&request(2)).contains("look"));
    assert_eq!(clients[2].exchange(&request(3)), "-NOAUTH it is revoked");
    assert_eq!(gateway.connect().authenticate(&tokens[2]), "-WRONGPASS it is revoked");
    // Another token of the same team is accepted.
    assert_eq!(clients[2].authenticate(&issue_token(&valid_key, 3, "four")), "+OK");
    assert!(clients[2].exchange(&request(3)).contains("look"));
    gateway.remove_directory();
}
