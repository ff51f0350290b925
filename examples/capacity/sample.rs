//! Stored objects and messages of a given size, with names and numbers as long as realistic ones.

use std::{collections::BTreeMap, time::Duration};

use fulmarproxy::{
    coordination::roster,
    protocol::messages,
    state::{budget, holder_record, ledger, member, object_set, workspace},
};

fn member(number: u64) -> member::Member {
    member::Member {
        name: format!("backend-{number:05}").into(),
        incarnation: number.wrapping_mul(0x9e37_79b9_7f4a_7c15),
        address: format!(
            "10.{}.{}.{}:7070",
            number >> 16,
            (number >> 8) & 255,
            number & 255
        )
        .into(),
        region: "region-3".into(),
        zone: "region-3-zone-b".into(),
    }
}

/// A heartbeat of agent `number` with 16 prompt prefixes.
pub fn heartbeat(number: u64) -> messages::AgentBeat {
    messages::AgentBeat {
        member: member(number),
        service: "service-17".into(),
        load: roster::Load {
            running: 11,
            queued: 2,
            slots: 16,
            draining: false,
            down: false,
        },
        versions: messages::Versions {
            config: 1_000_000,
            fences: 2_000_000,
        },
        models: vec!["model-17".into()],
        crashes: Vec::new(),
        prefixes: (0..16).collect(),
    }
}

/// A gossip message with a number of heartbeats and fenced holders.
pub fn gossip(heartbeats: u64, fenced: u64) -> messages::Gossip {
    let seen = |number| messages::Seen {
        beat: heartbeat(number),
        age: Duration::from_millis(number),
    };
    messages::Gossip {
        member: member(0),
        versions: messages::Versions::default(),
        seen: (0..heartbeats).map(seen).collect(),
        crashes: Vec::new(),
        fenced: (0..fenced).collect(),
    }
}

/// A holder record with a number of budgets, and covered receipts of a number of agents.
pub fn record(budgets: u64, agents: u64) -> holder_record::HolderRecord {
    let budget_figures = |number: u64| {
        let figures = holder_record::HolderBudget {
            spent: 123_456_789 + number,
            received: BTreeMap::from([(member(number).incarnation, 1_000_000)]),
            ..Default::default()
        };
        (format!("budget-{number:05}").into(), figures)
    };
    let covered = |number: u64| {
        let covered = holder_record::CoveredReceipts {
            through: 1_000_000 + number,
            beyond: Vec::new(),
        };
        (member(number).incarnation, covered)
    };
    holder_record::HolderRecord {
        member: member(0),
        seq: 86_400,
        state: holder_record::HolderState::Live,
        budgets: (0..budgets).map(budget_figures).collect(),
        covered: (1..=agents).map(covered).collect(),
        agents: Default::default(),
    }
}

/// A ledger bucket with a number of budgets, each with a number of shares.
pub fn bucket(budgets: u64, shares: u64) -> ledger::Bucket {
    let share = |number: u64| {
        let share = ledger::Share {
            granted: 1_000_000 + number,
            seq: 1_000,
        };
        (member(number).incarnation, share)
    };
    let entry = |number: u64| {
        let entry = ledger::Entry {
            total: 1_000_000_000,
            version: 1_000_000,
            closed: 123_456_789,
            shares: (1..=shares).map(share).collect(),
            cap: None,
        };
        (format!("budget-{number:05}").into(), entry)
    };
    ledger::Bucket {
        entries: (0..budgets).map(entry).collect(),
        done: Default::default(),
    }
}

/// The objects of a configuration with a number of workspaces and budgets.
pub fn configuration(workspaces: u64, budgets: u64) -> object_set::ObjectSet {
    let mut configuration = object_set::ObjectSet::default();
    for number in 0..workspaces {
        let workspace = workspace::Workspace {
            name: format!("workspace-{number:04}").into(),
            budget: format!("budget-{number:05}").into(),
            keys: vec![format!("{number:064x}")],
            routes: vec!["route-1".into(), "route-2".into()],
            weight: 1,
        };
        configuration
            .workspaces
            .insert(workspace.name.clone(), workspace);
    }
    for number in 0..budgets {
        let budget = budget::Budget {
            name: format!("budget-{number:05}").into(),
            prepaid_tokens: 1_000_000_000,
            autonomy_seconds: 600,
        };
        configuration.budgets.insert(budget.name.clone(), budget);
    }
    configuration
}
