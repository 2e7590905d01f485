use {
  rustix::process::{Pid, Signal, kill_process},
  std::{
    fs::{self, File},
    io::Write,
    path::{Path, PathBuf},
    process::{Child, Command, ExitStatus, Stdio},
    time::{Duration, Instant},
  },
};

/// Process of a node.
#[derive(Debug)]
pub struct NodeProcess {
  settings: PathBuf,
  log: PathBuf,
  child: Child,
}

impl NodeProcess {
  /// Starts a node with these settings.
  pub fn start(name: &str, yaml: &str) -> Self {
    let directory = std::env::temp_dir().join(format!("cactusyoke-{}", std::process::id()));
    fs::create_dir_all(&directory).expect("the temporary directory can be written");
    let settings = directory.join(format!("{name}.yaml"));
    let log = directory.join(format!("{name}.log"));
    let mut file = File::create(&settings).expect("the settings can be written");
    file
      .write_all(yaml.as_bytes())
      .expect("the settings can be written");
    let child = spawn(&settings, &log);
    Self {
      settings,
      log,
      child,
    }
  }

  /// File with the settings of the node.
  pub fn settings(&self) -> &Path {
    &self.settings
  }

  /// Ends the process and starts the node again.
  pub fn restart(&mut self) {
    self.kill();
    self.child = spawn(&self.settings, &self.log);
  }

  /// Ends the process at once.
  pub fn kill(&mut self) {
    // The process may have ended already.
    let _ = self.child.kill();
    let _ = self.child.wait();
  }

  /// Sends a signal.
  pub fn signal(&self, signal: Signal) {
    let pid = Pid::from_child(&self.child);
    kill_process(pid, signal).expect("the process is running");
  }

  /// Waits for the end of the process; `None` when it is still running after `limit`.
  pub fn wait(&mut self, limit: Duration) -> Option<ExitStatus> {
    let end = Instant::now() + limit;
    while Instant::now() < end {
      if let Ok(Some(status)) = self.child.try_wait() {
        return Some(status);
      }
      std::thread::sleep(Duration::from_millis(20));
    }
    None
  }

  /// Resident memory, bytes.
  pub fn memory(&self) -> u64 {
    let path = format!("/proc/{}/status", self.child.id());
    let status = std::fs::read_to_string(path).expect("a running process");
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let kilobytes = line.and_then(|line| line.trim().strip_suffix(" kB"));
    let kilobytes = kilobytes.expect("its memory").trim().parse::<u64>();
    kilobytes.expect("a number") * 1024
  }

  /// True while the process runs.
  pub fn is_running(&mut self) -> bool {
    matches!(self.child.try_wait(), Ok(None))
  }

  /// Largest resident memory of the process so far, bytes.
  pub fn peak_memory(&self) -> u64 {
    let status = fs::read_to_string(format!("/proc/{}/status", self.child.id()));
    let status = status.expect("the process is running");
    let line = status.lines().find_map(|line| line.strip_prefix("VmHWM:"));
    let kibibytes = line.and_then(|line| line.trim().strip_suffix(" kB")?.parse::<u64>().ok());
    kibibytes.expect("the kernel reports the peak") * 1024
  }

  /// Processor time of the process so far, in ticks of the kernel.
  pub fn processor_ticks(&self) -> u64 {
    let stat = fs::read_to_string(format!("/proc/{}/stat", self.child.id()));
    let stat = stat.expect("the process is running");
    // The name in parentheses may hold blanks; user and system time are the 12th and 13th field after
    // it.
    let (_, fields) = stat.rsplit_once(')').expect("the kernel names the process");
    let times = fields.split_whitespace().skip(11).take(2);
    times.filter_map(|ticks| ticks.parse::<u64>().ok()).sum()
  }

  /// Number of open file descriptors of the process.
  pub fn open_files(&self) -> usize {
    let files = fs::read_dir(format!("/proc/{}/fd", self.child.id()));
    files.expect("the process is running").count()
  }

  /// What the process has logged.
  pub fn log(&self) -> String {
    fs::read_to_string(&self.log).unwrap_or_default()
  }
}

impl Drop for NodeProcess {
  fn drop(&mut self) {
    // A process that was paused does not end before it is resumed.
    let _ = kill_process(Pid::from_child(&self.child), Signal::CONT);
    self.kill();
  }
}

fn spawn(settings: &PathBuf, log: &PathBuf) -> Child {
  let log = File::options()
    .create(true)
    .append(true)
    .open(log)
    .expect("the log can be written");
  Command::new(env!("CARGO_BIN_EXE_cactusyoke"))
    .arg("node")
    .arg("--settings")
    .arg(settings)
    .stdin(Stdio::null())
    .stdout(Stdio::null())
    .stderr(log)
    .spawn()
    .expect("the binary can be started")
}
