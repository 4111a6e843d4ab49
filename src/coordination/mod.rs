//! The deterministic core of a controller: leadership, planning, machines, workers and users' requests.
//!
//! [`Controller`] handles commands in batches, ordered by priority, and returns effects. It performs no
//! I/O; the clock and the random seed are passed in. Each command is dispatched to the module
//! responsible for it, and each module keeps its state in private fields:
//!
//! * `store_client`: the replica of the state service's store, reads, and request rates;
//! * `cloud_client`: the rate of requests to the cloud, and the catalog of machine types;
//! * `membership`: gossip from peers, the highest known term, and lease extension;
//! * `election` and `leadership`: taking, holding and giving up the leader key;
//! * `leader` and `fleet`: the state of a term, planning passes, gangs, and the rented machines;
//! * `heartbeats`: evidence from workers' heartbeats, and the commands in the responses;
//! * `transactions`: the leader's write-ahead transactions and their outcomes;
//! * `requests`: users' submissions, polls and cancellations;
//! * `recovery`: detection of data loss in the store, and its rebuild;
//! * `outbox`: effects of a batch, and calls that await a reply;
//! * [`metrics`] and [`status`]: reports to operators.

mod cloud_client;
mod election;
mod fleet;
mod gang_rules;
mod heartbeats;
mod interface;
mod leader;
mod leadership;
mod membership;
pub mod metrics;
mod outbox;
pub mod planner;
mod planner_input;
mod recovery;
mod rejection;
mod rental;
mod requester;
mod requests;
pub mod status;
mod store_client;
mod store_isolation;
mod transactions;
mod wait_reason;
mod write_shares;

pub use interface::{CallId, Clock, Command, ConnectionId, Effect, Service};
pub use leader::Leader;

use crate::constants::{EVENT_WAIT_MAX_MS, OVERDUE_WORK_RECHECK_MS, USER_REQUESTS_PER_BATCH_MAX};
use crate::protocol::http::Response;
use crate::protocol::routes::{PeerRoute, Route};
use crate::settings::{Operator, Platform};
use crate::storage::hashing::HashKeys;
use crate::storage::replica::Replica;
use cloud_client::CloudClient;
use election::Election;
use interface::CommandPriority;
use membership::Membership;
use metrics::Metrics;
use outbox::{CallPurpose, Outbox};
use rand::{rngs::SmallRng, Rng, SeedableRng};
use recovery::Recovery;
use requester::Requester;
use requests::Submissions;
use std::rc::Rc;
use store_client::StoreClient;

/// A controller: one of several redundant processes, of which one at a time leads.
pub struct Controller {
    settings: Rc<Platform>,
    operator: Rc<Operator>,
    rng: SmallRng,
    /// Random number that distinguishes this process from earlier ones of the same controller.
    process_id: u64,
    now: Clock,
    started_at: u64,
    outbox: Outbox,
    store: StoreClient,
    cloud: CloudClient,
    membership: Membership,
    election: Election,
    /// The state of the current term while this controller leads.
    leader: Option<Leader>,
    submissions: Submissions,
    recovery: Recovery,
    metrics: Metrics,
}

impl Controller {
    /// Creates a controller that has just started.
    pub fn new(settings: Platform, operator: Operator, clock: Clock, seed: u64) -> Controller {
        let mut rng = SmallRng::seed_from_u64(seed);
        let keys = HashKeys::from_seed(seed);
        let now = clock.monotonic_ms;
        let controllers = settings.controllers();
        let write_share = write_shares::follower_write_share(controllers);
        let state_limits = &settings.params.state;
        Controller {
            process_id: rng.random(),
            rng,
            now: clock,
            started_at: now,
            outbox: Outbox::new(keys),
            store: StoreClient::new(state_limits, controllers, write_share, keys, now),
            cloud: CloudClient::new(settings.params.cloud.rps, controllers, now),
            membership: Membership::new(settings.peers.len(), keys, now),
            election: Election::default(),
            leader: None,
            submissions: Submissions::new(keys),
            recovery: Recovery::new(&operator.recovery),
            metrics: Metrics::new(now),
            settings: Rc::new(settings),
            operator: Rc::new(operator),
        }
    }

    /// Handles a batch of commands and all due timers, and returns the effects. Must be called, even
    /// without commands, when the time given by [`Controller::next_wake`] has come.
    pub fn handle_batch(&mut self, clock: Clock, mut commands: Vec<Command>) -> Vec<Effect> {
        self.now = clock;
        self.metrics.work.batches += 1;
        self.metrics.work.batches_empty += u64::from(commands.is_empty());
        commands.sort_by_key(Command::priority);
        let mut user_requests = 0;
        for command in commands {
            user_requests += usize::from(command.priority() == CommandPriority::User);
            if user_requests > USER_REQUESTS_PER_BATCH_MAX {
                self.shed(command);
            } else {
                self.handle_command(command);
            }
        }
        self.run_due_work();
        self.outbox.take_effects()
    }

    /// The latest time for the next batch, in milliseconds of the monotonic clock.
    pub fn next_wake(&self) -> u64 {
        let now = self.now.monotonic_ms;
        let writes = self.store.write_budget();
        let leader = self.leader.as_ref().filter(|_| self.store_is_usable());
        let leader = leader.and_then(|leader| leader.next_wake(now, writes));
        let times = [leader, self.submissions.next_wake(writes)].into_iter().flatten();
        // A time in the past means that the work awaits an event of unknown time, so it is polled.
        let times = times.map(|t| if t > now { t } else { now + OVERDUE_WORK_RECHECK_MS });
        times.fold(now + EVENT_WAIT_MAX_MS, u64::min)
    }

