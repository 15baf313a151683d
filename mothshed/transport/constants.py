"""Constants of the records and connections between processes."""

# --- membership and hints ------------------------------------------------
MAX_VIEW_NEIGHBOURS = 12  # in a partial view; log2 of 200 nodes and a margin
MAX_SHUFFLE_NEIGHBOURS = 6  # exchanged in one shuffle: half a view
SHUFFLE_INTERVAL_S = 0.5
MAX_VIEW_AGE_SHUFFLES = 24  # a neighbour without contact for more is dropped
MAX_RECORD_HINTS = 64  # bounds the size of a record
REDIAL_SILENCE_S = 3.0  # six shuffles; a control plane member then contacts a remembered address
MAX_REDIALS = 12  # remembered addresses contacted per shuffle
ADDRESS_WRITE_INTERVAL_S = 5.0  # shortest interval between writes of the remembered addresses
MAX_REMEMBERED_ADDRESSES = 1000  # five times the largest fleet tested
ADDRESS_TTL_S = 86400.0  # a remembered address silent for a day is dropped

# --- records and connections ---------------------------------------------
MAX_RECORD_BYTES = 8388608  # a longer peer record closes the connection
RECORD_FORMAT_VERSION = 3  # number; raised with each field or kind added to the record table
MAX_RECORD_REPORT_BURST_LINES = 4  # about records that can't be packed
RECORD_REPORT_LINES_PER_S = 0.2  # beyond it lines stay in memory
PIECES_RELEASE = 3  # number; the first release whose processes fetch large documents in pieces
PEER_FALLBACK_S = 10.0  # a peer that closed at the hello is addressed in the former release's protocol for this long
MAX_PEER_QUEUE_RECORDS = 512  # waiting for one peer; more are dropped and peers ask again
PEER_CONNECT_TIMEOUT_S = 0.5
PEER_ACK_TIMEOUT_S = 3.0  # a connection with data unacknowledged for longer is closed and reopened
PEER_RETRY_DELAY_S = 0.2  # after a failed connect
PEER_IDLE_TIMEOUT_S = 8.0  # unused both ways; longer than the 6 s within which a view's neighbours meet
PEER_CHECK_INTERVAL_S = 0.5
MAX_PEER_BACKLOG_CONNECTIONS = 256  # waiting for accept; all routers turn to a new leader at once
