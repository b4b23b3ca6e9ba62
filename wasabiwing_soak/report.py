"""Report of a soak: text, JSON and a plot over time."""

from pathlib import Path

from matplotlib.backends.backend_agg import FigureCanvasAgg
from matplotlib.figure import Figure
from msgspec.json import encode
from msgspec.json import format as format_json

from wasabiwing_soak.promises import CallRecord
from wasabiwing_soak.promises import count_endings
from wasabiwing_soak.soak import SoakResult

FIGURE_INCHES = (11.0, 6.0)
DOTS_PER_INCH = 110

# Violations that are printed; the JSON file has all.
SHOWN_VIOLATIONS = 10


def report_lines(result: SoakResult) -> list[str]:
    """Returns what a person reads."""
    ended = ", ".join(
        f"{count} {name}"
        for name, count in sorted(count_endings(result.calls).items())
    )
    lines = [
        f"seed {result.options.seed}: {len(result.schedule)} faults,"
        f" {len(result.calls)} requests ({ended}),"
        f" {len(result.violations)} promises broken"
    ]
    for violation in result.violations[:SHOWN_VIOLATIONS]:
        lines.append(
            f"  {violation.at_s:7.3f} s  {violation.promise}:"
            f" {violation.detail}"
        )
    return lines


def write_report(folder: Path, result: SoakResult) -> None:
    """Writes ``soak.json`` and ``soak.png`` into the folder."""
    document = {
        "options": result.options,
        "endings": count_endings(result.calls),
        "violations": result.violations,
        "disturbances": result.disturbances,
        "faults": result.schedule,
    }
    (folder / "soak.json").write_bytes(format_json(encode(document)))
    _draw(result).savefig(folder / "soak.png")


def _draw(result: SoakResult) -> Figure:
    """Draws each request's duration above the faults that were in force."""
    figure = Figure(figsize=FIGURE_INCHES, dpi=DOTS_PER_INCH)
    FigureCanvasAgg(figure)
    above, below = figure.subplots(
        2, 1, sharex=True, gridspec_kw={"height_ratios": (2, 3)}
    )
    for name, calls in _calls_by_ending(result.calls).items():
        above.scatter(
            [call.sent_s for call in calls],
            [call.ended_s - call.sent_s for call in calls],
            s=5,
            label=name,
        )
    above.set_ylabel("duration, s")
    above.legend(loc="upper right", fontsize=7)
    above.set_title(f"seed {result.options.seed}")
    kinds = sorted({fault.kind.value for fault in result.schedule})
    for fault in result.schedule:
        below.barh(
            kinds.index(fault.kind.value), fault.duration_s, left=fault.at_s
        )
    below.set_yticks(range(len(kinds)), kinds, fontsize=7)
    below.set_xlabel("seconds from the start of traffic")
    for violation in result.violations:
        above.axvline(violation.at_s, color="red", linewidth=0.8)
    figure.tight_layout()
    return figure


def _calls_by_ending(
    calls: tuple[CallRecord, ...],
) -> dict[str, list[CallRecord]]:
    found: dict[str, list[CallRecord]] = {}
    for call in calls:
        name = str(call.status) if call.status else "no answer"
        found.setdefault(name, []).append(call)
    return dict(sorted(found.items()))
