//! Orders to engines and services.

use std::time::Duration;

use http::Method;
use serde::Serialize;

use super::Client;
use super::Error;
use super::client::Outgoing;
use super::client::collect;
use crate::domain::placement::Order;

/// Longest wait for the acceptance of an order.
const WAIT: Duration = Duration::from_secs(2);

/// Order as it is sent.
#[derive(Debug, Serialize)]
struct Body<'a> {
    group: u64,
    fence: u64,
    rank: usize,
    model: &'a str,
    members: &'a [String],
}

/// Sends an order; the VM's reports tell when it is carried out.
///
/// # Errors
///
/// Any failure; the order may have arrived all the same.
pub async fn send_order(client: &Client, sending: &Order) -> Result<(), Error> {
    let body = Body {
        group: sending.group,
        fence: sending.fence,
        rank: sending.rank,
        model: &sending.model,
        members: &sending.members,
    };
    let body = serde_json::to_vec(&body).map_err(|_| Error::NotSent)?;
    let out = Outgoing {
        method: Method::POST,
        address: &sending.address,
        path: "/order",
        headers: vec![
            ("content-type", "application/json".to_owned()),
            ("x-incarnation", sending.incarnation.to_string()),
        ],
        body: body.into(),
        is_fresh: true,
    };
    let response = client.send(out, WAIT).await?;
    let status = response.status().as_u16();
    collect(response.into_body(), WAIT).await?;
    if status == 200 {
        Ok(())
    } else {
        Err(Error::Refused(status))
    }
}
