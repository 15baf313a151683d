"""Constants of mothshed, each with its unit and its reason; those of records and connections stand in transport.

Nothing else in the tree holds a tunable number. The timing argument that ties the lease, vote and
activation figures together is in docs/configuration.md; change one of them only together with that page.
"""

# --- agreement between keepers -------------------------------------------
HEARTBEAT_INTERVAL_S = 0.12  # s; leader's append beat. Four fit into VOTE_WITHHOLD_S.
VOTE_WITHHOLD_S = 0.6  # s; a member that heard a leader gives no vote for this long.
ELECTION_TIMEOUT_MIN_S = 0.65  # s; shortest silence before standing for leader (> VOTE_WITHHOLD_S by any clock's rate).
ELECTION_TIMEOUT_SPREAD_S = 0.3  # s; random spread over it; two that meet in a trial settle it by name.
CLOCK_ROUNDING_ERROR_S = 1e-6  # s; what adding up moments may lose.
LEADER_HINT_MAX_AGE_S = 0.4  # s; a leader unheard for longer is not named to those who ask (three beats).
QUORUM_TIMEOUT_S = 0.6  # s; a leader without a majority's answers for this long steps down.
MIN_ROUND_INTERVAL_S = 0.01  # s; majority confirmations asked within it share one round.
REPLICATION_WINDOW_BYTES = 262144  # bytes of entries under way to one follower; more waits for its acknowledgement.
MAX_APPEND_BYTES = 65536  # bytes of entries in one append; a larger entry goes alone.
SNAPSHOT_CHUNK_CHARS = 65536  # characters of a snapshot in one record.
SNAPSHOT_CHUNK_RESEND_S = 0.5  # s; a piece unanswered for longer is sent again: four heartbeats.
MAX_REMEMBERED_ROUNDS = 500  # rounds whose moment is remembered; five seconds of the fastest rounds.
MAX_COMMIT_PROOFS = 64  # commit indexes of which a follower remembers that nothing later was committed yet.
MAX_APPEND_ENTRIES = 64  # entries in one append; bounds one record's size.
SNAPSHOT_INTERVAL_ENTRIES = 256  # entries between snapshots; bounds replay and repair.
SNAPSHOT_INTERVAL_BYTES = 2097152  # log size that forces a snapshot at any entry count; 8 MB in four parts
MAX_RETAINED_LOG_ENTRIES = 64  # entries kept below a snapshot for members that lag a little.
MAX_RETAINED_LOG_BYTES = 1048576  # bytes; the same bounded in size: four parts keep 4 MB of a disk of 128 MB.
LOG_SEGMENT_BYTES = 262144  # bytes; a log segment is closed past this size.
JOIN_REQUEST_INTERVAL_S = 0.5  # s; an outside or empty member asks again this often.
JOIN_COLLECTION_S = 0.7  # JOIN_REQUEST_INTERVAL_S, one late timer and transit: all newcomers have asked by then
SILENT_VOTER_RATIO = 0.4  # share of the time allowed for catching up after which a silent voter may be replaced.
DEFAULT_CATCH_UP_S = 4.0  # s; that time, where the settings name none.
DEFAULT_TOLERATED_FAILURES = 1  # voters that may be lost at once, where the settings say nothing.
DEFAULT_LEAVE_TIMEOUT_S = 1.0  # longest wait of a stopping voter to be removed or replaced, unless set otherwise
LEAVE_REQUEST_TTL_S = 10.0  # by then the leaving voter has stopped or is starting anew
PART_COUNT = 4  # parts; part 0 is configuration, services hash over the rest.
DISK_RETRY_INTERVAL_S = 0.1  # s; a disk that failed is tried this often, with one byte; then the keeper starts anew.
MAILBOX_CALL_TIMEOUT_S = 3.0  # s; longest wait for a call in another mailbox, such as a hand-over.
OPERATOR_CALL_TIMEOUT_S = 0.8  # unresolved operator calls are answered by then: callers leave after 1 s of silence

