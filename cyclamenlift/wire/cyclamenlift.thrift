// Messages between the system's own processes.
//
// Every TCP message is one Frame with exactly one field set, sent with the
// binary protocol behind a four byte big-endian length. Every UDP packet is
// one GossipPacket in the compact protocol. Durations on the wire are the
// time left: the receiver turns them into a deadline on its own clock.

namespace py protocol

enum TargetState {
  STARTING = 0,
  READY = 1,
  DRAINING = 2,
  UNHEALTHY = 3
}

enum MemberState {
  ALIVE = 0,
  SUSPECT = 1,
  DEAD = 2,
  LEFT = 3
}

enum MemberRole {
  DAEMON = 0,
  CONTROL = 1
}

// First frame in both directions on each peer connection.
struct Hello {
  1: string instance,
  2: string data_centre,
  3: i32 wire_version,
  4: string cluster
}

struct Header {
  1: string name,
  2: string value
}

// Load of one target as its own gate counts it.
struct LoadFigures {
  1: i32 in_flight,
  2: i32 queued,
  3: i32 slots,
  4: i32 latency_us,
  5: i32 error_permille,
  6: TargetState state,
  // How long work takes there now, in percent of the usual; 0: not told.
  7: i32 pace_percent,
  // How much longer than the quickest ones the messages of the receiver of
  // these figures were lately on their way to the gate.
  8: i32 lag_ms,
  // How long the link of the gate's instance takes for the bodies that are
  // still to come; 0: nothing, or the rate of the link is not known.
  9: i32 body_wait_ms,
  // How much longer a slow spell there should last; 0: none, or not known.
  10: i32 spell_left_ms
}

// Entry to gate. A body that fits is carried whole (body_complete).
struct CallStart {
  1: i64 call_id,
  2: string service_name,
  3: string method,
  4: string path,
  5: list<Header> headers,
  6: i64 time_left_us,
  7: i64 body_length,
  8: binary body,
  9: bool body_complete,
  10: bool idempotent,
  11: i32 depth,
  12: string trace_id,
  13: i64 config_version,
  // 0 is the most urgent.
  14: i32 rank,
  // Time left until the answer is late by the route's objective.
  15: i64 objective_left_us,
  // Made by a target while it runs another call.
  16: bool nested,
  17: string route_name,
  // A try beyond the first of its call.
  18: bool repeated,
  // The slowest pace at which the gate shall take it; 0: any.
  19: i32 most_pace_percent,
  // When it was sent, on the sender's clock since its machine started;
  // only differences between calls of one connection mean anything.
  20: i64 sent_at_us,
  // Its caller was refused before and has come back.
  21: bool returned,
  // Stands for the request, the same in each attempt.
  22: binary fingerprint
}

// A gate tells entries that used it lately of a change of its load.
struct LoadNews {
  1: LoadFigures load
}

struct BodyChunk {
  1: i64 call_id,
  2: binary data,
  3: bool last
}

// The receiver of body chunks allows that many further bytes.
struct Credit {
  1: i64 call_id,
  2: i32 bytes_allowed
}

struct AnswerStart {
  1: i64 call_id,
  2: i32 status,
  3: list<Header> headers,
  4: i64 body_length,
  5: binary body,
  6: bool body_complete,
  7: LoadFigures load,
  8: i32 service_time_us,
  // The pace at which the target began it; 0: not told.
  9: i32 begun_pace_percent
}

// The gate proves that the target never saw the call.
struct Refused {
  1: i64 call_id,
  2: i32 code,
  3: string detail,
  4: i32 retry_after_ms,
  5: LoadFigures load
}

// The call may have run: the target or the connection to it broke off.
struct Broken {
  1: i64 call_id,
  2: i32 code,
  3: string detail,
  4: LoadFigures load,
  // The end of the target, with the first message of each connection on it.
  5: EndReport end
}

struct Cancel {
  1: i64 call_id
}

// Answer to Cancel. not_run is true only when the target never saw it.
struct Cancelled {
  1: i64 call_id,
  2: bool not_run,
  3: LoadFigures load
}

