//! The simulated network: messages in transit, their delays, and the faults that drop, hold up or repeat them.

use super::*;
use mountgap::coordination::{CallId, ConnectionId};

/// A request of a controller's process to the state service, the cloud or a peer.
pub(super) struct ControllerRequest {
    pub(super) node: usize,
    pub(super) incarnation: u64,
    pub(super) call: CallId,
    pub(super) method: String,
    pub(super) path: String,
    pub(super) body: Vec<u8>,
}

/// The response to a worker's heartbeat.
pub(super) struct HeartbeatResponse {
    pub(super) worker: String,
    pub(super) request: u64,
    pub(super) status: u16,
    pub(super) body: Vec<u8>,
}

impl HeartbeatResponse {
    /// What a worker notices if no controller accepts its connection, or resets it.
    pub(super) fn connection_failed(worker: String, request: u64) -> HeartbeatResponse {
        HeartbeatResponse { worker, request, status: 0, body: Vec::new() }
    }

    /// Whether it has a command to start a task.
    fn has_start_command(&self) -> bool {
        let response: Value = serde_json::from_slice(&self.body).unwrap_or(Value::Null);
        let commands = response["orders"].as_array();
        commands.is_some_and(|commands| commands.iter().any(|command| command["verb"] == "start"))
    }
}

/// A message in transit.
pub(super) enum Message {
    StateRequest(ControllerRequest),
    CloudRequest(ControllerRequest),
    PeerRequest {
        to: usize,
        request: ControllerRequest,
    },
    Reply {
        node: usize,
        incarnation: u64,
        call: CallId,
        status: u16,
        body: Vec<u8>,
    },
    Heartbeat {
        worker: String,
        request: u64,
        node: usize,
        body: Vec<u8>,
    },
    HeartbeatResponse(HeartbeatResponse),
    /// A further copy of a response that has been sent before.
    HeartbeatResponseCopy(HeartbeatResponse),
    UserRequest {
        request: u64,
        node: usize,
        method: &'static str,
        path: String,
        body: Vec<u8>,
    },
    UserResponse {
        request: u64,
        status: u16,
        body: Vec<u8>,
    },
}

/// Where the response of a controller to a request goes.
pub(super) enum Connection {
    Worker { name: String, request: u64 },
    User { request: u64 },
    Peer { node: usize, incarnation: u64, call: CallId },
}

impl Node {
    /// Opens a connection to this process; returns its number.
    fn connect(&mut self, connection: Connection) -> ConnectionId {
        let number = self.next_connection;
        self.next_connection += 1;
        self.connections.insert(number, connection);
        number
    }
}

impl Simulation {
    /// Whether a zone partition separates a worker from a controller.
    fn is_partitioned(&self, worker: &str, node: usize) -> bool {
        let zone = self.workers.get(worker).map(|w| w.zone.as_str());
        self.zone_partition
            .as_ref()
            .is_some_and(|(cut_off, inside)| (zone == Some(cut_off)) != (node == *inside))
    }

    /// Sends a message that arrives after `delay` milliseconds.
    pub(super) fn send(&mut self, delay: u64, message: Message) {
        self.last_sequence += 1;
        self.network.insert((self.now + delay, self.last_sequence), message);
    }

    pub(super) fn network_delay(&mut self) -> u64 {
        self.rng.random_range(1..8)
    }

    /// Sends the message of a controller's effect, unless a fault drops it.
    pub(super) fn apply_effect(&mut self, node: usize, incarnation: u64, effect: Effect) {
        let batch_duration_ms = self.nodes[node].batch_duration_ms;
        let delay = self.network_delay() + batch_duration_ms;
        match effect {
            Effect::Respond { connection, status, body, .. } => {
                self.send_response(delay, node, connection, status, body);
            }
            Effect::Call { id, service, method, path, body, timeout_ms } => {
                self.check_call(&path);
                self.nodes[node].deadlines.insert(id, self.now + batch_duration_ms + timeout_ms);
                let method = method.to_string();
                let request = ControllerRequest { node, incarnation, call: id, method, path, body };
                match service {
                    Service::State => self.send_to_state_service(delay, request),
                    Service::Cloud => {
                        let delay = delay + 50 + self.cloud.extra_latency_ms;
                        self.send(delay, Message::CloudRequest(request));
                    }
                    Service::Peer(index) => self.send_to_peer(delay, index, request),
                }
            }
        }
    }

    fn send_response(
        &mut self,
        delay: u64,
        node: usize,
        connection: ConnectionId,
        status: u16,
        body: Vec<u8>,
    ) {
        let process = &mut self.nodes[node];
        let (partitioned_from_workers, partitioned_from_peers) =
            (process.partitioned_from_workers, process.partitioned_from_peers);
        match process.connections.remove(&connection) {
            Some(Connection::Worker { name, request })
                if !partitioned_from_workers && !self.is_partitioned(&name, node) =>
            {
                let response = HeartbeatResponse { worker: name, request, status, body };
                self.send_heartbeat_response(delay, response);
            }
            Some(Connection::User { request }) => {
                self.send(delay, Message::UserResponse { request, status, body });
            }
            Some(Connection::Peer { node: to, incarnation, call })
                if !partitioned_from_peers && !self.nodes[to].partitioned_from_peers =>
            {
                self.peer_response_bytes_max = self.peer_response_bytes_max.max(body.len());
                self.send(delay, Message::Reply { node: to, incarnation, call, status, body });
            }
            _ => {}
        }
    }