# --- configuration leases ------------------------------------------------
LONG_LEASE_S = 1.4  # s; lease while no change is under way; bridges most elections.
SHORT_LEASE_S = 0.18  # s; lease during a change: keeps the brief's 0.25 s by construction.
LEASE_CLOCK_MARGIN_S = 0.04  # s; leader's margin on a lease for clock rates and rounding.
LEASE_RENEWAL_INTERVAL_S = 0.25  # s; a router renews this often; three asks fit into a long lease.
SHORT_LEASE_RENEWAL_INTERVAL_S = 0.05  # s; renewal beat during a change; three fit into a short lease.
REQUEST_MARKS_PER_S = 1000000  # 1/s; a process counts its asks from its start, in these units of the boot clock.
MAX_LEASE_REQUEST_MEMBERS = 5  # keepers asked at once while no leader is known: three, and two that replace some.
DEFAULT_ACTIVATION_DELAY_S = 2.0  # from acknowledgement to activation, if the settings name no time
ACTIVATION_MARGIN_S = 0.22  # s; off that time, for sends that were checked just before and for clock rates.
MIN_REPORTED_LEASE_GAP_S = 0.3  # s; no lease for longer is reported: two short ones.
LEASE_WAIT_TIMEOUT_S = 2.5  # s; a request waits this long for a lease before it is bounced.
MAX_HISTORY_DOCUMENTS = 16  # documents older than the active one that are kept for operators to read.
MAX_HISTORY_BYTES = 65536  # bytes; and together no more than this, since every snapshot carries them.
MAX_STAGED_DOCUMENTS = 4  # staged documents kept beside the active one: routers are sent the newest only.
MAX_DELIVERED_DOCUMENTS = 8  # newest documents whose delivered form a leader keeps: changes are made from these.
LEASE_HOLDER_TTL_S = 14.0  # s; a leaseholder silent for longer, ten long leases, is sent no more news.
DOCUMENT_RESEND_S = 0.18  # s; a document on its way to a router is not sent again sooner: one short lease.
MAX_REMEMBERED_ORDERS = 16384  # orders remembered as taken: six days of 2,600 changes, 0.5 MB of a snapshot.
ORDER_DIGEST_BYTES = 16  # bytes of an order's digest: no two of one record's orders are ever alike.
KEY_DIGEST_BYTES = 16  # bytes of a key's digest: nobody finds another key with the same one.
GENERATED_KEY_BYTES = 32  # random bytes of a key that is made here: as many as of a session's secret, beyond guessing.
MAX_SEQUENCE_NUMBER = 9007199254740991  # number; 2**53 - 1, which every JSON reader represents exactly

# --- limits of tenants ---------------------------------------------------
MIN_PERMIT_RETRY_S = 0.06  # s; an ask for permits that nobody answered is made anew: some round trips between zones.
PERMIT_RETRY_LATENCY_RATIO = 2  # times; an ask is made anew after this many of the time that answers took lately.
MAX_PERMIT_RETRY_S = 0.4  # s; nor later than this: most of an election, so that a leader that is gone is found out.
PERMIT_LATENCY_DECAY_RATIO = 0.9  # ratio; a long answer time counts this much less at each answer after it.
PERMIT_LEADER_NOTICE_TTL_S = 1.0  # one election; requesters that found no leader are notified of a new one until then
PERMIT_RETRY_AFTER_S = 0.6  # s; told when no leader gave a permit in time: most of an election.
MIN_PERMIT_RETRY_AFTER_S = 0.01  # s; shortest pause told to a tenant over its limit.
MAX_PENDING_PERMIT_REQUESTS = 50  # asks without an answer that are remembered: three seconds of them.

