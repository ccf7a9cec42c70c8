//! Signals: which the process handles, and when it stops.

use super::error::ServeError;
use tokio::signal::unix::{signal, Signal, SignalKind};

/// signal(7): a file-size limit was exceeded.
const SIGXFSZ: i32 = 25;

/// The signals that end the process.
pub(super) struct StopSignals {
    terminate: Signal,
    interrupt: Signal,
    /// A file that grows past its limit is an error of the write, not the end of the program.
    _file_size: Signal,
}

impl StopSignals {
    /// Waits for the first of them.
    pub(super) async fn wait(&mut self) {
        tokio::select! {
            _ = self.terminate.recv() => {}
            _ = self.interrupt.recv() => {}
        }
    }
}

/// The signals of one process.
pub(super) struct Signals {
    /// SIGHUP: read the files again.
    pub reload: Signal,
    /// Stop.
    pub stop: StopSignals,
}

impl Signals {
    /// Installs the handlers. To be called before all else: until its handler stands, a signal ends the program at once.
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
