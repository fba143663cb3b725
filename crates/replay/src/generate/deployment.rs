//! The deployments that synthetic traces can be generated for.

/// The traffic of a deployment.
#[derive(Debug, PartialEq)]
pub struct Deployment {
    /// The name in the header of the trace.
    pub name: &'static str,
    /// The model of all requests.
    pub model: &'static str,
    /// The number of layers of the model.
    pub layers: u32,
    /// The plain service of all calls.
    pub service: &'static str,
    /// The path whose calls must run at most once.
    pub once_path: &'static str,
    /// The path whose calls may be repeated.
    pub read_path: &'static str,
    /// The data centres.
    pub data_centres: [&'static str; 3],
    /// The workspaces.
    pub workspaces: [Workspace; 10],
}

/// A workspace and its weight in the traffic.
#[derive(Debug, PartialEq)]
pub struct Workspace {
    /// The name.
    pub name: &'static str,
    /// The weight of its arrivals, relative to the other workspaces.
    pub weight: u32,
}

const fn large(name: &'static str) -> Workspace {
    Workspace { name, weight: 8 }
}

const fn small(name: &'static str) -> Workspace {
    Workspace { name, weight: 1 }
}

/// The Namhae deployment.
pub static NAMHAE: Deployment = Deployment {
    name: "namhae",
    model: "drill-lm",
    layers: 32,
    service: "quay-app",
    once_path: "/certificates",
    read_path: "/seals",
    data_centres: ["tongyeong", "geoje", "namhae"],
    workspaces: [
        large("oyster-co-op"),
        large("abalone-co-op"),
        large("export-clearing"),
        small("mussel-co-op"),
        small("hatchery-geoje"),
        small("hatchery-namhae"),
        small("customs-brokers"),
        small("cold-chain-trucks"),
        small("quay-inspection"),
        small("tank-monitoring"),
    ],
};

/// The Kiosknetz deployment.
pub static KIOSKNETZ: Deployment = Deployment {
    name: "kiosknetz",
    model: "werkstatt-llm",
    layers: 32,
    service: "auftrag-app",
    once_path: "/dispatches",
    read_path: "/tickets",
    data_centres: ["bern-ost", "olten-nord", "luzern-sued"],
    workspaces: [
        large("partner-fernsprech"),
        large("partner-billett"),
        large("partner-infopunkt"),
        small("gemeinde-bern"),
        small("gemeinde-olten"),
        small("gemeinde-luzern"),
        small("disposition-nacht"),
        small("ersatzteile"),
        small("abrechnung"),
        small("netzaufsicht"),
    ],
};

impl Deployment {
    /// The deployment with the name `name`, if there is one.
    pub fn by_name(name: &str) -> Option<&'static Self> {
        [&NAMHAE, &KIOSKNETZ].into_iter().find(|d| d.name == name)
    }
}