# --- orders to replicas --------------------------------------------------
FIRST_ORDER_DELAY_S = 3.2  # s; a new holder waits this long before its first order (brief: 3).
ORDER_DELIVERY_MARGIN_S = 0.2  # from an order's check to its replica; added to a deployment's own bound on turns
ORDER_INTERVAL_S = 0.5  # s; the holder looks at split and drains this often.
MIN_SHIFT_INTERVAL_S = 6.0  # s; least time between two shifts of one pool: hysteresis.
SHIFT_IMBALANCE_RATIO = 1.6  # ratio of pressures between the sides beyond which a replica moves.
SHIFT_LOAD_RATIO = 0.7  # usage per slot below which no side counts as tight.
URGENT_SHIFT_LOAD_RATIO = 1.2  # usage per slot from which a side is overloaded, waiting ones counted twice.
MIN_URGENT_SHIFT_INTERVAL_S = 1.5  # s; least time between two shifts towards an overloaded side.
MIN_URGENT_SHIFT_CHECKS = 2  # beats in a row for that.
MIN_SHIFT_CHECKS = 4  # beats in a row that must see the same lean before a shift.
BOUND_REPAIR_DELAY_CHECKS = 3  # order beats that a part with fewer of a pool's replicas waits before it mends a bound.
MIN_ROLE_CHANGE_INTERVAL_S = 9.0  # s; least time between two shifts where a change of part takes seconds of service.
MAX_ROLE_CHANGE_RATIO = 0.125  # of a pool's replicas may change at once; of a small pool one.
ROLE_CHANGE_MAX_LOAD_RATIO = 0.55  # usage that the giving side may come to by such a shift.
MIN_PREFILL_REPLICA_RATIO = 0.25  # share of a pool that always reads, where a change of part takes seconds.
MIN_DECODE_REPLICA_RATIO = 0.4  # share of a pool that always writes, likewise.
ROLE_CHANGE_EXCLUSION_S = 2.6  # no placement on a replica ordered to change until its running requests have ended
ORDER_NOTICE_S = 0.4  # s; routers are told before such an order goes out: two beats of their reports.
ORDER_REPEAT_INTERVAL_S = 4.0  # s; a taken order is not said again for this long: a change of part and a late list.
ORDER_TIMEOUT_S = 1.0  # s; longest wait for a replica to take an order.

# --- membership and hints ------------------------------------------------
HINT_TTL_S = 6.0  # s; a hint about usage or keepers older than this is dropped.
LIST_POLL_INTERVAL_S = 0.5  # s; the platform list is read this often (brief: 3 s to obey).
LIST_REQUEST_INTERVAL_S = 0.7  # s; a process asks the list's reader this often; its news comes unasked as well.
INITIAL_LIST_REQUEST_INTERVAL_S = 0.15  # before the first list; two requests find its reader through any member
LIST_MAX_AGE_S = 1.9  # s; a reading older than this is not waited for: the list is read by oneself.
LIST_SUBSCRIPTION_TTL_S = 4.0  # s; news goes to those that asked no longer ago.
MAX_LIST_CHANGES = 64  # changes of the list kept; who is further behind gets it whole.
LIST_READER_PART = 1  # part number; its leader reads the list for all
LIST_READ_TIMEOUT_S = 1.0  # s; longest wait for the list.
LIST_ATTEMPT_MAX_AGE_S = 2.0  # s; nothing is placed if the list was not asked for this long: beat, wait and slack.
LEAVING_MARK_TTL_S = 5.0  # s; a neighbour's reading that shows a replica leaving outlasts an own one this much.
PROBE_INTERVAL_S = 0.5  # s; a replica's condition older than this is read again.
PROBE_TIMEOUT_S = 0.6  # s; longest wait for a condition.
MAX_FAILED_PROBES = 2  # failed probes in a row that put a replica in doubt.
SUSPECT_DURATION_S = 1.5  # s; a doubted replica is not placed upon; longer than a probe and its beat.
REPLICA_STATUS_TTL_S = 3.0  # s; a replica unheard of for longer is not placed upon.

