//! `mountgap status`: a running controller's view of itself, as it gives it.

use super::client::{request, ClientError};
use crate::coordination::status::DETAILS_QUERY;
use crate::protocol::routes::STATUS_PATH;
use std::net::SocketAddrV4;

/// Asks a controller for its view; with `details` also of single machines and waiting jobs.
pub fn fetch(address: SocketAddrV4, details: bool) -> Result<String, ClientError> {
    let body = request(address, "GET", &path(details), &[])?;
    Ok(String::from_utf8(body)?)
}

fn path(details: bool) -> String {
    match details {
        true => format!("{STATUS_PATH}?{DETAILS_QUERY}"),
        false => STATUS_PATH.to_string(),
    }
}
