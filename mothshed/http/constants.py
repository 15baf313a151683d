"""Constants of HTTP messages."""

MAX_RESPONSE_HEAD_BYTES = 1048576  # of the head of a response together with the heads of status 100 before it