# --- requests ------------------------------------------------------------
MAX_CUTOFF_S = 60.0  # s; the longest cutoff a user agent may ask for.
MAX_HEADER_BYTES = 65536  # bytes; a longer head gets 413, unless the configuration says another limit.
MAX_BODY_BYTES = 4194304  # bytes; larger requests get 413.
CONNECT_TIMEOUT_S = 0.5  # s; connecting to a replica on a local network takes milliseconds.
STREAM_IDLE_TIMEOUT_S = 4.0  # s; a stream silent for longer is taken as broken.
SAFE_PREFILL_TIMEOUT_RATIO = 0.5  # share of what is left that a safe request gives one prefill before another.
HANDLE_TTL_S = 5.0  # s; a held handle older than this is not sent to decode (ours).
MAX_QUEUE_WAIT_S = 0.8  # s; longest wait for a free place: "begin within about a second".
MAX_QUEUED_REQUESTS = 64  # requests waiting per router; past it the bounce is immediate.
MAX_TENANT_QUEUED_REQUESTS = 24  # requests waiting per tenant and router.
PLACEMENT_INTERVAL_S = 0.02  # s; waiting requests look for a free place this often.
MAX_SERVER_THREADS = 160  # threads of the HTTP front at most: one per connection being served.
SERVER_STEP_THREADS = 24  # threads that a front starts at once: at first, and whenever few are idle.
MIN_IDLE_SERVER_THREADS = 12  # idle threads below which it starts more.
SERVER_THREAD_IDLE_S = 10.0  # longer than most bursts; surplus over minimum and step then ends, a step at a time
SOCKET_READ_BYTES = 65536  # bytes read from a connection at once.
REQUEST_READ_TIMEOUT_S = 4.0  # s; a request must have come whole by then.
CROWDED_REQUEST_READ_TIMEOUT_S = 0.5  # s; the same while no thread is free.
CLIENT_DISCONNECT_GRACE_S = 0.5  # s after its caller has left; work for a request beyond it is counted.
CONNECTION_CHECK_INTERVAL_S = 0.1  # s; connections are looked over this often.
DEFAULT_IDLE_TIMEOUT_S = 20.0  # for idle client connections, unless the configuration sets another time
IDLE_CLOSE_MARGIN_S = 1.0  # s; past the idle limit until it is closed: a request may be on its way already.
LINGER_TIMEOUT_S = 0.3  # s; what a caller still sends is read away this long, or the reset would take the answer along.
MAX_CHUNK_LINE_BYTES = 256  # bytes; a longer size line of a chunk is refused.
RESPONSE_GRACE_S = 0.5  # s; past a request's cutoff until its connection is shut.
RETRY_AFTER_S = 1  # s; told to user agents that are bounced.
SLOT_OVERCOMMIT_RATIO = 2.0  # ratio; shares of free places may add up to this much, since few take all of theirs.
MAX_REPLICA_QUEUED_REQUESTS = 2  # requests a replica may queue beyond its slots before we hold back.

CACHE_BLOCK_CHARS = 256  # characters of prompt per cache key, as replicas report them.
MAX_PROMPT_CACHE_KEYS = 32  # keys per prompt; eight thousand characters of shared prefix.
MAX_REPLICA_CACHE_KEYS = 192  # most recent keys of a replica's cache that are kept and passed on.
CACHE_WEIGHT_SLOTS = 0.6  # slots' worth of usage that a fully cached prompt outweighs.

# --- operators' questions ------------------------------------------------
MIN_QUERY_ATTEMPTS = 12  # least calls before no answer is reported, however many addresses share them.
MIN_QUERY_TIME_S = 4.8  # likewise; members just started elect a leader first, also on a busy machine
QUERY_RETRY_INTERVAL_S = 0.4  # s; between two rounds over the addresses.
QUERY_TIMEOUT_S = 5.0  # s; longest wait for one response.

# --- extra sends ---------------------------------------------------------
RETRY_BUDGET_WINDOW_S = 10.0  # s; the brief's window.
RETRY_BUDGET_RATIO = 0.18  # extra sends per request; below the brief's fifth by what a loan's delay shifts.
RETRY_SLACK_RATIO = 0.6  # share of the fleet's slack that routers use: their count of each other is a guess.
MIN_SLACK_ROUTERS = 5  # routers; a router that knows fewer takes no more than this part of the slack.
RETRY_SLACK_MIN_AGE_S = RETRY_BUDGET_WINDOW_S  # a younger router may have spent its slack before a crash
LOAN_TTL_S = 1.0  # s; a borrowed extra send not used by then is lost.
BORROW_INTERVAL_S = 0.25  # s; a router asks its neighbours for a loan this often at most.
BORROW_TIMEOUT_S = 0.05  # s; longest wait for their answers; a local network takes milliseconds.
MAX_LENDERS = 3  # neighbours among which a loan is spread, so that some may have nothing.
MAX_PREFILL_ATTEMPTS = 3  # prefills begun for one request, the first included.

