"""Constants of a process: its stop and its log."""

DRAIN_TIMEOUT_S = 20.0  # longest wait of a stop for running requests, where no grace time is set
STOP_ACCEPT_S = 2.5  # a stopping router takes new requests so long; those sent 3 s after the signal may never be cut
STOP_ACCEPT_RATIO = 0.625  # the same, at most, as a share of the grace time
STOP_CUT_RATIO = 0.875  # share of the grace time after which requests are cut; the last sixth has begun by then
STOP_EXIT_RATIO = 0.9375  # share of the grace time after which a stopping process ends in any case
STOP_LEAVE_RATIO = 0.4375  # share of the grace time for which a keeper waits to be replaced or removed
STOP_CLOSE_TIMEOUT_S = 2.0  # from the cut to the end of the process, where no grace time is set
STOP_CHECK_INTERVAL_S = 0.02  # a stopping process looks this often whether its work has ended
STOP_FLUSH_TIMEOUT_S = 1.0  # a stop waits so long, at most, for a log that is not read
EXIT_FLUSH_TIMEOUT_S = 0.1  # the same at the end of a process, which has little of its grace time left
MAX_PENDING_LOG_BYTES = 4_000_000  # some writes of the whole log buffer
MAILBOX_HELD_REPORT_S = 0.3  # half of the time after which a leader without responses steps down
MAX_MAILBOX_REPORT_BURST_LINES = 4  # about callbacks that held a mailbox for longer
MAILBOX_REPORT_LINES_PER_S = 0.2  # beyond it lines stay in memory
LONG_WORK_SWITCH_INTERVAL_S = 0.0005  # turns of threads beside long work; a tenth of the interpreter's default
LONG_WORK_COLLECTION_ROUNDS = 1000000  # collections of young objects before all are looked at; none ends so late
