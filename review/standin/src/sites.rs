//! Small deployments, with the figures of the users' pages.

use std::collections::BTreeMap;

use crate::cluster::Deployment;
use crate::world::{Config, Job, MachineType};

/// `thapa-tables-kathmandu`: three controllers in one zone.
pub fn thapa() -> Deployment {
    let kind = |label, cores, memory_gb, price, low_price, startup_s, pull_gb_per_s| MachineType {
        label,
        cores,
        memory_gb,
        price,
        low_price,
        startup_s,
        pull_gb_per_s,
        fields: vec!["kathmandu"],
    };
    let teams = [
        "availability",
        "messaging",
        "payments",
        "insights",
        "partners",
        "search",
    ];
    Deployment {
        zones: vec!["kathmandu"],
        areas: vec!["kathmandu"; 3],
        teams: teams.iter().map(|t| (*t, 60.0, 180.0)).collect(),
        objectives: r#"[{"kind":"wait","class":"seat-sync","within_s":200.0,"share":0.75},{"kind":"finished","class":"seat-sync","within_s":250.0,"share":0.78},{"kind":"deadline","class":"reminder-send","share":0.9,"times":1.0},{"kind":"guarantee","within_s":10.0,"share":0.8}]"#,
        gang_peer_s: 8.0,
        latency_ms: 5.0,
        rps: 250.0,
        write_rps: 50.0,
        value_kb: 8.0,
        txn_ops: 40,
        cloud_rps: 3.0,
        cores: 0.04,
        ram_mb: 56.0,
        fd_limit: 500,
        world: Config {
            types: vec![
                kind("momo", 4.0, 32.0, 0.29, 0.1, 30.0, 0.2),
                kind("thali", 32.0, 128.0, 2.07, 0.84, 40.0, 0.2),
                kind("dalbhat", 64.0, 512.0, 5.04, 1.91, 50.0, 0.4),
            ],
            report_s: 3.0,
            lease_s: 16.0,
            gang_wait_s: 30.0,
            cancel_s: 41.0,
            list_lag_s: 8.0,
            limits: teams
                .iter()
                .map(|t| ((*t).to_owned(), 180.0))
                .collect::<BTreeMap<_, _>>(),
        },
    }
}

/// A job of the class `reminder-send` with these run times.
pub fn reminder(id: u32, crew: &str, run_s: Vec<f64>) -> Job {
    let mut sorted = run_s.clone();
    sorted.sort_by(f64::total_cmp);
    Job {
        id: format!("req-{id:06}"),
        crop: "reminder-send".into(),
        crew: crew.into(),
        furrow: "batch",
        rank: "standard",
        cores: 1.0,
        memory_gb: 2.4,
        plots: None,
        field: None,
        same_place: false,
        spread: false,
        fallow: true,
        seed: format!("img-{crew}"),
        size_gb: 0.7,
        growth_s: sorted[sorted.len() / 2],
        stook_s: 0.0,
        bind_s: 0.0,
        harvest_s: None,
        run_s,
        trails: Vec::new(),
    }
}

/// `brathwaite-lpg` at its small size: three controllers, one in each zone.
pub fn lpg() -> Deployment {
    let kind =
        |label, cores, memory_gb, price, low_price, startup_s, pull_gb_per_s, fields| MachineType {
            label,
            cores,
            memory_gb,
            price,
            low_price,
            startup_s,
            pull_gb_per_s,
            fields,
        };
    let zones = vec!["old-harbour", "may-pen", "portmore"];
    let teams = [
        ("filling-crew", 64.0, 344.0),
        ("lorry-desk", 24.0, 104.0),
        ("shop-accounts", 40.0, 176.0),
        ("empties-yard", 48.0, 344.0),
        ("safety-check", 40.0, 240.0),
    ];
    Deployment {
        zones: zones.clone(),
        areas: zones.clone(),
        teams: teams.to_vec(),
        objectives: r#"[{"kind":"finished","class":"empties-tally","within_s":90.0,"share":0.85},{"kind":"wait","class":"order-desk","within_s":3.0,"share":0.93}]"#,
        gang_peer_s: 4.0,
        latency_ms: 6.0,
        rps: 200.0,
        write_rps: 80.0,
        value_kb: 8.0,
        txn_ops: 32,
        cloud_rps: 3.0,
        cores: 0.08,
        ram_mb: 72.0,
        fd_limit: 1500,
        world: Config {
            types: vec![
                kind(
                    "gate-box",
                    4.0,
                    16.0,
                    0.25,
                    0.1,
                    40.0,
                    0.5,
                    vec!["old-harbour", "may-pen"],
                ),
                kind(
                    "plant-box",
                    16.0,
                    32.0,
                    0.93,
                    0.37,
                    30.0,
                    0.4,
                    vec!["old-harbour"],
                ),
                kind("harbour-rack", 64.0, 256.0, 3.74, 1.55, 35.0, 0.4, zones),
            ],
            report_s: 4.0,
            lease_s: 20.0,
            gang_wait_s: 50.0,
            cancel_s: 50.0,
            list_lag_s: 12.0,
            limits: teams
                .iter()
                .map(|(t, _, max)| ((*t).to_owned(), *max))
                .collect(),
        },
    }
}