# --- delivered requests (routes) ----------------------------------------
DEFAULT_KEEP_ALIVE_S = 4.0  # s; a kept connection idle for longer is not used, if the replica tells no time of its own.
KEEP_ALIVE_MARGIN_S = 0.6  # s; off the idle time a replica tells: its close may be on its way already.
MAX_IDLE_REPLICA_CONNECTIONS = 24  # idle connections kept per replica; more are closed.
IDLE_SWEEP_INTERVAL_S = 1.0  # for closing expired idle connections, also those to removed replicas
MAX_CONNECTION_REQUESTS = 64  # requests remembered per kept connection; one is sent again within seconds or never.
DELIVERY_CONNECT_TIMEOUT_S = 0.3  # s; connecting to a replica; past it another one is tried.
DELIVERY_ACK_TIMEOUT_S = 2.0  # s; a connection unacknowledged for this long is dead.
DEFAULT_URGENCY_RANK = 5  # rank, 0 is most urgent; if neither route nor tenant names one
URGENCY_LEVEL_COUNT = 3  # levels at replicas, each of PREFILL_RANK_COUNT values: the field has ten values
PLACEMENT_WAIT_RATIO = 0.2  # share of the aim that a request waits for a place: below the quarter that counts as held.
MIN_PLACEMENT_WAIT_S = 0.1  # s; shortest such wait, for routes with a short or no aim.
DEFAULT_PLACEMENT_WAIT_S = 0.3  # s; such a wait where a route names no aim.
ROUTE_RETRY_AFTER_S = 0.5  # s; told to user agents of routes: a lease or a replica is back by then.
PREFILL_TOKENS_PER_S = 40000.0  # tokens/s a reader reads at until its own pace is known.
PREFILL_BASE_S = 0.02  # s; what a prefill takes beside its reading: two ways and a step.
PREFILL_TIMEOUT_RATIO = 4.0  # ratio; a prefill silent for this many times its expected time is given up.
MIN_PREFILL_TIMEOUT_S = 1.0  # s; and not sooner than this.
MAX_PREFILL_TIMEOUT_S = 6.0  # s; and not later, while a writer can read for itself.
DECODE_PREFILL_RATIO = 0.5  # ratio; a writer reads for itself at this share of a reader's pace.
FIRST_EVENT_TIMEOUT_S = 1.5  # s; a resumable stream silent for longer before its first event goes elsewhere.
NEXT_EVENT_TIMEOUT_S = 1.2  # s; the same between events: four of the longest pauses that callers accept.
MIN_EXCLUSION_S = 2.0  # s; a replica that failed without proof is not placed upon for this long.
EXCLUSION_GROWTH_RATIO = 2.0  # ratio; by which that span grows with each further failure in a row.
MAX_EXCLUSION_S = 8.0  # s; and its end, so that a mended replica is back soon.
MAX_HALF_LIVES = 20.0  # half-lives after which a fading sum is forgotten: a millionth is left.
OUTCOME_HALF_LIFE_S = 1.5  # s; a request that ended so long ago counts half: a few beats of the reports.
MIN_FAILED_REQUESTS = 2.5  # failed requests; fewer prove nothing: three in a row, over all routers.
MIN_FAILURE_RATIO = 0.2  # ratio; a replica that fails less than this of its requests is kept.
FAILURE_OUTLIER_RATIO = 3.0  # ratio; and one that fails less than so many times as the others of its pool.
FAILURE_PRIOR_REQUESTS = 0.05  # failures credited to the others; without it one failure to none is an infinite ratio
RUNNING_COST_S = 0.001  # s; what each request running at a writer adds to its reading by itself.
CROSS_ZONE_COST_S = 0.03  # s; what a pair in two cells is dearer by than one within a cell.
LOAD_REPORT_INTERVAL_S = 0.2  # s; a busy router tells what it has running this often: about one short prefill.
IDLE_LOAD_REPORT_INTERVAL_S = 1.0  # s; the same while it has nothing running.
LOAD_TTL_S = 1.5  # s; a report older than this counts no more.
LOAD_LEADER_TIMEOUT_S = 0.6  # s; a leader that answers none for this long is looked for anew.
LOAD_HALF_LIFE_S = 1.5  # s; half of what the split goes by is younger than this.
PREFILL_FULL_QUEUE_S = 0.3  # s of reading queued per reader at which the readers count as fully used.
DECODE_FULL_SLOT_RATIO = 0.5  # share of a writer's slots at which it counts as fully used, until its own events tell.
DECODE_FULL_SLOWDOWN_RATIO = 2.5  # time between events to that of an idle decode replica, at full load
MIN_DECODE_FULL_SLOT_RATIO = 0.25  # a smaller share of slots is never full load, whatever is observed
CAPACITY_HALF_LIFE_S = 20.0  # s; what was observed of writers so long ago counts half: a few bursts are remembered.
CAPACITY_PRIOR_SPREAD = 300.0  # requests squared; weight of the assumed line: some seconds of a pool's observations
MIN_CAPACITY_EVENTS = 5.0  # events; a writer with fewer of late tells no time between them.

