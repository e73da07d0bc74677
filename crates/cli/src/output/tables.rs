//! Formats answers as lines and tables.

use celerygate_types::wire::{
    DrainSubject, IntentAnswer, IntentKind, IntentRecord, LinkUse, PlanStep, RegionHeadroom,
    StatusAnswer,
};
use comfy_table::{ContentArrangement, Table, presets};

use super::replace_control_characters;
use crate::share;

/// Formats an intent with its plan and progress.
pub fn intent(answer: &IntentAnswer) -> String {
    let record = &answer.record;
    let mut lines = vec![
        format!("{}: {}", record.intent, describe(&record.kind)),
        format!("state: {}", state_with_reason(record)),
        format!(
            "based on revision {}, confirmed at {}, current {}, last change in force: {}",
            record.based_on,
            value_or_dash(record.confirmed_revision),
            answer.revision,
            yes_no(answer.in_force),
        ),
    ];
    if let Some(refusal) = &record.plan.refusal {
        lines.push(format!("refused with {}: {}", refusal.code, refusal.reason));
    }
    lines.extend(record.plan.risks.iter().map(|risk| format!("risk: {risk}")));
    if !record.plan.steps.is_empty() {
        let steps = record.plan.steps.iter().enumerate();
        let rows = steps.map(|(index, step)| step_row(index, step, record.next_step));
        lines.push(format_table(["step", "state", "what", "links B/s", "regions slots"], rows));
    }
    replace_control_characters(&lines.join("\n"))
}

/// Formats the state of the system.
pub fn status(answer: &StatusAnswer) -> String {
    let mut lines = vec![format!(
        "answered by {}: term {}, leader {}, revision {}, in force {}, fresh: {}",
        answer.vm,
        answer.term,
        value_or_dash(answer.leader.as_ref()),
        answer.revision,
        value_or_dash(answer.in_force_revision),
        yes_no(answer.fresh),
    )];
    let vms = answer.vms.iter().map(|vm| {
        let leader = if vm.leader { "leader" } else { "" };
        let last_heard = vm.heard_ms.map(|ms| format!("{ms} ms ago"));
        let (state, revision) = (value_or_dash(vm.state), value_or_dash(vm.revision));
        let names = [vm.vm.to_string(), vm.region.to_string()];
        names.into_iter().chain([state, revision, value_or_dash(last_heard), leader.to_owned()])
    });
    push_table(&mut lines, ["vm", "region", "state", "revision", "heard", "role"], vms);
    let regions = answer.regions.iter().map(|region| {
        [
            region.region.to_string(),
            region.load_slots.get().to_string(),
            region.capacity_slots.get().to_string(),
        ]
    });
    push_table(&mut lines, ["region", "load slots", "capacity slots"], regions);
    let links = answer.links.iter().map(|link| {
        let (used, cap) = (link.use_bytes_per_s.get(), link.cap_bytes_per_s.get());
        [format!("{} to {}", link.from, link.to), used.to_string(), cap.to_string()]
    });
    push_table(&mut lines, ["link", "use B/s", "cap B/s"], links);
    let organisations = answer.organisations.iter().map(|organisation| {
        let keys: Vec<_> = organisation.keys.iter().map(|key| key.as_str()).collect();
        [
            organisation.organisation.to_string(),
            organisation.rate_requests_per_s.get().to_string(),
            organisation.burst_requests.get().to_string(),
            keys.join(" "),
        ]
    });
    push_table(
        &mut lines,
        ["organisation", "rate requests/s", "burst requests", "keys"],
        organisations,
    );
    let targets = answer.targets.iter().map(|target| {
        [
            target.service.to_string(),
            target.target.to_string(),
            target.region.to_string(),
            format!("{} of {}", target.running_slots.get(), target.slots.get()),
            yes_no(target.usable).to_owned(),
            target.note.to_string(),
        ]
    });
    push_table(&mut lines, ["service", "target", "region", "slots", "usable", "note"], targets);
    let intents = answer.intents.iter().map(|record| {
        let steps = format!("{} of {}", record.next_step, record.plan.steps.len());
        [record.intent.to_string(), describe(&record.kind), state_with_reason(record), steps]
    });
    push_table(&mut lines, ["intent", "what", "state", "steps"], intents);
    replace_control_characters(&lines.join("\n"))
}

