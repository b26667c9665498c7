//! Binary of the fulmarpond command-line tool.

use std::process::ExitCode;

fn main() -> ExitCode {
    fulmarpond::main()
}
