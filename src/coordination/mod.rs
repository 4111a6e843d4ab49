//! Leadership, planning, machines, workers' commands and users' requests.
//!
//! [`Controller`] owns all state of a controller. It takes commands in batches, in the
//! order of their rank (workers' reports, then answers and timers, then users' requests),
//! and gives effects. It does no I/O; the clock and the seed of its randomness are passed in.

mod commit_places;
mod commits;
mod election;
mod fleet;
mod gangs;
mod isolation;
mod lateness;
mod leader;
mod lease_extension;
pub mod metrics;
mod peers;
pub mod planner;
mod recovery;
mod report_evidence;
mod snapshot;
pub mod status;
mod submissions;
mod sync;
mod users;
mod wait_reason;
mod workers;

pub use leader::Leader;

use crate::constants::{
    BATCH_USER_MAX, POLL_MAX_MS, POLL_SOON_MS, RETRY_AFTER_BUSY_S, STATE_RPS_SHARE,
};
use crate::protocol::cloud::Catalog;
use crate::protocol::recovery::RECOVERY_PATH;
use crate::protocol::state::Transaction;
use crate::settings::{Operator, Platform};
use crate::storage::hashing::{HashKeys, HashMap, HashSet};
use crate::storage::limits::StoreLimits;
use crate::storage::records::{JobId, MachineName};
use crate::storage::replica::Replica;
use crate::storage::token_bucket::TokenBucket;
use rand::{rngs::SmallRng, Rng, SeedableRng};
use std::rc::Rc;

/// Two clocks in milliseconds: steady, and time of day.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Clock {
    /// Steady clock: only differences mean anything.
    pub monotonic_ms: u64,
    /// Time of day, which may be off and step.
    pub wall_ms: u64,
}

/// Names an inbound connection.
pub type ConnectionId = u64;
/// Names a call.
pub type CallId = u64;

/// Where a call goes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Service {
    /// The state service.
    State,
    /// The cloud.
    Cloud,
    /// Another controller, by its place in the settings.
    Peer(usize),
}

/// What comes in.
#[derive(Debug)]
pub enum Command {
    /// A request from users, workers or health checks.
    Public {
        /// The connection to answer on.
        connection: ConnectionId,
        /// HTTP method.
        method: String,
        /// Path with its query.
        path: String,
        /// Body; may be empty.
        body: Vec<u8>,
    },
    /// A request from another controller.
    Peer {
        /// The connection to answer on.
        connection: ConnectionId,
        /// HTTP method.
        method: String,
        /// Path with its query.
        path: String,
        /// Body; may be empty.
        body: Vec<u8>,
    },
    /// The answer to a call; `None`: no answer, it may have been carried out or may be later.
    Reply {
        /// The call that it answers.
        call: CallId,
        /// Status and body, or none.
        reply: Option<(u16, Vec<u8>)>,
    },
}

/// What goes out.
#[derive(Debug, Clone, PartialEq)]
pub enum Effect {
    /// Answers a request.
    Respond {
        /// The connection it came on.
        connection: ConnectionId,
        /// HTTP status.
        status: u16,
        /// Seconds after which the client may come back.
        retry_after_s: Option<u64>,
        /// Body.
        body: Vec<u8>,
    },
    /// Sends a request; its reply comes back as [`Command::Reply`].
    Call {
        /// Name of the call.
        id: CallId,
        /// Where it goes.
        service: Service,
        /// HTTP method.
        method: &'static str,
        /// Path with its query.
        path: String,
        /// Body; may be empty.
        body: Vec<u8>,
        /// Milliseconds after which it counts as unanswered.
        timeout_ms: u64,
    },
}

/// Who waits for the answer to a user's request.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) struct Requester {
    connection: ConnectionId,
    /// A peer that passes the answer on.
    relayed: bool,
    since: u64,
}

/// What a call was made for.
#[derive(Debug)]
enum CallPurpose {
    List { epoch: u32 },
    Watch { asked: StoreQuestion },
    Fresh { begun: u64, asked: StoreQuestion },
    Lease,
    Elect { lease_id: u64, term: u64, sent: recovery::SentAt },
    Renew { lease_id: u64 },
    StepDown,
    LeaderCommit { term: u64 },
    Submit { batch: u64, copy: usize },
    Cancel { requester: Requester, uid: String, commit: Transaction, sent: recovery::SentAt },
    Rebuild(recovery::RebuildCall),
    Decision(recovery::DecisionCall),
    Image { peer: usize },
    Gossip { peer: usize, begun: u64 },
    Relay { requester: Requester },
    Catalog,
    Hosts { begun: u64 },
    Rent(fleet::Rental),
    Delete(Vec<MachineName>),
}

/// Which read of the store a question belongs to, and the revision that it asks beyond.
#[derive(Debug, Clone, Copy)]
pub(crate) struct StoreQuestion {
    epoch: u32,
    since: u64,
}

