//! Relaying users' requests between controllers.

use crate::constants::{PEER_VERSION, RELAY_TIMEOUT_MS};
use crate::coordination::interface::{ConnectionId, Service};
use crate::coordination::requester::Requester;
use crate::coordination::{CallPurpose, Controller};
use crate::protocol::http::Response;
use crate::protocol::peers::{decode, encode, RelayRequest, RelayResponse};
use crate::protocol::routes::{UserRoute, RELAY_PATH};

impl Controller {
    /// Relays a request that we can't answer to a peer that reaches the state service. Without such a
    /// peer, or if the request was relayed to us, it is rejected and the user retries.
    pub(in crate::coordination) fn relay_or_reject(
        &mut self,
        requester: Requester,
        method: &'static str,
        path: String,
        body: Vec<u8>,
    ) {
        let peer = match requester.is_relayed() {
            true => None,
            false => self.membership.peer_with_store_access(self.now.monotonic_ms),
        };
        let Some(peer) = peer else {
            return self.reject_unavailable(requester);
        };
        let request = RelayRequest { version: PEER_VERSION, method: method.into(), path, body };
        let purpose = CallPurpose::Relay { requester };
        let body = encode(&request);
        self.call(Service::Peer(peer), "POST", RELAY_PATH.into(), body, RELAY_TIMEOUT_MS, purpose);
    }

    pub(in crate::coordination) fn on_relay_response(
        &mut self,
        requester: Requester,
        response: Option<Response>,
    ) {
        let response = match response {
            Some(Response { status: 200, body }) => decode::<RelayResponse>(&body).ok(),
            _ => None,
        };
        match response.filter(|response| response.version == PEER_VERSION) {
            Some(response) => {
                self.record_relayed_status(&response.body);
                self.answer(requester, response.status, response.retry_after_s, response.body);
            }
            None => self.reject_unavailable(requester),
        }
    }

    /// Handles a user's request that a peer has relayed to us.
    pub(in crate::coordination) fn answer_relayed_request(
        &mut self,
        connection: ConnectionId,
        body: &[u8],
    ) {
        match decode::<RelayRequest>(body) {
            Ok(request) if request.version == PEER_VERSION => {
                let requester = Requester::relayed(connection, self.now.monotonic_ms);
                match UserRoute::parse(&request.method, &request.path) {
                    Ok(route) => self.user_request(requester, route, &request.body),
                    Err(error) => self.reject_route(requester, error),
                }
            }
            _ => self.respond(connection, 400, None, vec![]),
        }
    }
}
