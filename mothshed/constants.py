"""Constants of mothshed; those of records and connections between processes are in mothshed.transport.constants.

Tunable numbers stand only in these two files. The lease, vote and activation times depend on each other as derived
in docs/configuration.md: change them only together with that page.
"""

# --- leader election and log replication ---------------------------------
HEARTBEAT_INTERVAL_S = 0.12  # interval of a leader's appends; four fit into VOTE_WITHHOLD_S
VOTE_WITHHOLD_S = 0.6  # a member gives no vote for this long after contact with a leader
ELECTION_TIMEOUT_MIN_S = 0.65  # longer than VOTE_WITHHOLD_S at any clock rate
ELECTION_TIMEOUT_SPREAD_S = 0.3  # random addition to the minimum; simultaneous pre-votes are settled by member name
CLOCK_ROUNDING_ERROR_S = 1e-6  # error that adding up times may accumulate
LEADER_HINT_MAX_AGE_S = 0.4  # three heartbeats; after a longer silence clients are no longer referred to the leader
QUORUM_TIMEOUT_S = 0.6  # a leader without responses from a majority for this long steps down
MIN_ROUND_INTERVAL_S = 0.01  # majority confirmations requested within this time share one round
REPLICATION_WINDOW_BYTES = 262144  # unacknowledged entries per follower; further ones wait for its acknowledgement
MAX_APPEND_BYTES = 65536  # entries of one append; a larger entry is sent alone
SNAPSHOT_CHUNK_CHARS = 65536  # characters of a snapshot in one record
SNAPSHOT_CHUNK_RESEND_S = 0.5  # four heartbeats; an unacknowledged chunk is then sent again
MAX_REMEMBERED_ROUNDS = 500  # rounds whose send time is kept: five seconds of the fastest rounds
MAX_COMMIT_PROOFS = 64  # commit indexes for which a follower remembers that nothing later was committed yet
MAX_APPEND_ENTRIES = 64  # bounds the size of one record
SNAPSHOT_INTERVAL_ENTRIES = 256  # bounds replay and repair
SNAPSHOT_INTERVAL_BYTES = 2097152  # log size that forces a snapshot at any entry count; 8 MB in four parts
MAX_RETAINED_LOG_ENTRIES = 64  # entries kept below a snapshot for members that lag a little
MAX_RETAINED_LOG_BYTES = 1048576  # size limit of the same entries; four parts keep 4 MB of a disk of 128 MB
LOG_SEGMENT_BYTES = 262144  # a larger log segment is closed
JOIN_REQUEST_INTERVAL_S = 0.5  # for members without data and members outside the group
JOIN_COLLECTION_S = 0.7  # JOIN_REQUEST_INTERVAL_S, one late timer and transit: all newcomers have asked by then
SILENT_VOTER_RATIO = 0.4  # share of the catch-up time after which a silent voter may be replaced
DEFAULT_CATCH_UP_S = 4.0  # time allowed for catching up if the settings name none
DEFAULT_TOLERATED_FAILURES = 1  # voters that may be lost at once if the settings name no number
DEFAULT_LEAVE_TIMEOUT_S = 1.0  # longest wait of a stopping voter to be removed or replaced, unless set otherwise
LEAVE_REQUEST_TTL_S = 10.0  # by then the leaving voter has stopped or is starting anew
PART_COUNT = 4  # part 0 holds the configuration; services are hashed over the others
DISK_RETRY_INTERVAL_S = 0.1  # a failed disk is tested with one byte; on success the parts are reopened
MAILBOX_CALL_TIMEOUT_S = 3.0  # for calls in another mailbox, such as a leadership transfer
OPERATOR_CALL_TIMEOUT_S = 0.8  # unresolved operator calls are answered by then: callers leave after 1 s of silence

