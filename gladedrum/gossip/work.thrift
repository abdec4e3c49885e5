// What boxes tell each other about targets, a datagram each. The code in wire/ is made from this
// file by `make thrift`.

namespace py.twisted gladedrum.gossip.wire

/** A change in the work of targets. Times are relative, since clocks differ. */
struct WorkNote {
  1: string work_id,
  /** 1 placed, 2 first event, 3 ended well, 4 failed by the target, 5 withdrawn, 6 overdue. */
  2: i16 change,
  /** The target that answers, then those that help to read. */
  3: list<string> targets,
  4: i32 prompt_tokens,
  5: i32 answer_tokens,
  6: double value,
  7: double first_due_in_s,
  8: double pause_limit_s,
  /** Whether each target holds the part of the prompt that it reads. */
  9: bool reserved,
  /** Seconds until its caller leaves if no event has come. */
  10: double lost_in_s,
  /** Stands for the request if it is suspected to end targets; none if not. */
  11: binary digest,
  /** Whether nothing else is to run beside it. */
  12: bool alone,
  /** Stand for the parts of its prompt that are suspected to end targets. */
  13: list<binary> parts
}

/** A request, or a part of its prompt, that was lost with one start of a target; merged with what is known. */
struct LossNote {
  /** Stands for the request or the part. */
  1: binary digest,
  2: string target,
  /** When the target was started; see TargetRow. */
  3: i64 born,
  /** 0 open, 1 the target has ended, 2 cleared. Of two boxes' the higher one holds. */
  4: i16 verdict,
  /** Seconds since it was lost, or cleared. */
  5: double age_s,
  6: string route,
  7: string organisation,
  /** The name of the part; none for a whole request. */
  8: string part,
  /** Whether the request ran alone on the target. */
  9: bool isolated,
  /** Stands for the request that bore the part. */
  10: binary request
}

/** A target's report on itself, as one box has read it. */
struct ReportNote {
  1: string target,
  2: bool answered,
  3: i32 waiting,
  4: i32 running,
  5: double pace,
  6: i32 memory_used,
  /** Whether its address refuses connections: no process listens there. */
  7: bool refused,
  /** When the process that answered was started; see TargetRow. */
  8: i64 born,
  /** The requests a second that it takes from all boxes; none if it names no rate. */
  9: double rate_per_s,
  /** Seconds since the report was asked for; none if the sender knows nothing of rates. */
  10: double asked_age_s
}

/** What an answer to a box says of the rate that its target takes from all boxes. */
struct RateNote {
  1: string target,
  2: i64 born,
  /** Requests a second; none if it names no rate any more. */
  3: double per_s,
  /** Seconds since the request was sent that was answered, and since its head came. */
  4: double asked_age_s,
  5: double heard_age_s
}

/** A start of a target that has said in an answer to a box that it leaves. */
struct LeavingNote {
  1: string target,
  2: i64 born
}

/** Asks the box that adds up what a target gets for one request's place there. */
struct PlaceAsk {
  1: i64 ask_id,
  2: string target,
  3: i64 born,
  /** The rate that the asking box knows. */
  4: double per_s
}

struct PlaceGrant {
  1: i64 ask_id,
  2: bool granted,
  /** Seconds until the next place is free. */
  3: double next_s
}

/** What a box has sent to a target without a place there: a report's question, an order. */
struct SpentNote {
  1: string target,
  2: i64 born,
  3: double per_s
}

/** Asks a box that hears of all work where a request should go. */
struct AskNote {
  1: string work_id,
  2: string service_name,
  3: i32 prompt_tokens,
  4: i32 answer_tokens,
  5: double first_due_in_s,
  6: double pause_limit_s,
  7: list<string> tried,
  8: string data_hall,
  /** The policy that the table names for the request. */
  9: string policy,
  /** Decide even if cold; see ChoiceNote. */
  10: bool insists,
  11: double lost_in_s,
  /** Whether it has run somewhere, so that it can't be refused any more. */
  12: bool committed,
  /** Targets to which the asking box holds an idle connection. */
  13: list<string> connected,
  /** Stands for the request, if the asking box suspects any. */
  14: binary digest,
  /** Targets that take no further request by the rates that they name, and for how many seconds. */
  15: map<string, double> closed,
  /** Targets that want nothing from the asking box, and for how many seconds; others may ask there. */
  16: map<string, double> resting,
  /** Factor on the worth of the request, by its rank among the routes of its service; none is 1. */
  17: double rank_weight,
  /** Whether the answer may be to ask again later; see ChoiceNote.wait_s. */
  18: bool may_wait,
  /** Stand for the parts of its prompt, if the asking box suspects any request or part. */
  19: list<binary> parts,
  /** Whether it was lost after its answer had been arriving for a while. */
  20: bool was_writing
}

/** The answer: no targets if there is no place. */
struct ChoiceNote {
  1: string work_id,
  2: list<string> targets,
  3: i32 part_tokens,
  4: bool reserved,
  5: double loss,
  6: double first_event_s,
  7: double pause_s,
  /** The box has started lately and does not know the fleet's work yet; ask another. */
  8: bool cold,
  /** Above 0 if no target can serve the request before its caller leaves: when to come back. */
  9: double come_back_s,
  /** More questions wait than can be answered in time; ask another, or decide alone. */
  10: bool busy,
  /** Above 0 if the request ends the targets that run it: when it may be tried again. */
  11: double condemned_s,
  /** Another run of the suspected request, or the word on its last one, is awaited. */
  12: bool held,
  /** Above 0 if all targets take no request before so many seconds, by the rates that they name. */
  13: double closed_s,
  /** The rate that the first target takes from all boxes, if it names one. */
  14: double rate_per_s,
  /** Above 0 if nothing was placed because a later placement is better: when to ask again. */
  15: double wait_s,
  /** Whether nothing else is to run beside it, see WorkNote. */
  16: bool alone,
  /** The part of its prompt because of which it is condemned or held; none for the request itself. */
  17: binary part,
  /** Nothing was placed since the question named no parts while some are suspected: ask again with them. */
  18: bool wants_parts
}

