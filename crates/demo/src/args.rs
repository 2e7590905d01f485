use {
  crate::Deployment,
  bpaf::Bpaf,
  std::{fmt, str::FromStr},
};

/// Shows an overload on loopback, with cactusyoke and with a baseline without control
#[derive(Bpaf, Clone, Debug)]
#[bpaf(options, version, generate(command_line))]
pub struct Args {
  /// Services and load: `merrimack` or `northgate`
  #[bpaf(
    argument("NAME"),
    fallback(DeploymentName::Merrimack),
    display_fallback
  )]
  pub deployment: DeploymentName,
  /// Length of the load, for each of the two runs, 10 to 300
  #[bpaf(
    argument("N"),
    guard(in_range, "use 10 to 300 seconds"),
    fallback(20),
    display_fallback
  )]
  pub seconds: u64,
  /// Seed of the load
  #[bpaf(argument("N"), fallback(1), display_fallback)]
  pub seed: u64,
}

#[expect(
  clippy::trivially_copy_pass_by_ref,
  reason = "the parser passes a reference"
)]
fn in_range(seconds: &u64) -> bool {
  (10..=300).contains(seconds)
}

impl Args {
  /// Parses the command line; prints help or an error and exits when it asks for help or is wrong.
  pub fn parse() -> Self {
    command_line().run()
  }
}

/// Name of a deployment.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DeploymentName {
  /// Charity with a map, pledges, photos and plaques.
  Merrimack,
  /// Manufacturer with orders, stock and artwork.
  Northgate,
}

impl DeploymentName {
  /// Services and load.
  pub fn deployment(self) -> Deployment {
    match self {
      Self::Merrimack => Deployment::merrimack(),
      Self::Northgate => Deployment::northgate(),
    }
  }
}

impl fmt::Display for DeploymentName {
  fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
    f.write_str(match self {
      Self::Merrimack => "merrimack",
      Self::Northgate => "northgate",
    })
  }
}

impl FromStr for DeploymentName {
  type Err = String;

  fn from_str(s: &str) -> Result<Self, Self::Err> {
    match s {
      "merrimack" => Ok(Self::Merrimack),
      "northgate" => Ok(Self::Northgate),
      _ => Err(format!(
        "`{s}` is not a deployment: use `merrimack` or `northgate`"
      )),
    }
  }
}
