"""Constants of mothshed, each with its unit and its reason; those of records and connections stand in transport.

Nothing else in the tree holds a tunable number. The timing argument that ties the lease, vote and
activation figures together is in docs/configuration.md; change one of them only together with that page.
"""

# --- agreement between keepers -------------------------------------------
HEART_BEAT = 0.12  # s; leader's append beat. Four fit into VOTE_HOLD.
VOTE_HOLD = 0.6  # s; a member that heard a leader gives no vote for this long.
ELECT_LOW = 0.65  # s; shortest silence before standing for leader (> VOTE_HOLD by any clock's rate).
ELECT_SPAN = 0.3  # s; random spread over it; two that meet in a trial settle it by name.
ROUNDING = 1e-6  # s; what adding up moments may lose.
LEADER_FRESH = 0.4  # s; a leader unheard for longer is not named to those who ask (three beats).
LEADER_QUIET = 0.6  # s; a leader without a majority's answers for this long steps down.
ROUND_GAP = 0.01  # s; majority confirmations asked within it share one round.
WINDOW_BYTES = 262144  # bytes of entries under way to one follower; more waits for its acknowledgement.
APPEND_BYTES = 65536  # bytes of entries in one append; a larger entry goes alone.
PIECE_BYTES = 65536  # characters of a snapshot in one record.
PIECE_RESEND = 0.5  # s; a piece unanswered for longer is sent again: four heartbeats.
ROUNDS_KEPT = 500  # rounds whose moment is remembered; five seconds of the fastest rounds.
PROOFS_KEPT = 64  # commit indexes of which a follower remembers that nothing later was committed yet.
APPEND_MOST = 64  # entries in one append; bounds one record's size.
SNAP_EVERY = 256  # entries between snapshots; bounds replay and repair.
SNAP_BYTES = 2097152  # bytes of log after which a snapshot is taken whatever their number: 8 MB in four parts.
KEEP_BEHIND = 64  # entries kept below a snapshot for members that lag a little.
KEEP_BEHIND_BYTES = 1048576  # bytes; the same bounded in size: four parts keep 4 MB of a disk of 128 MB.
SEGMENT_BYTES = 262144  # bytes; a log segment is closed past this size.
JOIN_BEAT = 0.5  # s; an outside or empty member asks again this often.
JOIN_KNOWN = 0.7  # s; a leader this old has been asked by every newcomer: JOIN_BEAT, a beat late, and the way.
GONE_SHARE = 0.4  # share of the time allowed for catching up after which a silent voter may be replaced.
CATCH_UP = 4.0  # s; that time, where the settings name none.
LOSSES = 1  # voters that may be lost at once, where the settings say nothing.
LEAVE_WAIT = 1.0  # s; a voter that stops waits this long at most to be let go or replaced, where no setting says more.
LEAVE_LIFE = 10.0  # s; a voter's word that it leaves counts for no longer; by then it has stopped or starts anew.
PARTS = 4  # parts; part 0 is configuration, services hash over the rest.
DISK_RETRY = 0.1  # s; a disk that failed is tried this often, with one byte; then the keeper starts anew.
COMMIT_WAIT = 3.0  # s; longest wait for a call in another mailbox, such as a hand-over.
OPERATOR_WAIT = 0.8  # s; an operator's call unresolved by then is answered: callers leave after 1 s of silence.

