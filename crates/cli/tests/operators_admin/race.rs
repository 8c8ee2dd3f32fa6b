//! Two operators change one policy concurrently through two nodes; and the answer to a write is lost.

use crate::support::{policy, Call, Fleet};
use awc::http::StatusCode;
use serde_json::json;

const ROUNDS: u32 = 8;
/// Maximum number of changes until the answer to one is lost. The audit trail holds 64 entries.
const MAX_CHANGES: u32 = 40;

#[actix_rt::test]
async fn of_two_concurrent_changes_one_succeeds_and_the_other_is_shown_the_present_policy() {
    let fleet = Fleet::start();
    let path = "/admin/v1/policy/shared";
    let created = Call::put(fleet.admin(0), path, &policy("shared", 1))
        .send()
        .await;
    assert_eq!(created.status, StatusCode::OK, "{created:?}");
    for round in 0..ROUNDS {
        let seen = [
            Call::get(fleet.admin(0), path)
                .send()
                .await
                .tag
                .expect("a tag"),
            Call::get(fleet.admin(1), path)
                .send()
                .await
                .tag
                .expect("a tag"),
        ];
        assert_eq!(seen[0], seen[1]);
        let wanted = [
            policy("shared", 10 + 2 * round),
            policy("shared", 11 + 2 * round),
        ];
        let put = |index: usize| {
            let call = Call::put(fleet.admin(index), path, &wanted[index]);
            call.if_match(&seen[index]).send()
        };
        let (first, second) = futures_util::future::join(put(0), put(1)).await;
        let is_ok = |status| status == StatusCode::OK;
        let winner = usize::from(!is_ok(first.status));
        let answers = [first, second];
        let (won, lost) = (&answers[winner], &answers[1 - winner]);
        assert_eq!(won.status, StatusCode::OK, "{won:?}");
        assert_eq!(lost.status, StatusCode::PRECONDITION_FAILED, "{lost:?}");
        assert_eq!(lost.body["present"]["source"], wanted[winner]["source"]);
        assert_eq!(lost.tag, won.tag);
        let present = Call::get(fleet.admin(1 - winner), path).send().await;
        assert_eq!(present.body["source"], wanted[winner]["source"]);
        assert_eq!(present.tag, won.tag);
    }
}

#[actix_rt::test]
async fn a_write_whose_answer_is_lost_is_reported_with_its_true_outcome() {
    let fleet = Fleet::start();
    let path = "/admin/v1/policy/p";
    let created = Call::put(fleet.admin(0), path, &policy("p", 1))
        .send()
        .await;
    let mut tag = created.tag.expect("a tag");
    let mut changes = 1;
    // The fault can hit the renewal of a lease instead of the change; then the test makes another change.
    loop {
        let lose = json!({ "lose_answers": 1 });
        let faults = format!("http://{}/standin/faults", fleet.platform.address);
        let sent = awc::Client::default().post(faults).send_json(&lose).await;
        assert!(sent.expect("the platform answers").status().is_success());

        changes += 1;
        let wanted = policy("p", changes);
        let put = Call::put(fleet.admin(0), path, &wanted).if_match(&tag);
        let changed = put.send().await;
        assert_eq!(changed.status, StatusCode::OK, "{changed:?}");
        let present = Call::get(fleet.admin(1), path).send().await;
        assert_eq!(present.body["source"], wanted["source"]);
        assert_eq!(
            present.tag, changed.tag,
            "the tag must be that of this change"
        );
        let audit = Call::get(fleet.admin(1), "/admin/v1/audit").send().await;
        let entries = audit.body["entries"].as_array().expect("entries").len();
        assert_eq!(
            entries, changes as usize,
            "each change must be made exactly once"
        );

        let again = Call::put(fleet.admin(0), path, &policy("p", 99)).if_match(&tag);
        let refused = again.send().await.status;
        assert_eq!(refused, StatusCode::PRECONDITION_FAILED);
        if changed.body["read_back"] == true {
            return;
        }
        assert!(changes < MAX_CHANGES, "no answer to a change was lost");
        tag = changed.tag.expect("a tag");
    }
}
