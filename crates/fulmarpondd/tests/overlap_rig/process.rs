//! A process of the system that can be paused, ended and started again.

use std::fs::{self, File};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::Mutex;
use std::sync::atomic::{AtomicBool, Ordering};

use rustix::process::{Pid, Signal, kill_process};

/// An entry or agent process, with its settings and its log in a folder.
#[derive(Debug)]
pub(super) struct Process {
    pub(super) name: String,
    folder: PathBuf,
    child: Mutex<Option<Child>>,
    /// Earlier processes that were asked to end when the next one started.
    replaced: Mutex<Vec<Child>>,
    is_paused: AtomicBool,
}

impl Process {
    pub(super) fn start(name: &str, folder: &Path, settings: &str) -> Self {
        let process = Self {
            name: name.to_owned(),
            folder: folder.to_owned(),
            child: Mutex::default(),
            replaced: Mutex::default(),
            is_paused: AtomicBool::new(false),
        };
        fs::write(process.path("ini"), settings).expect("a settings file");
        process.start_again();
        process
    }

    fn path(&self, extension: &str) -> PathBuf {
        self.folder.join(format!("{}.{extension}", self.name))
    }

    /// Starts the process unless it runs, and returns whether it was started.
    pub(super) fn start_again(&self) -> bool {
        let mut child = self.child.lock().expect("the process");
        let is_running = child
            .as_mut()
            .is_some_and(|child| child.try_wait().expect("a status").is_none());
        if is_running {
            return false;
        }
        let mut options = File::options();
        let log = options
            .append(true)
            .create(true)
            .open(self.path("log"))
            .expect("a log file");
        let daemon = Command::new(env!("CARGO_BIN_EXE_fulmarpondd"))
            .env("FULMARPOND_SETTINGS", self.path("ini"))
            .stdin(Stdio::null())
            .stdout(log)
            .spawn();
        *child = Some(daemon.expect("the daemon starts"));
        self.is_paused.store(false, Ordering::SeqCst);
        true
    }

    /// Asks the process to end, and starts the next one beside it with other settings.
    pub(super) fn replace(&self, settings: &str) {
        self.resume();
        self.signal(Signal::TERM);
        let earlier = self.child.lock().expect("the process").take();
        self.replaced.lock().expect("the processes").extend(earlier);
        fs::write(self.path("ini"), settings).expect("a settings file");
        self.start_again();
    }

    /// Stops or continues the process, as a scheduler with a quota does. It stays stopped while it is
    /// paused.
    pub(super) fn set_stopped(&self, is_stopped: bool) {
        if self.is_paused() {
            return;
        }
        self.signal(if is_stopped {
            Signal::STOP
        } else {
            Signal::CONT
        });
    }

    /// Sends a signal, unless the process has ended.
    pub(super) fn signal(&self, signal: Signal) {
        let mut child = self.child.lock().expect("the process");
        let Some(child) = child.as_mut() else {
            return;
        };
        if child.try_wait().expect("a status").is_none() {
            kill_process(Pid::from_child(child), signal).expect("the signal is sent");
        }
    }

    pub(super) fn pause(&self) {
        self.signal(Signal::STOP);
        self.is_paused.store(true, Ordering::SeqCst);
    }

    pub(super) fn resume(&self) {
        self.is_paused.store(false, Ordering::SeqCst);
        self.signal(Signal::CONT);
    }

    pub(super) fn is_paused(&self) -> bool {
        self.is_paused.load(Ordering::SeqCst)
    }

    pub(super) fn kill(&self) {
        if let Some(child) = self.child.lock().expect("the process").as_mut() {
            // The process may have ended before.
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
        for child in self.replaced.get_mut().expect("the processes") {
            // The process may have ended before.
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}
