"""Draw the measures of `benches.policy`."""

import matplotlib

matplotlib.use("Agg")

from matplotlib import pyplot  # noqa: E402

from benches import report  # noqa: E402


def draw(measures: list[report.Measure], path: str) -> None:
    """Write a plot of imbalance by policy and of goodput by load."""
    figure, (left, right) = pyplot.subplots(1, 2, figsize=(14, 5))
    draw_imbalance(left, measures)
    draw_goodput(right, measures)
    figure.tight_layout()
    figure.savefig(path, dpi=110)
    pyplot.close(figure)


def draw_imbalance(axes, measures: list[report.Measure]) -> None:
    """Draw the median of max over mean work for each site, flows of one request."""
    table: dict[str, dict[str, float]] = {}
    for each in measures:
        parts = each.name.split(".")
        if parts[0] == "imbalance" and parts[2] == "single" and parts[-1] == "work_p50":
            table.setdefault(parts[3], {})[parts[1]] = each.value
    width = 0.8 / max(1, len(table))
    for number, (policy, values) in enumerate(table.items()):
        places = [i + number * width for i in range(len(values))]
        axes.bar(places, list(values.values()), width, label=policy)
        axes.set_xticks([i + 0.4 for i in range(len(values))], list(values))
    axes.set_ylabel("max/mean of work, median")
    axes.set_title("Imbalance at 0.9 of capacity, one request a flow")
    axes.legend(fontsize=7)


def draw_goodput(axes, measures: list[report.Measure]) -> None:
    """Draw goodput against offered load."""
    lines: dict[str, list[tuple[float, float]]] = {}
    for each in measures:
        if each.name.startswith("overload.") and each.name.endswith(".goodput"):
            site, setup, offered = each.name.removesuffix(".goodput").split(".", 3)[1:]
            lines.setdefault(f"{site}: {setup}", []).append((float(offered), each.value))
    for label, points in lines.items():
        axes.plot(*zip(*points, strict=True), marker="o", label=label)
    axes.set_xlabel("offered, times the capacity")
    axes.set_ylabel("done in time, of the capacity")
    axes.set_title("Goodput")
    axes.legend(fontsize=6)