/** The data halls that are evacuated, as of a revision of the store; no others are. */
struct EvacuationsNote {
  1: list<string> halls,
  2: i64 era,
  3: i64 revision
}

/** A target that is cold: it has just started, or says so, and bears few requests. */
struct ColdNote {
  1: string target,
  2: i64 born,
  /** Seconds for which it is still cold; 0 if it is not cold any more. */
  3: double left_s,
  /** Seconds since the target said so. */
  4: double heard_age_s
}

/** Asks a box that reads the store what it knows; answered at once, so that ages add up. */
struct VouchAsk {
  1: i64 ask_id,
  /** Stands for the list of targets that the asking box has. */
  2: string targets_digest,
  /** Stands for the list of boxes that it has; none if it keeps an entry in the store itself. */
  3: string boxes_digest,
  /** The version of the configuration that it has; a newer one is told, if it is small. */
  4: i64 version,
  /** Stands for the losses that it knows; the asked box tells its own if they differ. */
  5: i64 losses,
  /** Whether it can apply a configuration that is encoded as a difference. */
  6: bool accepts_differences
}

/** A box that keeps an entry in the store. */
struct BoxRow {
  1: string name,
  2: string host,
  3: i32 port,
  /** Cores that it may use. */
  4: double capacity,
  5: string data_hall
}

/** Targets of one service, in one data hall or (empty) in all. */
struct TargetGroup {
  1: string service_name,
  2: string data_hall
}

/** What a box's own link is thought not to reach; see paths.evidence. Empty: all is reached. */
struct LinkNote {
  1: list<TargetGroup> impaired,
  /** Whether it opens connections to targets for other boxes. */
  2: bool carries
}

/** What that box has in force (no version: it does not vouch, and tells only the boxes), and the seconds since the calls were sent that vouch for it. */
struct VouchNote {
  1: i64 ask_id,
  2: i64 version,
  3: double configuration_age_s,
  4: string targets_digest,
  5: double targets_age_s,
  /** The revision of the table of weights and limits. */
  6: i64 table_revision,
  /** The boxes that keep entries in the store, if the asking box has another list of them. */
  7: list<BoxRow> boxes,
  /** The store's revision when the sender read them. */
  8: i64 boxes_revision,
  /** Stands for the losses that it knows; the asking box tells its own if they differ. */
  9: i64 losses,
  /** The store's eras in which those revisions were given; it may come back from a copy. */
  10: i64 boxes_era,
  11: i64 table_era,
  /** None if the sender does not know. */
  12: EvacuationsNote evacuations,
  /** Seconds since the latest read of the list of targets that failed for the sender; None while
      it has a complete list. */
  13: double targets_failed_s
}

/** A target as the asked box lists it. */
struct TargetRow {
  1: string name,
  2: string service_name,
  3: string host,
  4: i32 port,
  5: string data_hall,
  6: i32 slots,
  7: bool leaving,
  /** Tells the starts of a target apart: larger for a later one; 0 if it does not say. */
  8: i64 born,
  /** Seconds for which it is still cold, as of the age of the list. */
  9: double cold_left_s
}

/** A part of a configuration: as the operator wrote it, or encoded as a difference. */
struct ConfigurationPart {
  1: i64 version,
  2: i32 part,
  3: i32 parts,
  4: binary raw,
  /** The version that the difference is from, -1 for the whole; none if it is not encoded. */
  5: i64 base
}

/** A part of the list of targets, for a box that has another one; all parts make the whole, or the
 *  difference from the list that the asking box has. */
struct ListPart {
  1: i64 ask_id,
  2: i32 part,
  3: i32 parts,
  /** Seconds since the call was sent that vouches for the list. */
  4: double age_s,
  5: list<TargetRow> rows,
  6: bool is_difference,
  /** Targets of the asking box's list that are in it no more; in a difference only. */
  7: list<string> gone,
  /** For how long the sender had followed the list without a gap when the list was read. */
  8: double followed_s
}

/** Asks a member of the circle for one of the fleet's repeats. */
struct RepeatAsk {
  1: i64 ask_id,
  2: string service_name
}

struct RepeatGrant {
  1: i64 ask_id,
  2: bool granted
}

struct Gossip {
  1: string box,
  2: list<WorkNote> work,
  3: list<ReportNote> reports,
  /** Without notes beside it: the sender ends now. */
  4: bool leaving,
  5: list<AskNote> asks,
  6: list<ChoiceNote> choices,
  7: list<VouchAsk> vouch_asks,
  8: list<VouchNote> vouches,
  9: list<ListPart> list_parts,
  10: list<RepeatAsk> repeat_asks,
  11: list<RepeatGrant> repeat_grants,
  /** Cores that the sender may use; told when it greets. */
  12: double capacity,
  13: list<ConfigurationPart> configuration_parts,
  14: list<LossNote> losses,
  15: list<RateNote> rates,
  16: list<PlaceAsk> place_asks,
  17: list<PlaceGrant> place_grants,
  18: list<SpentNote> spent,
  19: list<LeavingNote> leaving_targets,
  20: EvacuationsNote evacuations,
  21: list<ColdNote> cold_targets,
  /** Told with the capacity. */
  22: string data_hall,
  23: LinkNote link,
  /** Boxes that may carry connections for a box whose own link is impaired. */
  24: list<BoxRow> carriers
}
