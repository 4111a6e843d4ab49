//! The requests that a controller takes: method and path are parsed once, here, into a typed route.
//!
//! Owns the paths of the controllers' own interface and the decision which requests are answered
//! 404 or 405. It never looks into a body, and it doesn't check ids: whether a path's id has the form
//! of a job id is for whoever answers the request.

use super::recovery::{Decision, RECOVERY_PATH};

/// Path of the workers' heartbeats ("POST /checkin" of the protocol).
pub const HEARTBEAT_PATH: &str = "/checkin";
/// Path of the health check ("GET /up" of the protocol).
pub const HEALTH_PATH: &str = "/up";
/// Path of the operators' view of a running controller.
pub const STATUS_PATH: &str = "/v1/status";
/// Path of submissions ("POST /v1/jobs" of the protocol); jobs are below it.
pub const JOBS_PATH: &str = "/v1/jobs";
/// Path on which controllers exchange what they know of each other.
pub const GOSSIP_PATH: &str = "/gossip";
/// Path on which a controller asks a peer to answer a user's request.
pub const RELAY_PATH: &str = "/relay";
/// Path on which a controller asks a peer for its image of the lost store.
pub const IMAGE_PATH: &str = "/image";

/// What stands behind a job's path when the job is to be cancelled.
const CANCEL_SUFFIX: &str = "/withdraw";

/// Path of a job ("GET /v1/jobs/{id}" of the protocol).
pub fn job_path(uid: &str) -> String {
    format!("{JOBS_PATH}/{uid}")
}

/// Path that cancels a job ("POST /v1/jobs/{id}/withdraw" of the protocol).
pub fn cancel_path(uid: &str) -> String {
    format!("{JOBS_PATH}/{uid}{CANCEL_SUFFIX}")
}

/// Why a request has no route.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum RouteError {
    /// No request has this path.
    #[error("no such path")]
    NotFound,
    /// Requests with this path have another method.
    #[error("wrong method")]
    MethodNotAllowed,
}

impl RouteError {
    /// HTTP status to answer with.
    pub fn status(self) -> u16 {
        match self {
            RouteError::NotFound => 404,
            RouteError::MethodNotAllowed => 405,
        }
    }
}

/// A request of a user, a worker, an operator or a health check.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Route<'a> {
    /// A worker's heartbeat.
    Heartbeat,
    /// The load balancer's health check.
    HealthCheck,
    /// The operators' view of the controller.
    Status {
        /// What follows the path's question mark; may be empty.
        query: &'a str,
    },
    /// The report on losses and rebuilds of the store.
    RecoveryReport,
    /// An operator's decision on jobs that a rebuild could not account for.
    RecoveryDecision(Decision),
    /// A user's request.
    User(UserRoute<'a>),
}

impl<'a> Route<'a> {
    /// Parses method and path; the path may have a query, which only [`Route::Status`] reads.
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
        // Other methods on the report's own path are answered 404 too: operators' scripts know it so.
        let decision = Decision::from_path(path).ok_or(RouteError::NotFound)?;
        match method {
            "POST" => Ok(Route::RecoveryDecision(decision)),
            _ => Err(RouteError::MethodNotAllowed),
        }
    }
}

/// A user's request, which a peer may pass on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum UserRoute<'a> {
    /// Submits a job; the body has its id.
    Submit,
    /// Asks for a job's state.
    Poll {
        /// The id as it stands in the path.
        uid: &'a str,
    },
    /// Cancels a job.
    Cancel {
        /// The id as it stands in the path; unlike a poll's it may contain slashes.
        uid: &'a str,
    },
}

impl<'a> UserRoute<'a> {
    /// Parses method and path; the path has no query.
    pub fn parse(method: &str, path: &'a str) -> Result<UserRoute<'a>, RouteError> {
        let below_jobs = path.strip_prefix(JOBS_PATH).ok_or(RouteError::NotFound)?;
        if below_jobs.is_empty() {
            return route_if(method == "POST", UserRoute::Submit);
        }
        let job = below_jobs.strip_prefix('/').ok_or(RouteError::NotFound)?;
        if let Some(uid) = job.strip_suffix(CANCEL_SUFFIX) {
            return route_if(method == "POST", UserRoute::Cancel { uid });
        }
        if job.contains('/') {
            return Err(RouteError::NotFound);
        }
        route_if(method == "GET", UserRoute::Poll { uid: job })
    }
}

fn route_if(method_fits: bool, route: UserRoute<'_>) -> Result<UserRoute<'_>, RouteError> {
    match method_fits {
        true => Ok(route),
        false => Err(RouteError::MethodNotAllowed),
    }
}

/// A request of another controller.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PeerRoute {
    /// What the sender knows of itself and others.
    Gossip,
    /// A user's request that the receiver is asked to answer.
    Relay,
    /// A page of the receiver's image of the lost store.
    Image,
}

impl PeerRoute {
    /// Parses method and path. Between controllers another method has no answer of its own.
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
