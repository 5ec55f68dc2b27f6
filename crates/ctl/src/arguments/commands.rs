//! Reads each command's words and options.

use wingspar_control::operator::Durability;
use wingspar_world::ConfigVersion;

use super::{Parsed, Reader, UsageError, fields, values};
use crate::client::Moved;
use crate::command::{Command, Source};
use crate::help;
use crate::kind::Kind;

impl Reader {
    /// Reads the command, after the options that all share.
    pub(super) fn command(&mut self) -> Parsed<Command> {
        let Some(noun) = self.arguments.subcommand()? else {
            return Err(UsageError::new("a command is missing"));
        };
        if let Some(kind) = Kind::from_noun(&noun) {
            return self.object_command(kind);
        }
        match noun.as_str() {
            "placement" => self.placement(),
            "move" => self.moved(),
            "drain" => self.set_draining(true),
            "undrain" => self.set_draining(false),
            "weights" => self.weights(),
            "rollout" => self.rollout(),
            "group" => self.group(),
            "help" => Ok(Command::Help(help::page(""))),
            _ => Err(UsageError::new(format!("unknown command {noun:?}"))),
        }
    }

    fn object_command(&mut self, kind: Kind) -> Parsed<Command> {
        let Some(verb) = self.arguments.subcommand()? else {
            let noun = kind.noun();
            return Err(UsageError::new(format!("{noun}: a verb is missing")));
        };
        match verb.as_str() {
            "create" => Ok(Command::Create {
                kind,
                source: self.source(kind)?,
            }),
            "update" => {
                let expect = self.version()?;
                let source = self.source(kind)?;
                Ok(Command::Update {
                    kind,
                    source,
                    expect,
                })
            }
            "delete" => {
                let expect = self.version()?;
                let name = self.free("NAME")?;
                Ok(Command::Delete { kind, name, expect })
            }
            "get" => Ok(Command::Get {
                kind,
                name: self.free("NAME")?,
            }),
            "list" => self.list(kind),
            "watch" => Ok(Command::Watch { kind }),
            _ => Err(UsageError::new(format!("unknown verb {verb:?}"))),
        }
    }

    fn list(&mut self, kind: Kind) -> Parsed<Command> {
        let service = match kind {
            Kind::Target => self.value("--service")?,
            Kind::Service | Kind::Policy => None,
        };
        Ok(Command::List { kind, service })
    }

    fn version(&mut self) -> Parsed<Option<ConfigVersion>> {
        let version = self.value("--version")?;
        Ok(version.map(ConfigVersion))
    }

    fn source(&mut self, kind: Kind) -> Parsed<Source> {
        if let Some(path) = self.value::<String>("--file")? {
            return Ok(Source::File(path.into()));
        }
        let fields = fields::read(&mut self.arguments, kind)?;
        let name = self.free("NAME or --file")?;
        Ok(Source::Fields { name, fields })
    }

    fn placement(&mut self) -> Parsed<Command> {
        let verb = self.arguments.subcommand()?;
        if verb.as_deref() != Some("show") {
            return Err(UsageError::new("placement: the verb is show"));
        }
        let key = self.value("--key")?;
        let service = self.free("SERVICE")?;
        Ok(Command::Placement { service, key })
    }

    fn moved(&mut self) -> Parsed<Command> {
        let key = self.value::<String>("--key")?;
        let range = self.value::<String>("--range")?;
        let to = self.required("--to")?;
        let durability = match self.flag("--stored") {
            true => Durability::Stored,
            false => Durability::Quorum,
        };
        let moved = match (key, range) {
            (Some(key), None) => Moved::Key(key.into_bytes()),
            (None, Some(range)) => Moved::Range(values::range(&range)?),
            _ => return Err(UsageError::new("move: either --key or --range")),
        };
        Ok(Command::Move {
            service: self.free("SERVICE")?,
            moved,
            to,
            durability,
        })
    }

    fn set_draining(&mut self, draining: bool) -> Parsed<Command> {
        let target = self.free("TARGET")?;
        Ok(Command::SetDraining { target, draining })
    }

    fn weights(&mut self) -> Parsed<Command> {
        let paused = match (self.flag("--pause"), self.flag("--resume")) {
            (true, true) => return Err(UsageError::new("either --pause or --resume")),
            (true, false) => Some(true),
            (false, true) => Some(false),
            (false, false) => None,
        };
        let policy = self.free("POLICY")?;
        let mut given = Vec::new();
        while let Some(text) = self.optional_free()? {
            given.push(text);
        }
        let weights = values::weights(&given)?;
        if weights.is_empty() && paused.is_none() {
            let message = "weights: REGION=WEIGHT, --pause or --resume is missing";
            return Err(UsageError::new(message));
        }
        Ok(Command::Weights {
            policy,
            weights: (!weights.is_empty()).then_some(weights),
            paused,
        })
    }

    fn rollout(&mut self) -> Parsed<Command> {
        let wait = self.flag("--wait");
        let version = match self.optional_free()? {
            Some(text) => Some(values::version(&text)?),
            None => None,
        };
        Ok(Command::Rollout { version, wait })
    }

    fn group(&mut self) -> Parsed<Command> {
        match self.arguments.subcommand()?.as_deref() {
            None | Some("show") => Ok(Command::Group),
            Some("force-generation") => self.force_generation(),
            Some(verb) => Err(UsageError::new(format!("group: unknown verb {verb:?}"))),
        }
    }

    fn force_generation(&mut self) -> Parsed<Command> {
        let accepted = self.flag("--accept-risk");
        let dead = self.values::<String>("--dead")?;
        let dead = dead.iter().map(|text| values::node(text));
        let dead = dead.collect::<Parsed<Vec<_>>>()?;
        if !accepted || dead.is_empty() {
            let message = "group force-generation: --dead for each dead member and --accept-risk \
                           are needed; see --help";
            return Err(UsageError::new(message));
        }
        Ok(Command::ForceGeneration {
            generation: self.free("GENERATION")?,
            dead,
        })
    }
}
