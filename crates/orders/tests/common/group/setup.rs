//! The initial states of simulated groups.

use dragonflyrill_catalogue::EndpointId;
use dragonflyrill_orders::{
    group::{Group, GroupConfig, GroupSpec, RawGroup, RawRange},
    lease::Fence,
};

use super::{GroupSimulation, MODEL};
use crate::common::{engine::Engine, ms};

pub(crate) struct Setup {
    /// For each endpoint: the version, the first layer, and one past the last layer.
    pub(crate) engines: &'static [(&'static str, u32, u32)],
    pub(crate) minimums: [u32; 2],
    pub(crate) checks_fence: bool,
    pub(crate) late_orders: bool,
    pub(crate) max_flight_time: u64,
    pub(crate) faults: u32,
    pub(crate) takeovers: u32,
    pub(crate) crashes: u32,
    pub(crate) declarations: u32,
}

impl GroupSimulation {
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
            engine.layer_time = ms(setup.max_flight_time / 2);
            (EndpointId::try_from(name.as_str()).unwrap(), engine)
        });
        let cfg = GroupConfig {
            max_flight_time: ms(setup.max_flight_time),
            read_interval: ms(1),
            max_state_age: ms(2),
            drain_settle_time: ms(1),
            max_drain_time: ms(3),
        };
        let group = Group::new(cfg, spec.clone());
        let mut simulation = Self {
            time: 0,
            spec,
            next_spec,
            declarations_left: setup.declarations,
            groups: [group.clone(), group],
            engines: engines.collect(),
            calls: Vec::new(),
            delayed_endpoint: None,
            answers: Vec::new(),
            drained: Vec::new(),
            holder: 0,
            fence: 1,
            stale_holder: false,
            faults_left: setup.faults,
            takeovers_left: setup.takeovers,
            crashes_left: setup.crashes,
            crashes: 0,
            late_orders: setup.late_orders,
            max_flight_time: setup.max_flight_time,
        };
        let mut actions = Vec::new();
        simulation.groups[0].lease_held(ms(0), Fence(1), &mut actions);
        simulation
            .run_without_faults(setup.max_flight_time as u32)
            .unwrap();
        // The hosts know of different endpoints that they have no sessions, so that they choose
        // different endpoints.
        for (index, (id, _)) in simulation.engines.iter().enumerate() {
            simulation.groups[0].set_session_count(id, 0, ms(0));
            if index % 2 == 1 {
                simulation.groups[1].set_session_count(id, 0, ms(0));
            }
        }
        simulation
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
        late_orders: false,
        max_flight_time: 2,
        faults: 1,
        takeovers: 1,
        crashes: 0,
        declarations: 0,
    }
}
