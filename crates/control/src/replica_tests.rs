//! Tests of single consensus steps: two leaders, lost entries, votes that must be refused.

use celerygate_types::ManualClock;
use celerygate_types::wire::{
    AppendReply, AppendRequest, InstallSnapshot, MemberRole, MembershipChange, VoteReply,
    VoteRequest,
};

use super::*;

fn vm(number: u64) -> VmId {
    format!("vm-{number}").parse().unwrap()
}

fn bootstrap() -> LogEntry {
    let member = |number| Member {
        callers_address: "127.0.0.1:1".into(),
        operators_address: "127.0.0.1:2".into(),
        peer_address: "127.0.0.1:3".into(),
        data_centre: "dc".parse().unwrap(),
        region: "r".parse().unwrap(),
        role: MemberRole::Voter,
        store_id: Some(number),
        vm: vm(number),
    };
    let configuration = Configuration {
        client_blocks: vec![],
        drains: vec![],
        intents: vec![],
        links: vec![],
        members: (1..=3).map(member).collect(),
        organisations: vec![],
        regions: vec![],
        revision: Default::default(),
        routes: vec![],
        services: vec![],
        slot_owners: vec![],
        document: celerygate_types::wire::Document { version: 0, items: vec![], accepted: vec![] },
        evacuated: vec![],
        content_revision: celerygate_types::Revision(0),
    };
    LogEntry { command: Command::Bootstrap(configuration), index: LogIndex(1), term: Term(1) }
}

fn noop(index: u64, term: u64) -> LogEntry {
    LogEntry { command: Command::Noop(Term(term)), index: LogIndex(index), term: Term(term) }
}

/// VM 1 of three voters, with one entry in its log.
struct Fixture {
    replica: Replica,
    clock: ManualClock,
}

impl Fixture {
    fn new(store_id: u64) -> Self {
        let clock = ManualClock::new();
        let mut tail = Tail::default();
        tail.push(bootstrap());
        let initial = InitialState {
            vm: vm(1),
            store_id,
            vote: VoteRecord { term: Term(1), voted_for: None },
            members: vec![],
            tail,
            random: 0,
            entry_bytes: |_| 1,
        };
        Self { replica: Replica::new(initial, clock.clock().now()), clock }
    }

    fn input(&mut self, input: Input) -> Vec<Action> {
        step(&mut self.replica, input, self.clock.clock().now())
    }

    fn receive(&mut self, from: u64, message: impl Into<Message>) -> Vec<Action> {
        self.input(Input::Message { from: vm(from), message: message.into() })
    }

    fn wait(&mut self, ms: u64) {
        self.clock.advance(Duration::from_millis(ms));
    }

    fn vote_request(&mut self, term: u64) -> Vec<Action> {
        let (last_index, last_term) = (LogIndex(1), Term(1));
        self.receive(2, VoteRequest { last_index, last_term, pre_vote: false, term: Term(term) })
    }

    fn append(&mut self, term: u64, previous: (u64, u64), entries: Vec<LogEntry>) -> Vec<Action> {
        let request = AppendRequest {
            commit_index: LogIndex(1),
            entries,
            previous_index: LogIndex(previous.0),
            previous_term: Term(previous.1),
            round: 1,
            term: Term(term),
        };
        self.receive(2, request)
    }

    /// Makes VM 1 the leader of term 2 with all writes synced.
    fn elect(&mut self) {
        self.wait(1_000);
        self.input(Input::Tick { random: 0 });
        for pre_vote in [true, false] {
            let term = Term(2);
            self.receive(2, VoteReply { granted: true, pre_vote, store_id: 2, term });
        }
        assert!(self.replica.is_leader());
        self.input(Input::WriteCompleted(1));
    }

    fn reply(&mut self, store_id: u64, round: u64, match_index: u64) -> Vec<Action> {
        let match_index = LogIndex(match_index);
        let term = Term(2);
        self.receive(2, AppendReply { match_index, round, store_id, success: true, term })
    }
}

fn granted(actions: &[Action]) -> bool {
    actions.iter().any(|action| match action {
        Action::Send { message, .. } => matches!(&**message, Message::VoteReply(r) if r.granted),
        _ => false,
    })
}

fn append_replies(actions: &[Action]) -> Vec<(bool, u64)> {
    let reply = |action: &Action| match action {
        Action::Send { message, .. } => match &**message {
            Message::AppendReply(reply) => Some((reply.success, reply.match_index.0)),
            _ => None,
        },
        _ => None,
    };
    actions.iter().filter_map(reply).collect()
}

/// Guards against a vote that breaks a lease: soon after a start, or soon after contact from a
/// leader.
#[test]
fn vote_request_within_refusal_period() {
    let mut fixture = Fixture::new(1);
    fixture.wait(999);
    assert!(!granted(&fixture.vote_request(2)));
    assert_eq!(fixture.replica.term(), Term(1), "a refused candidate raised the term");
    fixture.append(1, (1, 1), vec![]);
    fixture.wait(999);
    assert!(!granted(&fixture.vote_request(2)));
    fixture.wait(1);
    let actions = fixture.vote_request(2);
    assert!(granted(&actions) && matches!(actions[0], Action::PersistVote(_)), "{actions:?}");
}