struct Probe {
  1: i64 probe_id,
  2: string service_name
}

struct ProbeAnswer {
  1: i64 probe_id,
  2: LoadFigures load
}

// --- configuration -------------------------------------------------------

// takes_changes: the sender can be given what changed since known_version.
// without_document: it only asks which version there is.
struct DocumentRequest {
  1: i64 request_id,
  2: i64 known_version,
  3: bool takes_changes,
  4: bool without_document
}

// What makes the lines of one version those of a later one; base_version 0
// holds all lines. The format is that of events/changes.py.
struct DocumentChange {
  1: i64 base_version,
  2: i64 version,
  3: binary packed
}

// version 0 means that the sender has no document. committed says that a
// majority read confirmed it; confirmed_by counts control instances. The
// document comes packed, from senders of an earlier release in field 3.
struct DocumentAnswer {
  1: i64 request_id,
  2: i64 version,
  3: binary document,
  4: bool committed,
  5: binary packed_document,
  // Where the leader can be asked, as a follower knows it; else empty.
  6: string leader_address,
  // One after the other, for a sender that takes changes.
  7: list<DocumentChange> changes,
  // The document is left out, since others are being given it: ask elsewhere.
  8: bool busy
}

// --- ledger --------------------------------------------------------------

enum ClaimVerdict {
  GRANTED = 0,
  IN_PROGRESS = 1,
  RECORDED = 2,
  UNKNOWN = 3,
  REFUSED = 4,
  NO_MAJORITY = 5,
  NOT_LEADER = 6
}

struct ClaimRequest {
  1: i64 request_id,
  2: string service_name,
  3: string key,
  4: string attempt_id,
  5: i64 time_left_ms,
  6: i64 key_expires_unix_ms,
  7: binary fingerprint
}

struct RecordedAnswer {
  1: i32 status,
  2: list<Header> headers,
  3: binary body,
  4: bool body_kept
}

struct ClaimAnswer {
  1: i64 request_id,
  2: ClaimVerdict verdict,
  3: i32 code,
  4: string leader,
  5: i32 retry_after_ms,
  6: optional RecordedAnswer answer
}

enum ClaimEnding {
  RELEASED = 0,
  ANSWERED = 1,
  UNKNOWN = 2
}

struct ClaimEnd {
  1: i64 request_id,
  2: string service_name,
  3: string key,
  4: string attempt_id,
  5: ClaimEnding ending,
  6: optional RecordedAnswer answer,
  7: i64 key_expires_unix_ms
}

struct ClaimEndAnswer {
  1: i64 request_id,
  2: bool committed,
  3: string leader
}

// --- replication ---------------------------------------------------------

struct LogEntry {
  1: i64 index,
  2: i64 term,
  3: i32 kind,
  4: binary command,
  5: i64 stamp_unix_ms
}

struct VoteRequest {
  1: i64 term,
  2: string candidate,
  3: string storage_id,
  4: i64 last_index,
  5: i64 last_term,
  6: bool pre_vote
}

struct VoteAnswer {
  1: i64 term,
  2: string voter,
  3: string storage_id,
  4: bool granted,
  5: bool pre_vote
}

struct AppendRequest {
  1: i64 term,
  2: string leader,
  3: i64 previous_index,
  4: i64 previous_term,
  5: list<LogEntry> entries,
  6: i64 commit_index,
  7: i64 round_id
}

struct AppendAnswer {
  1: i64 term,
  2: string follower,
  3: string storage_id,
  4: bool accepted,
  5: i64 match_index,
  6: i64 round_id,
  7: i64 hint_index
}

struct SnapshotChunk {
  1: i64 term,
  2: string leader,
  3: i64 last_index,
  4: i64 last_term,
  5: i64 offset,
  6: binary data,
  7: bool last,
  8: i64 round_id
}

struct SnapshotAnswer {
  1: i64 term,
  2: string follower,
  3: string storage_id,
  4: i64 last_index,
  5: i64 next_offset,
  6: bool installed,
  7: i64 round_id
}