# --- configuration leases ------------------------------------------------
LEASE_LONG = 1.4  # s; lease while no change is under way; bridges most elections.
LEASE_SHORT = 0.18  # s; lease during a change: keeps the brief's 0.25 s by construction.
LEASE_SLACK = 0.04  # s; leader's margin on a lease for clock rates and rounding.
ASK_BEAT = 0.25  # s; a router renews this often; three asks fit into a long lease.
ASK_BEAT_SHORT = 0.05  # s; renewal beat during a change; three fit into a short lease.
MARKS_A_SECOND = 1000000  # 1/s; a process counts its asks from its start, in these units of the boot clock.
ASK_MOST = 5  # keepers asked at once while no leader is known: three, and two that replace some.
IN_FORCE = 2.0  # s; after its acknowledgement a configuration is in force, where the settings name no time.
IN_FORCE_MARGIN = 0.22  # s; off that time, for sends that were checked just before and for clock rates.
LEASE_GAP = 0.3  # s; no lease for longer is reported: two short ones.
LEASE_WAIT = 2.5  # s; a request waits this long for a lease before it is bounced.
HISTORY = 16  # documents older than the active one that are kept for operators to read.
HISTORY_BYTES = 65536  # bytes; and together no more than this, since every snapshot carries them.
STAGED_MOST = 4  # staged documents kept beside the active one: routers are sent the newest only.
DELIVERED_MOST = 8  # newest documents whose delivered form a leader keeps: changes are made from these.
HOLDER_LIFE = 14.0  # s; a leaseholder silent for longer, ten long leases, is sent no more news.
RESEND_AFTER = 0.18  # s; a document on its way to a router is not sent again sooner: one short lease.
TAKEN_MOST = 16384  # orders remembered as taken: six days of 2,600 changes, 0.5 MB of a snapshot.
DIGEST_BYTES = 16  # bytes of an order's digest: no two of one record's orders are ever alike.
KEY_DIGEST_BYTES = 16  # bytes of a key's digest: nobody finds another key with the same one.
KEY_BYTES = 32  # random bytes of a key that is made here: as many as of a session's secret, beyond guessing.
SEQUENCE_MOST = 9007199254740991  # highest sequence: 2**53 - 1, which every JSON reader holds exactly.

# --- limits of tenants ---------------------------------------------------
PERMIT_AGAIN = 0.06  # s; an ask for permits that nobody answered is made anew: some round trips between zones.
PERMIT_AGAIN_ANSWERS = 2  # times; an ask is made anew after this many of the time that answers took lately.
PERMIT_AGAIN_MOST = 0.4  # s; nor later than this: most of an election, so that a leader that is gone is found out.
PERMIT_ANSWER_FADES = 0.9  # ratio; a long answer time counts this much less at each answer after it.
PERMIT_WAIT_MOST = 1.0  # s; who asked a member that knew no leader is told of a new one for this long: an election.
PERMIT_RETRY_AFTER = 0.6  # s; told when no leader gave a permit in time: most of an election.
PERMIT_RETRY_LEAST = 0.01  # s; shortest pause told to a tenant over its limit.
PERMIT_MARKS = 50  # asks without an answer that are remembered: three seconds of them.

# --- orders to replicas --------------------------------------------------
TURN_GAP = 3.2  # s; a new holder waits this long before its first order (brief: 3).
TURN_MARGIN = 0.2  # s; added to a deployment's own bound on turns: what an order takes from its check to its replica.
ORDER_BEAT = 0.5  # s; the holder looks at split and drains this often.
SHIFT_HOLD = 6.0  # s; least time between two shifts of one pool: hysteresis.
SHIFT_UP = 1.6  # ratio of pressures between the sides beyond which a replica moves.
SHIFT_PRESS = 0.7  # usage per slot below which no side counts as tight.
URGENT_PRESS = 1.2  # usage per slot from which a side is overloaded, waiting ones counted twice.
URGENT_HOLD = 1.5  # s; least time between two shifts towards an overloaded side.
URGENT_AGREE = 2  # beats in a row for that.
SHIFT_AGREE = 4  # beats in a row that must see the same lean before a shift.
RANK_BEATS = 3  # order beats that a part with fewer of a pool's replicas waits before it mends a bound.
CHANGE_HOLD = 9.0  # s; least time between two shifts where a change of part takes seconds of service.
CHANGE_SHARE = 0.125  # of a pool's replicas may change at once; of a small pool one.
CHANGE_BEAR = 0.55  # usage that the giving side may come to by such a shift.
LEAST_READ = 0.25  # share of a pool that always reads, where a change of part takes seconds.
LEAST_WRITE = 0.4  # share of a pool that always writes, likewise.
CHANGE_OUT = 2.6  # s; a replica ordered to change is not placed upon: its running ones end, then it returns.
ORDER_NOTICE = 0.4  # s; routers are told before such an order goes out: two beats of their reports.
ORDER_QUIET = 4.0  # s; a taken order is not said again for this long: a change of part and a late list.
ORDER_TIME = 1.0  # s; longest wait for a replica to take an order.

