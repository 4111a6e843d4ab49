//! Literal encodings of everything that leaves a process: stored records and their keys, messages
//! between controllers, and the protocol's messages. Other versions of the program read and write
//! the same bytes, so these literals must not change when names in the code do.

use mountgap::protocol::{cloud, peers, state, users, workers};
use mountgap::storage::records;
use serde::{de::DeserializeOwned, Serialize};

/// Asserts that a JSON text can be decoded and that encoding the value gives the same text.
fn json<T: DeserializeOwned + Serialize>(text: &str) {
    let value: T = serde_json::from_str(text).unwrap_or_else(|e| panic!("{text}: {e}"));
    assert_eq!(serde_json::to_string(&value).expect("it can be written"), text);
}

/// Asserts the same for a CBOR message between controllers, given in hexadecimal.
fn cbor<T: DeserializeOwned + Serialize>(hex: &str) {
    let hex: String = hex.split_whitespace().collect();
    let byte = |i| u8::from_str_radix(&hex[i..i + 2], 16).expect("hexadecimal");
    let bytes: Vec<u8> = (0..hex.len()).step_by(2).map(byte).collect();
    let value: T = peers::decode(&bytes).unwrap_or_else(|e| panic!("{hex}: {e}"));
    let written: String = peers::encode(&value).iter().map(|b| format!("{b:02x}")).collect();
    assert_eq!(written, hex);
}

const SUBMISSION: &str = r#"{"uid":"job-000412","duty":"train","crew":"vision","shape":"batch","rank":"high","loads":16,"cores":8.0,"gpus":1.0,"ram_gb":64.0,"kit":"img-07","size_gb":6.2,"builds":["g8"],"yard":"a","together":true,"apart":false,"lendables":true,"run_guess_s":240.0,"mark_every_s":30.0,"mark_cost_s":4.0,"due_s":900.0}"#;

#[test]
fn store_keys_are_unchanged() {
    assert_eq!(records::leader_key(), "mg/2/leader");
    assert_eq!(records::term_key(), "mg/2/term");
    assert_eq!(records::catalog_key(), "mg/2/catalog");
    assert_eq!(records::shares_key(), "mg/2/shares");
    assert_eq!(records::batch_key("00ab-1-0-0"), "mg/2/jobs/00ab-1-0-0");
    assert_eq!(records::job_end_key("job-1"), "mg/2/end/job-1");
    assert_eq!(records::done_tasks_key(3), "mg/2/done/0003");
    assert_eq!(records::placements_key(12), "mg/2/place/0012");
    assert_eq!(records::images_key(0), "mg/2/kits/0000");
    assert_eq!(records::chunk_name("job-1", 2), "job-1/2");
}

