//! Reads all sections of a settings file.

use std::net::SocketAddr;
use std::time::Duration;

use wingspar_world::GroupId;

use crate::cross;
use crate::document::Document;
use crate::mistake::{Mistake, Place};
use crate::overrides::Overrides;
use crate::parse;
use crate::reader::{Located, Reader};
use crate::settings::{
    AgentSettings, ControlSettings, LogLevel, MachineSettings, PlatformSettings, RouterSettings,
    Settings, TelemetrySettings, Timing,
};

const LISTEN: &str = "\"IP:PORT\", such as \"127.0.0.1:8080\"";
const ANNOUNCED: &str = "\"IP:PORT\" that other machines can reach, not 0.0.0.0 or [::]";
const SEED: &str = "\"IP:PORT\" of a control candidate, port 1 to 65535";
const URL: &str = "\"http://IP:PORT\", such as \"http://127.0.0.1:7500\"";
const LEVELS: &str = "\"error\", \"warn\", \"info\" or \"debug\"";

const MAX_REPLICAS: u64 = 7;
/// Highest group number. Services are not yet divided among groups, so two groups on one store would
/// each own every key: a second group is refused until they are.
const MAX_GROUP: u64 = 0;
const DEFAULT_REPLICAS: u64 = 3;
/// Bounds on every time in milliseconds.
const MILLISECONDS: std::ops::RangeInclusive<u64> = 1..=60_000;
/// Bounds on the drain limit in seconds.
const DRAIN_SECONDS: std::ops::RangeInclusive<u64> = 1..=3_600;

/// Checks a settings file; the error holds every mistake, in order of line.
pub fn check(text: &str) -> Result<Settings, Vec<Mistake>> {
    check_with(text, &Overrides::default())
}

/// Checks a settings file in which flags replace some values.
pub fn check_with(text: &str, overrides: &Overrides) -> Result<Settings, Vec<Mistake>> {
    let (document, syntax) = Document::parse(text);
    let mut reader = Reader::new(document, overrides, syntax);
    let draft = Draft::read(&mut reader);
    cross::check(&mut reader, &draft);
    let mistakes = reader.finish();
    if !mistakes.is_empty() {
        return Err(mistakes);
    }
    Ok(draft
        .settle()
        .expect("a field that can't be read is a mistake"))
}

/// Settings as far as each field by itself could be read. A part that is on holds `Some`, with
/// `None` inside for a field that could not be read.
pub(crate) struct Draft {
    machine: Option<MachineSettings>,
    pub(crate) control_address: Option<Located<SocketAddr>>,
    pub(crate) seeds: Vec<Located<SocketAddr>>,
    pub(crate) router: Option<Option<Located<SocketAddr>>>,
    pub(crate) agent: Option<Option<Located<SocketAddr>>>,
    pub(crate) control: Option<ControlDraft>,
    pub(crate) platform: Option<Option<Located<String>>>,
    pub(crate) telemetry_listen: Option<Located<SocketAddr>>,
    log_level: LogLevel,
    json: bool,
    pub(crate) timing: TimingDraft,
}

/// The control part as far as it could be read.
pub(crate) struct ControlDraft {
    pub(crate) operator_listen: Option<Located<SocketAddr>>,
    pub(crate) replicas: Option<Located<u64>>,
    group: Option<Located<u64>>,
}

/// Time bounds as far as they could be read.
pub(crate) struct TimingDraft {
    pub(crate) renewal: Option<Located<u64>>,
    pub(crate) lease: Option<Located<u64>>,
    pub(crate) drift: Option<Located<u64>>,
    pub(crate) heartbeat: Option<Located<u64>>,
    pub(crate) election_min: Option<Located<u64>>,
    pub(crate) election_max: Option<Located<u64>>,
    drain_limit: Option<Located<u64>>,
}

impl Draft {
    fn read(reader: &mut Reader<'_>) -> Self {
        let announced = parse::announced_address;
        let control_address = reader.required("", "control_address", ANNOUNCED, announced);
        let seeds = reader.list("", "seeds", SEED, parse::remote_address);
        Self {
            machine: read_machine(reader),
            control_address,
            seeds,
            router: read_listen(reader, "router", LISTEN, parse::address),
            agent: read_listen(reader, "agent", ANNOUNCED, announced),
            control: ControlDraft::read(reader),
            platform: read_platform(reader),
            telemetry_listen: reader.optional("telemetry", "listen", LISTEN, parse::address),
            log_level: read_level(reader),
            json: reader.boolean("telemetry", "json", false),
            timing: TimingDraft::read(reader),
        }
    }

    fn settle(self) -> Option<Settings> {
        Some(Settings {
            machine: self.machine?,
            control_address: self.control_address?.value,
            seeds: self.seeds.into_iter().map(|seed| seed.value).collect(),
            router: settle_part(self.router, |listen| RouterSettings { listen })?,
            agent: settle_part(self.agent, |listen| AgentSettings { listen })?,
            control: match self.control {
                Some(control) => Some(control.settle()?),
                None => None,
            },
            platform: settle_part(self.platform, |url| PlatformSettings { url })?,
            telemetry: TelemetrySettings {
                listen: self.telemetry_listen.map(|listen| listen.value),
                log_level: self.log_level,
                json: self.json,
            },
            timing: self.timing.settle()?,
        })
    }
}

