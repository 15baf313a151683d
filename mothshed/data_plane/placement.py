"""Chooses the prefill and decode replica of each delivered request, by the time that each replica would take.

The time to prefill at a replica consists of the tokens queued there, the tokens of the prompt that it does not
hold in its prefix cache, its measured prefill rate and the cost of crossing zones; the shortest time wins. A
prompt part that no replica is known to hold goes to the replica that a rendezvous hash of the shared parts names, so
that all routers prefill a shared part at the same replica without coordination. Decode replicas are chosen by
their running requests. A pair without a prefill replica means that the decode replica prefills the prompt itself.
"""

import collections
import collections.abc
import threading
import typing

import mothshed.constants as constants
import mothshed.data_plane.outcomes as outcomes
import mothshed.data_plane.prefix_cache as prefix_cache
import mothshed.data_plane.replica_pair as replica_pair
import mothshed.replicas.pools as pools
import mothshed.replicas.replica_load as replica_load
import mothshed.runtime.decaying_sums as decaying_sums

Request = typing.Any  # route_front.RoutedRequest
Document = dict[str, typing.Any]  # a configuration
PrefillChoice = tuple[str, int, float]  # replica, uncached tokens, s until they are prefilled


class Placement:
    """Chooses replicas for one router and tracks the load of each replica."""

    def __init__(self, environment: typing.Any, replicas: typing.Any, zone: str) -> None:
        self.environment, self.replicas, self.zone = environment, replicas, zone
        self.lock = threading.RLock()
        self.prefix_cache = prefix_cache.PrefixCacheIndex()
        # replica -> prompt tokens that this router has queued there, by rank
        self.backlog: dict[str, list[float]] = collections.defaultdict(lambda: [0] * constants.PREFILL_RANK_COUNT)
        # part -> (time of the report, load of all other routers at its replicas)
        self.remote_loads: dict[int, tuple[float, replica_load.Loads]] = {}
        self.outcomes = outcomes.Outcomes(environment.now)
        # events, and the seconds between them
        self.event_times = decaying_sums.DecayingSums(environment.now, constants.OUTCOME_HALF_LIFE_S, kinds=2)
        self.prefill_rates: dict[str, float] = {}  # replica -> measured tokens/s

    def update_remote_loads(self, part: int, loads: replica_load.Loads) -> None:
        """Store the load of all other routers at the replicas of a part, as its leader sums it up."""
        now = self.environment.now()
        with self.lock:
            self.remote_loads[part] = (now, loads)
        for name, load in loads.items():
            if load.out_s > constants.LOAD_REPORT_INTERVAL_S and name not in self.replicas.consecutive_failures:
                self.replicas.suspect(name, min(load.out_s, constants.MAX_EXCLUSION_S))

    def running(self, name: str) -> float:
        """Known requests of all routers at a replica."""
        return float(self.replicas.own_requests.get(name, 0) + sum(load.requests for load in self.reported(name)))

    def queued_tokens(self, name: str) -> float:
        """Known prompt tokens of all routers that a replica has to prefill."""
        return sum(self.queued_by_rank(name))

    def reported(self, name: str) -> list[replica_load.ReplicaLoad]:
        """Loads that other routers reported for a replica within LOAD_TTL_S."""
        now = self.environment.now()
        reports = list(self.remote_loads.values())  # a copy: the caller may not hold the lock
        return [row[name] for at, row in reports if name in row and now - at < constants.LOAD_TTL_S]

    def queued_by_rank(self, name: str) -> list[float]:
        """The same as queued_tokens, by rank."""
        remote = [load.reading for load in self.reported(name)]
        return [sum(tokens) for tokens in zip(self.backlog[name], *remote, strict=True)]

    def prefill_rate(self, name: str) -> float:
        """Tokens a second that a replica prefills."""
        return self.prefill_rates.get(name, float(constants.PREFILL_TOKENS_PER_S))

    def record_prefill(self, name: str, tokens: float, queued: float, duration_s: float) -> None:
        """Update a replica's rate from one prefill; those that had to queue say nothing about it."""
        if tokens > constants.MIN_PACE_SAMPLE_TOKENS and queued < tokens / 10:
            rate = tokens / max(duration_s - constants.PREFILL_BASE_S, 0.001)
            rate = min(max(rate, constants.PREFILL_TOKENS_PER_S / 4), constants.PREFILL_TOKENS_PER_S * 1.25)
            self.prefill_rates[name] = 0.8 * self.prefill_rate(name) + 0.2 * rate

    def uncached_tokens(self, name: str, request: Request, preferred: str | None) -> int:
        """Prompt tokens that a replica has to prefill; the preferred replica counts as holding the shared parts."""
        cached = self.prefix_cache.cached_tokens(name, request.parts)
        if name == preferred:
            cached = max(cached, sum(tokens for _part_id, tokens in request.parts[:-1]))
        return int(max(0, request.tokens - cached))

    def preferred_replica(self, names: list[str], request: Request) -> str | None:
        """The replica that the prompt's shared parts hash to; None if it has none."""
        shared = request.parts[:-1]
        return prefix_cache.preferred_replica(shared[-1][0], names) if shared and names else None

    def zone_cost(self, name: str, zone: str) -> float:
        """Seconds added to the cost of a replica outside a zone."""
        return 0.0 if self.replicas.rows[name]["cell"] == zone else constants.CROSS_ZONE_COST_S

    def choose_prefill(self, names: list[str], request: Request) -> PrefillChoice:
        """The replica that would finish the prefill soonest."""
        preferred, choices = self.preferred_replica(names, request), []
        for name in names:
            uncached, rate = self.uncached_tokens(name, request, preferred), self.prefill_rate(name)
            prefill_s = uncached / rate + constants.PREFILL_BASE_S
            time = self.queue_wait(name, rate, self.rank(request, prefill_s)) + prefill_s
            repeated = max(0, uncached - (request.parts[-1][1] if request.parts else uncached))  # of the shared parts
            repeat_cost = constants.REPEATED_PREFILL_RATIO * repeated / rate
            choices.append((time + repeat_cost + self.zone_cost(name, self.zone), (name, uncached, time)))
        return min(choices)[1]

    def choose_decode(self, names: list[str], zone: str) -> str:
        """The replica with the fewest requests, if possible one with a free slot; of similar ones one in the zone."""
        free = [name for name in names if self.has_free_slot(name)]
        running = {name: self.running(name) for name in free or names}
        fewest = min(running.values())
        tied = [name for name in running if running[name] <= fewest + 1 + fewest // 4]
        return min(tied, key=lambda name: (self.zone_cost(name, zone), running[name], self.environment.random.random()))

    def choose_decode_only(self, names: list[str], request: Request) -> tuple[str, float]:
        """The decode replica that would prefill the prompt itself soonest, and the seconds that it takes."""
        choices = []
        for name in names:
            cached = self.prefix_cache.cached_tokens(name, request.parts)
            uncached = max(0, request.tokens - cached) + self.queued_tokens(name)
            rate = constants.DECODE_PREFILL_RATIO * constants.PREFILL_TOKENS_PER_S
            time = uncached / rate + constants.PREFILL_BASE_S
            cost = time + self.running(name) * constants.RUNNING_COST_S + self.zone_cost(name, self.zone)
            choices.append((cost, (name, time)))
        return min(choices)[1]

    def prefers_decode_only(self, request: Request, split_s: float, decode_only_s: float) -> bool:
        """Whether the decode replica prefills itself: the prompt is short, and it is done sooner there."""
        return bool(request.tokens <= constants.SHORT_PROMPT_TOKENS and decode_only_s < split_s)

    def rank(self, request: Request, prefill_s: float) -> int:
        """0 for short prefills, which delay nothing else; 1 for those with little time to spare; else 2."""
        if prefill_s <= constants.SHORT_PREFILL_S:
            return 0
        spare_s = request.route.get("aim_s", constants.DEFAULT_AIM_S) - prefill_s - constants.FIRST_EVENT_OVERHEAD_S
        return 1 if 0 <= spare_s < constants.TIGHT_PREFILL_SPARE_S else 2

    def queue_wait(self, name: str, rate: float, rank: int) -> float:
        """Seconds until a replica has prefilled everything that goes before a prompt of this rank."""
        return sum(self.queued_by_rank(name)[: rank + 1]) / rate

    def has_free_slot(self, name: str) -> bool:
        """Whether fewer requests are known to be at a replica than it has slots."""
        return bool(self.running(name) < self.replicas.rows[name]["slots"])

    def require_free_slot(self, names: list[str]) -> None:
        """Raise QueueFull if all slots of all these replicas are known to be taken."""
        if not any(self.has_free_slot(name) for name in names):
            raise replica_pair.QueueFull(constants.MIN_QUEUE_FULL_RETRY_AFTER_S)

    def without_failing(self, names: list[str]) -> list[str]:
        """These replicas of one pool without those that fail far more requests than the others."""
        failing = outcomes.failing_replicas({name: self.outcome_counts(name) for name in names})
        return [name for name in names if name not in failing]

    def outcome_counts(self, name: str) -> outcomes.OutcomeCounts:
        """Recent outcomes at a replica, over all routers as far as is known."""
        remote = (outcomes.OutcomeCounts(load.answered, load.failed) for load in self.reported(name))
        return sum(remote, self.outcomes.counts_of(name))

    def admit(self, request: Request, name: str, rate: float, uncached: float, decode_names: list[str]) -> None:
        """Raise QueueFull if a prompt that joined the queue now would miss its aim."""
        self.require_free_slot(decode_names)
        wait = self.queue_wait(name, rate, self.rank(request, uncached / rate))
        limit = constants.ADMISSION_QUEUE_RATIO * request.route.get("aim_s", constants.DEFAULT_AIM_S)
        if wait > limit:
            raise replica_pair.QueueFull(wait - limit)

    def admit_decode_only(self, request: Request, name: str, decode_names: list[str]) -> None:
        """Raise QueueFull if a prompt that this decode replica prefilled itself would miss its aim."""
        rate = constants.DECODE_PREFILL_RATIO * constants.PREFILL_TOKENS_PER_S
        self.admit(request, name, rate, request.tokens, decode_names)

    def reserve_pair(
        self,
        sequence: int,
        document: Document,
        pool: str,
        request: Request,
        excluded: collections.abc.Container[str] = (),
        decode_only: bool = False,
    ) -> replica_pair.ReplicaPair | None:
        """A pair with its slots reserved, or None. decode_only: without a prefill replica."""
        config = document["pools"][pool]
        with self.lock, self.replicas.lock:
            usable = self.replicas.usable(config["selector"], pools.serving_role(config))
            if not usable:
                return None
            decodes = self.without_failing([name for name in usable if name not in excluded] or list(usable))
            if not pools.has_split(config) or not request.tokens:  # nothing to prefill ahead
                self.require_free_slot(decodes)
                return self.reserve(sequence, pool, request, None, self.choose_decode(decodes, self.zone), 0, 0.0)
            prefills = [name for name in self.replicas.usable(config["selector"], "prefill") if name not in excluded]
            single, single_s = self.choose_decode_only(decodes, request)
            if decode_only:
                return self.reserve(sequence, pool, request, None, single, request.tokens, single_s)
            if not prefills:
                self.admit_decode_only(request, single, decodes)
                return self.reserve(sequence, pool, request, None, single, request.tokens, single_s)
            prefill, uncached, split_s = self.choose_prefill(prefills, request)
            if self.prefers_decode_only(request, split_s, single_s):
                self.admit_decode_only(request, single, decodes)
                return self.reserve(sequence, pool, request, None, single, request.tokens, single_s)
            self.admit(request, prefill, self.prefill_rate(prefill), uncached, decodes)
            decode = self.choose_decode(decodes, self.replicas.rows[prefill]["cell"])
            return self.reserve(sequence, pool, request, prefill, decode, uncached, split_s)

    def replace_decode_replica(
        self, pair: replica_pair.ReplicaPair, selector: dict[str, str], excluded: collections.abc.Container[str] = ()
    ) -> None:
        """Move a pair with a prefill replica to another usable decode replica of its pool, if there is one."""
        with self.lock, self.replicas.lock:
            usable = self.replicas.usable(selector, "decode")
            decodes = [name for name in usable if name not in excluded] or list(usable)
            if not decodes:
                return
            name = self.choose_decode(decodes, pair.prefill_replica.zone if pair.prefill_replica else self.zone)
            self.replicas.request_ended(pair.decode_replica.name)
            self.replicas.request_started(name)
            pair.decode_replica = self.replicas.endpoint(name)

    def reserve(
        self, sequence: int, pool: str, request: Request, prefill: str | None, decode: str, uncached: int, wait_s: float
    ) -> replica_pair.ReplicaPair:
        """Reserve the slots of a pair, and queue its prompt. wait_s: until it is prefilled."""
        self.replicas.request_started(decode)
        if prefill:
            self.replicas.request_started(prefill)
        name = prefill or decode
        queued = self.queued_tokens(name)
        rate = self.prefill_rate(name) * (1.0 if prefill else constants.DECODE_PREFILL_RATIO)
        rank = self.rank(request, uncached / rate)
        self.backlog[name][rank] += uncached
        endpoint = self.replicas.endpoint
        source = endpoint(prefill) if prefill else None
        return replica_pair.ReplicaPair(sequence, pool, source, endpoint(decode), uncached, wait_s, queued, rank)

    def finish_prefill(self, pair: replica_pair.ReplicaPair) -> None:
        """Release what the prefill of a pair holds, however it ended; repeatable."""
        with self.lock:
            name = (pair.prefill_replica or pair.decode_replica).name
            self.backlog[name][pair.rank] = max(0, self.backlog[name][pair.rank] - pair.uncached_tokens)
            pair.uncached_tokens = 0
            if pair.prefill_replica and not pair.prefill_ended:
                self.replicas.request_ended(name)
                pair.prefill_ended = True
