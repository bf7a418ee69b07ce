//! Encodes the commands that clients send.

/// Maximum number of gateway instances per customer.
const MAX_SPREAD: usize = 3;

/// Malformed, incomplete and invalid commands.
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

/// An operation that clients request.
#[derive(Clone, Debug)]
pub struct ClientOperation {
    /// Name of the operation in commands.
    pub name: String,
    /// Whether the operation is requested by `CALL.GET` instead of `CALL.POST`.
    pub uses_get: bool,
    /// Maximum client timeout in seconds.
    pub timeout: f64,
    /// Share of requests for this operation, relative to the weights of the others.
    pub weight: f64,
}

/// The gateway instances of a customer, which have consecutive indexes modulo the number of instances.
#[derive(Clone, Copy)]
pub(super) struct InstanceRange {
    /// Index of the first instance.
    pub first: usize,
    /// Number of instances.
    pub count: usize,
}

impl InstanceRange {
    /// Returns the instances of a customer in a deployment of `instance_count` instances.
    pub fn for_customer(customer: u64, instance_count: usize) -> InstanceRange {
        let customer = customer as usize;
        InstanceRange {
            first: customer % instance_count,
            count: 1 + customer % instance_count.min(MAX_SPREAD),
        }
    }
}

/// A request command.
pub(super) struct Command<'a> {
    /// The requested operation.
    pub operation: &'a ClientOperation,
    /// Name of the customer's plan.
    pub plan: &'a str,
    /// Id of the customer.
    pub customer: u64,
    /// Id of the request, unique within a run.
    pub id: u64,
    /// Units that the request takes from the customer's quota.
    pub units: f64,
    /// Client timeout in milliseconds.
    pub timeout_ms: f64,
    /// The gateway instances that may serve the customer.
    pub instances: InstanceRange,
    /// Length of the body in bytes, or `None` for `CALL.GET`.
    pub body: Option<usize>,
}

impl Command<'_> {
    /// Encodes the command for the wire.
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

/// Maps consecutive numbers to distinct request ids without an obvious order.
pub(super) fn request_id(number: u64) -> u64 {
    (number ^ 0x5bd1_e995).wrapping_mul(0x9e37_79b9_7f4a_7c15)
}
