//! A daemon process of a run: starts it, signals or kills it, and checks how it exited.

use std::fs::File;
use std::io::Result;
use std::io::Write;
use std::path::Path;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;

use wagtailbeam_fakes::file_limit;

/// A signal for a daemon; its `Display` form is the argument of `kill`.
#[derive(Clone, Copy, Debug, derive_more::Display)]
pub enum Signal {
    /// SIGTERM: graceful shutdown.
    #[display("-TERM")]
    Term,
    /// SIGSTOP: suspends the process.
    #[display("-STOP")]
    Stop,
    /// SIGCONT: resumes a suspended process.
    #[display("-CONT")]
    Cont,
    /// SIGHUP: reloads the settings.
    #[display("-HUP")]
    Hup,
}

/// A daemon with its settings and log files; dropping the value kills the process.
pub struct Process {
    /// Host name, which is also the stem of the settings and log file names.
    pub name: String,
    program: PathBuf,
    settings: PathBuf,
    log: PathBuf,
    child: Option<Child>,
    stopping: bool,
}

impl Process {
    /// Creates a daemon in `folder` and writes its settings file, without starting it.
    pub fn new(program: &Path, folder: &Path, name: &str, settings: &str) -> Result<Process> {
        let process = Process {
            name: name.to_owned(),
            program: program.to_owned(),
            settings: folder.join(format!("{name}.ini")),
            log: folder.join(format!("{name}.log")),
            child: None,
            stopping: false,
        };
        process.configure(settings)?;
        Ok(process)
    }

    /// Overwrites the settings file. The daemon reads it when started or reloaded.
    pub fn configure(&self, settings: &str) -> Result<()> {
        std::fs::write(&self.settings, settings)
    }

    /// Runs this program from the next start on.
    pub fn set_program(&mut self, program: &Path) {
        self.program = program.to_owned();
    }

    /// Starts the daemon unless it is running. Its output is appended to the log file.
    pub fn start(&mut self) -> Result<()> {
        if self.child.is_some() {
            return Ok(());
        }
        let log = File::options().create(true).append(true).open(&self.log)?;
        let errors = log.try_clone()?;
        let mut command = file_limit::command(&self.program);
        command
            .args(["--discover", "--settings"])
            .arg(&self.settings);
        command.stdout(Stdio::from(log)).stderr(Stdio::from(errors));
        self.child = Some(command.spawn()?);
        self.stopping = false;
        Ok(())
    }

    /// Whether the process was started and neither killed nor reaped since.
    pub fn is_running(&self) -> bool {
        self.child.is_some()
    }

    /// Identifier of the process while it runs.
    pub fn pid(&self) -> Option<u32> {
        self.child.as_ref().map(Child::id)
    }

    /// Whether the process is running and has not been sent [`Signal::Term`].
    pub fn is_active(&self) -> bool {
        self.is_running() && !self.stopping
    }

    /// Sends a signal to the daemon; does nothing if it isn't running.
    pub fn signal(&mut self, signal: Signal) -> Result<()> {
        let Some(child) = &self.child else {
            return Ok(());
        };
        self.stopping |= matches!(signal, Signal::Term);
        let id = child.id().to_string();
        let status = Command::new("kill")
            .args([&signal.to_string(), &id])
            .status()?;
        match status.success() {
            true => Ok(()),
            false => Err(std::io::Error::other(format!(
                "{}: sending {signal} to process {id} failed",
                self.name
            ))),
        }
    }

    /// Kills the daemon with SIGKILL and waits for its exit; does nothing if it isn't running.
    pub fn kill(&mut self) -> Result<()> {
        let Some(mut child) = self.child.take() else {
            return Ok(());
        };
        child.kill()?;
        child.wait().map(drop)
    }

    /// Collects the exit status if the daemon has exited. Returns a description of the
    /// exit unless it is the clean one that follows [`Signal::Term`].
    pub fn reap(&mut self) -> Result<Option<String>> {
        let Some(child) = &mut self.child else {
            return Ok(None);
        };
        let Some(status) = child.try_wait()? else {
            return Ok(None);
        };
        self.child = None;
        let expected = self.stopping && status.success();
        Ok((!expected).then(|| format!("{} exited unexpectedly: {status}", self.name)))
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        if let Err(error) = self.kill() {
            eprintln!("{}: cannot kill the process: {error}", self.name);
        }
    }
}

/// Appends the beginning of a record to each log file in a voter's data folder, as a
/// power loss in the middle of a write would leave it.
pub fn append_torn_record(folder: &Path) -> Result<()> {
    for entry in std::fs::read_dir(folder)? {
        let path = entry?.path();
        let name = path.file_name().map(|name| name.to_string_lossy());
        let is_log = name.is_some_and(|name| name.starts_with("log"));
        if is_log {
            File::options()
                .append(true)
                .open(path)?
                .write_all(&[9, 0, 0])?;
        }
    }
    Ok(())
}
