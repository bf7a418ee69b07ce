//! Commands of clients, as they are on the wire.

/// Gateway instances of a customer, at the most.
const MAX_SPREAD: usize = 3;

/// Commands that can't be parsed.
pub(super) const MALFORMED_COMMANDS: [&[u8]; 9] = [
    b"hello\r\n",
    b"*5\r\n$9\r\nCALL.POST\r\n$-7\r\n",
    b"*3\r\n$4\r\nWHAT\r\n$1\r\na\r\n$1\r\nb\r\n",
    b"*999999999\r\n",
    b"*4\r\n$8\r\nCALL.GET\r\n$60000000\r\n",
    b"*4\r\n$8\r\nCALL.GET\r\n$3\r\nNaN\r\n$16\r\n0000000000000001\r\n$7\r\nc=look1\r\n",
    b"*4\r\n$8\r\nCALL.GET\r\n$16\r\n0000000000000001\r\n$16\r\nffffffffffffffff\r\n$52\r\nc=nothing,t=small,d=800,units=1,spread=1,first=0,r=01\r\n",
    b"*2\r\n$4\r\nPING",
    b"$$$$$$$$$$$$$$$$\n",
];

/// An operation as clients know it.
#[derive(Clone, Debug)]
pub struct ClientOperation {
    /// Its name in commands.
    pub name: String,
    /// It is requested by `CALL.GET`, else by `CALL.POST`.
    pub uses_get: bool,
    /// Seconds that clients wait.
    pub timeout: f64,
    /// How often it is requested, relative to others.
    pub weight: f64,
}

/// The gateway instances of a customer: consecutive ones.
#[derive(Clone, Copy)]
pub(super) struct InstanceRange {
    /// The index of the first one.
    pub first: usize,
    /// How many; after the last index follows 0.
    pub count: usize,
}

impl InstanceRange {
    /// Those of a customer, of so many in all.
    pub fn of(customer: u64, instances: usize) -> InstanceRange {
        let customer = customer as usize;
        InstanceRange { first: customer % instances, count: 1 + customer % instances.min(MAX_SPREAD) }
    }
}

/// A request as it is sent.
pub(super) struct Command<'a> {
    /// What is requested.
    pub operation: &'a ClientOperation,
    /// The name of the customer's plan.
    pub plan: &'a str,
    /// The customer's number.
    pub customer: u64,
    /// The request's id, which no other request has.
    pub id: u64,
    /// Units that it takes of the customer's quota.
    pub units: f64,
    /// Milliseconds that the client waits.
    pub timeout_ms: f64,
    /// The gateway instances that may serve the customer.
    pub instances: InstanceRange,
    /// Bytes of its body, for `CALL.POST`.
    pub body: Option<usize>,
}

impl Command<'_> {
    /// The command as it is on the wire.
    pub fn encode(&self) -> Vec<u8> {
        let Command { operation, plan, customer, id, units, timeout_ms, instances, body } = self;
        let InstanceRange { first, count } = instances;
        let name = &operation.name;
        let attributes =
            format!("c={name},t={plan},d={timeout_ms},units={units},spread={count},first={first}");
        let (verb, parts) = if body.is_none() { ("CALL.GET", 4) } else { ("CALL.POST", 5) };
        let mut out = format!(
            "*{parts}\r\n${}\r\n{verb}\r\n$16\r\n{customer:016x}\r\n$16\r\n{id:016x}\r\n${}\r\n{attributes}\r\n",
            verb.len(),
            attributes.len()
        )
        .into_bytes();
        if let Some(body) = body {
            out.extend_from_slice(format!("${body}\r\n").as_bytes());
            out.resize(out.len() + body, b'b');
            out.extend_from_slice(b"\r\n");
        }
        out
    }
}

/// Ids are all different, and look it.
pub(super) fn scramble(number: u64) -> u64 {
    (number ^ 0x5bd1_e995).wrapping_mul(0x9e37_79b9_7f4a_7c15)
}
