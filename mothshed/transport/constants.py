"""Constants of the records and connections between processes, each with its unit and its reason."""

# --- membership and hints ------------------------------------------------
MAX_VIEW_NEIGHBOURS = 12  # neighbours in a partial view; log2 of 200 nodes and some slack.
MAX_SHUFFLE_NEIGHBOURS = 6  # neighbours swapped in one shuffle: half a view.
SHUFFLE_INTERVAL_S = 0.5  # s; one shuffle per node and beat.
MAX_VIEW_AGE_SHUFFLES = 24  # shuffles; a neighbour unseen for this many is forgotten.
MAX_RECORD_HINTS = 64  # hints in one record; bounds its size.
REDIAL_SILENCE_S = 3.0  # s; a keeper calls a remembered address unheard of for longer: six shuffles.
MAX_REDIALS = 12  # addresses called in one shuffle's beat.
ADDRESS_WRITE_INTERVAL_S = 5.0  # s; remembered addresses are written at most this often.
MAX_REMEMBERED_ADDRESSES = 1000  # addresses remembered; five times the largest fleet tried.
ADDRESS_TTL_S = 86400.0  # s; an address silent for a day is forgotten.

# --- records and connections ---------------------------------------------
MAX_RECORD_BYTES = 8388608  # bytes; a longer peer record closes the connection.
RECORD_FORMAT_VERSION = 2  # number; raised with each field or kind added to the record table
PEER_FALLBACK_S = 10.0  # s; a peer that closed at our hello is spoken to as the release before the rule for that long.
MAX_PEER_QUEUE_RECORDS = 512  # records waiting for one peer; more are dropped, peers ask again.
PEER_CONNECT_TIMEOUT_S = 0.5  # s; connecting to a peer.
PEER_ACK_TIMEOUT_S = 3.0  # s; a connection unacknowledged for this long is ended and made anew.
PEER_RETRY_DELAY_S = 0.2  # s; pause after a failed connect.
PEER_IDLE_TIMEOUT_S = 8.0  # unused both ways; longer than the 6 s within which a view's neighbours meet
PEER_CHECK_INTERVAL_S = 0.5  # s; connections are looked over this often.
MAX_PEER_BACKLOG_CONNECTIONS = 256  # connections that wait to be accepted: every router turns to a new leader at once.
