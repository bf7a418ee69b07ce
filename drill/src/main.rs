//! The adapter: the wire on standard input and output, the decisions of `quillramp` behind it.
mod frame;
mod host;

use std::io::{self, Write};
use std::process::ExitCode;

fn run() -> io::Result<()> {
    let (mut input, mut output) = (io::stdin().lock(), io::stdout().lock());
    let mut host = host::Host::default();
    while let Some(batch) = frame::read(&mut input)? {
        let reply = match batch {
            Ok(batch) => host.answer(&batch),
            Err(e) => {
                let mut reply = frame::Reply::default();
                reply.with_tail(130, 1, e.0.as_bytes());
                reply.frame()
            }
        };
        output.write_all(&reply)?;
        output.flush()?;
    }
    Ok(())
}

fn main() -> ExitCode {
    match run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("quillramp-drill: {e}");
            ExitCode::FAILURE
        }
    }
}
