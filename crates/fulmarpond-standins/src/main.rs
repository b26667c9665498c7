//! Runs one stand-in until SIGTERM or SIGINT.

use std::io::{self, Write};
use std::net::SocketAddr;

use clap::{Args, Parser, Subcommand};
use fulmarpond_standins::{Endpoint, EndpointLimits, EndpointOptions, KeyValue, Relay};
use signal_hook::consts::{SIGINT, SIGTERM};
use signal_hook::iterator::Signals;

/// Stand-ins for the platform's key-value service and for endpoints, and a TCP relay.
#[derive(Debug, Parser)]
#[command(name = "fulmarpond-standins", version)]
struct Cli {
    #[command(subcommand)]
    command: Command,
}

#[derive(Debug, Subcommand)]
enum Command {
    /// Runs a stand-in for the platform's key-value service.
    Kv {
        /// Address to listen on.
        #[arg(long)]
        listen: SocketAddr,
    },
    /// Runs a stand-in for an endpoint.
    Endpoint(EndpointArgs),
    /// Forwards TCP connections to a target.
    Relay {
        /// Address to listen on.
        #[arg(long)]
        listen: SocketAddr,
        /// Address to forward to.
        #[arg(long)]
        target: SocketAddr,
    },
}

#[derive(Debug, Args)]
struct EndpointArgs {
    /// Address to listen on.
    #[arg(long)]
    listen: SocketAddr,
    /// HTTP address of the agent to announce to.
    #[arg(long)]
    agent: SocketAddr,
    /// Maximum number of concurrent tasks.
    #[arg(long, default_value_t = 8)]
    slots: u32,
    /// Maximum number of open connections.
    #[arg(long, default_value_t = 64)]
    connections: u32,
    /// Availability zone of the endpoint.
    #[arg(long)]
    zone: String,
    /// Memory of the host, in megabytes.
    #[arg(long, default_value_t = 65_536)]
    memory_mb: u64,
    /// Number of processor cores of the host.
    #[arg(long, default_value_t = 32)]
    processors: u32,
    /// Number of accelerators of the host.
    #[arg(long, default_value_t = 0)]
    accelerators: u32,
}

impl From<EndpointArgs> for EndpointOptions {
    fn from(args: EndpointArgs) -> Self {
        Self {
            listen: args.listen,
            agent: args.agent,
            slots: args.slots,
            connections: args.connections,
            zone: args.zone,
            limits: EndpointLimits {
                memory_mb: args.memory_mb,
                processors: args.processors,
                accelerators: args.accelerators,
            },
        }
    }
}

fn main() -> io::Result<()> {
    let cli = Cli::parse();
    let mut signals = Signals::new([SIGTERM, SIGINT])?;
    match cli.command {
        Command::Kv { listen } => {
            let store = KeyValue::start(listen)?;
            wait_for_signal(store.addr(), &mut signals)?;
            store.stop();
        }
        Command::Endpoint(args) => {
            let endpoint = Endpoint::start(args.into())?;
            wait_for_signal(endpoint.addr(), &mut signals)?;
            endpoint.stop();
        }
        Command::Relay { listen, target } => {
            let relay = Relay::bind(listen, target)?;
            wait_for_signal(relay.addr(), &mut signals)?;
            relay.stop();
        }
    }
    Ok(())
}

/// Prints the listening address, then waits for SIGTERM or SIGINT.
fn wait_for_signal(addr: SocketAddr, signals: &mut Signals) -> io::Result<()> {
    let mut stdout = io::stdout().lock();
    writeln!(stdout, "listening on {addr}")?;
    stdout.flush()?;
    drop(stdout);
    signals.forever().next();
    Ok(())
}