/// A job of the class `order-desk`, spread over zones.
pub fn order_desk(id: u32, crew: &str, replicas: usize) -> Job {
    Job {
        crop: "order-desk".into(),
        furrow: "standing",
        rank: "critical",
        cores: 4.0,
        memory_gb: 3.7,
        spread: true,
        fallow: true,
        seed: "img-order-desk".into(),
        size_gb: 0.1,
        growth_s: 0.0,
        run_s: vec![0.0; replicas],
        ..reminder(id, crew, vec![1.0])
    }
}

/// A job of the class `empties-tally` for one zone. The estimate is twice the run time.
pub fn empties_tally(id: u32, crew: &str, field: &str, run_s: Vec<f64>) -> Job {
    Job {
        crop: "empties-tally".into(),
        cores: 4.0,
        memory_gb: 4.8,
        field: Some(field.into()),
        growth_s: 2.0 * run_s[0],
        seed: format!("img-tally-{id}"),
        size_gb: 0.3,
        ..reminder(id, crew, run_s)
    }
}

/// `brathwaite-oil-kingston`: three controllers, one in each zone.
pub fn brathwaite() -> Deployment {
    let kind = |label, cores, memory_gb, price, low_price, startup_s, pull_gb_per_s| MachineType {
        label,
        cores,
        memory_gb,
        price,
        low_price,
        startup_s,
        pull_gb_per_s,
        fields: vec!["kingston", "mandeville", "spanish-town"],
    };
    let teams = [
        "dispatch-00",
        "dispatch-01",
        "dispatch-02",
        "dispatch-03",
        "dispatch-04",
        "dispatch-05",
        "dispatch-06",
        "dispatch-07",
        "dispatch-08",
        "dispatch-09",
    ];
    let zones = vec!["kingston", "mandeville", "spanish-town"];
    Deployment {
        zones: zones.clone(),
        areas: zones,
        teams: teams.iter().map(|t| (*t, 60.0, 180.0)).collect(),
        objectives: r#"[{"kind":"wait","class":"route-solve","within_s":150.0,"share":0.8},{"kind":"finished","class":"tank-forecast","within_s":70.0,"share":0.88},{"kind":"guarantee","within_s":10.0,"share":0.94}]"#,
        gang_peer_s: 6.0,
        latency_ms: 4.0,
        rps: 80.0,
        write_rps: 25.0,
        value_kb: 4.0,
        txn_ops: 12,
        cloud_rps: 10.0,
        cores: 0.2,
        ram_mb: 200.0,
        fd_limit: 3500,
        world: Config {
            types: vec![
                kind("yard-box", 4.0, 32.0, 0.29, 0.09, 15.0, 1.0),
                kind("office-box", 8.0, 32.0, 0.46, 0.14, 50.0, 0.25),
                kind("depot-rack", 64.0, 512.0, 4.44, 1.43, 30.0, 1.0),
            ],
            report_s: 3.0,
            lease_s: 45.0,
            gang_wait_s: 30.0,
            cancel_s: 75.0,
            list_lag_s: 10.0,
            limits: teams.iter().map(|t| ((*t).to_owned(), 180.0)).collect(),
        },
    }
}

/// A job of the class `tank-forecast`.
pub fn tank_forecast(id: u32, run_s: Vec<f64>) -> Job {
    Job {
        crop: "tank-forecast".into(),
        cores: 2.0,
        memory_gb: 6.4,
        seed: "img-tank".into(),
        size_gb: 1.2,
        ..reminder(id, "dispatch-00", run_s)
    }
}
