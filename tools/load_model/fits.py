"""Least-squares lines through measured points, and small plots of them."""


def line(points):
    """Fit a line to [(x, y), ...]; return its slope, constant and errors.

    >>> fitted = line([(1, 3.0), (2, 5.0), (4, 9.0), (8, 17.0)])
    >>> round(fitted["slope"], 6), round(fitted["constant"], 6), round(fitted["error"], 6)
    (2.0, 1.0, 0.0)
    """
    import numpy  # imported here because, like matplotlib, only plots and fits need requirements-tools.txt

    x_values, y_values = (numpy.array([point[index] for point in points], dtype=float) for index in (0, 1))
    slope, constant = numpy.linalg.lstsq(
        numpy.stack([x_values, numpy.ones_like(x_values)], axis=1), y_values, rcond=None
    )[0]
    residuals = y_values - (slope * x_values + constant)
    mean_abs = abs(float(numpy.mean(y_values)))
    # error: root mean square of the residuals relative to the mean of the points
    return {
        "slope": float(slope),
        "constant": float(constant),
        "points": len(points),
        "error": float(numpy.sqrt(numpy.mean(residuals**2))) / mean_abs if mean_abs else 0.0,
        "worst": float(numpy.max(numpy.abs(residuals))) / mean_abs if mean_abs else 0.0,
    }


def value_at(fitted, size):
    return fitted["slope"] * size + fitted["constant"]


def plot(path, name, along, unit, points, fitted):
    """Write a small SVG with the points and their line."""
    import matplotlib

    matplotlib.use("svg")
    matplotlib.rcParams["svg.hashsalt"] = "capacity"
    import matplotlib.pyplot as pyplot

    figure, axes = pyplot.subplots(figsize=(3.6, 2.4))
    x_values = [point[0] for point in points]
    axes.plot(x_values, [point[1] for point in points], "o")
    axes.plot([0, max(x_values)], [fitted["constant"], value_at(fitted, max(x_values))], "-", linewidth=1)
    axes.set_title(name, fontsize=8)
    axes.set_xlabel(along, fontsize=8)
    axes.set_ylabel(unit, fontsize=8)
    axes.tick_params(labelsize=7)
    axes.set_ylim(bottom=min(0.0, fitted["constant"]))
    figure.tight_layout()
    figure.savefig(path, metadata={"Date": None, "Creator": None})
    pyplot.close(figure)
