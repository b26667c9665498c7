//! Tests of the program `fulmarpond-standins`.

use std::io::{BufRead, BufReader, Read};
use std::net::{SocketAddr, TcpStream};
use std::process::{Command, Stdio};

/// Guards against output that callers cannot parse and against an unclean exit on a signal.
///
/// A caller reads the address from the single line `listening on ADDR` and stops the program with
/// SIGTERM or SIGINT. It fails if another line is printed, if the port is not open by then, or if
/// the signal kills the process instead of stopping the stand-in.
#[test]
fn each_stand_in_serves_until_a_signal() {
    struct Case {
        args: &'static [&'static str],
        signal: &'static str,
    }
    let cases = [
        Case {
            args: &["kv", "--listen", "127.0.0.1:0"],
            signal: "-TERM",
        },
        Case {
            args: &["kv", "--listen", "127.0.0.1:0"],
            signal: "-INT",
        },
        Case {
            args: &[
                "endpoint",
                "--listen",
                "127.0.0.1:0",
                "--agent",
                "127.0.0.1:1",
                "--slots",
                "8",
                "--connections",
                "64",
                "--zone",
                "Saga",
                "--memory-mb",
                "262144",
            ],
            signal: "-TERM",
        },
        Case {
            args: &[
                "relay",
                "--listen",
                "127.0.0.1:0",
                "--target",
                "127.0.0.1:1",
            ],
            signal: "-TERM",
        },
    ];
    for case in cases {
        let mut child = Command::new(env!("CARGO_BIN_EXE_fulmarpond-standins"))
            .args(case.args)
            .stdout(Stdio::piped())
            .spawn()
            .expect("the program starts");
        let mut stdout = BufReader::new(child.stdout.take().expect("a pipe"));
        let mut line = String::new();
        stdout.read_line(&mut line).expect("a line");
        let addr: SocketAddr = (line.strip_prefix("listening on "))
            .and_then(|addr| addr.trim_end().parse().ok())
            .unwrap_or_else(|| panic!("{:?}: unexpected line {line:?}", case.args));
        TcpStream::connect(addr).expect("the port is open");
        let kill = Command::new("kill")
            .args([case.signal, &child.id().to_string()])
            .status();
        assert!(kill.expect("kill runs").success(), "{:?}", case.args);
        assert!(
            child.wait().expect("an exit status").success(),
            "{:?}",
            case.args
        );
        let mut rest = String::new();
        stdout.read_to_string(&mut rest).expect("the rest");
        assert_eq!(rest, "", "{:?}: one line only", case.args);
    }
}
