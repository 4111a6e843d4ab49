//! Routing of the requests to a controller: parses method and path into a typed route.
//!
//! Defines the paths of the controllers' HTTP interface, and which requests are answered with 404 or 405.
//! It doesn't read request bodies, and it doesn't check whether the id in a path has the form of a job id;
//! the request's handler does.

use super::recovery::{Decision, RECOVERY_PATH};

/// Path of the workers' heartbeats (`POST /checkin`).
pub const HEARTBEAT_PATH: &str = "/checkin";
/// Path of the load balancer's health check (`GET /up`).
pub const HEALTH_PATH: &str = "/up";
/// Path of the status report for operators (`GET /v1/status`).
pub const STATUS_PATH: &str = "/v1/status";
/// Path of submissions (`POST /v1/jobs`) and prefix of the paths of single jobs.
pub const JOBS_PATH: &str = "/v1/jobs";
/// Path at which controllers exchange gossip (`POST /gossip`).
pub const GOSSIP_PATH: &str = "/gossip";
/// Path at which a controller relays a user's request to a peer (`POST /relay`).
pub const RELAY_PATH: &str = "/relay";
/// Path at which a controller requests a peer's image of the lost store (`POST /image`).
pub const IMAGE_PATH: &str = "/image";

/// Suffix of a job's path that makes it the path of the job's cancellation.
const CANCEL_SUFFIX: &str = "/withdraw";

/// Path of a job (`GET /v1/jobs/{id}`).
pub fn job_path(job_id: &str) -> String {
    format!("{JOBS_PATH}/{job_id}")
}

/// Path at which a job is cancelled (`POST /v1/jobs/{id}/withdraw`).
pub fn cancel_path(job_id: &str) -> String {
    format!("{JOBS_PATH}/{job_id}{CANCEL_SUFFIX}")
}

/// Why a request has no route; the text is sent to the client.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum RouteError {
    /// The path does not exist.
    #[error("no such path")]
    NotFound,
    /// The path exists, but not with this method.
    #[error("wrong method")]
    MethodNotAllowed,
}

impl RouteError {
    /// HTTP status code of the response.
    pub fn status(self) -> u16 {
        match self {
            RouteError::NotFound => 404,
            RouteError::MethodNotAllowed => 405,
        }
    }
}

/// A request from a user, a worker, an operator or the load balancer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Route<'a> {
    /// A worker's heartbeat.
    Heartbeat,
    /// The load balancer's health check.
    HealthCheck,
    /// An operator's request for the status report.
    Status {
        /// The part of the path after the question mark; may be empty.
        query: &'a str,
    },
    /// An operator's request for the report on data losses and rebuilds of the store.
    RecoveryReport,
    /// An operator's decision on flagged jobs, or on the history gap, after a rebuild of the store.
    RecoveryDecision(Decision),
    /// A user's request.
    User(UserRoute<'a>),
}

impl<'a> Route<'a> {
    /// Parses method and path. The path may have a query, which is ignored except for [`Route::Status`].
    pub fn parse(method: &str, path: &'a str) -> Result<Route<'a>, RouteError> {
        let (path, query) = path.split_once('?').unwrap_or((path, ""));
        match (method, path) {
            ("POST", HEARTBEAT_PATH) => Ok(Route::Heartbeat),
            ("GET", HEALTH_PATH) => Ok(Route::HealthCheck),
            ("GET", STATUS_PATH) => Ok(Route::Status { query }),
            (_, HEARTBEAT_PATH | HEALTH_PATH | STATUS_PATH) => Err(RouteError::MethodNotAllowed),
            _ if path.starts_with(RECOVERY_PATH) => Route::parse_recovery(method, path),
            _ => UserRoute::parse(method, path).map(Route::User),
        }
    }

    fn parse_recovery(method: &str, path: &str) -> Result<Route<'a>, RouteError> {
        if (method, path) == ("GET", RECOVERY_PATH) {
            return Ok(Route::RecoveryReport);
        }
        // Other methods at the path of the report are answered with 404 instead of 405, since operators'
        // scripts rely on it.
        let decision = Decision::from_path(path).ok_or(RouteError::NotFound)?;
        match method {
            "POST" => Ok(Route::RecoveryDecision(decision)),
            _ => Err(RouteError::MethodNotAllowed),
        }
    }
}

/// A user's request, received directly or relayed by a peer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum UserRoute<'a> {
    /// Submits a job, whose id is in the body.
    Submit,
    /// Asks for the status of a job.
    Poll {
        /// The job id from the path, not checked.
        job_id: &'a str,
    },
    /// Cancels a job.
    Cancel {
        /// The job id from the path, not checked; unlike that of a poll, it may contain slashes.
        job_id: &'a str,
    },
}

impl<'a> UserRoute<'a> {
    /// Parses method and path; the path must not have a query.
    pub fn parse(method: &str, path: &'a str) -> Result<UserRoute<'a>, RouteError> {
        let below_jobs = path.strip_prefix(JOBS_PATH).ok_or(RouteError::NotFound)?;
        if below_jobs.is_empty() {
            return route_if(method == "POST", UserRoute::Submit);
        }
        let job = below_jobs.strip_prefix('/').ok_or(RouteError::NotFound)?;
        if let Some(job_id) = job.strip_suffix(CANCEL_SUFFIX) {
            return route_if(method == "POST", UserRoute::Cancel { job_id });
        }
        if job.contains('/') {
            return Err(RouteError::NotFound);
        }
        route_if(method == "GET", UserRoute::Poll { job_id: job })
    }
}

fn route_if(method_matches: bool, route: UserRoute<'_>) -> Result<UserRoute<'_>, RouteError> {
    match method_matches {
        true => Ok(route),
        false => Err(RouteError::MethodNotAllowed),
    }
}

/// A request from another controller.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PeerRoute {
    /// Gossip: the sender's state, answered with that of the receiver.
    Gossip,
    /// A user's request that the sender relays to the receiver.
    Relay,
    /// A request for a page of the receiver's image of the lost store.
    Image,
}

impl PeerRoute {
    /// Parses method and path. A wrong method is answered like an unknown path.
    pub fn parse(method: &str, path: &str) -> Result<PeerRoute, RouteError> {
        match (method, path) {
            ("POST", GOSSIP_PATH) => Ok(PeerRoute::Gossip),
            ("POST", RELAY_PATH) => Ok(PeerRoute::Relay),
            ("POST", IMAGE_PATH) => Ok(PeerRoute::Image),
            _ => Err(RouteError::NotFound),
        }
    }
}

#[cfg(test)]
mod tests;