# --- configuration leases ------------------------------------------------
LONG_LEASE_S = 1.4  # lease while no change is under way; bridges most elections
SHORT_LEASE_S = 0.18  # lease during a change; guarantees the required limit of 0.25 s
LEASE_CLOCK_MARGIN_S = 0.04  # leader's margin on a lease for clock rates and rounding
LEASE_RENEWAL_INTERVAL_S = 0.25  # three requests fit into a long lease
SHORT_LEASE_RENEWAL_INTERVAL_S = 0.05  # three requests fit into a short lease
REQUEST_MARKS_PER_S = 1000000  # a process numbers its requests from its start time, in these units of the boot clock
MAX_LEASE_REQUEST_MEMBERS = 5  # asked at once while no leader is known: three members and two replacements
DEFAULT_ACTIVATION_DELAY_S = 2.0  # from acknowledgement to activation, if the settings name no time
ACTIVATION_MARGIN_S = 0.22  # subtracted from that time for sends checked just before and for clock rates
MIN_REPORTED_LEASE_GAP_S = 0.3  # two short leases; longer times without a lease are reported
LEASE_WAIT_TIMEOUT_S = 2.5  # a request waits this long for a lease before it is rejected
MAX_HISTORY_DOCUMENTS = 16  # documents before the active one that operators can read
MAX_HISTORY_BYTES = 65536  # total size of these documents, since every snapshot carries them
MAX_STAGED_DOCUMENTS = 4  # kept beside the active one; routers are sent the newest only
MAX_DELIVERED_DOCUMENTS = 8  # newest documents whose delivered form a leader keeps to derive changes from
LEASE_HOLDER_TTL_S = 14.0  # ten long leases; a lease holder silent for longer is sent no more updates
DOCUMENT_RESEND_S = 0.18  # one short lease; a document in transit to a router is not sent again sooner
MAX_REMEMBERED_ORDERS = 16384  # accepted orders: six days of 2,600 changes, 0.5 MB of a snapshot
ORDER_DIGEST_BYTES = 16  # makes a collision between the orders of one record negligible
KEY_DIGEST_BYTES = 16  # makes finding a second key with the same digest infeasible
GENERATED_KEY_BYTES = 32  # random bytes, as many as in a session secret; infeasible to guess
MAX_SEQUENCE_NUMBER = 9007199254740991  # number; 2**53 - 1, which every JSON reader represents exactly

# --- tenant limits -------------------------------------------------------
MIN_PERMIT_RETRY_S = 0.06  # some round trips between zones; then an unanswered permit request is repeated
PERMIT_RETRY_LATENCY_RATIO = 2  # of the recent response time, after which a permit request is repeated
MAX_PERMIT_RETRY_S = 0.4  # most of an election, so that the loss of a leader is noticed
PERMIT_LATENCY_DECAY_RATIO = 0.9  # by which a long response time counts less at each later response
PERMIT_LEADER_NOTICE_TTL_S = 1.0  # one election; requesters that found no leader are notified of a new one until then
PERMIT_RETRY_AFTER_S = 0.6  # most of an election; returned if no leader granted a permit in time
MIN_PERMIT_RETRY_AFTER_S = 0.01  # returned to a tenant over its limit
MAX_PENDING_PERMIT_REQUESTS = 50  # unanswered requests that are remembered: three seconds of them