impl ControlDraft {
    fn read(reader: &mut Reader<'_>) -> Option<Self> {
        let known = ["operator_listen", "replicas", "group"];
        if !reader.has_section("control", known[0]) {
            reader.declare("control", &known);
            return None;
        }
        Some(Self {
            operator_listen: reader.required("control", known[0], LISTEN, parse::address),
            replicas: read_replicas(reader),
            group: reader.integer("control", "group", 0..=MAX_GROUP, 0),
        })
    }

    fn settle(self) -> Option<ControlSettings> {
        Some(ControlSettings {
            operator_listen: self.operator_listen?.value,
            replicas: u32::try_from(self.replicas?.value).ok()?,
            group: GroupId(u32::try_from(self.group?.value).ok()?),
        })
    }
}

impl TimingDraft {
    fn read(reader: &mut Reader<'_>) -> Self {
        let defaults = Timing::default();
        let mut time = |field: &str, default: Duration| {
            let default = u64::try_from(default.as_millis()).unwrap_or(u64::MAX);
            reader.integer("timing", field, MILLISECONDS, default)
        };
        Self {
            renewal: time("renewal_ms", defaults.renewal),
            lease: time("lease_ms", defaults.lease),
            drift: time("drift_ms", defaults.drift),
            heartbeat: time("heartbeat_ms", defaults.heartbeat),
            election_min: time("election_min_ms", defaults.election_min),
            election_max: time("election_max_ms", defaults.election_max),
            drain_limit: reader.integer(
                "timing",
                "drain_limit_s",
                DRAIN_SECONDS,
                defaults.drain_limit.as_secs(),
            ),
        }
    }

    fn settle(self) -> Option<Timing> {
        Some(Timing {
            renewal: Duration::from_millis(self.renewal?.value),
            lease: Duration::from_millis(self.lease?.value),
            drift: Duration::from_millis(self.drift?.value),
            heartbeat: Duration::from_millis(self.heartbeat?.value),
            election_min: Duration::from_millis(self.election_min?.value),
            election_max: Duration::from_millis(self.election_max?.value),
            drain_limit: Duration::from_secs(self.drain_limit?.value),
        })
    }
}

fn settle_part<T, S>(
    part: Option<Option<Located<T>>>,
    build: impl Fn(T) -> S,
) -> Option<Option<S>> {
    match part {
        None => Some(None),
        Some(read) => Some(Some(build(read?.value))),
    }
}

fn read_machine(reader: &mut Reader<'_>) -> Option<MachineSettings> {
    let name = reader.name("machine", "name");
    let region = reader.name("machine", "region");
    let zone = reader.name("machine", "zone");
    Some(MachineSettings {
        name: name?,
        region: region?,
        zone: zone?,
    })
}

fn read_listen(
    reader: &mut Reader<'_>,
    section: &str,
    allowed: &str,
    parse: impl Fn(&str) -> Option<SocketAddr>,
) -> Option<Option<Located<SocketAddr>>> {
    if !reader.has_section(section, "listen") {
        reader.declare(section, &["listen"]);
        return None;
    }
    Some(reader.required(section, "listen", allowed, parse))
}

fn read_platform(reader: &mut Reader<'_>) -> Option<Option<Located<String>>> {
    if !reader.has_section("platform", "url") {
        reader.declare("platform", &["url"]);
        return None;
    }
    Some(reader.required("platform", "url", URL, parse::url))
}

fn read_level(reader: &mut Reader<'_>) -> LogLevel {
    let level = reader.optional("telemetry", "log_level", LEVELS, parse::log_level);
    level.map_or(LogLevel::default(), |level| level.value)
}

fn read_replicas(reader: &mut Reader<'_>) -> Option<Located<u64>> {
    let range = 1..=MAX_REPLICAS;
    let replicas = reader.integer("control", "replicas", range, DEFAULT_REPLICAS)?;
    if replicas.value % 2 == 1 {
        return Some(replicas);
    }
    let given = replicas.value.to_string();
    reader.mistake(
        replicas.place,
        "control.replicas",
        &given,
        "an odd number from 1 to 7",
    );
    None
}

impl Draft {
    /// Listening TCP addresses with the paths of their fields.
    pub(crate) fn listeners(&self) -> Vec<(&'static str, &Located<SocketAddr>)> {
        let operator = self.control.as_ref();
        let operator = operator.and_then(|control| control.operator_listen.as_ref());
        let all = [
            ("control_address", self.control_address.as_ref()),
            ("router.listen", flatten(&self.router)),
            ("agent.listen", flatten(&self.agent)),
            ("control.operator_listen", operator),
            ("telemetry.listen", self.telemetry_listen.as_ref()),
        ];
        let given = all.into_iter();
        given
            .filter_map(|(field, listen)| Some((field, listen?)))
            .collect()
    }

    /// Whether any part is on.
    pub(crate) fn has_part(&self) -> bool {
        self.router.is_some() || self.agent.is_some() || self.control.is_some()
    }
}

fn flatten<T>(part: &Option<Option<Located<T>>>) -> Option<&Located<T>> {
    part.as_ref().and_then(|read| read.as_ref())
}

/// Place of a value, or of its section when it was left at its default.
pub(crate) fn place_or_section(place: &Place, reader: &Reader<'_>, section: &str) -> Place {
    match place {
        Place::File => reader.section_place(section),
        given => given.clone(),
    }
}
