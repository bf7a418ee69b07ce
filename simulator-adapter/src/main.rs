//! quillramp-simulator-adapter: serves a simulator on standard input and output. The simulator starts the program, which has no options,
//! and sends event frames. Each is answered by one action frame before the next one is read. Exit codes: 0 at the end of the input, 1
//! if reading or writing fails.
use quillramp_simulator_adapter::frame::{self, Reply};
use quillramp_simulator_adapter::Host;
use std::io::{self, Write};
use std::process::ExitCode;

fn run() -> io::Result<()> {
    let mut input = io::stdin().lock();
    let mut output = io::stdout().lock();
    let mut host = Host::default();
    while let Some(batch) = frame::read(&mut input)? {
        let reply = match batch {
            Ok(batch) => host.handle(&batch),
            Err(error) => Reply::for_frame_error(&error),
        };
        output.write_all(&reply)?;
        output.flush()?;
    }
    Ok(())
}

fn main() -> ExitCode {
    match run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("quillramp-simulator-adapter: {error}");
            ExitCode::FAILURE
        }
    }
}
