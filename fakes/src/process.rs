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
    pub fn start(program: PathBuf, count: usize, voters: usize, extra: &str) -> Result<Processes> {
        let folder = tempfile::tempdir()?;
        let hosts = fleet::plan(count, voters, folder.path());
        std::fs::write(folder.path().join("peer.key"), fleet::PEER_KEY)?;
        std::fs::write(folder.path().join("operator.key"), fleet::OPERATOR_KEY)?;
        let children = (0..count).map(|_| None).collect();
        let mut processes = Processes {
            hosts,
            folder,
            program,
            children,
        };
        for at in 0..count {
            let settings = fleet::settings(&processes.hosts, at) + extra;
            std::fs::write(processes.settings(at), settings)?;
            if at < voters && !processes.daemon(at).arg("--format").status()?.success() {
                return Err(std::io::Error::other("a voter can't be formatted"));
            }
            processes.restart(at)?;
        }
        Ok(processes)
    }

    fn settings(&self, at: usize) -> PathBuf {
        self.folder
            .path()
            .join(format!("{}.ini", self.hosts[at].name))
    }

    fn daemon(&self, at: usize) -> Command {
        let mut command = Command::new(&self.program);
        command.arg("--settings").arg(self.settings(at));
        command
    }

    /// Starts the daemon of a host anew; its log goes to a file beside its settings.
    pub fn restart(&mut self, at: usize) -> Result<()> {
        let log = self
            .folder
            .path()
            .join(format!("{}.log", self.hosts[at].name));
        let log = std::fs::File::options()
            .create(true)
            .append(true)
            .open(log)?;
        let child = self.daemon(at).stderr(Stdio::from(log)).spawn()?;
        self.children[at] = Some(child);
        Ok(())
    }

    /// Sends a signal, such as `-TERM`, to a daemon.
    pub fn signal(&self, at: usize, signal: &str) -> Result<()> {
        let Some(child) = &self.children[at] else {
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
    pub fn stop(&mut self, at: usize) -> Result<Option<i32>> {
        self.signal(at, "-TERM")?;
        let Some(mut child) = self.children[at].take() else {
            return Ok(None);
        };
        Ok(child.wait()?.code())
    }

    /// Kills a daemon.
    pub fn kill(&mut self, at: usize) -> Result<()> {
        let Some(mut child) = self.children[at].take() else {
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
