// Messages between the processes of the system.
//
// Every TCP message is one Frame with exactly one field set, encoded in the
// compact protocol after a four-byte big-endian length. Every UDP packet is
// one GossipPacket in the compact protocol. Durations on the wire are
// remaining times: the receiver converts them to deadlines on its own clock.

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

// The first frame in each direction of a peer connection.
struct Hello {
  1: string instance,
  2: string data_centre,
  3: i32 wire_version,
  4: string cluster,
  // The sender applies evacuations from the replicated log.
  5: bool takes_evacuations
}

struct Header {
  1: string name,
  2: string value
}

// What a target said of itself that outlives its gate: entries that were told
// it return it with each call, so that a gate that has just started knows it.
struct TargetStatement {
  1: string incarnation,
  2: bool leaving,
  // Calls that it takes from all instances together; absent: no limit.
  3: double calls_per_second,
  // Start of the incarnation in Unix milliseconds, since a target may start
  // again under its name; absent: unknown.
  4: i64 born_ms
}

// Load of one target, measured by its gate.
struct LoadFigures {
  1: i32 in_flight,
  2: i32 queued,
  3: i32 slots,
  4: i32 latency_us,
  5: i32 error_permille,
  6: TargetState state,
  // Current duration of work in percent of the usual; 0: not reported.
  7: i32 pace_percent,
  // Recent transit time of messages from the receiver of these figures to
  // the gate, beyond that of the fastest ones.
  8: i32 lag_ms,
  // Time that the link of the gate's instance needs for the outstanding
  // bodies; 0: none outstanding, or the rate of the link is unknown.
  9: i32 body_wait_ms,
  // Expected remainder of a slow period; 0: none, or unknown.
  10: i32 spell_left_ms,
  // Time until the target may get another call, as it is cold or declares a
  // limit; 0: now.
  11: i32 start_wait_ms,
  // Absent while the target declares no limit and does not leave.
  12: TargetStatement statement
}

// Entry to gate. Includes a body that fits entirely (body_complete).
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
  // Remaining time of the route's latency objective.
  15: i64 objective_left_us,
  // The call was made by a target while it runs another call.
  16: bool nested,
  17: string route_name,
  // Not the first attempt of its call.
  18: bool repeated,
  // The gate refuses the call at a slower pace than this; 0: any pace.
  19: i32 most_pace_percent,
  // Time of sending on the sender's clock since its machine booted. Only
  // differences between calls of one connection are meaningful.
  20: i64 sent_at_us,
  // The caller was refused before and retries.
  21: bool returned,
  // Identifies the request; the same in each attempt.
  22: binary fingerprint,
  // What the entry was told of the target; absent: nothing.
  23: TargetStatement statement,
  // Client account of the call, or of its parent; absent: none.
  24: string account
}

// Sent by a gate to its recent entries when its load changes.
struct LoadNews {
  1: LoadFigures load
}

struct BodyChunk {
  1: i64 call_id,
  2: binary data,
  3: bool last
}

// Flow control: the receiver of body chunks allows that many more bytes.
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
  // Pace of the target when the call started; 0: not reported.
  9: i32 begun_pace_percent
}

// Proves that the target never received the call.
struct Refused {
  1: i64 call_id,
  2: i32 code,
  3: string detail,
  4: i32 retry_after_ms,
  5: LoadFigures load
}

// The call may have run: the target or the connection to it failed.
struct Broken {
  1: i64 call_id,
  2: i32 code,
  3: string detail,
  4: LoadFigures load,
  // Report on the end of the target, in the first message about it on
  // each connection.
  5: EndReport end
}

struct Cancel {
  1: i64 call_id
}

// Answer to Cancel. not_run: the target never received the call.
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

// --- evacuations -----------------------------------------------------------

// The data centres to whose targets nothing may be sent. Only committed
// states are sent; the one with the highest revision holds.
struct EvacuationState {
  1: i64 revision,
  2: list<string> data_centres,
  // When the revision was made, by the clock of the leader.
  3: i64 changed_unix_ms
}

// --- configuration -------------------------------------------------------

// takes_changes: the sender accepts the changes since known_version.
// without_document: the sender only asks for the current version.
struct DocumentRequest {
  1: i64 request_id,
  2: i64 known_version,
  3: bool takes_changes,
  4: bool without_document
}

// Line-based difference between a version and a later one; with
// base_version 0 it contains all lines. events/changes.py defines the format.
struct DocumentChange {
  1: i64 base_version,
  2: i64 version,
  3: binary packed
}