// --- requests that end targets --------------------------------------------

// A target ended while it ran these requests; if lifted, what was known
// against them until then counts no more. Never sent as a frame of its own:
// instances of an earlier release would hang up.
struct EndReport {
  1: string report_id,
  2: string service_name,
  3: list<binary> fingerprints,
  // How long ago it was.
  4: i64 age_ms,
  5: bool lifted,
  // How long each of them had run when the target ended.
  6: list<i32> ran_ms
}

// Asks for all reports but those whose short digests are named.
struct EndsRequest {
  1: list<i64> known
}

struct EndsAnswer {
  1: list<EndReport> reports
}

// --- orders of operators ----------------------------------------------------

// An order on its way to the leader. What its kind means and how its body is
// read is the leader's matter. The change id is made of all that follows it.
struct OrderRequest {
  1: i64 request_id,
  2: string kind,
  3: string change_id,
  4: i64 base_version,
  5: i64 chosen_version,
  6: binary body,
  // Asks a daemon to carry it for an instance that reaches no leader.
  7: bool relayed
}

// What became of it. With the code of an instance that does not lead, the
// address says who does, as far as known.
struct OrderAnswer {
  1: i64 request_id,
  2: i32 code,
  3: i64 version,
  4: i64 current_version,
  5: string detail,
  6: string leader_address
}

// One message of a TCP connection: exactly one field is set.
union Frame {
  1: Hello hello,
  2: CallStart call_start,
  3: BodyChunk body_chunk,
  4: Credit credit,
  5: AnswerStart answer_start,
  6: Refused refused,
  7: Broken broken,
  8: Cancel cancel,
  9: Cancelled cancelled,
  10: Probe probe,
  11: ProbeAnswer probe_answer,
  13: DocumentRequest document_request,
  14: DocumentAnswer document_answer,
  15: ClaimRequest claim_request,
  16: ClaimAnswer claim_answer,
  17: ClaimEnd claim_end,
  18: ClaimEndAnswer claim_end_answer,
  19: VoteRequest vote_request,
  20: VoteAnswer vote_answer,
  21: AppendRequest append_request,
  22: AppendAnswer append_answer,
  23: SnapshotChunk snapshot_chunk,
  24: SnapshotAnswer snapshot_answer,
  25: LoadNews load_news,
  26: EndsRequest ends_request,
  27: EndsAnswer ends_answer,
  28: OrderRequest order_request,
  29: OrderAnswer order_answer
}

// --- membership ----------------------------------------------------------

struct MemberRecord {
  1: string instance,
  2: i64 incarnation,
  3: MemberState state,
  4: string data_centre,
  5: string gossip_address,
  6: string peer_address,
  7: string service_name,
  8: i32 slots,
  9: TargetState target_state,
  10: i64 config_version,
  11: string target_name,
  12: MemberRole role
}

enum GossipKind {
  PING = 0,
  ACK = 1,
  PING_REQUEST = 2,
  JOIN = 3,
  SYNC = 4
}

struct GossipPacket {
  1: GossipKind kind,
  2: i64 sequence,
  3: string cluster,
  4: string sender,
  5: i64 sender_incarnation,
  6: string subject,
  7: string subject_address,
  8: list<MemberRecord> records,
  9: i64 config_version,
  10: i64 members_digest,
  11: string sender_address,
  // Reports that are new, and a digest of all that the sender has.
  12: list<EndReport> ends,
  13: i64 ends_digest
}

// --- commands in the replicated log --------------------------------------

struct PublishCommand {
  1: string change_id,
  2: i64 base_version,
  3: binary document,
  4: string operator_name,
  // The number that the operator chose for the version; 0: the next one.
  5: i64 chosen_version,
  // The document packed; what has this has no field 3.
  6: binary packed_document
}

struct ReplaceStorageCommand {
  1: string instance,
  2: string storage_id
}

union Command {
  1: PublishCommand publish,
  2: ClaimRequest claim,
  3: ClaimEnd claim_end,
  4: ReplaceStorageCommand replace_storage
}
