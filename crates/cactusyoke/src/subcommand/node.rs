use {
  crate::{Server, Settings, exit, log},
  cactusyoke_model::SystemClock,
  std::{path::Path, process::ExitCode, sync::Arc},
  tokio::{
    runtime::Builder,
    signal::unix::{SignalKind, signal},
  },
};

/// Runs the node until it is told to stop.
pub(crate) fn run(path: &Path) -> ExitCode {
  let settings = match Settings::load(path) {
    Ok(settings) => settings,
    Err(error) => return exit::usage(&error),
  };
  log::init();
  let runtime = match runtime(settings.threads).build() {
    Ok(runtime) => runtime,
    Err(error) => return exit::failure(&format!("cannot start the runtime: {error}")),
  };
  runtime.block_on(serve(settings, path))
}

/// Runtime with `threads` worker threads. A single thread uses the current-thread runtime, which
/// moves no tasks between threads.
fn runtime(threads: usize) -> Builder {
  let mut builder = if threads == 1 {
    Builder::new_current_thread()
  } else {
    Builder::new_multi_thread()
  };
  builder.worker_threads(threads).enable_all();
  builder
}

async fn serve(settings: Settings, path: &Path) -> ExitCode {
  let running = settings.clone();
  let limit = settings.shutdown_limit;
  let server = match Server::start(settings, Arc::new(SystemClock)).await {
    Ok(server) => server,
    Err(error) => return exit::failure(&error.to_string()),
  };
  if let Err(error) = wait_for_signal(&running, path).await {
    return exit::failure(&format!("cannot listen for signals: {error}"));
  }
  match server.shut_down(limit).await {
    Ok(()) => ExitCode::SUCCESS,
    Err(unfinished) => exit::failure(&unfinished.to_string()),
  }
}

/// Waits for SIGTERM or SIGINT. On SIGHUP, checks the settings file and continues to wait.
async fn wait_for_signal(running: &Settings, path: &Path) -> std::io::Result<()> {
  let mut terminate = signal(SignalKind::terminate())?;
  let mut interrupt = signal(SignalKind::interrupt())?;
  let mut hang_up = signal(SignalKind::hangup())?;
  loop {
    tokio::select! {
      _ = terminate.recv() => return Ok(()),
      _ = interrupt.recv() => return Ok(()),
      _ = hang_up.recv() => check_settings(running, path),
    }
  }
}

/// Checks the settings file and logs the result. The running settings stay in force until the next
/// start, so that an invalid file has no effect and no request is lost.
fn check_settings(running: &Settings, path: &Path) {
  match Settings::load(path) {
    Err(error) => tracing::error!(event = "settings_refused", %error),
    Ok(settings) if settings == *running => tracing::info!(event = "settings_unchanged"),
    Ok(_) => tracing::warn!(event = "settings_changed", in_force = "at the next start"),
  }
}
