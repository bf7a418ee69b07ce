//! The codecs of the wire formats. Each message is decoded at every truncation: no proper prefix is a
//! complete message, and bytes after the message don't change the result.
use expect_test::expect;
use quillramp::gossip::{self, WireMessage};
use quillramp::types::InstanceRange;
use quillramp_gateway::state::connection::ConnectionId;
use quillramp_gateway::state::event::Event;
use quillramp_gateway::state::framing::{MessageReader, MessageSink};
use quillramp_gateway::wire::http::{self, Request};
use quillramp_gateway::wire::resp::{self, ClientCommand, ClientReply};
use quillramp_gateway::wire::{endpoints, Decoded, DecodedMessage};
use std::fmt::Debug;

/// Formats what the message decodes to with its length, or the error with the number of bytes after which it
/// is reported.
fn decoded<T: Debug + PartialEq>(
    decode: fn(&[u8]) -> Decoded<T>,
    message: &str,
    show: fn(&T) -> String,
) -> String {
    let bytes = message.as_bytes();
    for cut in 0..bytes.len() {
        match decode(&bytes[..cut]) {
            Ok(None) => {}
            Err(error) => return format!("after {cut} bytes: {error:?}\n"),
            Ok(Some(DecodedMessage { value, length })) => {
                return format!("{} in {length} of {} bytes\n", show(&value), bytes.len())
            }
        }
    }
    let complete = decode(bytes);
    assert_eq!(complete, decode(&[bytes, b"*1\r\n"].concat()), "bytes after the message change nothing");
    match complete {
        Ok(Some(DecodedMessage { value, length })) => {
            format!("{} in {length} of {} bytes\n", show(&value), bytes.len())
        }
        Ok(None) => "incomplete\n".into(),
        Err(error) => format!("{error:?}\n"),
    }
}

fn command(message: &str) -> String {
    decoded(resp::decode_command, message, |command| match command {
        ClientCommand::Request(request) => {
            let mut out = vec![];
            request.encode(77, &mut out);
            format!("{}; forwarded as {:?}", request.customer, String::from_utf8_lossy(&out))
        }
        other => format!("{other:?}"),
    })
}

/// Returns a request without a body, with these items.
fn get_request(customer: &str, id: &str, arguments: &str) -> String {
    let items = [customer, id, arguments].map(|item| format!("${}\r\n{item}\r\n", item.len()));
    format!("*4\r\n$8\r\nCALL.GET\r\n{}", items.concat())
}

const CUSTOMER: &str = "000000000000001f";
const REQUEST_ID: &str = "9b1f03aa5c7e2d41";

