//! Daemons as child processes, with their settings, keys, logs and data in a temporary
//! folder. Used by the process tests and the load tool.

use std::io::Result;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;

use tempfile::TempDir;

use crate::file_limit;
use crate::fleet;
use crate::fleet::Host;

/// Daemon processes of one fleet. Dropping the value kills them and deletes the folder.
pub struct Processes {
    /// Hosts in the order of their indexes; voters come first.
    pub hosts: Vec<Host>,
    /// Temporary folder with settings, keys, logs and data of all daemons.
    pub folder: TempDir,
    /// Path of the daemon's executable.
    program: PathBuf,
    /// Child processes by host; `None` after a daemon was stopped or killed.
    children: Vec<Option<Child>>,
}

impl Processes {
    /// Starts `count` daemons from the executable `program`, the first `voters` of them as
    /// voters with formatted data folders. `extra_limits` is appended to each settings file
    /// and so extends its last section, `[limits]`.
    pub fn start(
        program: PathBuf,
        count: usize,
        voters: usize,
        extra_limits: &str,
    ) -> Result<Processes> {
        let folder = tempfile::tempdir()?;
        let hosts = fleet::allocate(count, voters, folder.path());
        std::fs::write(folder.path().join("peer.key"), fleet::PEER_KEY)?;
        std::fs::write(folder.path().join("operator.key"), fleet::OPERATOR_KEY)?;
        let children = (0..count).map(|_| None).collect();
        let mut processes = Processes {
            hosts,
            folder,
            program,
            children,
        };
        for index in 0..count {
            let settings = fleet::settings(&processes.hosts, index) + extra_limits;
            std::fs::write(processes.settings_path(index), settings)?;
            if index < voters && !processes.command(index).arg("--format").status()?.success() {
                return Err(std::io::Error::other(
                    "could not format the data folder of a voter",
                ));
            }
            processes.restart(index)?;
        }
        Ok(processes)
    }

    /// Path of the settings file of a host.
    fn settings_path(&self, index: usize) -> PathBuf {
        self.folder
            .path()
            .join(format!("{}.ini", self.hosts[index].name))
    }

    /// The command that runs the daemon of a host.
    fn command(&self, index: usize) -> Command {
        let mut command = file_limit::command(&self.program);
        command.arg("--settings").arg(self.settings_path(index));
        command
    }

    /// Starts the daemon of a host. Its log is appended to `HOST.log` beside its settings.
    pub fn restart(&mut self, index: usize) -> Result<()> {
        let log = self
            .folder
            .path()
            .join(format!("{}.log", self.hosts[index].name));
        let log = std::fs::File::options()
            .create(true)
            .append(true)
            .open(log)?;
        let child = self.command(index).stderr(Stdio::from(log)).spawn()?;
        self.children[index] = Some(child);
        Ok(())
    }

    /// Process identifier of a daemon that runs.
    pub fn pid(&self, index: usize) -> Option<u32> {
        self.children[index].as_ref().map(Child::id)
    }

    /// Sends a signal, such as `-TERM`, to a daemon; does nothing if none was started or it
    /// was stopped.
    pub fn signal(&self, index: usize, signal: &str) -> Result<()> {
        let Some(child) = &self.children[index] else {
            return Ok(());
        };
        let status = Command::new("kill")
            .args([signal, &child.id().to_string()])
            .status()?;
        if status.success() {
            Ok(())
        } else {
            Err(std::io::Error::other(format!(
                "could not send signal {signal}"
            )))
        }
    }

    /// Stops a daemon gracefully and waits for its end. Returns its exit code; `None` if no
    /// daemon was running or a signal ended it.
    pub fn stop(&mut self, index: usize) -> Result<Option<i32>> {
        self.signal(index, "-TERM")?;
        let Some(mut child) = self.children[index].take() else {
            return Ok(None);
        };
        Ok(child.wait()?.code())
    }

    /// Kills a daemon and waits for its end; does nothing if it was stopped before.
    pub fn kill(&mut self, index: usize) -> Result<()> {
        let Some(mut child) = self.children[index].take() else {
            return Ok(());
        };
        child.kill()?;
        child.wait().map(|_| ())
    }
}

impl Drop for Processes {
    fn drop(&mut self) {
        for child in self.children.iter_mut().flatten() {
            drop(child.kill());
            drop(child.wait());
        }
    }
}
