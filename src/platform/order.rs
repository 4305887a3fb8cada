//! Encodes orders to upstreams.

use serde_json::Value;
use serde_json::json;

use crate::domain::fleet::Order;
use crate::domain::fleet::Task;

/// Path at which upstreams accept orders.
pub const PATH: &str = "/order";

/// Encodes the JSON body of an order.
pub fn encode(order: &Order) -> Vec<u8> {
    let mut body = match &order.task {
        Task::Join { model, members } => json!({
            "operation": "join",
            "model-name": model,
            "members": members,
        }),
        // The platform names this operation after a field of the engine's report.
        Task::Stage { model } => json!({ "operation": "phase-name", "model-name": model }),
        Task::Open => json!({ "operation": "open" }),
        Task::Close => json!({ "operation": "close", "method": "queue" }),
        Task::Leave => json!({ "operation": "leave" }),
    };
    if !matches!(order.task, Task::Stage { .. }) {
        body["group"] = Value::from(order.group());
        body["epoch"] = Value::from(order.epoch);
    }
    body["fencing-token"] = Value::from(order.fence);
    body.to_string().into_bytes()
}
