//! Cost of fair shares: what a request adds, and what a poll adds on the host that is polled.
//!
//! `cargo bench -p dragonflyrill-fleet --bench fair_share`

use std::{hint::black_box, rc::Rc, time::Duration};

use criterion::Criterion;
use dragonflyrill_fleet::{
    choice::LoadMap,
    fair_share::{self, WorkspaceReport, WorkspaceUsage},
};

const NOW: Duration = Duration::from_secs(1);

/// A host with work of the given number of workspaces.
fn host(workspaces: usize) -> WorkspaceUsage {
    let mut usage = WorkspaceUsage::default();
    usage.set_enabled(true);
    for i in 0..workspaces {
        let name = Rc::from(format!("workspace-{i}"));
        usage.begin(&name, 500.0 + (i * 37 % 101) as f64);
    }
    usage
}

fn request(c: &mut Criterion, workspaces: usize) {
    let mut usage = host(workspaces);
    let mut sum = LoadMap::default();
    for i in 0..workspaces {
        let name = Rc::from(format!("workspace-{i}"));
        let report = WorkspaceReport {
            named: vec![(name, 90_000.0 + i as f64)],
            rest: None,
        };
        report.add_to(&mut sum);
    }
    fair_share::limit_named(&mut sum);
    usage.apply_others(WorkspaceReport::take_from(&mut sum), NOW);
    let workspace: Rc<str> = "workspace-3".into();
    c.bench_function(&format!("a request among {workspaces} workspaces"), |b| {
        b.iter(|| {
            usage.begin(&workspace, 700.0);
            let excess = usage.excess(black_box(&workspace), NOW);
            usage.end(&workspace, 700.0);
            excess
        });
    });
}

fn poll(c: &mut Criterion, workspaces: usize) {
    let usage = host(workspaces);
    let others = {
        let mut loads = LoadMap::default();
        for i in 0..workspaces {
            let name = Rc::from(format!("workspace-{i}"));
            let report = WorkspaceReport {
                named: vec![(name, 90_000.0)],
                rest: None,
            };
            report.add_to(&mut loads);
        }
        loads
    };
    c.bench_function(&format!("a sum of {workspaces} workspaces"), |b| {
        b.iter(|| {
            let mut sum = others.clone();
            usage.own_report().add_to(&mut sum);
            fair_share::limit_named(&mut sum);
            sum.len()
        });
    });
}

fn main() {
    let mut c = Criterion::default().configure_from_args();
    for workspaces in [24, 220] {
        request(&mut c, workspaces);
        poll(&mut c, workspaces);
    }
    c.final_summary();
}
