"""Constants of the records and connections between processes, each with its unit and its reason."""

# --- membership and hints ------------------------------------------------
VIEW_MOST = 12  # neighbours in a partial view; log2 of 200 nodes and some slack.
SHUFFLE_MOST = 6  # neighbours swapped in one shuffle: half a view.
SHUFFLE_INTERVAL = 0.5  # s; one shuffle per node and beat.
VIEW_AGE_MOST = 24  # shuffles; a neighbour unseen for this many is forgotten.
HINTS_MOST = 64  # hints in one record; bounds its size.
CALL_SILENT = 3.0  # s; a keeper calls a remembered address unheard of for longer: six shuffles.
CALL_MOST = 12  # addresses called in one shuffle's beat.
REMEMBER_INTERVAL = 5.0  # s; remembered addresses are written at most this often.
REMEMBER_MOST = 1000  # addresses remembered; five times the largest fleet tried.
REMEMBER_LIFE = 86400.0  # s; an address silent for a day is forgotten.

# --- records and connections ---------------------------------------------
RECORD_MOST = 8388608  # bytes; a longer peer record closes the connection.
RECORDS_RELEASE = 2  # number of the records' table; raised with each field or kind that is added to it.
PEER_FORMER = 10.0  # s; a peer that closed at our hello is spoken to as the release before the rule for that long.
PEER_QUEUE = 512  # records waiting for one peer; more are dropped, peers ask again.
PEER_CONNECT = 0.5  # s; connecting to a peer.
PEER_SILENT = 3.0  # s; a connection unacknowledged for this long is ended and made anew.
PEER_RETRY = 0.2  # s; pause after a failed connect.
PEER_IDLE = 8.0  # s; a connection unused both ways for longer is closed: a view's neighbours are met every 6 s.
PEER_LOOK = 0.5  # s; connections are looked over this often.
PEER_BACKLOG = 256  # connections that wait to be accepted: every router turns to a new leader at once.