// version 0: the sender has no document. committed: confirmed by a majority
// read; confirmed_by counts control instances. The document is compressed;
// senders of an earlier release send it uncompressed in field 3.
struct DocumentAnswer {
  1: i64 request_id,
  2: i64 version,
  3: binary document,
  4: bool committed,
  5: binary packed_document,
  // Address of the leader if a follower knows it, else empty.
  6: string leader_address,
  // Consecutive changes, for a sender with takes_changes.
  7: list<DocumentChange> changes,
  // The document is omitted, since it is being sent to others: ask another
  // instance.
  8: bool busy,
  // Unset if no data centre was ever evacuated.
  9: EvacuationState evacuations
}

// --- client accounts -------------------------------------------------------
// Sent only while the document has accounts with limits: instances of a
// release without them can't read such a document.

// An account's calls at one entry since its last report.
struct AccountUse {
  1: string account,
  // Calls that passed without a grant; below 0: more were given back.
  2: i32 used,
  // Calls that the entry asks a grant for.
  3: i32 wanted,
  // Calls that were refused because of the limit.
  4: i32 turned_away
}

// Entry to the home of the accounts.
struct AccountReport {
  1: i64 report_id,
  2: list<AccountUse> uses
}

// What an entry may use of an account's limit.
struct AccountGrant {
  1: string account,
  2: i32 granted,
  // Time after which to ask again; 0: at once.
  3: i32 wait_ms,
  // Time for which calls need a grant; 0: they need none.
  4: i32 tight_ms,
  // Calls a second that this entry may expect while the account is tight.
  5: double calls_per_second
}

// Home to entries; report_id 0: not an answer.
struct AccountGrants {
  1: i64 report_id,
  2: list<AccountGrant> grants
}

// What is demanded of an account in the sender's data centre.
struct AccountDemand {
  1: string account,
  2: double calls_per_second
}

// Home to the homes of the same accounts in other data centres. The answer
// has the number of the message that it confirms.
struct AccountDemands {
  1: string data_centre,
  2: list<AccountDemand> demands,
  3: i64 number,
  4: bool confirms
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

// A target ended while it ran these requests; if lifted, all earlier reports
// on them are void. Never sent as a separate frame: instances of an earlier
// release would close the connection.
struct EndReport {
  1: string report_id,
  2: string service_name,
  3: list<binary> fingerprints,
  // Time since the end of the target.
  4: i64 age_ms,
  5: bool lifted,
  // Running time of each request when the target ended.
  6: list<i32> ran_ms
}

// Asks for all reports except those with the listed short digests.
struct EndsRequest {
  1: list<i64> known
}

struct EndsAnswer {
  1: list<EndReport> reports
}

// --- orders of operators ----------------------------------------------------

// An operator's order for the leader, which interprets kind and body. The
// change id is a digest of all fields that follow it.
struct OrderRequest {
  1: i64 request_id,
  2: string kind,
  3: string change_id,
  4: i64 base_version,
  5: i64 chosen_version,
  6: binary body,
  // Asks a daemon to forward it for an instance that reaches no leader.
  7: bool relayed
}

// Result of an order. If the instance isn't the leader, leader_address names
// the leader if known.
struct OrderAnswer {
  1: i64 request_id,
  2: i32 code,
  3: i64 version,
  4: i64 current_version,
  5: string detail,
  6: string leader_address
}

// A message of a TCP connection; exactly one field is set.
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
  29: OrderAnswer order_answer,
  30: AccountReport account_report,
  31: AccountGrants account_grants,
  32: AccountDemands account_demands
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
  // New reports, and a digest of all reports of the sender.
  12: list<EndReport> ends,
  13: i64 ends_digest,
  // Unset if no data centre was ever evacuated.
  14: EvacuationState evacuations
}

// --- commands in the replicated log --------------------------------------

struct PublishCommand {
  1: string change_id,
  2: i64 base_version,
  3: binary document,
  4: string operator_name,
  // Version number chosen by the operator; 0: the next one.
  5: i64 chosen_version,
  // The compressed document; if set, field 3 is unset.
  6: binary packed_document
}

struct ReplaceStorageCommand {
  1: string instance,
  2: string storage_id
}

// Begins or ends the evacuation of a data centre. base_revision: the
// revision of the evacuations that the sender of the order knew.
struct EvacuateCommand {
  1: string data_centre,
  2: bool evacuated,
  3: i64 base_revision,
  4: string operator_name
}

union Command {
  1: PublishCommand publish,
  2: ClaimRequest claim,
  3: ClaimEnd claim_end,
  4: ReplaceStorageCommand replace_storage,
  5: EvacuateCommand evacuate
}
