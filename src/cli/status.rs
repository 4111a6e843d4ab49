//! `mountgap status`: requests the status of a running controller and returns it unchanged.

use super::client::{request, ClientError};
use crate::coordination::status::DETAILS_QUERY;
use crate::protocol::routes::STATUS_PATH;
use std::net::SocketAddrV4;

/// Requests the status of a controller; with `details` it lists single machines and waiting jobs.
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
