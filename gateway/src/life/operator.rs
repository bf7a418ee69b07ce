//! The operator's file, where the environment names one.
use quillramp_operator::Operator;

pub const PATH: &str = "EDGE_OPERATOR";

/// Reads it for a front door with so many descriptors; nothing is switched on where none is named. All that is wrong is
/// said, on one line.
pub fn read(sockets: usize) -> Result<Operator, String> {
    let Ok(path) = std::env::var(PATH) else { return Ok(Operator::default()) };
    let text = std::fs::read_to_string(&path).map_err(|e| format!("{path}: {e}"))?;
    quillramp_operator::read(&text, sockets).map_err(|wrong| format!("{path}: {}", wrong.join("; ")))
}
