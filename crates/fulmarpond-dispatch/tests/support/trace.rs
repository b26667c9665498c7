//! Logging with the virtual time and the simulated process as the prefix of each line.

use std::cell::Cell;
use std::fmt;

use tracing_subscriber::fmt::format::Writer;
use tracing_subscriber::fmt::time::FormatTime;

thread_local! {
    static CONTEXT: Cell<(u64, &'static str, usize)> = const { Cell::new((0, "", 0)) };
}

/// Sets the virtual time and the process that prefix the following log lines.
pub fn set_context(micros: u64, role: &'static str, number: usize) {
    CONTEXT.set((micros, role, number));
}

struct VirtualTime;

impl FormatTime for VirtualTime {
    fn format_time(&self, writer: &mut Writer<'_>) -> fmt::Result {
        let (micros, role, number) = CONTEXT.get();
        write!(writer, "{:>10.3} {role}-{number}", micros as f64 / 1_000.0)
    }
}

/// Runs a schedule and logs it to standard output if `FULMARPOND_TRACE` is set.
pub fn with_trace_log<T>(run_schedule: impl FnOnce() -> T) -> T {
    if std::env::var_os("FULMARPOND_TRACE").is_none() {
        return run_schedule();
    }
    let subscriber = tracing_subscriber::fmt()
        .with_timer(VirtualTime)
        .with_ansi(false)
        .with_max_level(tracing::Level::DEBUG)
        .finish();
    tracing::subscriber::with_default(subscriber, run_schedule)
}
