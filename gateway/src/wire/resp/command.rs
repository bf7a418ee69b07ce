//! Decoding of clients' commands, and encoding of requests for backends.
use super::arguments::{RequestArguments, RequestItems};
use super::framing::{array_header, bulk_string, is_body, max_item_bytes, MAX_ARRAY_ITEMS};
use super::MAX_MESSAGE_BYTES;
use crate::wire::{Decoded, DecodedMessage, ProtocolError};
use std::ops::Range;

/// Number of items in a request without a body.
const GET_ITEM_COUNT: usize = 4;
/// Number of items in a request with a body.
const POST_ITEM_COUNT: usize = 5;
/// Index of the item with the customer's number.
const CUSTOMER_INDEX: usize = 1;
/// Index of the item with the request's id.
const REQUEST_ID_INDEX: usize = 2;
/// Index of the item with the argument list.
pub(super) const ARGUMENT_LIST_INDEX: usize = 3;

/// A client's request. Its message is forwarded to backends byte for byte, except for the timeout.
#[derive(Clone, Debug, PartialEq)]
pub struct RequestCommand {
    /// Whether the request may be executed more than once, which its command states.
    pub idempotent: bool,
    /// The customer's number.
    pub customer: u64,
    /// The request's id, chosen by the client.
    pub id: u64,
    /// Units that the request uses.
    pub units: f64,
    /// Position of the first gateway instance that serves the customer.
    pub first_instance: usize,
    /// Number of gateway instances that serve the customer.
    pub instance_count: usize,
    /// Time that the client waits for the reply, in milliseconds.
    pub timeout_ms: f64,
    /// The complete message; the ranges and offsets below refer to it.
    pub(super) raw: Vec<u8>,
    pub(super) operation: Range<usize>,
    pub(super) plan: Range<usize>,
    /// The argument list, including its length line and its terminator.
    pub(super) argument_item: Range<usize>,
    /// Offset of the argument list's contents.
    pub(super) arguments_start: usize,
    /// The value of the argument `d`, the timeout.
    pub(super) timeout: Range<usize>,
}

impl RequestCommand {
    /// Returns the operation's name.
    pub fn operation(&self) -> &[u8] {
        &self.raw[self.operation.clone()]
    }

    /// Returns the plan's name.
    pub fn plan(&self) -> &[u8] {
        &self.raw[self.plan.clone()]
    }

    /// Appends the request as it is sent to a backend, with the time in milliseconds that this instance waits
    /// for the reply.
    pub fn encode(&self, timeout_ms: u64, out: &mut Vec<u8>) {
        self.encode_start(timeout_ms, out);
        out.extend_from_slice(self.rest());
    }

    /// Appends the beginning of the request as it is sent to a backend, up to the time; `rest` follows it.
    pub fn encode_start(&self, timeout_ms: u64, out: &mut Vec<u8>) {
        let timeout = timeout_ms.to_string();
        let terminator_bytes = 2;
        let list_length = self.argument_item.end - self.arguments_start - self.timeout.len() + timeout.len()
            - terminator_bytes;
        out.extend_from_slice(&self.raw[..self.argument_item.start]);
        out.extend_from_slice(format!("${list_length}\r\n").as_bytes());
        out.extend_from_slice(&self.raw[self.arguments_start..self.timeout.start]);
        out.extend_from_slice(timeout.as_bytes());
    }

    /// Returns the part of the message after the time: the rest of the argument list, and the body.
    pub fn rest(&self) -> &[u8] {
        &self.raw[self.timeout.end..]
    }
}

/// A command of a client.
#[derive(Clone, Debug, PartialEq)]
pub enum ClientCommand {
    /// Checks that the connection is alive.
    Ping,
    /// Authenticates the client with this token.
    Auth(Vec<u8>),
    /// A request for a backend.
    Request(Box<RequestCommand>),
    /// A complete command that is invalid; the text is the reason.
    Invalid(String),
    /// A complete command that was not stored because too many commands of its client are pending; it is
    /// rejected.
    Dropped,
    /// A request that was not stored because clients' commands take too much memory; it is rejected.
    OutOfMemory {
        /// The operation's name.
        operation: Vec<u8>,
    },
    /// Bytes that break the protocol, after which nothing can be decoded; the text is the reason.
    ProtocolError(&'static str),
}

/// One item of a command.
struct Item {
    /// Offset of the item's length line.
    start: usize,
    /// Range of the item's contents.
    value: Range<usize>,
}

/// The items of one command.
struct Items<'a> {
    bytes: &'a [u8],
    items: [Item; MAX_ARRAY_ITEMS],
    count: usize,
    /// Offset of the first byte after the command.
    end: usize,
}