#[test]
fn commands_are_decoded_and_requests_encoded_for_backends() {
    let mut output = command("*1\r\n$4\r\nping\r\n");
    let arguments = "c=look,d=480,k=z,t=big,units=2.5,spread=3,first=1";
    output += &command(&get_request(CUSTOMER, REQUEST_ID, arguments));
    output += &command(
        "*5\r\n$9\r\nCALL.POST\r\n$16\r\n000000000000001f\r\n$16\r\n9b1f03aa5c7e2d41\r\n\
         $37\r\nc=o,t=b,d=10,units=1,spread=1,first=0\r\n$3\r\n\r\nx\r\n",
    );
    output += &command("*2\r\n$3\r\nGET\r\n$0\r\n\r\n");
    expect![[r#"
        Ping in 14 of 14 bytes
        31; forwarded as "*4\r\n$8\r\nCALL.GET\r\n$16\r\n000000000000001f\r\n$16\r\n9b1f03aa5c7e2d41\r\n$48\r\nc=look,d=77,k=z,t=big,units=2.5,spread=3,first=1\r\n" in 120 of 120 bytes
        31; forwarded as "*5\r\n$9\r\nCALL.POST\r\n$16\r\n000000000000001f\r\n$16\r\n9b1f03aa5c7e2d41\r\n$37\r\nc=o,t=b,d=77,units=1,spread=1,first=0\r\n$3\r\n\r\nx\r\n" in 118 of 118 bytes
        Invalid("unknown command") in 19 of 19 bytes
    "#]].assert_eq(&output);
}

#[test]
fn requests_with_invalid_arguments_are_decoded_as_invalid_with_the_reason() {
    let mut output = String::new();
    for arguments in [
        "c=o,t=b,units=1,spread=1,first=0",
        "c=o,d=1,units=1,spread=1,first=0",
        "c=o,t=b,d=1,spread=1,first=0",
        "c",
        "c=o,t=b,d=-1,units=1",
        "c=o,t=b,d=1e3,units=1",
        "c=o,t=b,d=inf,units=1",
        "c=o,t=b,d=1,units=x",
        "c=o,t=b,d=1,units=",
        "c=o,c=l,t=b,d=1,units=1,spread=1,first=0",
        "c=o,t=b,d=1,units=1,spread=1.5,first=0",
        "c=o,t=b,d=1,units=1,spread=1,first=99999999999999999999",
    ] {
        output += &command(&get_request(CUSTOMER, REQUEST_ID, arguments));
    }
    expect![[r#"
        Invalid("d is missing") in 103 of 103 bytes
        Invalid("t is missing") in 103 of 103 bytes
        Invalid("units is missing") in 99 of 99 bytes
        Invalid("expected name=value") in 71 of 71 bytes
        Invalid("d: expected a number") in 91 of 91 bytes
        Invalid("d: expected a number") in 92 of 92 bytes
        Invalid("d: expected a number") in 92 of 92 bytes
        Invalid("units: expected a number") in 90 of 90 bytes
        Invalid("units: expected a number") in 89 of 89 bytes
        Invalid("c stands there twice") in 111 of 111 bytes
        Invalid("spread: expected a whole number") in 109 of 109 bytes
        Invalid("first: expected a whole number") in 126 of 126 bytes
    "#]]
    .assert_eq(&output);
}

#[test]
fn requests_with_an_invalid_customer_or_id_are_decoded_as_invalid_with_the_reason() {
    let mut output = String::new();
    for (customer, id) in [
        ("1f", REQUEST_ID),
        ("0000000200000000", REQUEST_ID),
        ("+00000000000001f", REQUEST_ID),
        (CUSTOMER, ""),
        (CUSTOMER, "9b1f03aa5c7e2d4 "),
    ] {
        output += &command(&get_request(customer, id, "c=o,t=b,d=1,units=1,spread=1,first=0"));
    }
    expect![[r#"
        Invalid("customer: expected 16 hex digits, below 2^33") in 92 of 92 bytes
        Invalid("customer: expected 16 hex digits, below 2^33") in 107 of 107 bytes
        Invalid("customer: expected 16 hex digits, below 2^33") in 107 of 107 bytes
        Invalid("id: expected 16 hex digits") in 90 of 90 bytes
        Invalid("id: expected 16 hex digits") in 107 of 107 bytes
    "#]]
    .assert_eq(&output);
}

#[test]
fn commands_with_broken_framing_are_protocol_errors() {
    let mut output = String::new();
    for malformed in
        ["PING\r\n", "*1\r\n:1\r\n", "*1\r\n$x\r\n", "*1\r\n$-2\r\n", "*1\r\n$1\r\nab\r\n", "*99\r\n"]
    {
        output += &command(malformed);
    }
    output += &command("*1\r\n$65537\r\n");
    output += &command("*1\n");
    output += &command(&format!("*5\r\n{0}{0}", format!("$40000\r\n{}\r\n", "x".repeat(40000))));
    expect![[r#"
        after 1 bytes: ProtocolError("expected an array of bulk strings")
        ProtocolError("expected a bulk string")
        ProtocolError("length is no number")
        ProtocolError("negative length")
        after 11 bytes: ProtocolError("value without its end")
        ProtocolError("array too long")
        ProtocolError("value over 64 KiB")
        ProtocolError("line without CR")
        after 69633 bytes: ProtocolError("message over 64 KiB")
    "#]]
    .assert_eq(&output);
}

fn backend_reply(message: &str) -> String {
    decoded(resp::decode_reply, message, |reply| format!("{reply:?}"))
}

#[test]
fn replies_with_a_value_are_decoded_with_their_usage_and_load_report() {
    let mut output = String::new();
    for message in [
        "*3\r\n$1\r\nv\r\n$-1\r\n$-1\r\n",
        "*3\r\n$1\r\nv\r\n$16\r\nused=40,cost=2.5\r\n$-1\r\n",
        "*3\r\n$0\r\n\r\n$8\r\ncost=2.5\r\n$10\r\ninflight=7\r\n",
        "*3\r\n$1\r\nv\r\n$3\r\n=%=\r\n:5\r\n",
        "*3\r\n$1\r\nv\r\n+?\r\n-?\r\n",
        "*3\r\n$1\r\nv\r\n*1\r\n$-1\r\n",
        "*3\r\n$4\r\nabcdefgh\r\n$-1\r\n$-1\r\n",
        "*3\r\n$9\r\nabc\r\n$-1\r\n$-1\r\n",
        "*2\r\n$1\r\nv\r\n$-1\r\n",
        "*3\r\n$-1\r\n$-1\r\n$-1\r\n",
        "*-1\r\n",
    ] {
        output += &backend_reply(message);
    }
    expect![[r#"
        Value { value: [118], billed_units: None, load_report: None } in 21 of 21 bytes
        Value { value: [118], billed_units: Some(2.5), load_report: None } in 39 of 39 bytes
        Value { value: [], billed_units: Some(2.5), load_report: Some([105, 110, 102, 108, 105, 103, 104, 116, 61, 55]) } in 41 of 41 bytes
        Value { value: [118], billed_units: None, load_report: None } in 24 of 24 bytes
        Value { value: [118], billed_units: None, load_report: None } in 19 of 19 bytes
        after 15 bytes: ProtocolError("expected a bulk string")
        after 14 bytes: ProtocolError("value without its end")
        after 19 bytes: ProtocolError("value without its end")
        after 4 bytes: ProtocolError("expected a value, usage figures and a load report")
        after 9 bytes: ProtocolError("null value in a reply")
        ProtocolError("expected a value, usage figures and a load report")
    "#]]
    .assert_eq(&output);
}

#[test]
fn error_replies_are_decoded_and_replies_of_other_types_are_protocol_errors() {
    let mut output = String::new();
    for message in [
        "-ERR failed inflight=7\r\n",
        "-BUSY\r\n",
        "-BUSY inflight=7\r\n",
        "-SYNTAX\r\n",
        "-xk\r\n",
        ":5\r\n",
        "+OK\r\n",
        "$1\r\nx\r\n",
        "?\r\n",
    ] {
        output += &backend_reply(message);
    }
    expect![[r#"
        Failed in 24 of 24 bytes
        Rejected in 7 of 7 bytes
        Rejected in 18 of 18 bytes
        Failed in 9 of 9 bytes
        ProtocolError("malformed error reply")
        after 1 bytes: ProtocolError("unknown reply type")
        after 1 bytes: ProtocolError("unknown reply type")
        after 1 bytes: ProtocolError("unknown reply type")
        after 1 bytes: ProtocolError("unknown reply type")
    "#]]
    .assert_eq(&output);
}

#[test]
fn client_replies_are_encoded() {
    let mut output = String::new();
    let value = ClientReply::Value(b"a\r\nb".to_vec());
    for reply in [
        ClientReply::Pong,
        value,
        ClientReply::Busy { retry_after_ms: None },
        ClientReply::Error("no".into()),
    ] {
        let mut out = vec![];
        reply.encode(&mut out);
        output += &format!("{:?}\n", String::from_utf8_lossy(&out));
    }
    expect![[r#"
        "+PONG\r\n"
        "$4\r\na\r\nb\r\n"
        "-BUSY\r\n"
        "-ERR no\r\n"
    "#]]
    .assert_eq(&output);
}

fn http_response(message: &str) -> String {
    decoded(http::decode_response, message, |response| {
        format!(
            "{} {:?}{}",
            response.status,
            String::from_utf8_lossy(&response.body),
            if response.closes_connection { ", the last" } else { "" }
        )
    })
}

#[test]
fn http_responses_are_decoded() {
    let mut output = String::new();
    for message in [
        "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\n12.5",
        "HTTP/1.1 503 Full\r\ncontent-length: 0\r\nConnection: close\r\n\r\n",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n1\r\nd\r\n0\r\n\r\n",
        "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 102 Processing\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n7",
        "HTTP/1.1 200 OK\r\n\r\nx",
        "HTTP/1.1 200 OK\r\nContent-Length: 99999999\r\n\r\n",
        "SMTP\r\n\r\n",
    ] {
        output += &http_response(message);
    }
    expect![[r#"
        200 "12.5" in 42 of 42 bytes
        503 "", the last in 59 of 59 bytes
        200 "abcd" in 66 of 66 bytes
        200 "7" in 91 of 91 bytes
        after 19 bytes: ProtocolError("response without Content-Length or chunked encoding")
        ProtocolError("response body over 4 MiB")
        after 1 bytes: ProtocolError("not an HTTP response")
    "#]]
    .assert_eq(&output);
}

#[test]
fn http_requests_are_encoded() {
    let mut out = vec![];
    let host = "127.0.0.1:80".parse().expect("a valid address");
    Request::AddToCounter { key: "5.1".into(), add: -2.5, expire_ms: 45000 }.encode(host, &mut out);
    Request::WatchEndpoints { since: 41, wait_ms: 20000 }.encode(host, &mut out);
    Request::FetchEndpoints.encode(host, &mut out);
    let output = String::from_utf8_lossy(&out).replace("\r\n", "|");
    expect![[r#"
        POST /counters/5.1?by=-2.5&expire_ms=45000 HTTP/1.1|Host: 127.0.0.1:80|Content-Length: 0||GET /v1/endpoints?since=41&timeout_ms=20000 HTTP/1.1|Host: 127.0.0.1:80||GET /v1/endpoints HTTP/1.1|Host: 127.0.0.1:80||"#]].assert_eq(&output);
}

/// Decodes an endpoint list; the error is its text.
fn decode_list(text: &str) -> Result<endpoints::EndpointList, String> {
    endpoints::decode(text.as_bytes()).map_err(|error| error.to_string())
}

#[test]
fn endpoint_lists_are_decoded() {
    let entry = r#"{"name":"s","address":"127.0.0.1:1","zone":"a","group":3,"status":"DRAINING","weight":1,"since_ms":5}"#;
    let list = format!(r#"{{"index":4,"snapshot":false,"endpoints":[{entry}]}}"#);
    let mut output = format!("{:?}\n", decode_list(&list));
    output += &format!("{:?}\n", decode_list(&list.replace("DRAINING", "GONE")));
    expect![[r#"
        Ok(EndpointList { index: 4, snapshot: false, endpoints: [ListedEndpoint { name: "s", address: 127.0.0.1:1, zone: "a", group: 3, status: Draining, weight: 1.0, since_ms: 5.0 }] })
        Err("invalid endpoint list: unknown status 'GONE' at line 1 column 113")
    "#]].assert_eq(&output);
}

#[test]
fn datagrams_are_decoded_as_they_were_encoded() {
    let mut output = String::new();
    let instances = InstanceRange { first: 2, count: 3 };
    let total =
        WireMessage::CounterTotal { customer: 1 << 32 | 9, plan: 1, instances, series: 7, total: 2.5 };
    for message in [WireMessage::BackendRecovered(b"s-5be2a07c".to_vec()), total] {
        let body = gossip::encode(&message);
        assert_eq!(gossip::decode(&body), Some(message));
        output += &format!("{} bytes; cut short: {:?}\n", body.len(), gossip::decode(&body[..1]));
    }
    expect![[r#"
        11 bytes; cut short: None
        19 bytes; cut short: None
    "#]]
    .assert_eq(&output);
}

/// The settings name the fields of a load report. Other fields, and values that are not numbers, are ignored.
#[test]
fn load_report_fields_are_named_by_the_settings() {
    let example = include_str!("../../examples/configuration.json");
    let configuration = quillramp_gateway::process::configuration::decode(example.as_bytes())
        .expect("a valid example configuration");
    let load_report_fields = |feedback: &str| {
        let settings = configuration.settings.get().replacen('{', &format!("{{\"feedback\": {feedback},"), 1);
        quillramp::settings::load(1, settings.as_bytes())
            .map(|loaded| loaded.instance.load_report_fields)
            .map_err(|error| error.to_string())
    };
    let fields =
        load_report_fields(r#"{"source": "piggyback", "fields": ["load_share", "mean_ms", "colour"]}"#);
    let fields = fields.expect("valid settings");
    let mut output = String::new();
    for text in ["mean_ms=40,load_share=0.5,colour=3", "load_share=x,mean_ms=-1", "depth=2"] {
        let report =
            quillramp::settings::load_report(&fields, |_, name| resp::find_number(text.as_bytes(), name));
        output += &format!(
            "{:?}\n",
            report.map(|report| (report.cpu_utilization, report.service_time, report.queued))
        );
    }
    output += &format!("{:?}\n", load_report_fields(r#"{"source": "silent", "fields": ["depth"]}"#));
    output += &format!("{:?}\n", load_report_fields(r#"{"source": "loud"}"#));
    expect![[r#"
        Some((Some(0.5), Some(0.04), None))
        None
        None
        Ok([])
        Err("settings: feedback.source: unknown value 'loud'")
    "#]]
    .assert_eq(&output);
}

/// Guards against wrong decoding of operators' calls that arrive in parts, are too long or are malformed.
#[test]
fn admin_calls_are_decoded_once_complete_and_invalid_ones_have_a_status() {
    use quillramp_gateway::wire::admin::{decode_call, AdminCall};
    let complete = "POST /backends/s-1%2d2/maint?x=1 HTTP/1.1\r\nContent-Length: 2\r\n\r\nhi";
    for cut in 0..complete.len() {
        assert_eq!(decode_call(&complete.as_bytes()[..cut]), None, "{cut}");
    }
    assert_eq!(decode_call(complete.as_bytes()), Some(AdminCall::EjectBackend("s-1-2".into())));
    let decode = |text: &str| decode_call(text.as_bytes());
    let decode_head = |line: &str, header: &str| decode(&format!("{line} HTTP/1.1\r\n{header}\r\n"));
    assert_eq!(decode_head("GET /stats", ""), Some(AdminCall::Stats));
    for (line, header, status) in [
        ("GET /nowhere", "", 404),
        ("POST /backends//maint", "", 404),
        ("POST /stats", "", 405),
        ("GET /healthcheck/fail", "", 405),
        ("POST /healthcheck/ok", "Content-Length: -1\r\n", 400),
        ("POST /healthcheck/ok", "Content-Length: 99999999999999999999\r\n", 413),
        ("POST /healthcheck/ok", "Transfer-Encoding: chunked\r\n", 411),
        ("GET /stats", &"a: b\r\n".repeat(100), 431),
        ("GET /stats", &format!("a: {}\r\n", "b".repeat(9000)), 431),
        ("*1\r\n$4\r\nPING", "", 400),
    ] {
        assert_eq!(decode_head(line, header), Some(AdminCall::Invalid(status)), "{line} {}", header.len());
    }
    assert_eq!(decode(&"G".repeat(9000)), Some(AdminCall::Invalid(431)));
}

/// Receives the events of a reader.
#[derive(Default)]
struct EventCount(usize);

impl MessageSink for EventCount {
    fn event(&mut self, event: Event, _message_bytes: usize) {
        self.0 += usize::from(matches!(event, Event::HttpResponse { .. }));
    }

    fn body_chunk(&mut self, _bytes: &[u8], _is_last: bool) {}
}

/// Guards against memory that a service fills: interim responses were kept until the final one, without a limit.
#[test]
fn interim_responses_are_consumed_as_they_arrive() {
    let mut reader = MessageReader::new(ConnectionId::Discovery(1));
    let mut sink = EventCount::default();
    let interim = b"HTTP/1.1 100 Continue\r\n\r\n".repeat(100);
    assert_eq!(reader.decode(&interim, &mut sink), Ok(interim.len()));
    let cut = [&interim[..], b"HTTP/1.1 20"].concat();
    assert_eq!(reader.decode(&cut, &mut sink), Ok(interim.len()));
    assert_eq!(sink.0, 0);
    let last = [&interim[..], b"HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n7"].concat();
    assert_eq!(reader.decode(&last, &mut sink), Ok(last.len()));
    assert_eq!(sink.0, 1);
}

/// Guards against a response in ever more tiny chunks.
#[test]
fn a_response_in_too_many_chunks_is_rejected() {
    let chunks = "1;a-long-extension-of-the-chunk\r\nx\r\n".repeat(200_000);
    let response = format!("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n{chunks}");
    assert!(http::decode_response(response.as_bytes()).is_err());
}
