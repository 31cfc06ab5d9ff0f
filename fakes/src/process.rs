//! Daemons as processes, with their settings in a folder that goes with them.

use std::io::Result;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;

use tempfile::TempDir;

use crate::fleet;
use crate::fleet::Host;

/// Daemon processes; they are killed when this value is dropped.
pub struct Processes {
    /// The hosts.
    pub hosts: Vec<Host>,
    /// The folder with settings, keys, logs and data.
    pub folder: TempDir,
    program: PathBuf,
    children: Vec<Option<Child>>,
}

impl Processes {
    /// Starts `count` daemons of `program`, the first `voters` of them as voters;
    /// `extra` is added to each settings file below `[limits]`.
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
                return Err(std::io::Error::other("a voter can't be formatted"));
            }
            processes.restart(index)?;
        }
        Ok(processes)
    }

    fn settings_path(&self, index: usize) -> PathBuf {
        self.folder
            .path()
            .join(format!("{}.ini", self.hosts[index].name))
    }

    fn command(&self, index: usize) -> Command {
        let mut command = Command::new(&self.program);
        command.arg("--settings").arg(self.settings_path(index));
        command
    }

    /// Starts the daemon of a host anew; its log goes to a file beside its settings.
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

    /// Sends a signal, such as `-TERM`, to a daemon.
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
            Err(std::io::Error::other("no such process"))
        }
    }

    /// Stops a daemon as planned and returns its exit code.
    pub fn stop(&mut self, index: usize) -> Result<Option<i32>> {
        self.signal(index, "-TERM")?;
        let Some(mut child) = self.children[index].take() else {
            return Ok(None);
        };
        Ok(child.wait()?.code())
    }

    /// Kills a daemon.
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
