//! Commands of clients: decoding, and a request's encoding for a backend.
use super::arguments::{RequestArguments, RequestItems};
use super::framing::{array_header, bulk_string, is_body, max_item_bytes, MAX_ARRAY_ITEMS};
use super::MAX_MESSAGE_BYTES;
use crate::wire::{Decoded, DecodedMessage, ProtocolError};
use std::ops::Range;

/// The items of a request without a body, and of one with a body.
const ITEMS_OF_GET: usize = 4;
const ITEMS_OF_POST: usize = 5;
/// Where the items of a request stand.
const CUSTOMER: usize = 1;
const REQUEST_ID: usize = 2;
const ARGUMENT_LIST: usize = 3;

/// A request as its client wrote it. The message is forwarded as it arrived, except for the timeout.
#[derive(Clone, Debug, PartialEq)]
pub struct RequestCommand {
    /// Whether it may be repeated freely: the command says so.
    pub idempotent: bool,
    /// The customer's number.
    pub customer: u64,
    /// The request's id, as its client chose it.
    pub id: u64,
    /// How many units it uses.
    pub units: f64,
    /// The first of the gateway instances that serve its customer, by position.
    pub first_instance: usize,
    /// How many gateway instances serve its customer.
    pub instance_count: usize,
    /// How long the client waits, in milliseconds.
    pub timeout_ms: f64,
    pub(super) raw: Vec<u8>,
    pub(super) operation: Range<usize>,
    pub(super) plan: Range<usize>,
    /// The argument list from its length line to its terminator.
    pub(super) argument_item: Range<usize>,
    /// Where the contents of the argument list begin.
    pub(super) arguments_start: usize,
    /// The value of `d`, the timeout, in the argument list.
    pub(super) timeout: Range<usize>,
}

impl RequestCommand {
    /// The operation's name.
    pub fn operation(&self) -> &[u8] {
        &self.raw[self.operation.clone()]
    }

    /// The plan's name.
    pub fn plan(&self) -> &[u8] {
        &self.raw[self.plan.clone()]
    }

    /// Appends the command for a backend, with the time that this instance waits, in milliseconds.
    pub fn encode(&self, timeout_ms: u64, out: &mut Vec<u8>) {
        let timeout = timeout_ms.to_string();
        let terminator = 2;
        let list_length =
            self.argument_item.end - self.arguments_start - self.timeout.len() + timeout.len() - terminator;
        out.extend_from_slice(&self.raw[..self.argument_item.start]);
        out.extend_from_slice(format!("${list_length}\r\n").as_bytes());
        out.extend_from_slice(&self.raw[self.arguments_start..self.timeout.start]);
        out.extend_from_slice(timeout.as_bytes());
        out.extend_from_slice(&self.raw[self.timeout.end..]);
    }
}

/// A command of a client.
#[derive(Clone, Debug, PartialEq)]
pub enum ClientCommand {
    /// Asks for a sign of life.
    Ping,
    /// Who the client is, by a token.
    Auth(Vec<u8>),
    /// A request for a backend.
    Request(Box<RequestCommand>),
    /// A complete command that can't be served, and why.
    Invalid(String),
    /// A complete command that was not stored because too many of its client's commands are pending: it is rejected.
    Dropped,
    /// Nothing after it can be decoded.
    ProtocolError(&'static str),
}

/// One item of a command.
struct Item {
    /// Where its length line begins.
    start: usize,
    /// Its contents.
    value: Range<usize>,
}

/// The items of one command.
struct Items<'a> {
    bytes: &'a [u8],
    items: [Item; MAX_ARRAY_ITEMS],
    count: usize,
    /// Where the command ends.
    end: usize,
}

impl<'a> Items<'a> {
    fn new(bytes: &'a [u8]) -> Items<'a> {
        let items = [const { Item { start: 0, value: 0..0 } }; MAX_ARRAY_ITEMS];
        Items { bytes, items, count: 0, end: 0 }
    }

    /// Finds the items, within the limits on the command's length; false until all of it has arrived. In place: a copy
    /// would be part of every connection's stack.
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
        let last_bounded = count.saturating_sub(1).min(ITEMS_OF_POST - 1);
        let unbounded_end = count == ITEMS_OF_POST;
        if self.items[last_bounded].start > MAX_MESSAGE_BYTES
            || !unbounded_end && position > MAX_MESSAGE_BYTES
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

    /// Whether the command has this name, in whatever case.
    fn is_named(&self, name: &str) -> bool {
        self.count > 0 && self.value(0).eq_ignore_ascii_case(name.as_bytes())
    }
}

/// One command of a client.
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
    } else if items.is_named("CALL.GET") && items.count == ITEMS_OF_GET
        || items.is_named("CALL.POST") && items.count == ITEMS_OF_POST
    {
        decode_request(&items)
    } else if items.is_named("CALL.GET") || items.is_named("CALL.POST") {
        ClientCommand::Invalid("wrong number of arguments".into())
    } else if items.is_named("AUTH") && (items.count == 2 || items.count == 3) {
        // With a name before it, as RESP has it; the token says the name itself.
        ClientCommand::Auth(items.value(items.count - 1).to_vec())
    } else {
        ClientCommand::Invalid("unknown command".into())
    };
    Ok(Some(DecodedMessage { value: command, length: items.end }))
}

fn decode_request(items: &Items) -> ClientCommand {
    let request = RequestItems {
        raw: &items.bytes[..items.end],
        idempotent: items.count == ITEMS_OF_GET,
        customer: items.value(CUSTOMER),
        id: items.value(REQUEST_ID),
        arguments_line: items.items[ARGUMENT_LIST].start,
        arguments: items.items[ARGUMENT_LIST].value.clone(),
    };
    match RequestArguments::decode(&request) {
        Ok(request) => ClientCommand::Request(Box::new(request)),
        Err(error) => ClientCommand::Invalid(error.to_string()),
    }
}