# --- membership and hints ------------------------------------------------
HINT_LIFE = 6.0  # s; a hint about usage or keepers older than this is dropped.
LIST_BEAT = 0.5  # s; the platform list is read this often (brief: 3 s to obey).
LIST_ASK = 0.7  # s; a process asks the list's reader this often; its news comes unasked as well.
LIST_ASK_FIRST = 0.15  # s; the same while it has no list at all: two asks find the reader by way of any keeper.
LIST_SILENT = 1.9  # s; a reading older than this is not waited for: the list is read by oneself.
LIST_HOLD = 4.0  # s; news goes to those that asked no longer ago.
LIST_CHANGES = 64  # changes of the list kept; who is further behind gets it whole.
LIST_PART = 1  # part whose leader reads the list for all.
LIST_TIME = 1.0  # s; longest wait for the list.
LIST_TRIED = 2.0  # s; nothing is placed if the list was not asked for this long: beat, wait and slack.
LEAVE_KEEP = 5.0  # s; a neighbour's reading that shows a replica leaving outlasts an own one this much.
PROBE_BEAT = 0.5  # s; a replica's condition older than this is read again.
PROBE_TIME = 0.6  # s; longest wait for a condition.
PROBES_SILENT = 2  # failed probes in a row that put a replica in doubt.
DOUBT = 1.5  # s; a doubted replica is not placed upon; longer than a probe and its beat.
CONDITION_LIFE = 3.0  # s; a replica unheard of for longer is not placed upon.

# --- requests ------------------------------------------------------------
CUTOFF_MOST = 60.0  # s; the longest cutoff a user agent may ask for.
HEAD_MOST = 65536  # bytes; a longer head gets 413, unless the configuration says another limit.
BODY_MOST = 4194304  # bytes; larger requests get 413.
CONNECT_TIME = 0.5  # s; connecting to a replica on a local network takes milliseconds.
STREAM_QUIET = 4.0  # s; a stream silent for longer is taken as broken.
SAFE_WAIT = 0.5  # share of what is left that a safe request gives one prefill before another.
HANDLE_LIFE = 5.0  # s; a held handle older than this is not sent to decode (ours).
QUEUE_WAIT = 0.8  # s; longest wait for a free place: "begin within about a second".
QUEUE_MOST = 64  # requests waiting per router; past it the bounce is immediate.
QUEUE_TENANT = 24  # requests waiting per tenant and router.
PLACE_BEAT = 0.02  # s; waiting requests look for a free place this often.
FRONT_THREADS = 160  # threads of the HTTP front at most: one per connection being served.
FRONT_STEP = 24  # threads that a front starts at once: at first, and whenever few are idle.
FRONT_SPARE = 12  # idle threads below which it starts more.
FRONT_REST = 10.0  # s; with this many and a step more idle for so long, a step of them ends: longer than most bursts.
READ_BYTES = 65536  # bytes read from a connection at once.
READ_TIME = 4.0  # s; a request must have come whole by then.
READ_CROWDED = 0.5  # s; the same while no thread is free.
CALLER_LEFT = 0.5  # s after its caller has left; work for a request beyond it is counted.
LINE_BEAT = 0.1  # s; connections are looked over this often.
IDLE_LIMIT = 20.0  # s; an idle connection of a caller rests this long where no configuration says otherwise.
IDLE_MARGIN = 1.0  # s; past the idle limit until it is closed: a request may be on its way already.
LINGER_TIME = 0.3  # s; what a caller still sends is read away this long, or the reset would take the answer along.
CHUNK_LINE_MOST = 256  # bytes; a longer size line of a chunk is refused.
ANSWER_SLACK = 0.5  # s; past a request's cutoff until its connection is shut.
RETRY_AFTER = 1  # s; told to user agents that are bounced.
SHARE_MORE = 2.0  # ratio; shares of free places may add up to this much, since few take all of theirs.
REPLICA_SLACK = 2  # requests a replica may queue beyond its slots before we hold back.

CACHE_BLOCK = 256  # characters of prompt per cache key, as replicas report them.
KEYS_MOST = 32  # keys per prompt; eight thousand characters of shared prefix.
CACHE_KEYS_MOST = 192  # most recent keys of a replica's cache that are kept and passed on.
CACHE_WEIGHT = 0.6  # slots' worth of usage that a fully cached prompt outweighs.

