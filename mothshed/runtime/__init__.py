"""What every process needs: clock, timers, mailbox, cancellation, log buffer, journal, counters, state charts."""