    fn handle_command(&mut self, command: Command) {
        match command {
            Command::Public { connection, method, path, body } => {
                self.handle_public_request(connection, &method, &path, &body);
            }
            Command::Peer { connection, method, path, body } => {
                self.handle_peer_request(connection, &method, &path, &body);
            }
            Command::Response { call, response } => self.handle_response(call, response),
        }
    }

    fn handle_public_request(
        &mut self,
        connection: ConnectionId,
        method: &str,
        path: &str,
        body: &[u8],
    ) {
        let requester = Requester::direct(connection, self.now.monotonic_ms);
        match Route::parse(method, path) {
            Ok(Route::Heartbeat) => self.on_heartbeat(connection, body),
            Ok(Route::HealthCheck) => self.health_check(connection),
            Ok(Route::Status { query }) => self.status(connection, query),
            Ok(Route::RecoveryReport) => self.answer_recovery_report(connection),
            Ok(Route::RecoveryDecision(decision)) => {
                self.handle_decision(connection, decision, body);
            }
            Ok(Route::User(route)) => self.user_request(requester, route, body),
            Err(error) => self.reject_route(requester, error),
        }
    }

    fn handle_peer_request(
        &mut self,
        connection: ConnectionId,
        method: &str,
        path: &str,
        body: &[u8],
    ) {
        self.metrics.work.peer_requests_received += 1;
        match PeerRoute::parse(method, path) {
            Ok(PeerRoute::Gossip) => self.answer_gossip(connection, body),
            Ok(PeerRoute::Relay) => self.answer_relayed_request(connection, body),
            Ok(PeerRoute::Image) => self.answer_image_request(connection, body),
            Err(error) => self.respond(connection, error.status(), None, vec![]),
        }
    }

    /// Rejects a user's request beyond the number that one batch may contain.
    fn shed(&mut self, command: Command) {
        if let Command::Public { connection, .. } = command {
            self.reject_overloaded(Requester::direct(connection, self.now.monotonic_ms));
        }
    }

    /// Dispatches the reply to a call by the purpose of the call.
    fn handle_response(&mut self, call: CallId, response: Option<Response>) {
        let Some(purpose) = self.outbox.take_purpose(call) else {
            return;
        };
        self.record_store_response(&purpose, response.as_ref().map(|response| response.status));
        match purpose {
            CallPurpose::List { epoch } => self.on_list_response(epoch, response),
            CallPurpose::Watch { read_point } => self.on_watch_response(read_point, response),
            CallPurpose::FreshRead { begun_at, read_point } => {
                self.on_fresh_read_response(begun_at, read_point, response);
            }
            CallPurpose::LeaseGrant => self.on_lease_grant_response(response),
            CallPurpose::Election { lease_id, term, read_point } => {
                self.on_election_response(lease_id, term, read_point, response);
            }
            CallPurpose::LeaseRenewal { lease_id } => {
                self.on_lease_renewal_response(lease_id, response);
            }
            CallPurpose::LeaseRevocation => {}
            CallPurpose::LeaderTransaction { term } => {
                self.on_leader_transaction_response(term, response);
            }
            CallPurpose::Submit { batch, copy } => self.on_batch_response(batch, copy, response),
            CallPurpose::Cancel { requester, job_id, transaction, read_point } => {
                self.on_cancellation_response(requester, job_id, transaction, read_point, response);
            }
            CallPurpose::Rebuild(call) => self.on_rebuild_response(call, response),
            CallPurpose::Decision(call) => self.on_decision_response(call, response),
            CallPurpose::Image { peer } => self.on_image_response(peer, response),
            CallPurpose::Gossip { peer, begun_at } => {
                self.on_gossip_response(peer, begun_at, response);
            }
            CallPurpose::Relay { requester } => self.on_relay_response(requester, response),
            CallPurpose::Catalog => self.on_catalog_response(response),
            CallPurpose::MachineList { begun_at } => {
                self.on_machine_list_response(begun_at, response);
            }
            CallPurpose::Rent(rental) => self.on_rental_response(rental, response),
            CallPurpose::Delete(names) => self.on_deletion_response(names, response),
        }
    }

    fn run_due_work(&mut self) {
        self.send_store_reads_if_due();
        self.run_recovery_if_due();
        self.send_batches_if_due();
        self.request_catalog_if_due();
        self.send_gossip_if_due();
        self.campaign_if_due();
        self.run_leader_work_if_due();
        self.log_metrics_if_due();
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
        self.metrics.work.peer_requests_sent += u64::from(matches!(service, Service::Peer(_)));
        self.outbox.call(service, method, path, body, timeout_ms, purpose);
    }

    fn respond(
        &mut self,
        connection: ConnectionId,
        status: u16,
        retry_after_s: Option<u64>,
        body: Vec<u8>,
    ) {
        self.outbox.respond(connection, status, retry_after_s, body);
    }

    /// The term in which this controller leads; `None` if it does not lead.
    pub fn leading_term(&self) -> Option<u64> {
        self.leader.as_ref().map(|leader| leader.term)
    }

    /// The leader's state; `None` if this controller does not lead.
    pub fn leader(&self) -> Option<&Leader> {
        self.leader.as_ref()
    }

    /// The local replica of the store.
    pub fn replica(&self) -> &Replica {
        self.store.replica()
    }
}
