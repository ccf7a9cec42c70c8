//! The signals that the process handles.

use super::error::ServeError;
use tokio::signal::unix::{signal, Signal, SignalKind};

/// signal(7): a file-size limit was exceeded.
const SIGXFSZ: i32 = 25;

/// The handlers of SIGTERM and SIGINT, which stop the process, and of SIGXFSZ.
pub(super) struct StopSignals {
    terminate: Signal,
    interrupt: Signal,
    /// Prevents the default action of SIGXFSZ: a write beyond the file-size limit fails, and the process
    /// continues.
    _file_size: Signal,
}

impl StopSignals {
    /// Waits for SIGTERM or SIGINT.
    pub(super) async fn wait(&mut self) {
        tokio::select! {
            _ = self.terminate.recv() => {}
            _ = self.interrupt.recv() => {}
        }
    }
}

/// The signal handlers of the process.
pub(super) struct Signals {
    /// SIGHUP: reloads the files.
    pub reload: Signal,
    /// SIGTERM and SIGINT: stop the process.
    pub stop: StopSignals,
}

impl Signals {
    /// Installs the handlers. Must be called first: until its handler is installed, a signal kills the process.
    ///
    /// # Errors
    /// A handler cannot be installed.
    pub(super) fn install() -> Result<Signals, ServeError> {
        let handle = |kind| signal(kind).map_err(ServeError::Signals);
        let reload = handle(SignalKind::hangup())?;
        let stop = StopSignals {
            terminate: handle(SignalKind::terminate())?,
            interrupt: handle(SignalKind::interrupt())?,
            _file_size: handle(SignalKind::from_raw(SIGXFSZ))?,
        };
        Ok(Signals { reload, stop })
    }
}
