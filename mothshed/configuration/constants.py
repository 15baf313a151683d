"""Constants of large configuration documents."""

MAX_WHOLE_DOCUMENT_BYTES = 262144  # of JSON text; a larger document is stored packed, and the log refers to it
DOCUMENT_DIGEST_BYTES = 16  # makes a collision between the documents of one system negligible
DOCUMENT_PIECE_BYTES = 131072  # of a packed document in one record
MAX_DOCUMENT_TEXT_BYTES = 33554432  # of an unpacked text; a body of MAX_BODY_BYTES yields less than half of it
MAX_STAGED_DOCUMENT_BYTES = 16777216  # of large documents staged before the newest; all of them fit on a disk twice
MAX_JSON_LEVELS = 800  # number; a reader's stack holds about 970 beside what it calls
LARGE_WRITE_BYTES_PER_S = 4194304.0  # of a packed document, at which its commit is waited for
LARGE_ORDER_WAIT_S = 2.0  # for the turn to handle a large order
LARGE_ORDER_POLL_S = 0.02  # between two looks whether the turn is free
MAX_LARGE_SEQUENCES = 16  # number; more than a process ever holds documents of
MAX_LINE_ITEMS = 64  # number; items of a section in a line of a packed document
JSON_STEP_LEVELS = 2  # number; levels of a document that are encoded item by item: its sections and their items