# --- orders to replicas --------------------------------------------------
FIRST_ORDER_DELAY_S = 3.2  # a new leader sends no order before; at least 3 s are required
ORDER_DELIVERY_MARGIN_S = 0.2  # from an order's check to its replica; added to a deployment's own bound on turns
ORDER_INTERVAL_S = 0.5  # interval at which the leader checks split and drains
MIN_SHIFT_INTERVAL_S = 6.0  # between two shifts of one pool, for hysteresis
SHIFT_IMBALANCE_RATIO = 1.6  # of the two roles' loads, above which a replica is shifted
SHIFT_LOAD_RATIO = 0.7  # load per slot below which no role counts as short of replicas
URGENT_SHIFT_LOAD_RATIO = 1.2  # load per slot above which a role is overloaded; waiting requests count twice
MIN_URGENT_SHIFT_INTERVAL_S = 1.5  # between two shifts to an overloaded role
MIN_URGENT_SHIFT_CHECKS = 2  # consecutive checks that find the overload
MIN_SHIFT_CHECKS = 4  # consecutive checks that must find the same imbalance
BOUND_REPAIR_DELAY_CHECKS = 3  # waited before restoring a bound, per part that has more of the pool's replicas
MIN_ROLE_CHANGE_INTERVAL_S = 9.0  # between two shifts where a role change costs seconds of service
MAX_ROLE_CHANGE_RATIO = 0.125  # share of a pool's replicas that may change at once; one of a small pool
ROLE_CHANGE_MAX_LOAD_RATIO = 0.55  # load that the role which gives up replicas may reach by such a shift
MIN_PREFILL_REPLICA_RATIO = 0.25  # share of a pool that always prefills where a role change takes seconds
MIN_DECODE_REPLICA_RATIO = 0.4  # share of a pool that always decodes, likewise
ROLE_CHANGE_EXCLUSION_S = 2.6  # no placement on a replica ordered to change until its running requests have ended
ORDER_NOTICE_S = 0.4  # two load reports of the routers; they are notified this long before such an order
ORDER_REPEAT_INTERVAL_S = 4.0  # an accepted order is not repeated sooner: a role change and a late list
ORDER_TIMEOUT_S = 1.0  # for a replica to accept an order

# --- membership and hints ------------------------------------------------
HINT_TTL_S = 6.0  # for hints about load and members
LIST_POLL_INTERVAL_S = 0.5  # of the platform list; changes must be followed within 3 s
LIST_REQUEST_INTERVAL_S = 0.7  # for requests to the process that reads the list; it also pushes changes
INITIAL_LIST_REQUEST_INTERVAL_S = 0.15  # before the first list; two requests find its reader through any member
LIST_MAX_AGE_S = 1.9  # a process then stops waiting for the list's reader and reads the list itself
LIST_SUBSCRIPTION_TTL_S = 4.0  # changes are pushed to processes that sent a request within this time
MAX_LIST_CHANGES = 64  # list changes kept; a process further behind gets the whole list
LIST_READER_PART = 1  # part number; its leader reads the list for all
LIST_READ_TIMEOUT_S = 1.0
LIST_ATTEMPT_MAX_AGE_S = 2.0  # interval, timeout and margin; without an attempt for longer nothing is placed
LEAVING_MARK_TTL_S = 5.0  # time by which a neighbour's report of a leaving replica outlasts a local reading
PROBE_INTERVAL_S = 0.5  # a replica status older than this is read again
PROBE_TIMEOUT_S = 0.6
MAX_FAILED_PROBES = 2  # consecutive failed probes that make a replica suspect
SUSPECT_DURATION_S = 1.5  # no placement on a suspect replica; longer than a probe and its interval
REPLICA_STATUS_TTL_S = 3.0  # no placement on a replica without news for longer