impl<'a> Items<'a> {
    fn new(bytes: &'a [u8]) -> Items<'a> {
        let items = [const { Item { start: 0, value: 0..0 } }; MAX_ARRAY_ITEMS];
        Items { bytes, items, count: 0, end: 0 }
    }

    /// Finds the items and checks the limits on the command's length; returns false while the command is
    /// incomplete. The items are filled in place, because a copy would enlarge the stack of every
    /// connection's coroutine.
    fn decode(&mut self) -> Result<bool, ProtocolError> {
        let Some(header) = array_header(self.bytes)? else { return Ok(false) };
        let count = header.value.unwrap_or(0);
        let mut position = header.next;
        for (index, item) in self.items.iter_mut().enumerate().take(count) {
            item.start = position;
            let body = is_body(index, count);
            let Some(element) = bulk_string(self.bytes, position, max_item_bytes(body))? else {
                let too_long = self.bytes.len() > MAX_MESSAGE_BYTES && !body;
                return if too_long { Err(ProtocolError("message over 64 KiB")) } else { Ok(false) };
            };
            item.value = element.value.ok_or(ProtocolError("null in a command"))?;
            position = element.next;
        }
        let last_limited_item = count.saturating_sub(1).min(POST_ITEM_COUNT - 1);
        let has_body = count == POST_ITEM_COUNT;
        if self.items[last_limited_item].start > MAX_MESSAGE_BYTES
            || !has_body && position > MAX_MESSAGE_BYTES
        {
            return Err(ProtocolError("message over 64 KiB"));
        }
        self.count = count;
        self.end = position;
        Ok(true)
    }

    fn value(&self, index: usize) -> &[u8] {
        &self.bytes[self.items[index].value.clone()]
    }

    /// Whether the command has this name, ignoring case.
    fn is_named(&self, name: &str) -> bool {
        self.count > 0 && self.value(0).eq_ignore_ascii_case(name.as_bytes())
    }
}

/// Decodes the first command of a client.
pub fn decode_command(bytes: &[u8]) -> Decoded<ClientCommand> {
    if bytes.is_empty() {
        return Ok(None);
    }
    if bytes[0] != b'*' {
        return Err(ProtocolError("expected an array of bulk strings"));
    }
    let mut items = Items::new(bytes);
    if !items.decode()? {
        return Ok(None);
    }
    let command = if items.is_named("PING") {
        ClientCommand::Ping
    } else if items.is_named("CALL.GET") && items.count == GET_ITEM_COUNT
        || items.is_named("CALL.POST") && items.count == POST_ITEM_COUNT
    {
        decode_request(&items)
    } else if items.is_named("CALL.GET") || items.is_named("CALL.POST") {
        ClientCommand::Invalid("wrong number of arguments".into())
    } else if items.is_named("AUTH") && (items.count == 2 || items.count == 3) {
        // RESP allows a user name before the token; it is ignored, because the token names the caller.
        ClientCommand::Auth(items.value(items.count - 1).to_vec())
    } else {
        ClientCommand::Invalid("unknown command".into())
    };
    Ok(Some(DecodedMessage { value: command, length: items.end }))
}

fn decode_request(items: &Items) -> ClientCommand {
    let request = RequestItems {
        raw: &items.bytes[..items.end],
        idempotent: items.count == GET_ITEM_COUNT,
        customer: items.value(CUSTOMER_INDEX),
        id: items.value(REQUEST_ID_INDEX),
        arguments_header: items.items[ARGUMENT_LIST_INDEX].start,
        arguments: items.items[ARGUMENT_LIST_INDEX].value.clone(),
    };
    match RequestArguments::decode(&request) {
        Ok(request) => ClientCommand::Request(Box::new(request)),
        Err(error) => ClientCommand::Invalid(error.to_string()),
    }
}
