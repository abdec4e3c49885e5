// Calls between boxes. The code in wire/ is made from this file by `make thrift`.

namespace py.twisted gladedrum.peers.wire

/** A request as the owner of a target sees it. Times are relative, since clocks differ. */
struct JobRecord {
  1: string job_id,
  2: string organisation,
  3: string request_class,
  4: i32 prompt_tokens,
  5: i32 output_tokens,
  6: double age_s,
  7: double time_left_s,
  8: double weight,
  9: list<i64> prefix,
  10: string policy,
  11: string entry_box,
  12: i32 start_tokens,
  13: i32 whole_tokens
}

/** What an owner expects of a request on one of its targets. */
struct QuoteRecord {
  1: string target,
  2: bool accepted,
  3: double first_token_s,
  4: double cost,
  5: string reason,
  6: double retry_after_s
}

/** The answer to a reservation, given when it is granted or refused. */
struct ReserveRecord {
  1: bool granted,
  2: i64 priority,
  3: string reason,
  4: double retry_after_s
}

/** What table a box has, and how old its news are. */
struct TableRecord {
  1: i64 revision,
  2: double age_s
}

service Peer {
  /** Expectations for the named targets, all owned by the callee. */
  list<QuoteRecord> quote(1: list<string> targets, 2: JobRecord job),

  /** Waits in the target's queue until memory and a slot are reserved. */
  ReserveRecord reserve(1: string target, 2: JobRecord job, 3: string traceparent),

  /** The first token of a request has come. */
  oneway void first_token(1: string target, 2: string job_id),

  /** A request has ended, or its place in the queue is given up. */
  oneway void release(1: string target, 2: string job_id),

  /** Requests of the calling box that hold reservations on the target. */
  oneway void renew(1: string target, 2: list<JobRecord> jobs),

  /** Requests that still run on targets of the callee, which knows them. */
  oneway void renew_known(1: list<string> targets, 2: list<string> job_ids),

  /** Answers with the callee's name, as proof that it works. */
  string heartbeat(1: string box),

  /** Those of the named sessions that the callee still waits for. */
  list<string> live_sessions(1: list<string> session_ids),

  /** What a box at this revision of the table lacks, in JSON; empty if nothing. */
  binary table_since(1: i64 revision),

  /** The revision of the table in force at the callee. */
  TableRecord table_state()
}
