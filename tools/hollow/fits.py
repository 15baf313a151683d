"""Straight lines through measured points by least squares, and small plots of them."""


def line(points):
    """Slope, constant and errors of the line through [(x, y), ...].

    >>> found = line([(1, 3.0), (2, 5.0), (4, 9.0), (8, 17.0)])
    >>> round(found["slope"], 6), round(found["constant"], 6), round(found["error"], 6)
    (2.0, 1.0, 0.0)
    """
    import numpy  # of requirements-tools.txt, as matplotlib: hollow fleets run without

    x, y = (numpy.array([p[at] for p in points], dtype=float) for at in (0, 1))
    slope, constant = numpy.linalg.lstsq(numpy.stack([x, numpy.ones_like(x)], axis=1), y, rcond=None)[0]
    off = y - (slope * x + constant)
    middle = abs(float(numpy.mean(y)))
    # error: root mean square of what the line misses, as a share of the points' mean
    return {
        "slope": float(slope),
        "constant": float(constant),
        "points": len(points),
        "error": float(numpy.sqrt(numpy.mean(off**2))) / middle if middle else 0.0,
        "worst": float(numpy.max(numpy.abs(off))) / middle if middle else 0.0,
    }


def at(found, x):
    return found["slope"] * x + found["constant"]


def plot(path, name, along, unit, points, found):
    """One small SVG: the points and their line."""
    import matplotlib

    matplotlib.use("svg")
    matplotlib.rcParams["svg.hashsalt"] = "capacity"
    import matplotlib.pyplot as pyplot

    figure, axes = pyplot.subplots(figsize=(3.6, 2.4))
    x = [p[0] for p in points]
    axes.plot(x, [p[1] for p in points], "o")
    axes.plot([0, max(x)], [found["constant"], at(found, max(x))], "-", linewidth=1)
    axes.set_title(name, fontsize=8)
    axes.set_xlabel(along, fontsize=8)
    axes.set_ylabel(unit, fontsize=8)
    axes.tick_params(labelsize=7)
    axes.set_ylim(bottom=min(0.0, found["constant"]))
    figure.tight_layout()
    figure.savefig(path, metadata={"Date": None, "Creator": None})
    pyplot.close(figure)