PREFILL_RANK_COUNT = 3  # ranks of readings, the first is read first.
SHORT_PREFILL_S = 0.08  # s; a reading this short goes first, since it holds nobody up.
TIGHT_PREFILL_SPARE_S = 0.4  # s; a longer one with less of its aim to spare goes next; those past it anyhow do not.
FIRST_EVENT_OVERHEAD_S = 0.1  # s; from the end of a reading to the first event: move, steps and ways.
MIN_PACE_SAMPLE_TOKENS = 1500  # tokens; a shorter reading is mostly ways and steps and tells no pace.
ADMISSION_QUEUE_RATIO = 1.2  # of the aim; a longer prefill queue admits nothing, as all behind it would be late
DEFAULT_AIM_S = 2.0  # s; the aim taken for routes that name none.
NO_LEASE_RETRY_AFTER_S = 1.6  # s; told while no lease runs: an election and its first grants take about as long.
DELIVERY_LEASE_TIMEOUT_S = 0.15  # s; a delivered request waits this long for a lease: below a quarter of a short aim.
MIN_QUEUE_FULL_RETRY_AFTER_S = 0.8  # s; shortest pause told when queues are full.
REPEATED_PREFILL_RATIO = 2.0  # ratio; what reading shared parts again costs all others beside the time it takes here.
MAX_KNOWN_PROMPT_PARTS = 4096  # prompt parts remembered per router as kept by a replica; the oldest go first.
SHORT_PROMPT_TOKENS = 1024  # tokens; a prompt of one reading piece may be read by its writer, if that is sooner.

# --- frees ---------------------------------------------------------------
HANDLE_RELEASE_TIMEOUT_S = 0.6  # s; one free order's wait.
HANDLE_RELEASE_RETRY_INTERVAL_S = 0.4  # s; unsent frees are tried again this often.
HANDLE_RELEASE_TTL_S = 20.0  # s; then the replica's own lapse has surely taken the blocks.
BACKUP_RELEASE_DELAY_S = 0.5  # s; past a request's cutoff before a neighbour frees what is owed.
BACKUP_RELEASE_INTERVAL_S = 0.5  # s; a neighbour looks for what is overdue this often.
MAX_BACKUP_RELEASES = 4096  # owed exports kept for neighbours; two a second each from 200 routers.
MAX_PENDING_RELEASES = 1024  # unsent frees kept; the oldest go first.

# --- process -------------------------------------------------------------
DRAIN_TIMEOUT_S = 20.0  # s; a polite stop waits this long for requests in flight.
MAX_LOG_BUFFER_MESSAGES = 2000  # log messages kept in memory.
MAX_REPORT_BURST_LINES = 40  # lines reported at once: the changes of state of a start, in four parts.
REPORT_LINES_PER_S = 4.0  # lines/s; reports beyond this rate stay in memory.
MAX_VERSION_REPORT_BURST_LINES = 6  # about configurations that a process received or activated
MAX_NAMED_PROCESSES = 6  # processes that such a line names.
VERSION_REPORT_LINES_PER_S = 0.5  # lines/s; those beyond stay in memory: a storm has 17 changes a second.
COUNTERS_INTERVAL_S = 5.0  # s; a process reports its counters this often, if they changed.
MAX_JOURNAL_EVENTS = 4096  # events kept in a journal after they are folded.
MAX_CONNECTION_POOLS = 64  # kept connections per back end for probes and lists.
READINESS_SERVER_THREADS = 2  # threads of the front that says ready; one caller asks once a second.
MAX_IDLE_CLIENT_CONNECTIONS = 1000  # idle connections of user agents a front keeps open.
OPERATOR_SERVER_THREADS = 12  # threads of a keeper's operator front.
