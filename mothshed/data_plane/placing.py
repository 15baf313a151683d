"""Where a delivered request goes: a reader and a writer, by the time each would take.

What a reader still has to read for this router, the parts of the prompt it is known
or likely to keep, its pace as measured and the way there make up the time until the
prompt is read; the least time wins. A part that nobody is known to keep is looked
for where a rendezvous hash of the shared parts puts it, so that all routers read one
shared part at one replica without a word between them. Writers go by what this
router has running there. No reader: the writer reads for itself.
"""

import collections
import collections.abc
import threading
import typing

import mothshed.constants as constants
import mothshed.data_plane.outcomes as outcomes
import mothshed.data_plane.pair as pair_module
import mothshed.data_plane.prompt_parts as prompt_parts
import mothshed.replicas.pools as pools
import mothshed.replicas.replica_load as replica_load
import mothshed.runtime.fading as fading

Ask = typing.Any  # a delivered request as the route's front read it
Document = dict[str, typing.Any]  # a configuration
Reading = tuple[str, int, float]  # the replica, tokens it has to read, s until it has read them


class Placing:
    """One router's choice of readers and writers, and what it knows to be under way at each replica."""

    def __init__(self, environment: typing.Any, replicas: typing.Any, zone: str) -> None:
        self.environment, self.replicas, self.zone = environment, replicas, zone
        self.lock = threading.RLock()
        self.parts = prompt_parts.Parts()
        # name -> tokens this router has it read, by rank
        self.reading: dict[str, list[float]] = collections.defaultdict(lambda: [0] * constants.PREFILL_RANK_COUNT)
        # part -> (when reported, what all other routers have at its replicas)
        self.others: dict[int, tuple[float, replica_load.Loads]] = {}
        self.outcomes = outcomes.Outcomes(environment.now)
        # events, seconds between them
        self.event_times = fading.FadingSums(environment.now, constants.OUTCOME_HALF_LIFE_S, kinds=2)
        self.paces: dict[str, float] = {}  # name -> tokens/s as measured

    def take_others(self, part: int, rows: replica_load.Loads) -> None:
        """What all other routers have at a part's replicas, as its leader adds it up."""
        now = self.environment.now()
        with self.lock:
            self.others[part] = (now, rows)
        for name, load in rows.items():
            if load.out_s > constants.LOAD_REPORT_INTERVAL_S and name not in self.replicas.consecutive_failures:
                self.replicas.suspect(name, min(load.out_s, constants.MAX_EXCLUSION_S))

    def running(self, name: str) -> float:
        """Requests that all routers have at a replica, as far as is known."""
        return float(self.replicas.own_requests.get(name, 0) + sum(load.requests for load in self.reported(name)))

    def being_read(self, name: str) -> float:
        """Prompt tokens that all routers have being read at a replica, as far as is known."""
        return sum(self.queued(name))

    def reported(self, name: str) -> list[replica_load.ReplicaLoad]:
        """What others were last reported to have at a replica, unless that is too old."""
        now = self.environment.now()
        return [rows[name] for when, rows in self.others.values() if name in rows and now - when < constants.LOAD_TTL_S]

    def queued(self, name: str) -> list[float]:
        """Tokens being read at a replica over all routers, by rank."""
        others = [load.reading for load in self.reported(name)]
        return [sum(tokens) for tokens in zip(self.reading[name], *others, strict=True)]

    def pace(self, name: str) -> float:
        """Tokens a second that a replica reads."""
        return self.paces.get(name, float(constants.PREFILL_TOKENS_PER_S))

    def measured(self, name: str, tokens: float, queued: float, span: float) -> None:
        """A prefill of so many unread tokens took span seconds; those that queued say nothing of the pace."""
        if tokens > constants.MIN_PACE_SAMPLE_TOKENS and queued < tokens / 10:
            pace = tokens / max(span - constants.PREFILL_BASE_S, 0.001)
            pace = min(max(pace, constants.PREFILL_TOKENS_PER_S / 4), constants.PREFILL_TOKENS_PER_S * 1.25)
            self.paces[name] = 0.8 * self.pace(name) + 0.2 * pace

    def unread(self, name: str, ask: Ask, home: str | None) -> int:
        """Tokens of a prompt that a replica has to read: all but the parts that it keeps, or its home is to keep."""
        held = self.parts.held(name, ask.parts)
        if name == home:
            held = max(held, sum(tokens for _key, tokens in ask.parts[:-1]))
        return int(max(0, ask.tokens - held))

    def home(self, names: list[str], ask: Ask) -> str | None:
        """Where the prompt's shared parts belong; None if it has none."""
        shared = ask.parts[:-1]
        return prompt_parts.home(shared[-1][0], names) if shared and names else None

    def far(self, name: str, zone: str) -> float:
        """Seconds by which a replica is dearer for not being in a zone."""
        return 0.0 if self.replicas.rows[name]["cell"] == zone else constants.CROSS_ZONE_COST_S

    def reader(self, names: list[str], ask: Ask) -> Reading:
        """The reader that would have read the prompt soonest."""
        home, rows = self.home(names, ask), []
        for name in names:
            unread = self.unread(name, ask, home)
            alone = unread / self.pace(name) + constants.PREFILL_BASE_S
            time = self.wait(name, self.pace(name), self.rank(ask, alone)) + alone
            again = max(0, unread - (ask.parts[-1][1] if ask.parts else unread))  # shared parts read anew
            dear = constants.REPEATED_PREFILL_RATIO * again / self.pace(name)
            rows.append((time + dear + self.far(name, self.zone), (name, unread, time)))
        return min(rows)[1]

    def writer(self, names: list[str], zone: str) -> str:
        """The one with the least running; among about equals one in the zone, and none without a free slot."""
        free = [name for name in names if self.has_free_slot(name)]
        running = {name: self.running(name) for name in free or names}
        fewest = min(running.values())
        tied = [name for name in running if running[name] <= fewest + 1 + fewest // 4]
        return min(tied, key=lambda name: (self.far(name, zone), running[name], self.environment.random.random()))

    def alone(self, names: list[str], ask: Ask) -> tuple[str, float]:
        """The writer that would have read the prompt by itself soonest, and after how many seconds."""
        rows = []
        for name in names:
            unread = max(0, ask.tokens - self.parts.held(name, ask.parts)) + self.being_read(name)
            time = unread / (constants.DECODE_PREFILL_RATIO * constants.PREFILL_TOKENS_PER_S) + constants.PREFILL_BASE_S
            rows.append(
                (time + self.running(name) * constants.RUNNING_COST_S + self.far(name, self.zone), (name, time))
            )
        return min(rows)[1]

    def by_itself(self, ask: Ask, handed: float, alone: float) -> bool:
        """Whether the writer shall read: a short prompt, and it is sooner."""
        return bool(ask.tokens <= constants.SHORT_PROMPT_TOKENS and alone < handed)

    def rank(self, ask: Ask, alone: float) -> int:
        """Short readings first: they hold nobody up. Then those with little time to spare, then the rest."""
        if alone <= constants.SHORT_PREFILL_S:
            return 0
        spare = ask.route.get("aim_s", constants.DEFAULT_AIM_S) - alone - constants.FIRST_EVENT_OVERHEAD_S
        return 1 if 0 <= spare < constants.TIGHT_PREFILL_SPARE_S else 2

    def wait(self, name: str, pace: float, rank: int) -> float:
        """Seconds until what goes before a reading of this rank is read at a replica."""
        return sum(self.queued(name)[: rank + 1]) / pace

    def has_free_slot(self, name: str) -> bool:
        """Whether fewer requests are known to be at a replica than it has slots."""
        return bool(self.running(name) < self.replicas.rows[name]["slots"])

    def require_free_slot(self, names: list[str]) -> None:
        """Raises Full if every one of these replicas is known to have all its slots taken."""
        if not any(self.has_free_slot(name) for name in names):
            raise pair_module.Full(constants.MIN_QUEUE_FULL_RETRY_AFTER_S)

    def not_failing(self, names: list[str]) -> list[str]:
        """These replicas of one pool without those that fail far more requests than the others."""
        ended = {name: self.ended(name) for name in names}
        failing = outcomes.failing(ended)
        return [name for name in names if name not in failing]

    def ended(self, name: str) -> outcomes.Ended:
        """How requests ended at a replica lately, over all routers as far as is known."""
        others = (outcomes.Ended(load.answered, load.failed) for load in self.reported(name))
        return sum(others, self.outcomes.of(name))

    def admit(self, ask: Ask, name: str, pace: float, unread: float, writers: list[str]) -> None:
        """Raises Full if a prompt that joined the queue now would come to its aim too late."""
        self.require_free_slot(writers)
        wait = self.wait(name, pace, self.rank(ask, unread / pace))
        most = constants.ADMISSION_QUEUE_RATIO * ask.route.get("aim_s", constants.DEFAULT_AIM_S)
        if wait > most:
            raise pair_module.Full(wait - most)

    def admit_alone(self, ask: Ask, writer: str, writers: list[str]) -> None:
        """Raises Full if a prompt that this writer read by itself would come to its aim too late."""
        self.admit(ask, writer, constants.DECODE_PREFILL_RATIO * constants.PREFILL_TOKENS_PER_S, ask.tokens, writers)

    def pair(
        self,
        sequence: int,
        document: Document,
        pool: str,
        ask: Ask,
        without: collections.abc.Container[str] = (),
        alone: bool = False,
    ) -> pair_module.Pair | None:
        """A Pair with both places taken, or None. alone: without a reader."""
        row = document["pools"][pool]
        with self.lock, self.replicas.lock:
            writers = self.replicas.usable(row["selector"], pools.serving_role(row))
            if not writers:
                return None
            writers = self.not_failing([name for name in writers if name not in without] or list(writers))
            if not pools.has_split(row) or not ask.tokens:  # nothing to read ahead
                self.require_free_slot(writers)
                return self.take(sequence, pool, ask, None, self.writer(writers, self.zone), 0, 0.0)
            readers = [name for name in self.replicas.usable(row["selector"], "prefill") if name not in without]
            lone, time = self.alone(writers, ask)
            if alone:
                return self.take(sequence, pool, ask, None, lone, ask.tokens, time)
            if not readers:
                self.admit_alone(ask, lone, writers)
                return self.take(sequence, pool, ask, None, lone, ask.tokens, time)
            reader, unread, expected = self.reader(readers, ask)
            if self.by_itself(ask, expected, time):
                self.admit_alone(ask, lone, writers)
                return self.take(sequence, pool, ask, None, lone, ask.tokens, time)
            self.admit(ask, reader, self.pace(reader), unread, writers)
            writer = self.writer(writers, self.replicas.rows[reader]["cell"])
            return self.take(sequence, pool, ask, reader, writer, unread, expected)

    def change_writer(
        self, pair: pair_module.Pair, selector: dict[str, str], without: collections.abc.Container[str] = ()
    ) -> None:
        """Moves a pair with a reader to another usable writer of the pool that it was made for, if there is one."""
        with self.lock, self.replicas.lock:
            writers = self.replicas.usable(selector, "decode")
            writers = [name for name in writers if name not in without] or list(writers)
            if not writers:
                return
            name = self.writer(writers, pair.reader.zone if pair.reader else self.zone)
            self.replicas.request_ended(pair.writer.name)
            self.replicas.request_started(name)
            pair.writer = self.replicas.endpoint(name)

    def take(
        self, sequence: int, pool: str, ask: Ask, reader: str | None, writer: str, unread: int, expected: float
    ) -> pair_module.Pair:
        """Take the places of a pair. expected: s until its prompt is read."""
        self.replicas.request_started(writer)
        if reader:
            self.replicas.request_started(reader)
        name = reader or writer
        queued, pace = self.being_read(name), self.pace(name) * (1.0 if reader else constants.DECODE_PREFILL_RATIO)
        rank = self.rank(ask, unread / pace)
        self.reading[name][rank] += unread
        place = self.replicas.endpoint
        return pair_module.Pair(
            sequence, pool, place(reader) if reader else None, place(writer), unread, expected, queued, rank
        )

    def read(self, pair: pair_module.Pair) -> None:
        """The prompt of a pair is read, or its reading has ended some other way."""
        with self.lock:
            name = (pair.reader or pair.writer).name
            self.reading[name][pair.rank] = max(0, self.reading[name][pair.rank] - pair.unread)
            pair.unread = 0
            if pair.reader and not pair.done:
                self.replicas.request_ended(name)
                pair.done = True
