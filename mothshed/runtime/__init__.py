"""What every process needs to run: clock, timers, mailbox, cancellation, log ring, journal, counters, state charts."""
