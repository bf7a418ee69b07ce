//! quillramp-emulator: runs scenarios, sweeps over seeds, and replays and shrinks scenarios that violate an invariant.
mod arguments;
mod commands;
mod output;

use clap::Parser;
use std::process::ExitCode;

/// Exit code for invalid command lines and scenarios, and for files that cannot be read or written.
const EXIT_INVALID_INPUT: u8 = 2;

fn main() -> ExitCode {
    match commands::run(arguments::Arguments::parse()) {
        Ok(code) => code,
        Err(error) => {
            for line in error.to_string().lines() {
                eprintln!("quillramp-emulator: {line}");
            }
            ExitCode::from(EXIT_INVALID_INPUT)
        }
    }
}