# --- requests ------------------------------------------------------------
MAX_CUTOFF_S = 60.0  # the longest cutoff a user agent may request
MAX_HEADER_BYTES = 65536  # beyond it status 413, unless the configuration sets another limit
MAX_BODY_BYTES = 4194304  # beyond it status 413
CONNECT_TIMEOUT_S = 0.5  # connecting to a replica on a local network takes milliseconds
STREAM_IDLE_TIMEOUT_S = 4.0  # a request that may start over does so after a longer silence
SAFE_PREFILL_TIMEOUT_RATIO = 0.5  # share of the remaining time after which a silent prefill may start over
HANDLE_TTL_S = 5.0  # own limit; an older handle is not sent to decode
MAX_QUEUE_WAIT_S = 0.8  # for a free slot, since requests should begin within about a second
MAX_QUEUED_REQUESTS = 64  # per router; beyond it requests are rejected at once
MAX_TENANT_QUEUED_REQUESTS = 24  # per tenant and router
PLACEMENT_INTERVAL_S = 0.02  # waiting requests look for a free slot this often
MAX_SERVER_THREADS = 160  # of the HTTP server, one per connection being served
SERVER_STEP_THREADS = 24  # threads started at once, at the start and whenever few are idle
MIN_IDLE_SERVER_THREADS = 12  # more threads are started below this number
SERVER_THREAD_IDLE_S = 10.0  # longer than most bursts; surplus over minimum and step then ends, a step at a time
SOCKET_READ_BYTES = 65536  # read from a connection at once
REQUEST_READ_TIMEOUT_S = 4.0  # for a request to arrive completely
CROWDED_REQUEST_READ_TIMEOUT_S = 0.5  # the same while no thread is free
CLIENT_DISCONNECT_GRACE_S = 0.5  # work for a request later than this after its client disconnected is counted
CONNECTION_CHECK_INTERVAL_S = 0.1
DEFAULT_IDLE_TIMEOUT_S = 20.0  # for idle client connections, unless the configuration sets another time
IDLE_CLOSE_MARGIN_S = 1.0  # from the idle timeout to the close, as a request may already be in transit
LINGER_TIMEOUT_S = 0.3  # late client data is read and dropped this long, since a reset would discard the response
MAX_CHUNK_LINE_BYTES = 256  # a longer size line of a chunk is rejected
RESPONSE_TIMEOUT_S = 60.0  # from a request's end to the end of its response, unless the request sets a cutoff
RESPONSE_GRACE_S = 0.5  # from a request's cutoff until its connection is closed
RETRY_AFTER_S = 1  # sent to rejected user agents
SLOT_OVERCOMMIT_RATIO = 2.0  # to the free slots that all shares add up to, since few routers use theirs fully
MAX_REPLICA_QUEUED_REQUESTS = 2  # beyond a replica's slots, before requests are held back

CACHE_BLOCK_CHARS = 256  # prompt characters per cache key, as replicas report them
MAX_PROMPT_CACHE_KEYS = 32  # per prompt: eight thousand characters of shared prefix
MAX_REPLICA_CACHE_KEYS = 192  # most recent cache keys of a replica that are kept and forwarded
CACHE_WEIGHT_SLOTS = 0.6  # load in slots that a fully cached prompt outweighs

# --- operator queries ----------------------------------------------------
MIN_QUERY_ATTEMPTS = 12  # before a missing response is reported, whatever the number of addresses
MIN_QUERY_TIME_S = 4.8  # likewise; members just started elect a leader first, also on a busy machine
QUERY_RETRY_INTERVAL_S = 0.4  # between two rounds over the addresses
QUERY_TIMEOUT_S = 5.0  # for one response

# --- retry budget (extra sends) ------------------------------------------
RETRY_BUDGET_WINDOW_S = 10.0  # window of the required limit
RETRY_BUDGET_RATIO = 0.18  # extra sends per request; below the required 0.2, as a loan's delay shifts some
RETRY_SLACK_RATIO = 0.6  # used share of the fleet's slack; below 1 as the number of routers is an estimate
MIN_SLACK_ROUTERS = 5  # a router that knows fewer divides the slack by this number
RETRY_SLACK_MIN_AGE_S = RETRY_BUDGET_WINDOW_S  # a younger router may have spent its slack before a crash
LOAN_TTL_S = 1.0  # a borrowed extra send not used by then is lost
BORROW_INTERVAL_S = 0.25  # shortest interval between a router's loan requests to its neighbours
BORROW_TIMEOUT_S = 0.05  # for their responses; a local network takes milliseconds
MAX_LENDERS = 3  # neighbours among which a loan is spread, since some may have nothing to lend
MAX_PREFILL_ATTEMPTS = 3  # per request, the first included

