"""Runtime parts of every process: clock, timers, mailbox, cancellation, logs, journal, counters, state charts."""