# --- operators' questions ------------------------------------------------
ASK_TRIES = 12  # least calls before no answer is reported, however many addresses share them.
ASK_SPAN = 4.8  # s; least time before that: keepers that just started elect a leader first, on a busy machine as well.
ASK_PAUSE = 0.4  # s; between two rounds over the addresses.
ASK_WAIT = 5.0  # s; longest wait for one response.

# --- extra sends ---------------------------------------------------------
BUDGET_SPAN = 10.0  # s; the brief's window.
BUDGET_SHARE = 0.18  # extra sends per request; below the brief's fifth by what a loan's delay shifts.
SLACK_SHARE = 0.6  # share of the fleet's slack that routers use: their count of each other is a guess.
SLACK_LEAST = 5  # routers; a router that knows fewer takes no more than this part of the slack.
SLACK_AFTER = BUDGET_SPAN  # s; a younger router takes no slack: before a crash it may have spent it already.
LOAN_LIFE = 1.0  # s; a borrowed extra send not used by then is lost.
BORROW_BEAT = 0.25  # s; a router asks its neighbours for a loan this often at most.
BORROW_WAIT = 0.05  # s; longest wait for their answers; a local network takes milliseconds.
LENDERS = 3  # neighbours among which a loan is spread, so that some may have nothing.
SENDS_MOST = 3  # prefills begun for one request, the first included.

# --- delivered requests (routes) ----------------------------------------
KEPT_IDLE = 4.0  # s; a kept connection idle for longer is not used, if the replica tells no time of its own.
KEPT_MARGIN = 0.6  # s; off the idle time a replica tells: its close may be on its way already.
KEPT_MOST = 24  # idle connections kept per replica; more are closed.
KEPT_SWEEP = 1.0  # s; idle connections past their time are closed this often, also those to replicas that are gone.
KEPT_NAMES = 64  # requests remembered per kept connection; one is sent again within seconds or never.
KEPT_CONNECT = 0.3  # s; connecting to a replica; past it another one is tried.
KEPT_SILENT = 2.0  # s; a connection unacknowledged for this long is dead.
URGENCY_USUAL = 5  # rank, 0 first; of a request whose route and tenant name none.
URGENCY_LEVELS = 3  # urgencies told apart at replicas, of RANKS values each: the field has ten values.
PLACE_SHARE = 0.2  # share of the aim that a request waits for a place: below the quarter that counts as held.
PLACE_LEAST = 0.1  # s; shortest such wait, for routes with a short or no aim.
PLACE_USUAL = 0.3  # s; such a wait where a route names no aim.
BOUNCE_RETRY = 0.5  # s; told to user agents of routes: a lease or a replica is back by then.
READ_PACE = 40000.0  # tokens/s a reader reads at until its own pace is known.
READ_BASE = 0.02  # s; what a prefill takes beside its reading: two ways and a step.
READ_FACTOR = 4.0  # ratio; a prefill silent for this many times its expected time is given up.
READ_LEAST = 1.0  # s; and not sooner than this.
READ_MOST = 6.0  # s; and not later, while a writer can read for itself.
WRITER_PACE = 0.5  # ratio; a writer reads for itself at this share of a reader's pace.
SILENT_FIRST = 1.5  # s; a resumable stream silent for longer before its first event goes elsewhere.
SILENT_NEXT = 1.2  # s; the same between events: four of the longest pauses that callers accept.
OUT_SPAN = 2.0  # s; a replica that failed without proof is not placed upon for this long.
OUT_GROW = 2.0  # ratio; by which that span grows with each further failure in a row.
OUT_MOST = 8.0  # s; and its end, so that a mended replica is back soon.
FADED_HALVES = 20.0  # half-lives after which a fading sum is forgotten: a millionth is left.
OUTCOME_HALF = 1.5  # s; a request that ended so long ago counts half: a few beats of the reports.
FAILED_LEAST = 2.5  # failed requests; fewer prove nothing: three in a row, over all routers.
FAILED_SHARE = 0.2  # ratio; a replica that fails less than this of its requests is kept.
FAILED_TIMES = 3.0  # ratio; and one that fails less than so many times as the others of its pool.
FAILED_PRIOR = 0.05  # requests the others count as having failed: without it one failure of none were infinitely more.
RUN_COST = 0.001  # s; what each request running at a writer adds to its reading by itself.
FAR_COST = 0.03  # s; what a pair in two cells is dearer by than one within a cell.
USAGE_BEAT = 0.2  # s; a busy router tells what it has running this often: about one short prefill.
USAGE_IDLE = 1.0  # s; the same while it has nothing running.
USAGE_LIFE = 1.5  # s; a report older than this counts no more.
USAGE_SILENT = 0.6  # s; a leader that answers none for this long is looked for anew.
USAGE_HALF = 1.5  # s; half of what the split goes by is younger than this.
READ_FULL = 0.3  # s of reading queued per reader at which the readers count as fully used.
RUN_FULL = 0.5  # share of a writer's slots at which it counts as fully used, until its own events tell.
SLOW_FULL = 2.5  # ratio to an idle writer's time between two events at which a writer counts as fully used.
FULL_LEAST = 0.25  # share of a writer's slots below which it never counts as fully used, whatever is observed.
CAPACITY_HALF = 20.0  # s; what was observed of writers so long ago counts half: a few bursts are remembered.
CAPACITY_PRIOR = 300.0  # requests squared; the assumed line counts as that much spread: some seconds of a pool's.
CAPACITY_EVENTS = 5.0  # events; a writer with fewer of late tells no time between them.

