//! Heads of requests at a gateway: how many fields and bytes they may have.

mod site;

use site::ACCOUNT_KEY;
use site::Site;
use site::raw::Step;
use site::raw::Upstream;
use site::raw::answer_head;
use site::raw::site_with_raw_upstreams;

async fn start(number: u8) -> (Site, Vec<Upstream>) {
    let answer = |head: &str| {
        vec![Step::Send(format!(
            "{}content-length: 2\r\n\r\nok",
            answer_head(head)
        ))]
    };
    site_with_raw_upstreams(number, answer).await
}

/// Status of a request with `count` fields beside the usual ones.
async fn status_with_fields(site: &Site, count: usize) -> Option<u16> {
    let bearer = format!("Bearer {ACCOUNT_KEY}");
    let names: Vec<String> = (0..count).map(|i| format!("x-{i}")).collect();
    let mut headers = vec![("authorization", bearer.as_str())];
    headers.extend(names.iter().map(|name| (name.as_str(), "1")));
    let answer = site.send_request("/lookup/1", &headers).await;
    answer.map(|(status, _)| status)
}

/// Guards against heads that are refused for more than a hundred fields, however small they are.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_head_of_many_small_fields_is_served() {
    let (site, _upstreams) = start(245).await;
    for count in [90, 101, 1_000] {
        assert_eq!(
            status_with_fields(&site, count).await,
            Some(200),
            "{count} fields"
        );
    }
    assert_eq!(status_with_fields(&site, 1_100).await, Some(431));
}
