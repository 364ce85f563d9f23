"""Pictures of the measured slopes; needs the ``plot`` extra."""

from __future__ import annotations

from pathlib import Path

from onyxspoke.scale.page import CapacityData

PLOTTED = (
    "idle CPU by entries",
    "control traffic by entries",
    "idle CPU by owned workers",
    "resident memory by owned workers",
    "CPU by task starts",
    "memory by running tasks",
)
_COLUMNS = 3


def plot_slopes(data: CapacityData, path: Path) -> None:
    """Write the points and lines of the main slopes as one PNG."""
    import matplotlib  # noqa: PLC0415  (an optional extra)

    matplotlib.use("Agg")
    from matplotlib import pyplot  # noqa: PLC0415

    rows = -(-len(PLOTTED) // _COLUMNS)
    figure, grid = pyplot.subplots(rows, _COLUMNS, figsize=(12, 6))
    for axes, name in zip(grid.flat, PLOTTED, strict=True):
        slope = data.slope(name)
        sizes = [point.size for point in slope.points]
        axes.scatter(sizes, [point.cost for point in slope.points])
        axes.plot(sizes, [slope.at(size) for size in sizes])
        axes.set_title(f"{name} (r2 {slope.r_squared:.3f})", fontsize=9)
        axes.set_xlabel(slope.size_name)
        axes.set_ylabel(slope.unit)
    figure.tight_layout()
    figure.savefig(path, dpi=80)