/// Guards against a vote by a VM whose disk was replaced.
#[test]
fn vote_request_other_store() {
    let mut fixture = Fixture::new(99);
    fixture.wait(5_000);
    assert!(!granted(&fixture.vote_request(2)));
    assert_eq!(fixture.input(Input::Tick { random: 0 }), [], "started an election");
}

/// Guards against an acknowledgement of entries that a crash can still lose.
#[test]
fn append_request_acknowledged_after_sync() {
    let mut fixture = Fixture::new(1);
    let actions = fixture.append(1, (1, 1), vec![noop(2, 1), noop(3, 1)]);
    assert_eq!(append_replies(&actions), []);
    let heartbeat = fixture.append(1, (3, 1), vec![]);
    assert_eq!(append_replies(&heartbeat), [(true, 1)]);
    assert_eq!(append_replies(&fixture.input(Input::WriteCompleted(1))), [(true, 3)]);
}

/// Guards against acknowledging a write whose entries another leader's entries have replaced.
#[test]
fn write_completed_replaced_entries() {
    let mut fixture = Fixture::new(1);
    fixture.append(1, (1, 1), vec![noop(2, 1)]);
    fixture.append(2, (1, 1), vec![noop(2, 2)]);
    assert_eq!(append_replies(&fixture.input(Input::WriteCompleted(1))), []);
    assert_eq!(append_replies(&fixture.input(Input::WriteCompleted(2))), [(true, 2)]);
}

/// Guards against accepting entries of an outdated leader, and against replacing committed
/// entries.
#[test]
fn append_request_refused() {
    let mut fixture = Fixture::new(1);
    fixture.append(3, (1, 1), vec![noop(2, 3)]);
    fixture.input(Input::WriteCompleted(1));
    assert_eq!(append_replies(&fixture.append(2, (1, 1), vec![noop(2, 2)])), [(false, 0)]);
    assert_eq!(fixture.replica.term_at(LogIndex(2)), Some(Term(3)));
    assert_eq!(append_replies(&fixture.append(4, (0, 0), vec![noop(1, 4)])), []);
    assert_eq!(fixture.replica.term_at(LogIndex(1)), Some(Term(1)));
}

/// Guards against a delayed snapshot that discards entries that were already acknowledged.
#[test]
fn install_snapshot_keeps_acknowledged() {
    let mut fixture = Fixture::new(1);
    fixture.append(1, (1, 1), vec![noop(2, 1), noop(3, 1)]);
    fixture.input(Input::WriteCompleted(1));
    let Command::Bootstrap(configuration) = bootstrap().command else { unreachable!() };
    let (last_index, last_term, term) = (LogIndex(2), Term(1), Term(1));
    fixture.receive(2, InstallSnapshot { configuration, last_index, last_term, round: 1, term });
    assert_eq!(fixture.replica.last_index(), LogIndex(3));
    assert_eq!(fixture.replica.commit_index(), LogIndex(2));
}

/// Guards against a lease that starts at the reply instead of at the send time, that counts the
/// reply of an unrecorded store, or that starts before the leader has committed an entry of its
/// term.
#[test]
fn has_lease_from_send_time() {
    let mut fixture = Fixture::new(1);
    fixture.elect();
    let sent_at = fixture.clock.clock().now();
    fixture.wait(100);
    fixture.reply(99, 1, 2);
    assert_eq!((fixture.replica.commit_index(), fixture.replica.lease_end()), (LogIndex(0), None));
    // A quorum holds the entry of the older term, which another leader could still replace.
    fixture.reply(2, 1, 1);
    assert_eq!((fixture.replica.commit_index(), fixture.replica.lease_end()), (LogIndex(0), None));
    fixture.reply(2, 1, 2);
    assert_eq!(fixture.replica.lease_end(), Some(sent_at + LEASE_DURATION));
    fixture.wait(699);
    assert!(fixture.replica.has_lease(fixture.clock.clock().now()));
    fixture.wait(1);
    assert!(!fixture.replica.has_lease(fixture.clock.clock().now()));
}

/// Guards against duplicated rejections that multiply requests, and against a member that never
/// receives again the entries that it lost after acknowledging them.
#[test]
fn append_reply_rejected() {
    let mut fixture = Fixture::new(1);
    fixture.elect();
    fixture.reply(2, 1, 2);
    fixture.wait(200);
    fixture.input(Input::Tick { random: 0 });
    let (round, match_index, term) = (2, LogIndex(1), Term(2));
    let rejection = AppendReply { match_index, round, store_id: 2, success: false, term };
    let actions: Vec<Action> =
        (0..20).flat_map(|_| fixture.receive(2, rejection.clone())).collect();
    assert_eq!(actions.len(), RESENDS_PER_ROUND_MAX as usize);
    let sends_entry = |action: &Action| match action {
        Action::Send { message, .. } => match &**message {
            Message::AppendRequest(r) => r.previous_index == LogIndex(1) && r.entries.len() == 1,
            _ => false,
        },
        _ => false,
    };
    assert!(actions.iter().all(sends_entry), "{actions:?}");
}

