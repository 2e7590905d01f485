use {
  super::Listeners,
  std::{
    env, fs, io,
    net::SocketAddr,
    path::PathBuf,
    process::{Child, Command, Stdio},
    time::Duration,
  },
};

/// Clock ticks a second in `/proc`, the same on every Linux.
const TICKS_PER_SECOND: f64 = 100.0;

/// Process of a node; killed when dropped.
#[derive(Debug)]
pub(crate) struct NodeProcess(Child);

/// Processor time that a process has used so far, and its memory now.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Usage {
  /// Processor time.
  pub(crate) cpu_time: Duration,
  /// Resident memory, KiB.
  pub(crate) memory_kib: u64,
}

impl NodeProcess {
  /// Starts the `cactusyoke` binary next to the current one.
  pub(crate) fn start(
    listeners: Listeners,
    contacts: &[SocketAddr],
    platform: SocketAddr,
    key_groups: usize,
  ) -> io::Result<Self> {
    let path = env::temp_dir().join(format!("cactusyoke-measure-{}.yaml", listeners.node.ip()));
    fs::write(&path, listeners.settings(contacts, platform, key_groups))?;
    let child = Command::new(binary()?)
      .args(["node", "--settings"])
      .arg(&path)
      .env("CACTUSYOKE_LOG", "error")
      .stdin(Stdio::null())
      .spawn()?;
    Ok(Self(child))
  }

  /// Processor time so far and memory now.
  pub(crate) fn usage(&self) -> io::Result<Usage> {
    Usage::of(self.0.id())
  }
}

impl Usage {
  /// Reads the usage of a process from `/proc`.
  pub(crate) fn of(id: u32) -> io::Result<Self> {
    let stat = fs::read_to_string(format!("/proc/{id}/stat"))?;
    // The command name may contain spaces and parentheses; it ends at the last parenthesis.
    let fields = stat
      .rsplit(')')
      .next()
      .unwrap_or_default()
      .split_whitespace();
    // Fields `utime` and `stime`.
    let ticks = fields
      .skip(11)
      .take(2)
      .filter_map(|field| field.parse::<u64>().ok())
      .sum::<u64>();
    let status = fs::read_to_string(format!("/proc/{id}/status"))?;
    let memory_kib = status
      .lines()
      .find_map(|line| line.strip_prefix("VmRSS:"))
      .and_then(|value| value.split_whitespace().next()?.parse().ok())
      .unwrap_or_default();
    Ok(Self {
      cpu_time: Duration::from_secs_f64(ticks as f64 / TICKS_PER_SECOND),
      memory_kib,
    })
  }
}

impl Drop for NodeProcess {
  fn drop(&mut self) {
    // Fails when the process has already ended.
    let _ = self.0.kill();
    let _ = self.0.wait();
  }
}

/// Path of the `cactusyoke` binary in the folder of the current one.
fn binary() -> io::Result<PathBuf> {
  let path = env::current_exe()?.with_file_name("cactusyoke");
  if path.exists() {
    return Ok(path);
  }
  let message =
    "the binary `cactusyoke` is missing: build it with `cargo build --release --locked`";
  Err(io::Error::new(io::ErrorKind::NotFound, message))
}
