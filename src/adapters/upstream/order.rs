//! Orders to VMs to serve in a replica group.

use std::time::Duration;

use http::Method;
use serde::Serialize;

use super::Client;
use super::Error;
use super::client::Call;
use super::client::MAX_REPLY_BYTES;
use crate::domain::placement::Order;

/// Longest wait for the head of the answer, and between its parts.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(2);

/// JSON body of an order; [`Order`] describes the fields.
#[derive(Debug, Serialize)]
struct Body<'a> {
    group: u64,
    fence: u64,
    rank: usize,
    model: &'a str,
    members: &'a [String],
}

/// Sends an order to a VM and waits for the VM to accept it; the VM's reports show when it is
/// carried out.
///
/// # Errors
///
/// `Refused` with the HTTP status when the VM did not accept the order; after any other error
/// but `NotSent` the order may have arrived.
pub async fn send_order(client: &Client, order: &Order) -> Result<(), Error> {
    let body = Body {
        group: order.group,
        fence: order.fence,
        rank: order.rank,
        model: &order.model,
        members: &order.members,
    };
    let body = serde_json::to_vec(&body).map_err(|_| Error::NotSent)?;
    let call = Call {
        method: Method::POST,
        address: &order.address,
        path: "/order",
        headers: vec![
            ("content-type", "application/json".to_owned()),
            ("x-incarnation", order.incarnation.to_string()),
        ],
        body: body.into(),
        is_sent_once: true,
    };
    let response = client.send(call, ANSWER_TIMEOUT).await?;
    let status = response.status.as_u16();
    response.collect(MAX_REPLY_BYTES, ANSWER_TIMEOUT).await?;
    if status == 200 {
        Ok(())
    } else {
        Err(Error::Refused(status))
    }
}