# --- delivered requests (routes) -----------------------------------------
DEFAULT_KEEP_ALIVE_S = 4.0  # longest idle time of a reused connection, unless the replica announces one
KEEP_ALIVE_MARGIN_S = 0.6  # subtracted from an announced idle time: the close may be in transit
MAX_IDLE_REPLICA_CONNECTIONS = 24  # kept per replica; more are closed
IDLE_SWEEP_INTERVAL_S = 1.0  # for closing expired idle connections, also those to removed replicas
MAX_CONNECTION_REQUESTS = 64  # request names kept per connection; a request is resent within seconds or never
DELIVERY_CONNECT_TIMEOUT_S = 0.3  # another replica is tried after it
DELIVERY_ACK_TIMEOUT_S = 2.0  # a connection with data unacknowledged for longer is dead
DEFAULT_URGENCY_RANK = 5  # rank; 0 is most urgent; applies if neither route nor tenant names one
URGENCY_LEVEL_COUNT = 3  # levels at replicas, each of PREFILL_RANK_COUNT values: the field has ten values
PLACEMENT_WAIT_RATIO = 0.2  # of the aim, waited for a slot; below the quarter that counts as held
MIN_PLACEMENT_WAIT_S = 0.1  # for routes with a short aim or none
DEFAULT_PLACEMENT_WAIT_S = 0.3  # for routes that name no aim
ROUTE_RETRY_AFTER_S = 0.5  # sent to user agents of routes; a lease or a replica is back by then
PREFILL_TOKENS_PER_S = 40000.0  # speed assumed for a prefill replica until it is observed
PREFILL_BASE_S = 0.02  # prefill time beside reading tokens: a round trip and an engine step
PREFILL_TIMEOUT_RATIO = 4.0  # of the expected time; a prefill silent for longer is abandoned
MIN_PREFILL_TIMEOUT_S = 1.0
MAX_PREFILL_TIMEOUT_S = 6.0  # while a decode replica can prefill by itself
DECODE_PREFILL_RATIO = 0.5  # speed of a prefill at a decode replica relative to a prefill replica
FIRST_EVENT_TIMEOUT_S = 1.5  # silence before the first event after which a second replica is asked as well
NEXT_EVENT_TIMEOUT_S = 1.2  # the same between events: four of the longest pauses that clients accept
HEDGE_RETRY_INTERVAL_S = 0.5  # between attempts to find a second replica; a few load reports
MIN_EXCLUSION_S = 2.0  # no placement on a replica for this long after a failure without proof
EXCLUSION_GROWTH_RATIO = 2.0  # growth of that time at each further consecutive failure
MAX_EXCLUSION_S = 8.0  # so that a recovered replica is soon used again
MAX_HALF_LIVES = 20.0  # after which a decaying sum is dropped: a millionth is left
OUTCOME_HALF_LIFE_S = 1.5  # weight of ended requests; a few load report intervals
MIN_FAILED_REQUESTS = 2.5  # fewer prove nothing; three consecutive ones over all routers suffice
MIN_FAILURE_RATIO = 0.2  # a replica is kept if a smaller share of its requests fails
FAILURE_OUTLIER_RATIO = 3.0  # to the failure share of the pool's other replicas; below it a replica is kept
FAILURE_PRIOR_REQUESTS = 0.05  # failures credited to the others; without it one failure to none is an infinite ratio
RUNNING_COST_S = 0.001  # added to a decode replica's own prefill time by each request running there
CROSS_ZONE_COST_S = 0.03  # added to a pair of replicas in two zones
LOAD_REPORT_INTERVAL_S = 0.2  # for a busy router; about one short prefill
IDLE_LOAD_REPORT_INTERVAL_S = 1.0  # while a router has nothing running
LOAD_TTL_S = 1.5  # older load reports are ignored
LOAD_LEADER_TIMEOUT_S = 0.6  # without a response for this long, the leader is looked up again
LOAD_HALF_LIFE_S = 1.5  # of the load that the split follows
PREFILL_FULL_QUEUE_S = 0.3  # queued prefill time per prefill replica that counts as full load
DECODE_FULL_SLOT_RATIO = 0.5  # share of a decode replica's slots that counts as full load until events are observed
DECODE_FULL_SLOWDOWN_RATIO = 2.5  # time between events to that of an idle decode replica, at full load
MIN_DECODE_FULL_SLOT_RATIO = 0.25  # a smaller share of slots is never full load, whatever is observed
CAPACITY_HALF_LIFE_S = 20.0  # of what is observed of decode replicas; covers a few bursts
CAPACITY_PRIOR_SPREAD = 300.0  # requests squared; weight of the assumed line: some seconds of a pool's observations
MIN_CAPACITY_EVENTS = 5.0  # recent events; a decode replica with fewer tells no time between them

