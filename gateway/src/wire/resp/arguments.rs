//! Decoding of a request's arguments, which are `name=value` pairs in one comma-separated item.
use super::command::RequestCommand;
use std::ops::Range;

/// Exclusive upper bound of customer numbers.
const CUSTOMER_LIMIT: u64 = 1 << 33;
/// Exclusive upper bound of the counts and positions of gateway instances.
const INSTANCE_LIMIT: f64 = 65_536.0;
/// Number of hexadecimal digits in a customer's number or a request's id.
const ID_DIGITS: usize = 16;

/// Error of a request with invalid items. Its text is sent to the client, after `-ERR `.
#[derive(Debug, PartialEq, thiserror::Error)]
pub(super) enum ArgumentError {
    #[error("customer: expected 16 hex digits, below 2^33")]
    Customer,
    #[error("id: expected 16 hex digits")]
    Id,
    #[error("expected name=value")]
    NotAPair,
    #[error("{0} stands there twice")]
    Duplicate(String),
    #[error("{0}: expected a number")]
    NotANumber(String),
    #[error("{0}: expected a whole number")]
    NotAWholeNumber(&'static str),
    #[error("{0} is missing")]
    Missing(&'static str),
}

/// The undecoded items of a request.
pub(super) struct RequestItems<'a> {
    /// The whole message.
    pub raw: &'a [u8],
    /// Whether the request's command is the one for idempotent requests.
    pub idempotent: bool,
    /// The customer's number, hexadecimal.
    pub customer: &'a [u8],
    /// The request's id, hexadecimal.
    pub id: &'a [u8],
    /// Offset of the argument list's length line in `raw`.
    pub arguments_header: usize,
    /// Range of the argument list in `raw`.
    pub arguments: Range<usize>,
}

/// A number in the argument list, and its range in the message.
struct Number {
    value: f64,
    range: Range<usize>,
}

/// The arguments that the gateway uses; `None` where an argument has not been found.
#[derive(Default)]
pub(super) struct RequestArguments {
    operation: Option<Range<usize>>,
    plan: Option<Range<usize>>,
    timeout: Option<Number>,
    units: Option<Number>,
    instance_count: Option<Number>,
    first_instance: Option<Number>,
}

impl RequestArguments {
    /// Decodes and validates a request's items.
    pub fn decode(items: &RequestItems) -> Result<RequestCommand, ArgumentError> {
        let customer = parse_id(items.customer).filter(|customer| *customer < CUSTOMER_LIMIT);
        let customer = customer.ok_or(ArgumentError::Customer)?;
        let id = parse_id(items.id).ok_or(ArgumentError::Id)?;
        let found = RequestArguments::parse(items.raw, &items.arguments)?;
        let timeout = found.timeout.ok_or(ArgumentError::Missing("d"))?;
        Ok(RequestCommand {
            idempotent: items.idempotent,
            customer,
            id,
            units: found.units.ok_or(ArgumentError::Missing("units"))?.value,
            first_instance: whole_number(found.first_instance, "first")?,
            instance_count: whole_number(found.instance_count, "spread")?,
            timeout_ms: timeout.value,
            operation: found.operation.ok_or(ArgumentError::Missing("c"))?,
            plan: found.plan.ok_or(ArgumentError::Missing("t"))?,
            argument_item: items.arguments_header..items.arguments.end + 2,
            arguments_start: items.arguments.start,
            timeout: timeout.range,
            raw: items.raw.to_vec(),
        })
    }

    /// Finds the arguments in the list at this range of the message.
    fn parse(raw: &[u8], list: &Range<usize>) -> Result<RequestArguments, ArgumentError> {
        let mut found = RequestArguments::default();
        let mut start = list.start;
        for pair in raw[list.clone()].split(|byte| *byte == b',') {
            let equals = pair.iter().position(|byte| *byte == b'=').ok_or(ArgumentError::NotAPair)?;
            let end = start + pair.len();
            found.set(raw, &pair[..equals], start + equals + 1..end)?;
            start = end + 1;
        }
        Ok(found)
    }

    /// Stores the value of one argument; unknown names are ignored.
    fn set(&mut self, raw: &[u8], name: &[u8], range: Range<usize>) -> Result<(), ArgumentError> {
        match name {
            b"c" => set_once(&mut self.operation, name, range),
            b"t" => set_once(&mut self.plan, name, range),
            b"d" => set_number(&mut self.timeout, name, raw, range),
            b"units" => set_number(&mut self.units, name, raw, range),
            b"spread" => set_number(&mut self.instance_count, name, raw, range),
            b"first" => set_number(&mut self.first_instance, name, raw, range),
            _ => Ok(()),
        }
    }
}

fn set_once<T>(slot: &mut Option<T>, name: &[u8], value: T) -> Result<(), ArgumentError> {
    if slot.is_some() {
        return Err(ArgumentError::Duplicate(String::from_utf8_lossy(name).into_owned()));
    }
    *slot = Some(value);
    Ok(())
}

fn set_number(
    slot: &mut Option<Number>,
    name: &[u8],
    raw: &[u8],
    range: Range<usize>,
) -> Result<(), ArgumentError> {
    // A duplicate name takes precedence over an invalid number.
    match parse_decimal(&raw[range.clone()]) {
        None if slot.is_none() => Err(ArgumentError::NotANumber(String::from_utf8_lossy(name).into_owned())),
        value => set_once(slot, name, Number { value: value.unwrap_or_default(), range }),
    }
}

fn whole_number(number: Option<Number>, name: &'static str) -> Result<usize, ArgumentError> {
    let value = number.map(|number| number.value);
    let in_range = value.filter(|value| value.fract() == 0.0 && *value < INSTANCE_LIMIT);
    in_range.map(|value| value as usize).ok_or(ArgumentError::NotAWholeNumber(name))
}

/// Parses an item of exactly `ID_DIGITS` hexadecimal digits.
fn parse_id(item: &[u8]) -> Option<u64> {
    let is_valid = item.len() == ID_DIGITS && item.iter().all(u8::is_ascii_hexdigit);
    let text = std::str::from_utf8(item).ok().filter(|_| is_valid)?;
    u64::from_str_radix(text, 16).ok()
}

/// Parses a decimal number of digits and a point: no sign, exponent, `inf` or `nan`.
fn parse_decimal(item: &[u8]) -> Option<f64> {
    let is_valid = item.iter().all(|byte| byte.is_ascii_digit() || *byte == b'.');
    let text = std::str::from_utf8(item).ok().filter(|_| is_valid)?;
    text.parse().ok()
}