RANKS = 3  # ranks of readings, the first is read first.
READ_SHORT = 0.08  # s; a reading this short goes first, since it holds nobody up.
READ_TIGHT = 0.4  # s; a longer one with less of its aim to spare goes next; those past it anyhow do not.
READ_REST = 0.1  # s; from the end of a reading to the first event: move, steps and ways.
PACE_LEAST = 1500  # tokens; a shorter reading is mostly ways and steps and tells no pace.
ADMIT_SHARE = 1.2  # ratio to the aim; a reader queue longer than this takes no more: all behind it would be late.
ADMIT_USUAL = 2.0  # s; the aim taken for routes that name none.
BOUNCE_LEASE = 1.6  # s; told while no lease runs: an election and its first grants take about as long.
LEASE_PATIENCE = 0.15  # s; a delivered request waits this long for a lease: below a quarter of a short aim.
BOUNCE_LEAST = 0.8  # s; shortest pause told when queues are full.
AGAIN_COST = 2.0  # ratio; what reading shared parts again costs all others beside the time it takes here.
KNOWN_PARTS = 4096  # prompt parts remembered per router as kept by a replica; the oldest go first.
PROMPT_SHORT = 1024  # tokens; a prompt of one reading piece may be read by its writer, if that is sooner.

# --- frees ---------------------------------------------------------------
FREE_TIME = 0.6  # s; one free order's wait.
FREE_BEAT = 0.4  # s; unsent frees are tried again this often.
FREE_LIFE = 20.0  # s; then the replica's own lapse has surely taken the blocks.
GUARD_SLACK = 0.5  # s; past a request's cutoff before a neighbour frees what is owed.
GUARD_BEAT = 0.5  # s; a neighbour looks for what is overdue this often.
GUARD_MOST = 4096  # owed exports kept for neighbours; two a second each from 200 routers.
FREES_MOST = 1024  # unsent frees kept; the oldest go first.

# --- process -------------------------------------------------------------
DRAIN_MOST = 20.0  # s; a polite stop waits this long for requests in flight.
RING_MOST = 2000  # log messages kept in memory.
REPORT_MOST = 40  # lines reported at once: the changes of state of a start, in four parts.
REPORT_RATE = 4.0  # lines/s; reports beyond this rate stay in memory.
VERSION_REPORT_MOST = 6  # lines about configurations taken up or activated that are reported at once by a process.
NAMED_MOST = 6  # processes that such a line names.
VERSION_REPORT_RATE = 0.5  # lines/s; those beyond stay in memory: a storm has 17 changes a second.
COUNTERS_INTERVAL = 5.0  # s; a process reports its counters this often, if they changed.
JOURNAL_MOST = 4096  # events kept in a journal after they are folded.
HTTP_POOL = 64  # kept connections per back end for probes and lists.
READY_THREADS = 2  # threads of the front that says ready; one caller asks once a second.
KEPT_CALLERS = 1000  # idle connections of user agents a front keeps open.
HTTP_THREADS = 12  # threads of a keeper's operator front.
