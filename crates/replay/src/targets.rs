//! The targets file: the addresses of the targets that a trace names.
//!
//! It is in INI format with one section for each process or endpoint, and is written by the program
//! that started them:
//!
//! ```ini
//! [engine-geoje-1]
//! role = engine
//! address = 127.0.0.1:4101
//! ```

use std::{collections::BTreeMap, fmt, net::SocketAddr, path::Path};

use anyhow::{Context, bail, ensure};

/// The role of a target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Role {
    /// An entry host of the system.
    Entry,
    /// A model engine, which has a ledger.
    Engine,
    /// A plain service, which has a ledger.
    Service,
    /// The platform.
    Platform,
}

impl Role {
    /// The role as it is written in the file.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Entry => "entry",
            Self::Engine => "engine",
            Self::Service => "service",
            Self::Platform => "platform",
        }
    }
}

impl fmt::Display for Role {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

/// One process or endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Target {
    /// The role of the target.
    pub role: Role,
    /// The address that the target listens on.
    pub address: SocketAddr,
}

/// All targets, by name.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Targets {
    by_name: BTreeMap<String, Target>,
}

impl Targets {
    /// Reads a targets file.
    pub fn read(path: &Path) -> anyhow::Result<Self> {
        let name = path.display().to_string();
        let text = std::fs::read_to_string(path).with_context(|| name.clone())?;
        Self::parse(&name, &text)
    }

    /// Parses the text of a targets file. Errors name `file` as its source.
    pub fn parse(file: &str, text: &str) -> anyhow::Result<Self> {
        let ini = ini::Ini::load_from_str(text).with_context(|| file.to_owned())?;
        let mut by_name = BTreeMap::new();
        for (section, properties) in &ini {
            let Some(name) = section else {
                ensure!(
                    properties.is_empty(),
                    "{file}: keys before the first section"
                );
                continue;
            };
            let location = format!("{file}: [{name}]");
            let target = parse_target(&location, properties)?;
            let earlier = by_name.insert(name.to_owned(), target);
            ensure!(earlier.is_none(), "{location}: duplicate section");
        }
        Ok(Self { by_name })
    }

    /// The target with the name `name`, if there is one.
    pub fn get(&self, name: &str) -> Option<Target> {
        self.by_name.get(name).copied()
    }

    /// All targets of the role `role`, ordered by name.
    pub fn of_role(&self, role: Role) -> impl Iterator<Item = (&str, Target)> {
        let all = self.by_name.iter();
        all.filter(move |(_, target)| target.role == role)
            .map(|(name, target)| (name.as_str(), *target))
    }
}

fn parse_target(location: &str, properties: &ini::Properties) -> anyhow::Result<Target> {
    let mut role = None;
    let mut address = None;
    for (key, value) in properties.iter() {
        match key {
            "role" => role = Some(parse_role(location, value)?),
            "address" => {
                let parsed = value.parse();
                let reason = || format!("{location} address = {value}: must be IP:PORT");
                address = Some(parsed.with_context(reason)?);
            }
            _ => bail!("{location} {key}: unknown key; known are role and address"),
        }
    }
    Ok(Target {
        role: role.with_context(|| format!("{location} role is missing"))?,
        address: address.with_context(|| format!("{location} address is missing"))?,
    })
}

fn parse_role(location: &str, value: &str) -> anyhow::Result<Role> {
    let known = [Role::Entry, Role::Engine, Role::Service, Role::Platform];
    let role = known.into_iter().find(|role| role.as_str() == value);
    let reason =
        || format!("{location} role = {value}: must be entry, engine, service or platform");
    role.with_context(reason)
}
