"""Constants of files on a disk."""

MAX_UNSYNCED_BYTES = 262144  # of a file being written; a sync of another file may have to wait for them