PREFILL_RANK_COUNT = 3  # rank 0 is read first
SHORT_PREFILL_S = 0.08  # a prefill this short goes first, since it delays nobody
TIGHT_PREFILL_SPARE_S = 0.4  # longer prefills with less spare time go next, unless they miss their aim anyway
FIRST_EVENT_OVERHEAD_S = 0.1  # from the end of a prefill to the first event: transfer, engine steps and transit
MIN_PACE_SAMPLE_TOKENS = 1500  # shorter prefills are mostly transit and engine steps and show no speed
ADMISSION_QUEUE_RATIO = 1.2  # of the aim; a longer prefill queue admits nothing, as all behind it would be late
DEFAULT_AIM_S = 2.0  # for routes that name no aim
NO_LEASE_RETRY_AFTER_S = 1.6  # sent while no lease is valid: about an election and its first leases
DELIVERY_LEASE_TIMEOUT_S = 0.15  # wait of a delivered request for a lease: below a quarter of a short aim
MIN_QUEUE_FULL_RETRY_AFTER_S = 0.8  # sent when queues are full
REPEATED_PREFILL_RATIO = 2.0  # cost to all others of reading shared parts again, relative to the time it takes here
MAX_KNOWN_PROMPT_PARTS = 4096  # per router, as kept by a replica; the oldest are dropped first
SHORT_PROMPT_TOKENS = 1024  # one prefill chunk; a decode replica may prefill it by itself if that is sooner

# --- handle releases -----------------------------------------------------
HANDLE_RELEASE_TIMEOUT_S = 0.6  # for one release order
HANDLE_RELEASE_RETRY_INTERVAL_S = 0.4  # for releases not yet sent
HANDLE_RELEASE_TTL_S = 20.0  # by then the replica's own expiry has reclaimed the blocks
BACKUP_RELEASE_DELAY_S = 0.5  # from a request's cutoff until a neighbour sends the outstanding release
BACKUP_RELEASE_INTERVAL_S = 0.5  # a neighbour looks for overdue releases this often
MAX_BACKUP_RELEASES = 4096  # exports tracked for neighbours: two a second from each of 200 routers
MAX_PENDING_RELEASES = 1024  # unsent releases; the oldest are dropped first

# --- process -------------------------------------------------------------
MAX_LOG_BUFFER_MESSAGES = 2000
MAX_REPORT_BURST_LINES = 40  # the state changes of a start, in four parts
REPORT_LINES_PER_S = 4.0  # beyond it lines stay in memory
MAX_VERSION_REPORT_BURST_LINES = 6  # about configurations that a process received or activated
MAX_NAMED_PROCESSES = 6  # in such a line
VERSION_REPORT_LINES_PER_S = 0.5  # beyond it lines stay in memory; a storm has 17 changes a second
COUNTERS_INTERVAL_S = 5.0  # changed counters are reported this often
MAX_JOURNAL_EVENTS = 4096  # kept in a journal after they are folded
MAX_CONNECTION_POOLS = 64  # back ends with kept connections for probes and lists
READINESS_SERVER_THREADS = 2  # the only client asks once a second
MAX_IDLE_CLIENT_CONNECTIONS = 1000
OPERATOR_SERVER_THREADS = 12
