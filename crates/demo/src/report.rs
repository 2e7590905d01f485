use crate::{ClassResult, RunResult};

/// Prints the results of both runs, one row for each class.
pub fn print(with_nodes: &RunResult, baseline: &RunResult) {
  println!();
  println!(
    "{:<12} {:<20} {:>7} {:>9} {:>8} {:>8} {:>8} {:>10} {:>9}",
    "run", "class", "sent", "answered", "not run", "failed", "unknown", "goodput/s", "recovery"
  );
  for (name, result) in [("cactusyoke", with_nodes), ("no control", baseline)] {
    for class in &result.classes {
      print_class(name, class);
    }
  }
  println!();
  println!("goodput: whole answers a second during the surge");
  println!("failed: answered with an error, such as when a call further down was shed");
  println!("recovery: time after the surge until 99% of requests are answered whole");
  println!(
    "upstream time wasted on requests that were not answered: {:.1}% with cactusyoke, {:.1}% without control",
    with_nodes.wasted_share * 100.0,
    baseline.wasted_share * 100.0
  );
  for violation in &baseline.violations {
    println!("without control: {violation}");
  }
  for violation in &with_nodes.violations {
    println!("BROKEN with cactusyoke: {violation}");
  }
}

fn print_class(run: &str, class: &ClassResult) {
  let recovery = match class.recovery {
    Some(time) => format!("{:.1} s", time.as_secs_f64()),
    None => "never".to_owned(),
  };
  println!(
    "{run:<12} {:<20} {:>7} {:>9} {:>8} {:>8} {:>8} {:>10.1} {recovery:>9}",
    class.name,
    class.sent,
    class.answered,
    class.not_run,
    class.failed,
    class.unknown,
    class.goodput
  );
}
