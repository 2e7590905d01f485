//! Parsing and validation of presets: route matching and error messages.

use {
  cactusyoke_model::{ClassRank, Preset},
  http::Method,
  yare::parameterized,
};

const GOOD: &str = "
name: ordinary
classes: [orders, lookups]
routes:
  - {name: place, service: orders, methods: [POST], path: /orders, class: orders, idempotent: false, deadline: 5s}
  - {name: look-up, service: orders, methods: [GET], path: /orders/, class: lookups, idempotent: true, deadline: 2s, retries: 2}
";

// Guards against matching a path prefix that ends within a segment, and against ignoring the
// method.
#[test]
fn a_route_is_found_by_method_and_path_at_a_segment_boundary() {
  let preset = GOOD.parse::<Preset>().expect("the preset is correct");
  let route = |method, path| {
    preset
      .route(&method, "", path)
      .map(|route| route.name.as_str())
  };
  assert_eq!(route(Method::POST, "/orders"), Some("place"));
  assert_eq!(route(Method::POST, "/orders/7"), Some("place"));
  assert_eq!(route(Method::GET, "/orders/7"), Some("look-up"));
  assert_eq!(route(Method::POST, "/ordersX"), None);
  assert_eq!(route(Method::PUT, "/orders"), None);
  assert_eq!(preset.routes[1].rank, ClassRank(1));
}

// Guards against accepting a preset that cannot work, and against error messages that do not say
// how to correct it.
#[parameterized(
  unknown_class = { "class: lookups", "class: lookup", "route `look-up` names class `lookup`, which is not listed: add it under `classes`" },
  no_class = { "[orders, lookups]", "[]", "the preset has no class: list at least one under `classes`" },
  class_twice = { "[orders, lookups]", "[orders, lookups, orders]", "class `orders` is listed twice under `classes`: keep one entry" },
  route_twice = { "name: look-up", "name: place", "two routes are named `place`: rename one of them" },
  method = { "methods: [POST]", "methods: ['P ST']", "route `place` has method `P ST`: list one or more HTTP methods such as `GET`" },
  path = { "path: /orders,", "path: orders,", "route `place` has path `orders`: begin it with `/` and leave out the query" },
  deadline = { "deadline: 5s", "deadline: soon", "`deadline` is `soon`: write a time between 1ms and 7days, such as `250ms` or `2s`" },
  shadowed = { "methods: [GET], path: /orders/", "methods: [POST], path: /orders/x", "route `look-up` never matches, since the earlier route `place` matches all of its requests: move it up" },
  ratio = { "name: ordinary", "name: ordinary\nretry_ratio: 101", "`retry_ratio` is 101: write a percentage from 0 to 100" },
  unknown_field = { "name: ordinary", "name: ordinary\nclasess: []", "the preset cannot be read: unknown field `clasess`, expected one of `name`, `purpose`, `classes`, `retry_ratio`, `queue_wait`, `key_memory`, `services`, `callers`, `keyed`, `tenants`, `routes` at line 3 column 1" },
)]
fn a_preset_that_cannot_work_is_refused(from: &str, to: &str, message: &str) {
  let error = GOOD
    .replacen(from, to, 1)
    .parse::<Preset>()
    .expect_err("the preset is wrong");
  assert_eq!(error.to_string(), message);
}
