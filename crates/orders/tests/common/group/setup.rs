//! What a group starts with.

use dragonflyrill_catalogue::EndpointId;
use dragonflyrill_orders::{
    group::{Group, GroupConfig, GroupSpec, RawGroup, RawRange},
    lease::Fence,
};

use super::{MODEL, Orders};
use crate::common::{engine::Engine, ms};

pub(crate) struct Setup {
    /// Version and first and last layer of each endpoint.
    pub(crate) engines: &'static [(&'static str, u32, u32)],
    pub(crate) minimums: [u32; 2],
    pub(crate) checks_fence: bool,
    pub(crate) late: bool,
    pub(crate) flight: u64,
    pub(crate) faults: u32,
    pub(crate) takeovers: u32,
    pub(crate) deaths: u32,
    pub(crate) declarations: u32,
}

impl Orders {
    pub(crate) fn new(setup: &Setup) -> Self {
        let names: Vec<_> = (0..setup.engines.len()).map(|i| format!("e{i}")).collect();
        let ranges = [0, 1].map(|i| RawRange {
            first: i,
            end: i + 1,
            minimum: setup.minimums[i as usize],
        });
        let declared = |version: &str| RawGroup {
            model: MODEL.to_owned(),
            data_centre: "d".to_owned(),
            version: version.to_owned(),
            layers: 2,
            ranges: ranges.to_vec(),
            spares: 0,
            endpoints: names.clone(),
            loads_at_once: 2,
            layers_per_second: 1000,
        };
        let spec = GroupSpec::try_from(declared("2")).unwrap();
        let next_spec = GroupSpec::try_from(declared("3")).unwrap();
        let engines = names.iter().zip(setup.engines).map(|(name, held)| {
            let mut engine = Engine::new(name, MODEL, held.0, held.1, held.2);
            engine.checks_fence = setup.checks_fence;
            engine.layer_time = ms(setup.flight / 2);
            (EndpointId::try_from(name.as_str()).unwrap(), engine)
        });
        let cfg = GroupConfig {
            max_flight_time: ms(setup.flight),
            read_interval: ms(1),
            max_state_age: ms(2),
            drain_settle_time: ms(1),
            max_drain_time: ms(3),
        };
        let group = Group::new(cfg, spec.clone());
        let mut orders = Self {
            time: 0,
            spec,
            next_spec,
            declarations_left: setup.declarations,
            groups: [group.clone(), group],
            engines: engines.collect(),
            calls: Vec::new(),
            slow: None,
            answers: Vec::new(),
            drained: Vec::new(),
            holder: 0,
            fence: 1,
            believes: false,
            faults_left: setup.faults,
            takeovers_left: setup.takeovers,
            deaths_left: setup.deaths,
            deaths: 0,
            late: setup.late,
            flight: setup.flight,
        };
        let mut actions = Vec::new();
        orders.groups[0].lease_held(ms(0), Fence(1), &mut actions);
        orders.calm_steps(setup.flight as u32).unwrap();
        // The hosts have heard of different endpoints that they have no requests, and so choose
        // different ones.
        for (index, (id, _)) in orders.engines.iter().enumerate() {
            orders.groups[0].set_session_count(id, 0, ms(0));
            if index % 2 == 1 {
                orders.groups[1].set_session_count(id, 0, ms(0));
            }
        }
        orders
    }
}

pub(crate) const ROLLOUT: &[(&str, u32, u32)] =
    &[("1", 0, 1), ("1", 0, 1), ("1", 1, 2), ("1", 1, 2)];
pub(crate) const ROLLOUT_SPARE: &[(&str, u32, u32)] = &[
    ("1", 0, 1),
    ("1", 0, 1),
    ("1", 1, 2),
    ("1", 1, 2),
    ("1", 1, 2),
];
pub(crate) const SPARE: &[(&str, u32, u32)] = &[("1", 0, 1), ("2", 1, 2), ("2", 5, 6)];

pub(crate) fn setup(engines: &'static [(&'static str, u32, u32)]) -> Setup {
    Setup {
        engines,
        minimums: [1, 1],
        checks_fence: true,
        late: false,
        flight: 2,
        faults: 1,
        takeovers: 1,
        deaths: 0,
        declarations: 0,
    }
}
