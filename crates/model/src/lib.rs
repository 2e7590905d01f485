//! Validated types shared by all packages of cactusyoke.
//!
//! Raw input is converted to one of these types once, where it enters the process, and is not
//! validated again after that. The types do no input or output; they get the time from a
//! [`Clock`] or as an argument.

mod answer;
mod body;
mod bottleneck;
mod call;
mod class_place;
mod class_rank;
mod clock;
mod config;
mod context;
mod failure;
mod host_name;
mod idempotency_key;
mod instance_load;
mod key_digest;
mod level;
mod load_policy;
mod name;
mod node_id;
mod preset;
mod preset_error;
mod preset_patch;
mod priority;
mod raw_preset;
mod report;
mod request_id;
mod route;
mod sub_levels;
mod tenant;
mod units;

pub use answer::Answer;
pub use body::{Body, BodyError, empty_body, full_body};
pub use bottleneck::Bottleneck;
pub use call::{Call, CallHead, Repeat};
pub use class_place::ClassPlace;
pub use class_rank::ClassRank;
pub use clock::{Clock, ManualClock, SystemClock};
pub use config::{Change, ChangeId, Config, ConfigDelta, Edit, Revision};
pub use context::{CONTEXT_HEADER, Context, ContextError};
pub use failure::{CallFailure, NotRunReason, UnknownReason};
pub use host_name::{HostError, HostName};
pub use idempotency_key::{IdempotencyKey, KEY_HEADER, KeyError};
pub use instance_load::InstanceLoad;
pub use key_digest::{KeyDigest, KeyDigestError};
pub use level::Level;
pub use load_policy::LoadPolicy;
pub use name::{ClassName, DataCentre, NameError, PresetName, RouteName, ServiceName};
pub use node_id::{Incarnation, NodeId};
pub use preset::{CallerLimits, Preset, ServiceSettings};
pub use preset_error::PresetError;
pub use preset_patch::PresetPatch;
pub use priority::Priority;
pub use raw_preset::{RawCallers, RawPreset, RawRoute, RawService, RawTenant};
pub use report::Report;
pub use request_id::{RequestId, SpanId};
pub use route::{Backend, Route};
pub use sub_levels::SubLevels;
pub use tenant::{Tenant, TenantName, TenantNameError, UsageCap};
pub use units::{ByteSize, Connections, RequestRate, Retries, Slots, UnitError};
