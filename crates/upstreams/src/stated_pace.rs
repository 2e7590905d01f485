use {cactusyoke_http::HeaderNames, http::HeaderMap};

/// Position of the pace in the load header, after the running and the waiting requests and the
/// slots.
const POSITION: usize = 3;

/// True when the head of an answer states how long work takes on the upstream's machine at this
/// moment.
pub(crate) fn states_pace(names: &HeaderNames, headers: &HeaderMap) -> bool {
  let value = names.load.as_ref().and_then(|name| headers.get(name));
  let text = value.and_then(|value| value.to_str().ok());
  text
    .and_then(|text| text.split(',').nth(POSITION))
    .is_some_and(|pace| pace.trim().parse::<u32>().is_ok())
}

#[cfg(test)]
mod tests {
  use {super::*, http::HeaderName, yare::parameterized};

  /// Guards against taking a load header of three figures, or a malformed one, for a stated pace:
  /// deployments without one are to be served as before.
  #[parameterized(
    stated = { Some("3,0,8,250"), true },
    spaced = { Some("3, 0, 8, 100"), true },
    three = { Some("3,0,8"), false },
    empty = { Some("3,0,8,"), false },
    negative = { Some("3,0,8,-1"), false },
    text = { Some("a,b,c,d"), false },
    missing = { None, false },
  )]
  fn only_a_fourth_figure_states_a_pace(value: Option<&str>, stated: bool) {
    let name = HeaderName::from_static("load");
    let mut headers = HeaderMap::new();
    if let Some(value) = value {
      headers.insert(&name, value.parse().expect("a valid value"));
    }
    let native = HeaderNames::native();
    let names = HeaderNames {
      load: Some(name),
      ..native.clone()
    };
    assert_eq!(states_pace(&names, &headers), stated);
    assert!(!states_pace(native, &headers));
  }
}
