//! One process of a run: started, stopped, killed and restarted by its id.

use std::fs::File;
use std::io::Result;
use std::io::Write;
use std::path::Path;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;

/// A signal.
#[derive(Clone, Copy, Debug, derive_more::Display)]
pub enum Signal {
    /// Planned stop.
    #[display("-TERM")]
    Term,
    /// Freeze.
    #[display("-STOP")]
    Stop,
    /// Go on.
    #[display("-CONT")]
    Cont,
    /// Read the settings again.
    #[display("-HUP")]
    Hup,
}

/// A daemon; it is killed when this value is dropped.
pub struct Process {
    /// Its name.
    pub name: String,
    program: PathBuf,
    settings: PathBuf,
    log: PathBuf,
    child: Option<Child>,
    stopping: bool,
}

impl Process {
    /// A daemon that isn't running yet.
    pub fn new(program: &Path, dir: &Path, name: &str, settings: &str) -> Result<Process> {
        let process = Process {
            name: name.to_owned(),
            program: program.to_owned(),
            settings: dir.join(format!("{name}.ini")),
            log: dir.join(format!("{name}.log")),
            child: None,
            stopping: false,
        };
        process.configure(settings)?;
        Ok(process)
    }

    /// Replaces the settings.
    pub fn configure(&self, settings: &str) -> Result<()> {
        std::fs::write(&self.settings, settings)
    }

    /// Starts the daemon unless it runs.
    pub fn start(&mut self) -> Result<()> {
        if self.child.is_some() {
            return Ok(());
        }
        let log = File::options().create(true).append(true).open(&self.log)?;
        let errors = log.try_clone()?;
        let mut command = Command::new(&self.program);
        command
            .args(["--discover", "--settings"])
            .arg(&self.settings);
        command.stdout(Stdio::from(log)).stderr(Stdio::from(errors));
        self.child = Some(command.spawn()?);
        self.stopping = false;
        Ok(())
    }

    /// Whether it runs.
    pub fn is_running(&self) -> bool {
        self.child.is_some()
    }

    /// Whether it runs and was not told to stop.
    pub fn is_active(&self) -> bool {
        self.is_running() && !self.stopping
    }

    /// Sends a signal to the daemon.
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
                "{}: no such process",
                self.name
            ))),
        }
    }

    /// Kills the daemon.
    pub fn kill(&mut self) -> Result<()> {
        let Some(mut child) = self.child.take() else {
            return Ok(());
        };
        child.kill()?;
        child.wait().map(drop)
    }

    /// Looks whether the daemon ended; tells if it did so without being told to.
    pub fn reap(&mut self) -> Result<Option<String>> {
        let Some(child) = &mut self.child else {
            return Ok(None);
        };
        let Some(status) = child.try_wait()? else {
            return Ok(None);
        };
        self.child = None;
        let expected = self.stopping && status.success();
        Ok((!expected).then(|| format!("{} ended by itself: {status}", self.name)))
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        if let Err(error) = self.kill() {
            eprintln!("{}: not killed: {error}", self.name);
        }
    }
}

/// Leaves half a record at the end of each log of a voter's folder, as a loss of
/// power during a write does.
pub fn append_torn_record(dir: &Path) -> Result<()> {
    for entry in std::fs::read_dir(dir)? {
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