/// A controller.
pub struct Controller {
    settings: Rc<Platform>,
    operator: Rc<Operator>,
    rng: SmallRng,
    process_id: u64,
    now: Clock,
    started_at: u64,
    effects: Vec<Effect>,
    next_call: CallId,
    calls: HashMap<CallId, CallPurpose>,
    replica: Replica,
    store_sync: sync::Sync,
    limits: StoreLimits,
    read_budget: TokenBucket,
    write_budget: TokenBucket,
    cloud_budget: TokenBucket,
    catalog: Option<Rc<Catalog>>,
    catalog_at: Option<u64>,
    catalog_asked: bool,
    election: election::Election,
    leader: Option<Leader>,
    peers: Vec<peers::PeerView>,
    /// Highest term heard of from anyone.
    highest_term: u64,
    /// When each worker last reported here.
    worker_heartbeats: HashMap<String, u64>,
    lease_extension: lease_extension::LeaseExtension,
    /// Jobs that are over by the word of peers, ahead of our copy of the store.
    ended_by_peers: HashSet<JobId>,
    metrics: metrics::Metrics,
    /// Submissions that gather for a batch, and batches on their way.
    gathering_submissions: Vec<submissions::Pending>,
    submission_batches: HashMap<u64, submissions::Batch>,
    batches_made: u64,
    recovery: recovery::Recovery,
}

impl Controller {
    /// A controller that has just started.
    pub fn new(settings: Platform, operator: Operator, clock: Clock, seed: u64) -> Controller {
        let mut rng = SmallRng::seed_from_u64(seed);
        let keys = HashKeys::from_seed(seed);
        let n = settings.controllers() as f64;
        let limits = StoreLimits::new(&settings.params.state);
        let peers = settings.peers.iter().map(|_| peers::PeerView::default()).collect();
        let share = election::follower_write_share(settings.controllers());
        Controller {
            process_id: rng.random(),
            read_budget: TokenBucket::new(
                limits.requests_per_s * STATE_RPS_SHARE / n,
                clock.monotonic_ms,
            ),
            write_budget: TokenBucket::new(limits.writes_per_s * share, clock.monotonic_ms),
            cloud_budget: TokenBucket::new(
                settings.params.cloud.rps * STATE_RPS_SHARE / n,
                clock.monotonic_ms,
            ),
            limits,
            rng,
            now: clock,
            started_at: clock.monotonic_ms,
            effects: Vec::new(),
            next_call: 1,
            calls: keys.map(),
            replica: Replica::new(keys),
            store_sync: sync::Sync::default(),
            catalog: None,
            catalog_at: None,
            catalog_asked: false,
            election: election::Election::default(),
            leader: None,
            peers,
            highest_term: 0,
            worker_heartbeats: keys.map(),
            lease_extension: lease_extension::LeaseExtension::new(clock.monotonic_ms),
            ended_by_peers: keys.set(),
            metrics: metrics::Metrics::new(clock.monotonic_ms),
            gathering_submissions: Vec::new(),
            submission_batches: keys.map(),
            batches_made: 0,
            recovery: recovery::Recovery::new(&operator.recovery),
            settings: Rc::new(settings),
            operator: Rc::new(operator),
        }
    }

    /// Handles a batch and everything that is due, and gives the effects. Call it with no
    /// commands when [`Controller::next_wake`] has come.
    pub fn batch(&mut self, clock: Clock, mut commands: Vec<Command>) -> Vec<Effect> {
        self.now = clock;
        self.metrics.work.batches += 1;
        self.metrics.work.batches_empty += u64::from(commands.is_empty());
        commands.sort_by_key(rank_of);
        let mut users = 0;
        for command in commands {
            let user = rank_of(&command) == 2;
            if user {
                users += 1;
            }
            if user && users > BATCH_USER_MAX {
                self.shed(command);
            } else {
                self.command(command);
            }
        }
        self.due();
        std::mem::take(&mut self.effects)
    }

    /// When the next batch is due at the latest.
    pub fn next_wake(&self) -> u64 {
        let now = self.now.monotonic_ms;
        let leader = self.leader.as_ref().filter(|_| self.store_is_usable());
        let leader = leader.and_then(|leader| leader.next_wake(now, &self.write_budget));
        let times = [leader, self.batches_wake()].into_iter().flatten();
        // What is due already waits for something that no time tells, and is looked at now and then.
        let times = times.map(|t| if t > now { t } else { now + POLL_SOON_MS });
        times.fold(now + POLL_MAX_MS, u64::min)
    }

    fn command(&mut self, command: Command) {
        match command {
            Command::Public { connection, method, path, body } => {
                self.public(connection, &method, &path, body)
            }
            Command::Peer { connection, method, path, body } => {
                self.peer_request(connection, &method, &path, &body)
            }
            Command::Reply { call, reply } => self.reply(call, reply),
        }
    }