/// Guards against two membership changes whose quorums need not overlap, and against a change
/// before the leader knows whether an earlier one is in progress.
#[test]
fn propose_one_change_at_a_time() {
    let mut fixture = Fixture::new(1);
    fixture.elect();
    let remove = Input::Propose(Command::Membership(MembershipChange::Remove(vm(3))));
    let refused = [Action::ProposalRejected(MembershipError::ChangeInProgress.into())];
    assert_eq!(fixture.input(remove.clone()), refused);
    fixture.reply(2, 1, 2);
    let proposed = Action::Proposed { index: LogIndex(3), term: Term(2) };
    assert_eq!(fixture.input(remove.clone())[0], proposed);
    assert_eq!(fixture.input(remove), refused);
    assert_eq!(membership::quorum(fixture.replica.members()), 2);
    let reserved = Input::Propose(Command::Noop(Term(2)));
    assert_eq!(fixture.input(reserved), [Action::ProposalRejected(ProposeError::Reserved)]);
}

/// Guards against a leader that no longer receives replies but keeps sending, and so prevents
/// elections indefinitely.
#[test]
fn tick_without_quorum() {
    let mut fixture = Fixture::new(1);
    fixture.elect();
    fixture.wait(1_999);
    assert!(!fixture.input(Input::Tick { random: 0 }).contains(&Action::StepDown(Term(2))));
    fixture.wait(1);
    assert!(fixture.input(Input::Tick { random: 0 }).contains(&Action::StepDown(Term(2))));
}

/// Guards against a leader that never sends the missing entries to a member that restarted with a
/// shorter log, and against a delayed reply that lowers the member's match index.
#[test]
fn append_reply_lost_entries() {
    let mut fixture = Fixture::new(1);
    fixture.elect();
    fixture.reply(2, 1, 2);
    fixture.wait(200);
    fixture.input(Input::Tick { random: 0 });
    fixture.reply(2, 2, 2);
    let rejection = |round| AppendReply {
        match_index: LogIndex(1),
        round,
        store_id: 2,
        success: false,
        term: Term(2),
    };
    let sent_entries = |actions: &[Action]| {
        let entries = |action: &Action| match action {
            Action::Send { to, message } if *to == vm(2) => match &**message {
                Message::AppendRequest(request) => Some(request.entries.len()),
                _ => None,
            },
            _ => None,
        };
        actions.iter().filter_map(entries).sum::<usize>()
    };
    let late = fixture.receive(2, rejection(1));
    assert_eq!(sent_entries(&late), 0);
    let latest = fixture.receive(2, rejection(2));
    assert_eq!(sent_entries(&latest), 1);
}

/// Guards against memory that grows with the log, and against discarding entries that a member
/// that missed hundreds of changes still needs.
#[test]
fn compact_retains_recent() {
    let mut fixture = Fixture::new(1);
    fixture.append(1, (1, 1), (2..=3_000).map(|index| noop(index, 1)).collect());
    fixture.input(Input::WriteCompleted(1));
    let heartbeat = AppendRequest {
        commit_index: LogIndex(2_900),
        entries: vec![],
        previous_index: LogIndex(3_000),
        previous_term: Term(1),
        round: 2,
        term: Term(1),
    };
    fixture.receive(2, heartbeat);
    fixture.replica.compact(LogIndex(2_900));
    assert_eq!(fixture.replica.term_at(LogIndex(1_899)), None);
    assert_eq!(fixture.replica.term_at(LogIndex(1_900)), Some(Term(1)));
    let Command::Bootstrap(configuration) = bootstrap().command else { unreachable!() };
    let (last_index, last_term, term) = (LogIndex(1_000), Term(1), Term(1));
    fixture.receive(2, InstallSnapshot { configuration, last_index, last_term, round: 3, term });
    assert_eq!(fixture.replica.commit_index(), LogIndex(2_900), "a late snapshot was installed");
    assert_eq!(fixture.replica.last_index(), LogIndex(3_000));
}

/// Guards against 3 s without a leader after the loss of two disks and all power. Only the voter
/// with the longest log can win then; the others started elections before it, and each failed
/// election of this voter cost a whole election timeout.
#[test]
fn tick_retries_soon_after_failed_election() {
    let requests_votes = |actions: &[Action]| {
        let is_vote_request = |action: &Action| {
            matches!(action, Action::Send { message, .. }
            if matches!(&**message, Message::VoteRequest(_)))
        };
        actions.iter().any(is_vote_request)
    };
    let mut fixture = Fixture::new(1);
    fixture.wait(1_000);
    assert!(requests_votes(&fixture.input(Input::Tick { random: 0 })));
    fixture.wait(300);
    assert!(!requests_votes(&fixture.input(Input::Tick { random: 0 })));
    fixture.wait(100);
    assert!(requests_votes(&fixture.input(Input::Tick { random: 0 })));
    // After contact from a leader, a whole election timeout has to pass.
    fixture.append(2, (1, 1), vec![]);
    fixture.wait(900);
    assert!(!requests_votes(&fixture.input(Input::Tick { random: 0 })));
}
