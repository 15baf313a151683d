"""Where a delivered request goes: a reader and a writer, by the time each would take.

What a reader still has to read for this router, the parts of the prompt it is known
or likely to keep, its pace as measured and the way there make up the time until the
prompt is read; the least time wins. A part that nobody is known to keep is looked
for where a rendezvous hash of the shared parts puts it, so that all routers read one
shared part at one replica without a word between them. Writers go by what this
router has running there. No reader: the writer reads for itself.
"""

import collections
import dataclasses
import hashlib
import threading
import typing

import mothshed.common.constants as constants
import mothshed.common.pools as pools
import mothshed.data_plane.outcomes as outcomes
import mothshed.data_plane.prompt_parts as prompt_parts
import mothshed.data_plane.reading_profile as reading_profile


@dataclasses.dataclass
class Pair:
    """Where one round of a delivered request goes; no reader: the writer reads for itself."""

    sequence: int
    pool: str
    reader: object  # Place or None
    writer: object  # Place
    unread: int  # prompt tokens that the reader is expected to read
    expected: float  # s until the prompt is read
    reading_s: float = 0.0  # s of it that the reading itself is expected to take
    queued_s: float = 0.0  # s of reading already there when it was placed
    rank: int = 0  # of the reading: 0 goes first
    done: bool = False  # the reader's place is given back


class Full(Exception):
    """Every reader's queue is too long for this prompt; `span` s too long for the shortest."""

    def __init__(self, span):
        super().__init__(f"queue is {span:.2f} s too long")
        self.span = span


def aim_of(ask: typing.Any) -> float:
    """Seconds within which a request is to be answered; a usual time where its route names none."""
    return float(ask.route.get("aim_s", constants.ADMIT_USUAL))


def weight(key, name):
    return hashlib.blake2b(f"{key} {name}".encode(), digest_size=8).digest()


