//! quillramp-emulator: runs scenarios, replays and shrinks those that violate an invariant, and sweeps over seeds.
mod arguments;
mod commands;
mod output;

use clap::Parser;
use std::process::ExitCode;

/// The exit code for scenarios and calls that can't be understood.
const EXIT_UNUSABLE: u8 = 2;

fn main() -> ExitCode {
    match commands::run(arguments::Arguments::parse()) {
        Ok(code) => code,
        Err(error) => {
            for line in error.to_string().lines() {
                eprintln!("quillramp-emulator: {line}");
            }
            ExitCode::from(EXIT_UNUSABLE)
        }
    }
}