    /// Sends the response to a heartbeat, and copies of it that arrive later.
    fn send_heartbeat_response(&mut self, delay: u64, response: HeartbeatResponse) {
        for copy_delay in self.response_copy_delays_ms.clone() {
            let copy = HeartbeatResponse {
                worker: response.worker.clone(),
                request: response.request,
                status: response.status,
                body: response.body.clone(),
            };
            self.send(delay + copy_delay, Message::HeartbeatResponseCopy(copy));
        }
        let is_slow =
            self.slow_response_rate > 0.0 && self.rng.random_bool(self.slow_response_rate);
        let delay = match is_slow {
            true => self.rng.random_range(1_000..HEARTBEAT_TIMEOUT_MS - 100),
            false => delay,
        };
        self.send(delay, Message::HeartbeatResponse(response));
    }

    fn send_to_state_service(&mut self, delay: u64, request: ControllerRequest) {
        if self.nodes[request.node].partitioned_from_state {
            return;
        }
        if request.path != "/commit" {
            return self.send(delay, Message::StateRequest(request));
        }
        let is_delayed = self.rng.random_bool(self.state.delayed_commit_rate);
        let delay = delay + if is_delayed { self.rng.random_range(1_000..6_000) } else { 0 };
        if self.rng.random_bool(self.state.unanswered_commit_rate) {
            // The caller has given up by the time the response arrives.
            let delay = self.rng.random_range(2_000..12_000);
            return self.send(delay, Message::StateRequest(request));
        }
        let submits = String::from_utf8_lossy(&request.body).contains("mg/2/jobs/");
        let submission_delay_ms = match submits {
            true => std::mem::take(&mut self.state.next_submission_delay_ms),
            false => 0,
        };
        self.send(delay + submission_delay_ms, Message::StateRequest(request));
    }

    fn send_to_peer(&mut self, delay: u64, index: usize, request: ControllerRequest) {
        let from = request.node;
        let to = (0..3).filter(|other| *other != from).nth(index).expect("one of two peers");
        if self.nodes[from].partitioned_from_peers || self.nodes[to].partitioned_from_peers {
            return;
        }
        let held_ms = self.nodes[from].peer_requests_delayed_until.saturating_sub(self.now);
        self.send(delay.max(held_ms), Message::PeerRequest { to, request });
    }

    /// Delivers a message that has arrived.
    pub(super) fn deliver(&mut self, message: Message) {
        match message {
            Message::StateRequest(request) => self.state_request(&request),
            Message::CloudRequest(request) => {
                let (status, answer) =
                    self.cloud_request(&request.method, &request.path, &request.body);
                let delay = self.network_delay();
                let ControllerRequest { node, incarnation, call, .. } = request;
                let body = answer.to_string().into_bytes();
                self.send(delay, Message::Reply { node, incarnation, call, status, body });
            }
            Message::PeerRequest { to, request } => self.deliver_peer_request(to, request),
            Message::Reply { node, incarnation, call, status, body } => {
                let process = &mut self.nodes[node];
                if process.incarnation == incarnation && process.deadlines.remove(&call).is_some() {
                    let response = Some(Response { status, body });
                    process.inbox.push(Command::Response { call, response });
                }
            }
            Message::Heartbeat { worker, request, node, body } => {
                self.deliver_heartbeat(worker, request, node, body);
            }
            Message::HeartbeatResponse(response) => self.handle_heartbeat_response(&response),
            Message::HeartbeatResponseCopy(copy) => {
                self.start_copies_delivered += u32::from(copy.has_start_command());
                self.handle_heartbeat_response(&copy);
            }
            Message::UserRequest { request, node, method, path, body } => {
                if self.nodes[node].controller.is_none() {
                    let response = Message::UserResponse { request, status: 0, body: vec![] };
                    return self.send(1, response);
                }
                self.deliver_public_request(node, Connection::User { request }, method, path, body);
            }
            Message::UserResponse { request, status, body } => {
                self.handle_user_response(request, status, &body);
            }
        }
    }

    fn deliver_peer_request(&mut self, to: usize, request: ControllerRequest) {
        let ControllerRequest { node, incarnation, call, path, body, .. } = request;
        let process = &mut self.nodes[to];
        if process.controller.is_none() {
            return;
        }
        let connection = process.connect(Connection::Peer { node, incarnation, call });
        process.inbox.push(Command::Peer { connection, method: "POST".into(), path, body });
    }

    fn deliver_heartbeat(&mut self, worker: String, request: u64, node: usize, body: Vec<u8>) {
        if self.nodes[node].partitioned_from_workers || self.is_partitioned(&worker, node) {
            return;
        }
        if self.nodes[node].controller.is_none() {
            let delay = self.network_delay();
            let response = HeartbeatResponse::connection_failed(worker, request);
            return self.send(delay, Message::HeartbeatResponse(response));
        }
        let connection = Connection::Worker { name: worker, request };
        self.deliver_public_request(node, connection, "POST", "/checkin".into(), body);
    }

    fn deliver_public_request(
        &mut self,
        node: usize,
        connection: Connection,
        method: &str,
        path: String,
        body: Vec<u8>,
    ) {
        let process = &mut self.nodes[node];
        let connection = process.connect(connection);
        process.inbox.push(Command::Public { connection, method: method.into(), path, body });
    }
}
