"""The Prometheus metrics of a forwarding box."""

from prometheus_client import CollectorRegistry, Counter, Gauge, Histogram

__all__ = ["ForwardMetrics"]

_TIME_BUCKETS_S = (0.01, 0.025, 0.05, 0.1, 0.2, 0.3, 0.5, 1, 1.5, 2.5, 4, 8, 16)


class ForwardMetrics:
    """Every metric that a forwarding box exports, on a registry of its own.

    Some exported names use other words than the code: a *repeat* is an attempt after the first, a
    *place* is a slot in a target's rate limit, a *resting* target has requested a backoff, and a
    *barred* request was refused because it is condemned. The store's *era* changes when the store
    is restored from a copy.
    """

    def __init__(self) -> None:
        self.registry = CollectorRegistry()
        self.outcomes = Counter(
            "gladedrum_requests", "Requests that have ended, by outcome.", ["outcome"],
            registry=self.registry,
        )  # fmt: skip
        self.took_s = Histogram(
            "gladedrum_request_seconds", "Time from a request's arrival to its end.", ["outcome"],
            buckets=_TIME_BUCKETS_S, registry=self.registry,
        )  # fmt: skip
        self.first_event_s = Histogram(
            "gladedrum_first_event_seconds", "Time from a request's arrival to its first event.",
            buckets=_TIME_BUCKETS_S, registry=self.registry,
        )  # fmt: skip
        self.longest_pause_s = Histogram(
            "gladedrum_longest_pause_seconds", "The longest pause within a stream.",
            buckets=_TIME_BUCKETS_S, registry=self.registry,
        )  # fmt: skip
        self.malformed_entries = Gauge(
            "gladedrum_malformed_entries",
            "Entries of the store, by kind, that the latest read has skipped as malformed.",
            ["kind"], registry=self.registry,
        )  # fmt: skip
        self.request_bytes = Gauge(
            "gladedrum_request_bytes", "Bytes that callers' requests hold, copies included.",
            registry=self.registry,
        )  # fmt: skip
        self.requests_without_memory = Gauge(
            "gladedrum_requests_without_memory",
            "Requests refused so far for lack of memory, for themselves or for others.",
            registry=self.registry,
        )  # fmt: skip
        self.refused_connections = Gauge(
            "gladedrum_refused_connections",
            "Callers' connections closed so far, as there were too many.",
            registry=self.registry,
        )  # fmt: skip
        self.repeats = Counter(
            "gladedrum_repeats", "Further tries, by whether they were sent.", ["result"],
            registry=self.registry,
        )  # fmt: skip
        self.hedges = Counter(
            "gladedrum_hedges", "Hedges of silent tries, by what came of them.", ["result"],
            registry=self.registry,
        )  # fmt: skip
        self.served = Counter(
            "gladedrum_served",
            "Requests that have ended, by service, rank, and whether they met their objectives.",
            ["service", "rank", "result"], registry=self.registry,
        )  # fmt: skip
        self.waits = Counter(
            "gladedrum_waits", "Long prompts that waited for engines, by how the wait ended.",
            ["result"], registry=self.registry,
        )  # fmt: skip
        self.wait_s = Histogram(
            "gladedrum_wait_seconds", "Time for which long prompts waited for engines.",
            buckets=_TIME_BUCKETS_S, registry=self.registry,
        )  # fmt: skip
        self.waiting = Gauge(
            "gladedrum_waiting", "Long prompts that wait for engines now.",
            registry=self.registry,
        )  # fmt: skip
        self.barred = Counter(
            "gladedrum_barred", "Requests refused since the targets that run them end.",
            registry=self.registry,
        )  # fmt: skip
        self.condemned = Gauge(
            "gladedrum_condemned", "Requests that are known to end the targets that run them.",
            registry=self.registry,
        )  # fmt: skip
        self.refused_on_hold = Counter(
            "gladedrum_refused_on_hold",
            "Requests refused after they waited for the test of a part of their prompt.",
            registry=self.registry,
        )  # fmt: skip
        self.suspected_parts = Gauge(
            "gladedrum_suspected_parts",
            "Parts of prompts under which targets have ended, tested or condemned.",
            registry=self.registry,
        )  # fmt: skip
        self.places = Counter(
            "gladedrum_target_places", "Places sought at targets that name a rate, by the answer.",
            ["result"], registry=self.registry,
        )  # fmt: skip
        self.rated = Gauge(
            "gladedrum_targets_with_rate", "Targets that name the rate of requests they take.",
            registry=self.registry,
        )  # fmt: skip
        self.cold_places = Counter(
            "gladedrum_cold_target_places", "Places sought at cold targets, by the answer.",
            ["result"], registry=self.registry,
        )  # fmt: skip
        self.cold = Gauge(
            "gladedrum_targets_cold", "Targets that are cold, as far as this box knows.",
            registry=self.registry,
        )  # fmt: skip
        self.leaving = Gauge(
            "gladedrum_targets_leaving", "Targets that have said in answers that they leave.",
            registry=self.registry,
        )  # fmt: skip
        self.unlisted = Gauge(
            "gladedrum_targets_unlisted_kept",
            "Targets that are kept although the list lacks them, after a fault of store or link.",
            registry=self.registry,
        )  # fmt: skip
        self.dropped_answers = Gauge(
            "gladedrum_answers_dropped",
            "Answers of targets dropped since the start, as they were to another request or call.",
            registry=self.registry,
        )  # fmt: skip
        self.answer_ends = Counter(
            "gladedrum_answer_ends", "Answers of targets, by what marked their end.",
            ["service", "mark"], registry=self.registry,
        )  # fmt: skip
        self.unmarked_ends = Counter(
            "gladedrum_unmarked_ends", "Runs whose answers ended without a mark, by finding.",
            ["service", "result"], registry=self.registry,
        )  # fmt: skip
        self.backing_off = Gauge(
            "gladedrum_targets_resting", "Targets that want nothing from this box for a while.",
            registry=self.registry,
        )  # fmt: skip
        self.evacuated_halls = Gauge(
            "gladedrum_data_halls_evacuated", "Data halls that the operator has evacuated.",
            registry=self.registry,
        )  # fmt: skip
        self.evacuated_targets = Gauge(
            "gladedrum_targets_evacuated", "Listed targets of evacuated data halls.",
            registry=self.registry,
        )  # fmt: skip
        self.evacuated_running = Gauge(
            "gladedrum_evacuated_running", "Attempts known to run in evacuated data halls.",
            registry=self.registry,
        )  # fmt: skip
        self.refused_evacuated = Counter(
            "gladedrum_refused_evacuated",
            "Requests refused since all targets of their service are evacuated.",
            registry=self.registry,
        )  # fmt: skip
        self.buffered_bytes = Gauge(
            "gladedrum_buffered_bytes",
            "Bytes held for callers, with a memory budget: their requests and unread answers.",
            ["kind"], registry=self.registry,
        )  # fmt: skip
        self.buffer_limit = Gauge(
            "gladedrum_buffer_limit_bytes", "The memory budget, 0 if it is off.",
            registry=self.registry,
        )  # fmt: skip
        self.paused_answers = Gauge(
            "gladedrum_paused_answers", "Answers that are not read from their targets now.",
            registry=self.registry,
        )  # fmt: skip
        self.memory_decisions = Counter(
            "gladedrum_memory_decisions",
            "Answers paused, resumed or dropped, and requests refused, by the memory budget.",
            ["decision"], registry=self.registry,
        )  # fmt: skip
        self.connections = Gauge(
            "gladedrum_target_connections",
            "Connections to targets since the start, by path (own link, peer) and result.",
            ["path", "result"], registry=self.registry,
        )  # fmt: skip
        self.impaired_groups = Gauge(
            "gladedrum_link_impaired_groups",
            "Services and data halls that this box's own link is thought not to reach.",
            registry=self.registry,
        )  # fmt: skip
        self.impaired_targets = Gauge(
            "gladedrum_link_impaired_targets",
            "Single targets that a peer reaches and this box's own link does not.",
            registry=self.registry,
        )  # fmt: skip
        self.impaired_s = Gauge(
            "gladedrum_link_impaired_seconds", "For how long the oldest such group is impaired.",
            registry=self.registry,
        )  # fmt: skip
        self.unconfirmed = Gauge(
            "gladedrum_failures_unconfirmed",
            "Failures not counted against a target, as the own link was not known to be sound.",
            registry=self.registry,
        )  # fmt: skip
        self.tunnels = Gauge(
            "gladedrum_tunnels", "Open connections to targets through peers, or for peers.",
            ["role"], registry=self.registry,
        )  # fmt: skip
        self.tunnels_refused = Gauge(
            "gladedrum_tunnels_refused", "Connections that were not opened for peers.",
            registry=self.registry,
        )  # fmt: skip
        self.tunnel_bytes = Gauge(
            "gladedrum_tunnel_bytes", "Bytes copied for peers since the start.",
            registry=self.registry,
        )  # fmt: skip
        self.in_flight = Gauge(
            "gladedrum_requests_in_flight", "Requests that have not ended.",
            registry=self.registry,
        )  # fmt: skip
        self.configuration_version = Gauge(
            "gladedrum_configuration_version", "The version in force, -1 before the first.",
            registry=self.registry,
        )  # fmt: skip
        self.configuration_age_s = Gauge(
            "gladedrum_configuration_age_seconds", "Since it was last vouched for.",
            registry=self.registry,
        )  # fmt: skip
        self.configuration_newest = Gauge(
            "gladedrum_configuration_newest_version",
            "The newest version that this box knows of, in force or not, -1 before the first.",
            registry=self.registry,
        )  # fmt: skip
        self.configuration_behind_s = Gauge(
            "gladedrum_configuration_behind_seconds",
            "Since a version newer than the one in force is known, 0 if none is.",
            registry=self.registry,
        )  # fmt: skip
        self.configuration_failed_reads = Gauge(
            "gladedrum_configuration_failed_reads",
            "Reads of the configuration that failed since the last that succeeded.",
            registry=self.registry,
        )  # fmt: skip
        self.store_era = Gauge(
            "gladedrum_store_era", "The store's era since it last came back from a copy, else 0.",
            registry=self.registry,
        )  # fmt: skip
        self.store_returns = Counter(
            "gladedrum_store_returns", "How often the store came back from a copy.",
            registry=self.registry,
        )  # fmt: skip
        self.start_cpu_s = Gauge(
            "gladedrum_start_processor_seconds",
            "Processor time of the process until this point of its start.", ["until"],
            registry=self.registry,
        )  # fmt: skip
        self.child_restarts = Counter(
            "gladedrum_child_restarts", "Supervised children that were started again.", ["child"],
            registry=self.registry,
        )  # fmt: skip
