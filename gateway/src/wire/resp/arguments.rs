//! The arguments of a request: names and values in one comma-separated list.
use super::command::RequestCommand;
use std::ops::Range;

/// Customers' numbers lie below this.
const CUSTOMER_LIMIT: u64 = 1 << 33;
/// Counts of gateway instances lie below this.
const INSTANCE_LIMIT: f64 = 65_536.0;
/// The hexadecimal digits of an id.
const ID_DIGITS: usize = 16;

/// What is wrong with a request's items. The texts go to the client, after `-ERR `.
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

/// The items of a request, as they stand in its message.
pub(super) struct RequestItems<'a> {
    /// The whole message.
    pub raw: &'a [u8],
    /// Whether the command is the one for idempotent requests.
    pub idempotent: bool,
    /// The customer's number, in hexadecimal.
    pub customer: &'a [u8],
    /// The request's id, in hexadecimal.
    pub id: &'a [u8],
    /// Where the length line of the argument list begins.
    pub arguments_line: usize,
    /// The argument list.
    pub arguments: Range<usize>,
}

/// A number in the argument list, and where it stands.
struct Number {
    value: f64,
    range: Range<usize>,
}

/// The arguments that have a meaning here, as far as they have been found.
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
    /// The request that these items make.
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
            argument_item: items.arguments_line..items.arguments.end + 2,
            arguments_start: items.arguments.start,
            timeout: timeout.range,
            raw: items.raw.to_vec(),
        })
    }

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

    /// Takes up one argument; unknown ones are ignored.
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
    // A duplicate is reported before a value that is no number.
    match parse_decimal(&raw[range.clone()]) {
        None if slot.is_none() => Err(ArgumentError::NotANumber(String::from_utf8_lossy(name).into_owned())),
        value => set_once(slot, name, Number { value: value.unwrap_or_default(), range }),
    }
}

fn whole_number(number: Option<Number>, name: &'static str) -> Result<usize, ArgumentError> {
    let value = number.map(|number| number.value);
    let whole = value.filter(|value| value.fract() == 0.0 && *value < INSTANCE_LIMIT);
    whole.map(|value| value as usize).ok_or(ArgumentError::NotAWholeNumber(name))
}

/// Sixteen hexadecimal digits.
fn parse_id(item: &[u8]) -> Option<u64> {
    let digits = item.len() == ID_DIGITS && item.iter().all(u8::is_ascii_hexdigit);
    let text = std::str::from_utf8(item).ok().filter(|_| digits)?;
    u64::from_str_radix(text, 16).ok()
}

/// A plain decimal number: no sign, no exponent, no name of a number.
fn parse_decimal(item: &[u8]) -> Option<f64> {
    let plain = item.iter().all(|byte| byte.is_ascii_digit() || *byte == b'.');
    let text = std::str::from_utf8(item).ok().filter(|_| plain)?;
    text.parse().ok()
}