/// Returns the state of an intent, with the reason if it is held.
pub fn state_with_reason(record: &IntentRecord) -> String {
    match &record.held_reason {
        Some(reason) => format!("{}: {reason}", record.state),
        None => record.state.to_string(),
    }
}

/// Returns a short description of an intent.
pub fn describe(kind: &IntentKind) -> String {
    match kind {
        IntentKind::Move(it) => {
            format!(
                "move {} of {} from {} to {}",
                share::format_percent(it.share_ppm),
                it.service,
                it.from,
                it.to
            )
        }
        IntentKind::Drain(DrainSubject::Region(region)) => format!("drain region {region}"),
        IntentKind::Drain(DrainSubject::Target(it)) => {
            format!("drain target {} of {}", it.target, it.service)
        }
        IntentKind::Drain(DrainSubject::Vm(vm)) => format!("drain vm {vm}"),
        IntentKind::KeyIssue(it) => format!("issue key {} to {}", it.key, it.organisation),
        IntentKind::KeyReplace(it) => format!(
            "replace key {} of {} by {} with an overlap of {} ms",
            it.old_key, it.organisation, it.key, it.overlap_ms
        ),
        IntentKind::KeyWithdraw(it) => format!("withdraw key {} of {}", it.key, it.organisation),
        IntentKind::Rate(it) => format!(
            "set the rate of {} to {} with a burst of {}",
            it.organisation, it.rate_requests_per_s, it.burst_requests
        ),
        IntentKind::Cancel(intent) => format!("cancel {intent}"),
        IntentKind::Pause(intent) => format!("pause {intent}"),
        IntentKind::Resume(intent) => format!("resume {intent}"),
    }
}

fn step_row(index: usize, step: &PlanStep, next_step: u32) -> [String; 5] {
    let state = if index < next_step as usize { "applied" } else { "" };
    let links: Vec<_> = step.links.iter().map(link_cell).collect();
    let regions: Vec<_> = step.regions.iter().map(region_cell).collect();
    [
        (index + 1).to_string(),
        state.to_owned(),
        step.note.to_string(),
        links.join("\n"),
        regions.join("\n"),
    ]
}

fn link_cell(link: &LinkUse) -> String {
    let (used, cap) = (link.use_bytes_per_s.get(), link.cap_bytes_per_s.get());
    format!("{} to {}: {used} of {cap}", link.from, link.to)
}

fn region_cell(region: &RegionHeadroom) -> String {
    format!("{}: {} of {}", region.region, region.load_slots.get(), region.capacity_slots.get())
}

fn value_or_dash(value: Option<impl ToString>) -> String {
    value.map_or_else(|| "-".to_owned(), |value| value.to_string())
}

fn yes_no(value: bool) -> &'static str {
    if value { "yes" } else { "no" }
}

/// Appends a table to `lines` if it has rows.
fn push_table<R: IntoIterator<Item = String>, const N: usize>(
    lines: &mut Vec<String>,
    header: [&str; N],
    rows: impl Iterator<Item = R>,
) {
    let mut rows = rows.peekable();
    if rows.peek().is_some() {
        lines.push(format!("\n{}", format_table(header, rows)));
    }
}

/// Formats a table. The layout does not depend on the terminal, so that scripts can search and
/// compare the lines.
fn format_table<R: IntoIterator<Item = String>, const N: usize>(
    header: [&str; N],
    rows: impl Iterator<Item = R>,
) -> String {
    let mut table = Table::new();
    table.load_style(presets::NOTHING).set_content_arrangement(ContentArrangement::Disabled);
    table.force_no_tty().set_header(header);
    for row in rows {
        table.add_row(row);
    }
    table.trim_fmt()
}
