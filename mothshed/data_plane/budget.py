"""The one retry budget: extra sends against first sends over a sliding window.

Every send beyond a request's first prefill and first decode is extra, whatever
its reason. Each router keeps its own; a share of what it sent plus a slack.
"""

import collections

import mothshed.common.constants as constants


class Budget:
    """
    >>> b = Budget(lambda: 0.0)
    >>> [b.extra() for _ in range(3)]
    [True, True, False]
    """

    def __init__(self, now):
        self.now = now
        self.first, self.more = collections.deque(), collections.deque()

    def trim(self):
        old = self.now() - constants.BUDGET_SPAN
        for row in (self.first, self.more):
            while row and row[0] <= old:
                row.popleft()

    def sent(self):
        self.first.append(self.now())

    def extra(self, count=1):
        """Takes so many extra sends if the window has room for all of them."""
        self.trim()
        if len(self.more) + count > constants.BUDGET_SHARE * len(self.first) + constants.BUDGET_SLACK:
            return False
        self.more.extend([self.now()] * count)
        return True