class Placing:
    def __init__(self, desk, replicas, cell):
        self.desk, self.replicas, self.cell = desk, replicas, cell
        self.lock = threading.RLock()
        self.parts = prompt_parts.Parts()
        self.reading = collections.defaultdict(lambda: [0] * constants.RANKS)
        # name -> s of reading that this router has there, by rank
        self.others = {}  # part -> (when told, what all other routers have at its replicas)
        self.outcomes = outcomes.Outcomes(desk.now)
        self.profiles = reading_profile.ReadingProfiles()

    def take_others(self, part, rows):
        """What all other routers have at a part's replicas, as its leader adds it up."""
        now = self.desk.now()
        with self.lock:
            self.others[part] = (now, rows)
        for name, load in rows.items():
            if load.out_s > constants.USAGE_BEAT and name not in self.replicas.fails:
                self.replicas.doubt(name, min(load.out_s, constants.OUT_MOST))

    def running(self, name: str) -> float:
        """Requests that all routers have at a replica, as far as is known."""
        return self.replicas.mine.get(name, 0) + sum(load.requests for load in self.told(name))

    def told(self, name):
        """What others were last said to have at a replica, unless that is too old."""
        now = self.desk.now()
        return [rows[name] for when, rows in self.others.values() if name in rows and now - when < constants.USAGE_LIFE]

    def queued(self, name):
        """Seconds of reading under way at a replica over all routers, by rank."""
        return [sum(t) for t in zip(self.reading[name], *(load.reading for load in self.told(name)))]

    def measured(self, pair: Pair, span: float) -> None:
        """The prefill of a pair took span seconds; one that queued says nothing of the pace."""
        if pair.queued_s <= constants.QUEUED_LITTLE * pair.reading_s:
            self.profiles.of(pair.pool).measured(pair.reader.name, pair.unread, span)

    def unread(self, name, ask, home):
        held = self.parts.held(name, ask.parts)
        if name == home:
            held = max(held, sum(t for k, t in ask.parts[:-1]))
        return max(0, ask.tokens - held)

    def home(self, names, ask):
        """Where the prompt's shared parts belong."""
        shared = [k for k, t in ask.parts[:-1]]
        return max(names, key=lambda n: weight(shared[-1], n)) if shared and names else None

    def far(self, name, cell):
        return self.replicas.rows[name]["cell"] != cell

    def reader(self, names, ask, profile):
        """(name, tokens unread, s until the prompt is read) of the soonest."""
        home, rows = self.home(names, ask), []
        for name in names:
            unread = self.unread(name, ask, home)
            reading_s = profile.reading_s(name, unread)
            time = self.wait(name, self.rank(ask, reading_s, profile)) + reading_s + profile.base_s
            again = max(0, unread - (ask.parts[-1][1] if ask.parts else unread))  # shared parts read anew
            dear = constants.AGAIN_COST * profile.reading_s(name, again)
            away = constants.FAR_SHARE * aim_of(ask) * self.far(name, self.cell)
            rows.append((time + dear + away, name, unread, time))
        return min(rows)[1:]

    def writer(self, names, cell):
        """The one with the least running; among about equals one in the cell, and none without a free slot."""
        free = [n for n in names if self.has_free_slot(n)]
        run = {n: self.running(n) for n in free or names}
        few = min(run.values())
        near = [n for n in run if run[n] <= few + 1 + few // 4]
        return min(near, key=lambda n: (self.far(n, cell), run[n], self.desk.random.random()))

    def alone(self, names, ask, profile):
        """(name, s until read) of the writer that would have read the prompt by itself soonest."""
        rows = []
        for name in names:
            unread = max(0, ask.tokens - self.parts.held(name, ask.parts))
            time = profile.reading_s(name, unread) / constants.WRITER_PACE + profile.base_s + sum(self.queued(name))
            away = constants.FAR_SHARE * aim_of(ask) * self.far(name, self.cell)
            rows.append((time + self.running(name) * constants.RUN_COST + away, name, time))
        return min(rows)[1:]

    def by_itself(self, ask, handed, alone):
        """Whether the writer shall read: a short prompt, and it is sooner."""
        return ask.tokens <= constants.PROMPT_SHORT and alone < handed

    def rank(self, ask, alone, profile):
        """Short readings first: they hold nobody up. Then those with little time to spare, then the rest."""
        aim_s = aim_of(ask)
        if alone <= profile.usual_s:
            return 0
        spare = aim_s - alone - constants.READ_REST * aim_s
        return 1 if 0 <= spare < constants.READ_TIGHT * aim_s else 2

    def wait(self, name, rank):
        """Seconds until what goes before a reading of this rank is read at a replica."""
        return sum(self.queued(name)[: rank + 1])

    def has_free_slot(self, name: str) -> bool:
        """Whether fewer requests are known to be at a replica than it has slots."""
        return self.running(name) < self.replicas.rows[name]["slots"]

    def require_free_slot(self, names: list[str]) -> None:
        """Raises Full if every one of these replicas is known to have all its slots taken."""
        if not any(self.has_free_slot(name) for name in names):
            raise Full(constants.BOUNCE_LEAST)

    def not_failing(self, names: list[str]) -> list[str]:
        """These replicas of one pool without those that fail far more requests than the others."""
        ended = {name: self.ended(name) for name in names}
        failing = outcomes.failing(ended)
        return [name for name in names if name not in failing]

    def ended(self, name: str) -> outcomes.Ended:
        """How requests ended at a replica lately, over all routers as far as is known."""
        told = (outcomes.Ended(load.answered, load.failed) for load in self.told(name))
        return sum(told, self.outcomes.of(name))

    def admit(self, ask, name, reading_s, profile, writers):
        """Raises Full if a prompt that joined the queue now would come to its aim too late."""
        self.require_free_slot(writers)
        wait = self.wait(name, self.rank(ask, reading_s, profile))
        most = constants.ADMIT_SHARE * aim_of(ask)
        if wait > most:
            raise Full(wait - most)

    def pair(self, sequence, document, pool, ask, without=(), alone=False):
        """A Pair with both places taken, or None. alone: without a reader."""
        row = document["pools"][pool]
        with self.lock, self.replicas.lock:
            writers = self.replicas.usable(row["selector"], pools.serving_role(row))
            if not writers:
                return None
            writers = self.not_failing([n for n in writers if n not in without] or list(writers))
            if not pools.has_split(row) or not ask.tokens:  # nothing to read ahead
                self.require_free_slot(writers)
                return self.take(sequence, pool, ask, None, self.writer(writers, self.cell), 0, 0.0)
            readers = [n for n in self.replicas.usable(row["selector"], "prefill") if n not in without]
            profile = self.profiles.of(pool)
            lone, time = self.alone(writers, ask, profile)
            own_reading_s = profile.reading_s(lone, ask.tokens) / constants.WRITER_PACE
            if alone or not readers:
                if not alone:
                    self.admit(ask, lone, own_reading_s, profile, writers)
                return self.take(sequence, pool, ask, None, lone, ask.tokens, time)
            reader, unread, expected = self.reader(readers, ask, profile)
            if self.by_itself(ask, expected, time):
                self.admit(ask, lone, own_reading_s, profile, writers)
                return self.take(sequence, pool, ask, None, lone, ask.tokens, time)
            self.admit(ask, reader, profile.reading_s(reader, unread), profile, writers)
            writer = self.writer(writers, self.replicas.rows[reader]["cell"])
            return self.take(sequence, pool, ask, reader, writer, unread, expected)

    def change_writer(self, pair, document, without=()):
        """Moves a pair to another usable writer of its pool; leaves it as it is where there is none."""
        row = (document or {"pools": {}})["pools"].get(pair.pool)
        if row is None:
            return
        with self.lock, self.replicas.lock:
            writers = self.replicas.usable(row["selector"], pools.serving_role(row))
            writers = [n for n in writers if n not in without] or list(writers)
            if not writers:
                return
            name = self.writer(writers, pair.reader.cell if pair.reader else self.cell)
            self.replicas.end(pair.writer.name)
            self.replicas.begin(name)
            pair.writer = self.replicas.place(name)

    def take(self, sequence, pool, ask, reader, writer, unread, expected):
        self.replicas.begin(writer)
        if reader:
            self.replicas.begin(reader)
        name = reader or writer
        profile = self.profiles.of(pool)
        reading_s = profile.reading_s(name, unread) / (1.0 if reader else constants.WRITER_PACE)
        queued_s, rank = sum(self.queued(name)), self.rank(ask, reading_s, profile)
        self.reading[name][rank] += reading_s
        places = self.replicas.place(reader) if reader else None, self.replicas.place(writer)
        return Pair(sequence, pool, *places, unread, expected, reading_s, queued_s, rank)

    def read(self, pair):
        """The prompt of a pair is read, or its reading has ended some other way."""
        with self.lock:
            name = (pair.reader or pair.writer).name
            self.reading[name][pair.rank] = max(0.0, self.reading[name][pair.rank] - pair.reading_s)
            pair.reading_s = 0.0
            if pair.reader and not pair.done:
                self.replicas.end(name)
                pair.done = True