    fn public(&mut self, connection: ConnectionId, method: &str, path: &str, body: Vec<u8>) {
        let (path, query) = path.split_once('?').unwrap_or((path, ""));
        let requester = Requester { connection, relayed: false, since: self.now.monotonic_ms };
        match (method, path) {
            ("POST", "/checkin") => self.on_heartbeat(connection, &body),
            ("GET", "/up") => {
                self.metrics.work.health_checks += 1;
                self.up(connection)
            }
            ("GET", "/v1/status") => self.status(connection, query),
            (_, path) if path.starts_with(RECOVERY_PATH) => {
                self.recovery_request(connection, method, path, &body)
            }
            (_, "/checkin" | "/up" | "/v1/status") => {
                self.refuse(requester, 405, "wrong method", None)
            }
            _ => self.user_request(requester, method, path, &body),
        }
    }

    fn shed(&mut self, command: Command) {
        if let Command::Public { connection, .. } = command {
            let requester = Requester { connection, relayed: false, since: self.now.monotonic_ms };
            self.refuse(requester, 503, "too much to do", Some(RETRY_AFTER_BUSY_S));
        }
    }

    fn reply(&mut self, call: CallId, reply: Option<(u16, Vec<u8>)>) {
        let Some(purpose) = self.calls.remove(&call) else {
            return;
        };
        if self.is_store_call(&purpose) {
            self.note_store_response(&purpose, reply.as_ref().map(|r| r.0));
        }
        match purpose {
            CallPurpose::List { epoch } => self.on_list_response(epoch, reply),
            CallPurpose::Watch { asked } => self.on_watch_response(asked, reply),
            CallPurpose::Fresh { begun, asked } => self.on_fresh_read_response(begun, asked, reply),
            CallPurpose::Lease => self.on_lease_granted(reply),
            CallPurpose::Elect { lease_id, term, sent } => {
                self.on_election_response(lease_id, term, sent, reply)
            }
            CallPurpose::Renew { lease_id } => self.on_lease_renewal_response(lease_id, reply),
            CallPurpose::StepDown => {}
            CallPurpose::LeaderCommit { term } => self.on_leader_commit_response(term, reply),
            CallPurpose::Submit { batch, copy } => self.on_batch_response(batch, copy, reply),
            CallPurpose::Cancel { requester, uid, commit, sent } => {
                self.on_cancellation_response(requester, uid, commit, sent, reply)
            }
            CallPurpose::Rebuild(call) => self.on_rebuild_response(call, reply),
            CallPurpose::Decision(call) => self.on_decision_response(call, reply),
            CallPurpose::Image { peer } => self.on_image_response(peer, reply),
            CallPurpose::Gossip { peer, begun } => self.on_gossip_response(peer, begun, reply),
            CallPurpose::Relay { requester } => self.on_relay_response(requester, reply),
            CallPurpose::Catalog => self.on_catalog_response(reply),
            CallPurpose::Hosts { begun } => self.on_machine_list_response(begun, reply),
            CallPurpose::Rent(rental) => self.on_rental_response(rental, reply),
            CallPurpose::Delete(names) => self.on_deletion_response(names, reply),
        }
    }

    fn due(&mut self) {
        self.sync_due();
        self.recovery_due();
        self.batches_due();
        self.catalog_due();
        self.gossip_due();
        self.election_due();
        self.leader_due();
        self.log_metrics_due();
    }

    fn call(
        &mut self,
        service: Service,
        method: &'static str,
        path: String,
        body: Vec<u8>,
        timeout_ms: u64,
        purpose: CallPurpose,
    ) {
        let id = self.next_call;
        self.next_call += 1;
        self.metrics.work.peer_requests_sent += u64::from(matches!(service, Service::Peer(_)));
        self.calls.insert(id, purpose);
        self.effects.push(Effect::Call { id, service, method, path, body, timeout_ms });
    }

    fn respond(
        &mut self,
        connection: ConnectionId,
        status: u16,
        retry_after_s: Option<u64>,
        body: Vec<u8>,
    ) {
        self.effects.push(Effect::Respond { connection, status, retry_after_s, body });
    }

    /// The term this controller leads in.
    pub fn leads(&self) -> Option<u64> {
        self.leader.as_ref().map(|leader| leader.term)
    }

    /// The leader's state, for tests and the operators' view.
    pub fn leader(&self) -> Option<&Leader> {
        self.leader.as_ref()
    }

    /// The copy of the store.
    pub fn replica(&self) -> &Replica {
        &self.replica
    }
}

/// Ranks of work: workers' reports, then decisions, then users' requests.
fn rank_of(c: &Command) -> u8 {
    match c {
        Command::Public { path, .. } if path == "/checkin" || path == "/up" => 0,
        Command::Reply { .. } | Command::Peer { .. } => 1,
        Command::Public { .. } => 2,
    }
}