#[test]
fn store_records_keep_their_encoding() {
    json::<records::LeaderRecord>(
        r#"{"label":"stead-0","incarnation":18446744073709551615,"term":7}"#,
    );
    json::<records::TermRecord>(r#"{"term":7}"#);
    json::<records::BatchRecord>(&format!(
        r#"{{"at":1700000000000,"first":3,"jobs":[{SUBMISSION}]}}"#
    ));
    json::<records::JobEndRecord>(r#"{"at":1700000000000,"stage":"done","loads":16,"done":16}"#);
    json::<records::JobEndRecord>(r#"{"at":5,"stage":"withdrawn","loads":2,"done":1}"#);
    json::<records::DoneTasksRecord>(r#"{"bits":{"job-1/0":"00000000000000ff"}}"#);
    json::<records::PlacementsRecord>(
        r#"{"tasks":"000412/3@n-000231#1c000001 000412/4@n-000232#1c000002"}"#,
    );
    json::<records::ImagesRecord>(r#"{"kits":[["img",1.5]],"held":{"n-1":[0]}}"#);
    json::<records::SharesRecord>(r#"{"term":7,"teams":[["red",600],["blue",400]]}"#);
    let text = records::StoredPlacement::text("job-000412", 3, "n-000231", 0x1c00_0001);
    assert_eq!(text.as_deref(), Some("000412/3@n-000231#1c000001"));
    // A record without the field that was added last.
    let old: records::BatchRecord =
        serde_json::from_str(r#"{"at":5,"jobs":[]}"#).expect("it is read");
    assert!(old.jobs.is_empty());
}

#[test]
fn user_messages_keep_their_encoding() {
    json::<users::JobSpec>(SUBMISSION);
    let bare = SUBMISSION
        .replace(r#""builds":["g8"],"yard":"a","#, "")
        .replace(r#","due_s":900.0"#, "")
        .replace("batch", "standing");
    json::<users::JobSpec>(&bare);
    for rank in ["production", "high", "standard", "best_effort"] {
        json::<users::JobSpec>(
            &SUBMISSION.replace(r#""rank":"high""#, &format!(r#""rank":"{rank}""#)),
        );
    }
    for status in ["queued", "running", "done", "withdrawn"] {
        json::<users::JobStatus>(&format!("\"{status}\""));
    }
}

#[test]
fn worker_messages_keep_their_encoding() {
    json::<workers::Heartbeat>(
        r#"{"stead":"n-000231","address":"10.1.0.232:9000","build":"g8","yard":"a","lendables":true,"tenure":1,"tally":88,"baton":41,"recall_s":30.5,"loads":[{"load":"job-000412/3","try":2,"status":"running","cause":null,"saved":null},{"load":"job-000398/0","try":1,"status":"ended","cause":"done","saved":true}]}"#,
    );
    for status in ["pulling", "running", "flushing", "ended"] {
        json::<workers::TaskStatus>(&format!("\"{status}\""));
    }
    for cause in ["done", "halted", "error", "no_room", "busy", "no_such"] {
        json::<workers::EndCause>(&format!("\"{cause}\""));
    }
    json::<workers::HeartbeatResponse>(
        r#"{"baton":41,"orders":[{"verb":"start","load":"job-000412/4","try":2},{"verb":"halt","load":"job-000377/1","try":1,"wind_down_s":10.0},{"verb":"clear","load":"job-000398/0","try":1}]}"#,
    );
    json::<workers::LeaderRedirect>(r#"{"steward":"stead-2"}"#);
    json::<workers::LeaderRedirect>("{}");
}

#[test]
fn cloud_messages_keep_their_encoding() {
    json::<cloud::Catalog>(
        r#"{"builds":[{"sku":"g8","cores":96.0,"gpus":8.0,"ram_gb":768.0,"local_gb":200.0,"pull_gb_per_s":1.0,"rate":12.0,"low_price":4.5,"ready_s":45.0,"yards":["a","b"]}]}"#,
    );
    json::<cloud::RentalRequest>(
        r#"{"hire":"r-17","build":"g8","yard":"a","lendables":true,"number":12}"#,
    );
    json::<cloud::MachineNames>(r#"{"steads":["n-000231"]}"#);
    for status in ["starting", "running", "failed"] {
        json::<cloud::MachineList>(&format!(
            r#"{{"steads":[{{"uid":"n-000231","address":"10.1.0.232:9000","build":"g8","yard":"a","lendables":true,"status":"{status}","age_s":61.5}}],"has_next":false}}"#
        ));
    }
    assert_eq!(cloud::machine_list_path(Some("n-1"), 500), "/hosts?since=n-1&limit=500");
}

#[test]
fn state_service_messages_keep_their_encoding() {
    let commit = state::Transaction {
        conditions: vec![state::Condition { key: "a/b".into(), mod_revision: 0 }],
        writes: vec![
            state::Mutation::Put {
                key: "a/b".into(),
                value: state::raw_json(&[1]),
                lease_id: Some(7),
            },
            state::Mutation::put("a/c".into(), &"x"),
            state::Mutation::Remove { key: "c/d".into() },
        ],
    };
    assert_eq!(
        serde_json::to_string(&commit).expect("it can be written"),
        r#"{"if":[{"key":"a/b","stamp":0}],"writes":[{"write":"a/b","data":[1],"tenancy":7},{"write":"a/c","data":"x"},{"remove":"c/d"}]}"#
    );
    json::<state::TransactionApplied>(r#"{"ledger_rev":432}"#);
    json::<state::TransactionConflict>(r#"{"failed":["a/b"],"ledger_rev":431}"#);
    json::<state::LeaseRequest>(r#"{"life_ms":5000}"#);
    json::<state::LeaseGranted>(r#"{"tenancy":7}"#);
    assert_eq!(state::list_path("c/", None, 200), "/store?prefix=c/&limit=200");
    assert_eq!(state::list_path("c/", Some("c/7"), 200), "/store?prefix=c/&since=c/7&limit=200");
    assert_eq!(state::changes_path("c/", 431, 0), "/changes?prefix=c/&since=431&block_ms=0");
}

#[test]
fn peer_messages_keep_their_encoding() {
    cbor::<peers::Gossip>(
        "ad6776657273696f6e02656c6162656c6773746561642d306b696e6361726e6174696f6e1bffffff
         ffffffffff647465726d07656c65616473f5676d61785f7265761901af666167655f6d731913886d
         7365727665645f61676f5f6d730c6c776f726b6572735f7365656e1903526f73746f6f645f696e5f
         61676f5f6d73190fa06573696e63651901ae65656e64656481656a6f622d3169656e6465645f616c
         6cf5",
    );
    cbor::<peers::RelayRequest>(
        "a46776657273696f6e02666d6574686f6464504f53546470617468682f76312f6a6f627364626f64
         794200ff",
    );
    cbor::<peers::RelayResponse>(
        "a46776657273696f6e02667374617475731901f76d72657472795f61667465725f730164626f6479
         427b7d",
    );
}

/// Encodings that were added for gangs. Versions without gangs read every literal above and none of these.
#[test]
fn gang_records_and_messages_keep_their_encoding() {
    assert_eq!(records::gang_batch_key("00ab-1-0-0"), "mg/2/gangs/00ab-1-0-0");
    let gang = SUBMISSION.replace("batch", "ensemble");
    json::<users::JobSpec>(&gang);
    json::<records::BatchRecord>(&format!(r#"{{"at":5,"first":0,"jobs":[{gang}]}}"#));
    json::<workers::TaskStatus>("\"waiting\"");
    for cause in ["mates_gone", "alone"] {
        json::<workers::EndCause>(&format!("\"{cause}\""));
    }
    // Placements of a gang have the usual encoding, and all have the same attempt number.
    json::<records::PlacementsRecord>(
        r#"{"tasks":"000412/0@n-000231#1c000003 000412/1@n-000231#1c000003"}"#,
    );
}
